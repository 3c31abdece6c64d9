// The reference page of settings and documents, docs/settings.md.
//
//   std::cout << PrintSettingsReference();
#pragma once

#include <string>

namespace wigeonwalk {

// Returns the page in Markdown: each key of both schemas with its type, unit,
// default, range and meaning.
std::string
PrintSettingsReference();

} // namespace wigeonwalk
