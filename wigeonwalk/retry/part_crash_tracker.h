// Detects parts of prompts that crash the upstreams that begin to answer them,
// whatever else the requests hold.
//
//   if (tracker.StatusOf(parts, now) == PartStatus::Refused) { ... }
//   tracker.RecordAnswer(parts, now);    // an answer began and went on
//   tracker.RecordLost(lost, now);       // the upstream was lost before that
//   for (const PartReport& report : tracker.TakeReports(now)) { ... }
#pragma once

#include "wigeonwalk/retry/last_answers.h"
#include "wigeonwalk/retry/part_evidence.h"
#include "wigeonwalk/retry/part_report_schedule.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Correlates losses of upstreams with the parts of the prompts that were about
// to be answered there. Such a loss accuses all parts of these prompts:
//
// - An answer that goes on clears its parts of all requests sent before.
// - Crashes count only if each request was sent after the crash before, so
//   requests that ran together when a rack failed count once.
// - A part that was answered before takes twice as many.
// - A part is refused only if different requests crashed: a request that its
//   caller repeats would otherwise get all of its parts refused.
// - A crash that is explained by a refused part accuses no other part. Of two
//   parts with the same evidence the one later in the prompt is refused,
//   because fewer requests share it.
//
// Not thread-safe.
class PartCrashTracker
{
public:
  // Crashes one after the other from which on a part is suspected and refused.
  static constexpr std::size_t kSuspectCrashes = 2;
  static constexpr std::size_t kMaxPartCrashes = 3;
  static constexpr std::size_t kMinContents = 2;
  // Factor for both numbers if the part was answered before: the prompts with a
  // crashing part often share another one with many sound prompts.
  static constexpr std::size_t kAnsweredFactor = 2;
  // Bounds of the memory: accused parts, crashes of each, explained crashes,
  // and findings that were not taken.
  static constexpr std::size_t kMaxRecords = 4'096;
  static constexpr std::size_t kMaxCrashesPerRecord = 16;
  static constexpr std::size_t kMaxExplained = 1'024;
  static constexpr std::size_t kMaxFindings = 64;
  static constexpr Duration kEvidenceRetention = std::chrono::hours(1);
  // A part is refused for this time after its last crash, and for up to twice
  // as long at other daemons. The first daemon whose time has passed lets a
  // request through, and tells the others of its crash or answer.
  static constexpr Duration kRefusal = std::chrono::minutes(10);
  // Delay before the first crash of a part is told: parts in steady use are
  // answered within this time, and nothing has to be told.
  static constexpr Duration kReportDelay = std::chrono::milliseconds(200);

  // Daemons with different seeds end a refusal at different times.
  explicit PartCrashTracker(std::uint64_t aSeed = 0)
    : seed(aSeed)
  {
  }

  // Returns the worst status of the parts.
  PartStatus StatusOf(const std::vector<SharedPart>& aParts,
                      TimePoint aNow) const;

  // Returns the first refused part, if there is one.
  std::optional<PartFinding> FindRefused(const std::vector<SharedPart>& aParts,
                                         TimePoint aNow) const;

  void RecordAnswer(const std::vector<SharedPart>& aParts, TimePoint aNow);
  void RecordLost(const LostRequest& aLost, TimePoint aNow);

  // Merges another daemon's evidence. `aIsCollector` is true if this daemon
  // collects the evidence about the part.
  PartReply Merge(const PartNotice& aNotice, bool aIsCollector, TimePoint aNow);

  // Returns the notices that are due.
  std::vector<PartReport> TakeReports(TimePoint aNow);

  // Returns the evidence about a part: its last answer and its crashes since.
  std::vector<PartNotice> EvidenceOf(const Hash128& aPart,
                                     TimePoint aNow) const;
  // Returns the evidence about all refused and suspected parts, in this order.
  std::vector<PartNotice> AllEvidence(TimePoint aNow) const;

  // Returns the changes of status since the last call.
  std::vector<PartFinding> TakeFindings();

  std::size_t Records() const { return this->records.size(); }
  std::size_t RefusedParts(TimePoint aNow) const;

private:
  struct Crash
  {
    std::uint64_t id = 0;
    std::uint64_t content = 0;
    TimePoint sentAt;
    TimePoint at;
  };
  struct Record
  {
    SharedPart part;
    // In the order of their times.
    std::vector<Crash> crashes;
    TimePoint lastCrashAt;
    // Does not consider that a refusal ends.
    PartStatus status = PartStatus::Clear;
    // Those who were told, or are to be told, of the crashes.
    std::optional<PartAudience> audience;
  };

  static std::size_t CountSequential(const Record& aRecord);
  PartStatus Assess(const Record& aRecord) const;
  static bool Insert(Record& aRecord, const Crash& aCrash);
  PartStatus StatusAt(const Record& aRecord, TimePoint aNow) const;
  bool IsExplained(const SharedPart& aPart, std::uint64_t aCrashId) const;
  bool Add(const SharedPart& aPart, const Crash& aCrash);
  void Update(Record& aRecord);
  void Explain(const SharedPart& aPart, std::uint64_t aCrashId);
  bool ClearEvidence(const SharedPart& aPart, TimePoint aAt);
  void MakeRoom();

  std::uint64_t seed;
  std::unordered_map<Hash128, Record> records;
  PartReportSchedule schedule;
  LastAnswers answers;
  // The refused part that explains a crash.
  std::unordered_map<std::uint64_t, SharedPart> explained;
  std::deque<std::uint64_t> explainedOrder;
  std::vector<PartFinding> findings;
};

} // namespace wigeonwalk
