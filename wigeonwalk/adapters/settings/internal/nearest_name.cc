#include "wigeonwalk/adapters/settings/internal/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace wigeonwalk::settings_internal {

namespace {

constexpr std::size_t kMaxComparedBytes = 64;

// Levenshtein distance: insertions, deletions and substitutions.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t above = row[j + 1];
      const std::size_t changed = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      row[j + 1] = std::min({ changed, above + 1, row[j] + 1 });
      diagonal = above;
    }
  }
  return row.back();
}

} // namespace

std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aKnown)
{
  const std::string_view name = aName.substr(0, kMaxComparedBytes);
  std::optional<std::string> nearest;
  std::size_t smallestDistance = 0;
  for (const auto& known : aKnown) {
    const std::size_t distance = EditDistance(name, known);
    const bool close = 2 * distance <= std::max(name.size(), known.size());
    if (close && (!nearest || distance < smallestDistance)) {
      nearest = known;
      smallestDistance = distance;
    }
  }
  return nearest;
}

} // namespace wigeonwalk::settings_internal
