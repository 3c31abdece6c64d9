// When parts of prompts were last answered.
//
//   answers.Set(part, now);
//   if (answers.Of(part) > sentAt) { ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

// Keeps the parts that were answered last. Not thread-safe.
class LastAnswers
{
public:
  static constexpr std::size_t kMaxParts = 16'384;

  void Set(const Hash128& aPart, TimePoint aAt)
  {
    TimePoint& at = this->answeredAt[aPart];
    if (at == TimePoint()) {
      this->order.emplace_back(aPart, aAt);
    }
    at = std::max(at, aAt);
    while (this->answeredAt.size() > kMaxParts) {
      const auto [oldest, notedAt] = this->order.front();
      this->order.pop_front();
      const TimePoint last = this->Of(oldest);
      if (last > notedAt) {
        this->order.emplace_back(oldest, last);
      } else {
        this->answeredAt.erase(oldest);
      }
    }
  }

  // Returns the time of the last answer; the epoch if none is known.
  TimePoint Of(const Hash128& aPart) const
  {
    const auto found = this->answeredAt.find(aPart);
    return found == this->answeredAt.end() ? TimePoint() : found->second;
  }

private:
  std::unordered_map<Hash128, TimePoint> answeredAt;
  // Oldest first. A part that was answered again since it was noted moves to
  // the end when its turn to be evicted comes.
  std::deque<std::pair<Hash128, TimePoint>> order;
};

} // namespace wigeonwalk
