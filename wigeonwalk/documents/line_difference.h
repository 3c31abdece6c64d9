// The difference between two texts by lines, for operators.
//
//   LineDifference("a\nb\n", "a\nc\n");   // "- b\n+ c\n"
#pragma once

#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the lines only in the old text after "- " and those only in the new
// text after "+ ", in order. Texts whose changed middle parts are longer than
// about 1,000 lines each are shown as replaced there.
std::string
LineDifference(std::string_view aOld, std::string_view aNew);

} // namespace wigeonwalk
