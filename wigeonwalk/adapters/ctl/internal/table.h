// Tables for the terminal, and file access of the command line.
//
//   Table table({ "host", "zone" });
//   table.Add({ "isar-1", "Isar" });
//   std::cout << table.Print();
#pragma once

#include "wigeonwalk/base/failure_reason.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk::ctl_internal {

// A table of left-aligned columns. Control characters in cells are replaced, so
// that no text from a daemon can control the terminal.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeader);

  // Adds a row; it has as many cells as the header.
  void Add(std::vector<std::string> aRow);

  std::string Print() const;

private:
  std::vector<std::vector<std::string>> rows;
};

// Returns the content of a file of at most 16 MB.
std::optional<std::string>
ReadFile(const std::string& aPath, FailureReason& aReason);

// Replaces the content of a file.
bool
WriteFile(const std::string& aPath,
          const std::string& aContent,
          FailureReason& aReason);

} // namespace wigeonwalk::ctl_internal
