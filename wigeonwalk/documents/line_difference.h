// Computes a line diff of two texts, for operators.
//
//   LineDifference("a\nb\n", "a\nc\n");   // "- b\n+ c\n"
#pragma once

#include <string>
#include <string_view>

namespace wigeonwalk {

// Returns the lines that are only in the old text, with the prefix "- ", and
// those only in the new text, with "+ ", in order. If the parts between the
// common start and end have more than about 1,000 lines each, they are shown as
// replaced completely.
std::string
LineDifference(std::string_view aOld, std::string_view aNew);

} // namespace wigeonwalk
