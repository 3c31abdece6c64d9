// Generates docs/settings.md, the reference page of settings and documents.
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
