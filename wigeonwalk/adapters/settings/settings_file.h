// Reads a program's settings file.
//
//   auto settings = ReadSettingsFile("/etc/entry.json", ParseEntrySettings);
#pragma once

#include "wigeonwalk/base/failure_reason.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

namespace wigeonwalk {

// Returns the parsed settings, or nothing after printing one line for each
// error to standard error.
template<typename Parse>
auto
ReadSettingsFile(const std::string& aPath, Parse aParse)
{
  std::ifstream file(aPath);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  std::vector<FailureReason> reasons;
  auto settings = aParse(text, reasons);
  for (const FailureReason& reason : reasons) {
    std::cerr << aPath << ": " << reason.ToString() << '\n';
  }
  return settings;
}

} // namespace wigeonwalk
