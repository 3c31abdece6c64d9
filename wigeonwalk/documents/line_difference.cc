#include "wigeonwalk/documents/line_difference.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace wigeonwalk {
namespace {

using Lines = std::vector<std::string_view>;

// Limits the table of the longest common subsequences to 2 MB.
constexpr std::size_t kMaxTableCells = 1'000'000;

Lines
Split(std::string_view aText)
{
  Lines lines;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

void
Append(std::string& aOut, std::string_view aPrefix, std::string_view aLine)
{
  aOut += aPrefix;
  aOut += aLine;
  aOut += '\n';
}

// Removes the common lines at the start and at the end of both.
void
TrimCommon(Lines& aOld, Lines& aNew)
{
  const auto start =
    std::mismatch(aOld.begin(), aOld.end(), aNew.begin(), aNew.end());
  aOld.erase(aOld.begin(), start.first);
  aNew.erase(aNew.begin(), start.second);
  while (!aOld.empty() && !aNew.empty() && aOld.back() == aNew.back()) {
    aOld.pop_back();
    aNew.pop_back();
  }
}

} // namespace

std::string
LineDifference(std::string_view aOld, std::string_view aNew)
{
  Lines before = Split(aOld);
  Lines after = Split(aNew);
  TrimCommon(before, after);
  const std::size_t width = after.size() + 1;
  const bool fitsTable = (before.size() + 1) * width <= kMaxTableCells;
  // common[i][j] is the length of the longest common subsequence of before[i..]
  // and after[j..].
  std::vector<std::uint16_t> common(fitsTable ? (before.size() + 1) * width
                                              : 0);
  for (std::size_t i = fitsTable ? before.size() : 0; i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common[i * width + j] =
        before[i] == after[j]
          ? static_cast<std::uint16_t>(common[(i + 1) * width + j + 1] + 1)
          : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
    }
  }
  std::string out;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() || j < after.size()) {
    if (fitsTable && i < before.size() && j < after.size() &&
        before[i] == after[j]) {
      ++i;
      ++j;
    } else if (i < before.size() &&
               (j == after.size() || !fitsTable ||
                common[(i + 1) * width + j] >= common[i * width + j + 1])) {
      Append(out, "- ", before[i++]);
    } else {
      Append(out, "+ ", after[j++]);
    }
  }
  return out;
}

} // namespace wigeonwalk
