// When the evidence about parts of prompts is told to other daemons.
//
//   schedule.Start(part, now);
//   for (const Hash128& part : schedule.TakeDue(now)) { ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <iterator>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Repeats each report with growing delays, because datagrams are lost and some
// daemons can't be reached for a time. Not thread-safe.
class PartReportSchedule
{
public:
  static constexpr std::size_t kMaxParts = 4'096;
  // Delay before the first repeat; each further one is four times as long, so
  // that three reports fall within the first 1.25 s.
  static constexpr Duration kRepeatDelay = std::chrono::milliseconds(250);
  static constexpr int kDelayFactor = 4;
  // Number of reports; the last one is sent 85 s after the first.
  static constexpr int kReports = 6;

  // Schedules the reports on a part, from `aAt` on. Restarts them if they are
  // scheduled already.
  void Start(const Hash128& aPart, TimePoint aAt)
  {
    if (this->parts.size() < kMaxParts || this->parts.contains(aPart)) {
      this->parts[aPart] = { aAt, kRepeatDelay, kReports };
    }
  }

  void Cancel(const Hash128& aPart) { this->parts.erase(aPart); }

  // Returns the parts whose next report is due.
  std::vector<Hash128> TakeDue(TimePoint aNow)
  {
    std::vector<Hash128> due;
    for (auto next = this->parts.begin(); next != this->parts.end();) {
      Reports& reports = next->second;
      if (aNow >= reports.nextAt) {
        due.push_back(next->first);
        reports.nextAt = aNow + reports.delay;
        reports.delay *= kDelayFactor;
        --reports.left;
      }
      next = reports.left == 0 ? this->parts.erase(next) : std::next(next);
    }
    return due;
  }

private:
  struct Reports
  {
    TimePoint nextAt;
    Duration delay{ 0 };
    int left = 0;
  };

  std::unordered_map<Hash128, Reports> parts;
};

} // namespace wigeonwalk
