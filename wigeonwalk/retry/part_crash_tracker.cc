#include "wigeonwalk/retry/part_crash_tracker.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace {

// Seeds that keep these hashes distinct from other hashes of the same bytes.
constexpr std::uint64_t kPartSeed = 0x7061727400000001ULL;
constexpr std::uint64_t kCrashSeed = 0x7061727400000002ULL;

// The times of one event at two daemons differ by less than this: by the time
// that a datagram takes between regions.
constexpr Duration kClockTolerance = std::chrono::milliseconds(50);

std::uint64_t
CrashIdOf(const UpstreamId& aUpstream, std::uint64_t aIncarnation)
{
  const std::string text =
    aUpstream.Text() + '#' + std::to_string(aIncarnation);
  return HashBytes(text, kCrashSeed).low;
}

} // namespace

Hash128
HashOfPart(const ModelName& aModel, std::string_view aPart)
{
  return HashBytes(aPart, HashBytes(aModel.Text(), kPartSeed).low);
}

// Returns the length of the longest sequence of crashes in which each request
// was sent after the crash before.
std::size_t
PartCrashTracker::CountSequential(const Record& aRecord)
{
  std::size_t count = 0;
  TimePoint endedAt;
  for (const Crash& crash : aRecord.crashes) {
    if (count == 0 || crash.sentAt + kClockTolerance >= endedAt) {
      ++count;
      endedAt = crash.at;
    }
  }
  return count;
}

PartStatus
PartCrashTracker::Assess(const Record& aRecord) const
{
  if (aRecord.crashes.empty()) {
    return PartStatus::Clear;
  }
  const TimePoint answeredAt = this->answers.Of(aRecord.part.hash);
  const bool wasAnswered =
    aRecord.crashes.front().at - answeredAt < kEvidenceRetention;
  const std::size_t factor = wasAnswered ? kAnsweredFactor : 1;
  const std::size_t count = CountSequential(aRecord);
  if (count < kSuspectCrashes * factor) {
    return PartStatus::Clear;
  }
  std::set<std::uint64_t> contents;
  for (const Crash& crash : aRecord.crashes) {
    contents.insert(crash.content);
  }
  return count >= kMaxPartCrashes * factor && contents.size() >= kMinContents
           ? PartStatus::Refused
           : PartStatus::Suspected;
}

PartStatus
PartCrashTracker::StatusAt(const Record& aRecord, TimePoint aNow) const
{
  if (aRecord.status != PartStatus::Refused) {
    return aRecord.status;
  }
  constexpr std::int64_t kSteps = 1'024;
  const auto step = static_cast<std::int64_t>(
    (aRecord.part.hash.low ^ this->seed) % std::uint64_t(kSteps));
  const Duration refusal = kRefusal + kRefusal * step / kSteps;
  return aNow - aRecord.lastCrashAt < refusal ? PartStatus::Refused
                                              : PartStatus::Suspected;
}

PartStatus
PartCrashTracker::StatusOf(const std::vector<SharedPart>& aParts,
                           TimePoint aNow) const
{
  PartStatus worst = PartStatus::Clear;
  for (const SharedPart& part : aParts) {
    const auto found = this->records.find(part.hash);
    if (found != this->records.end()) {
      worst = std::max(worst, this->StatusAt(found->second, aNow));
    }
  }
  return worst;
}

std::optional<PartFinding>
PartCrashTracker::FindRefused(const std::vector<SharedPart>& aParts,
                              TimePoint aNow) const
{
  for (const SharedPart& part : aParts) {
    const auto found = this->records.find(part.hash);
    if (found != this->records.end() &&
        this->StatusAt(found->second, aNow) == PartStatus::Refused) {
      return PartFinding{ part.hash,
                          PartStatus::Refused,
                          found->second.crashes.size() };
    }
  }
  return std::nullopt;
}

void
PartCrashTracker::RecordAnswer(const std::vector<SharedPart>& aParts,
                               TimePoint aNow)
{
  for (const SharedPart& part : aParts) {
    this->answers.Set(part.hash, aNow);
    const bool isKnown = this->StatusOf({ part }, aNow) != PartStatus::Clear;
    if (this->ClearEvidence(part, aNow)) {
      std::optional<PartAudience>& audience =
        this->records.at(part.hash).audience;
      audience = isKnown ? PartAudience::All
                         : audience.value_or(PartAudience::Collectors);
      this->schedule.Start(part.hash, aNow);
    }
  }
}

void
PartCrashTracker::RecordLost(const LostRequest& aLost, TimePoint aNow)
{
  const Crash crash{ CrashIdOf(aLost.upstream, aLost.incarnation),
                     aLost.content,
                     aLost.sentAt,
                     aNow };
  // The last part first: with equal evidence it explains the crash for those
  // before it.
  for (auto part = aLost.parts.rbegin(); part != aLost.parts.rend(); ++part) {
    if (!this->Add(*part, crash)) {
      continue;
    }
    Record& record = this->records.at(part->hash);
    const bool isSuspected = record.status != PartStatus::Clear;
    const bool isFirst = record.crashes.size() == 1;
    if (record.status == PartStatus::Refused) {
      record.audience = PartAudience::All;
    } else if (isFirst || !record.audience) {
      record.audience = PartAudience::Collectors;
    }
    this->schedule.Start(part->hash, isSuspected ? aNow : aNow + kReportDelay);
  }
}

PartReply
PartCrashTracker::Merge(const PartNotice& aNotice,
                        bool aIsCollector,
                        TimePoint aNow)
{
  if (aNotice.age < Duration(0) || aNotice.sentAge < aNotice.age ||
      aNotice.sentAge > kEvidenceRetention) {
    return PartReply::None;
  }
  const Hash128& hash = aNotice.part.hash;
  if (aNotice.crashId == 0) {
    const TimePoint at = aNow - aNotice.age;
    this->answers.Set(hash, at);
    // Those whom this daemon has told of the crashes must hear of the answer.
    if (this->ClearEvidence(aNotice.part, at) &&
        this->records.at(hash).audience) {
      this->schedule.Start(hash, aNow);
    }
    return PartReply::None;
  }
  const Crash crash{
    aNotice.crashId, aNotice.content, aNow - aNotice.sentAge, aNow - aNotice.age
  };
  if (this->answers.Of(hash) > crash.sentAt) {
    return PartReply::Answer;
  }
  const auto found = this->records.find(hash);
  const bool wasRefused =
    found != this->records.end() && found->second.status == PartStatus::Refused;
  if (!this->Add(aNotice.part, crash) || !aIsCollector) {
    return PartReply::None;
  }
  Record& record = this->records.at(hash);
  if (record.status != PartStatus::Clear) {
    record.audience = PartAudience::All;
    this->schedule.Start(hash, aNow);
  }
  return wasRefused ? PartReply::Evidence : PartReply::None;
}

std::vector<PartReport>
PartCrashTracker::TakeReports(TimePoint aNow)
{
  std::vector<PartReport> reports;
  for (const Hash128& part : this->schedule.TakeDue(aNow)) {
    const auto found = this->records.find(part);
    if (found == this->records.end() || !found->second.audience) {
      continue;
    }
    for (const PartNotice& notice : this->EvidenceOf(part, aNow)) {
      reports.push_back({ notice, *found->second.audience });
    }
  }
  return reports;
}

std::vector<PartNotice>
PartCrashTracker::EvidenceOf(const Hash128& aPart, TimePoint aNow) const
{
  std::vector<PartNotice> evidence;
  const TimePoint answeredAt = this->answers.Of(aPart);
  if (answeredAt != TimePoint()) {
    const Duration age = aNow - answeredAt;
    evidence.push_back({ { aPart, 0 }, 0, 0, age, age });
  }
  const auto found = this->records.find(aPart);
  if (found == this->records.end()) {
    return evidence;
  }
  const Record& record = found->second;
  for (const Crash& crash : record.crashes) {
    evidence.push_back({ record.part,
                         crash.id,
                         crash.content,
                         aNow - crash.sentAt,
                         aNow - crash.at });
  }
  return evidence;
}

std::vector<PartNotice>
PartCrashTracker::AllEvidence(TimePoint aNow) const
{
  std::vector<PartNotice> all;
  for (const PartStatus status :
       { PartStatus::Refused, PartStatus::Suspected }) {
    for (const auto& [part, record] : this->records) {
      if (record.status == status) {
        const auto evidence = this->EvidenceOf(part, aNow);
        all.insert(all.end(), evidence.begin(), evidence.end());
      }
    }
  }
  return all;
}

std::vector<PartFinding>
PartCrashTracker::TakeFindings()
{
  return std::exchange(this->findings, {});
}

std::size_t
PartCrashTracker::RefusedParts(TimePoint aNow) const
{
  return static_cast<std::size_t>(std::count_if(
    this->records.begin(), this->records.end(), [&](const auto& aItem) {
      return this->StatusAt(aItem.second, aNow) == PartStatus::Refused;
    }));
}

bool
PartCrashTracker::IsExplained(const SharedPart& aPart,
                              std::uint64_t aCrashId) const
{
  const auto found = this->explained.find(aCrashId);
  return found != this->explained.end() && found->second.hash != aPart.hash &&
         found->second.partsAfter <= aPart.partsAfter;
}

// Adds a crash to the evidence about a part. Returns false if it changes
// nothing.
bool
PartCrashTracker::Add(const SharedPart& aPart, const Crash& aCrash)
{
  if (this->answers.Of(aPart.hash) > aCrash.sentAt ||
      this->IsExplained(aPart, aCrash.id)) {
    return false;
  }
  if (!this->records.contains(aPart.hash)) {
    this->MakeRoom();
    this->records[aPart.hash].part = aPart;
  }
  Record& record = this->records[aPart.hash];
  // Crashes too long ago do not count together with this one.
  std::erase_if(record.crashes, [&aCrash](const Crash& aOld) {
    return aCrash.at - aOld.at > kEvidenceRetention;
  });
  if (!Insert(record, aCrash)) {
    return false;
  }
  this->Update(record);
  return true;
}

// Inserts a crash in the order of times. Of several requests that were lost in
// one crash the one sent last is kept. Returns false if nothing changes.
bool
PartCrashTracker::Insert(Record& aRecord, const Crash& aCrash)
{
  std::vector<Crash>& crashes = aRecord.crashes;
  const auto known = std::find_if(
    crashes.begin(), crashes.end(), [&aCrash](const Crash& aKnown) {
      return aKnown.id == aCrash.id;
    });
  if (known != crashes.end()) {
    const bool isLater = aCrash.sentAt > known->sentAt + kClockTolerance;
    if (isLater) {
      known->sentAt = aCrash.sentAt;
      known->content = aCrash.content;
    }
    return isLater;
  }
  aRecord.lastCrashAt = std::max(aRecord.lastCrashAt, aCrash.at);
  const auto later = std::find_if(
    crashes.begin(), crashes.end(), [&aCrash](const Crash& aOther) {
      return aOther.at > aCrash.at;
    });
  crashes.insert(later, aCrash);
  if (crashes.size() > kMaxCrashesPerRecord) {
    // The second one either overlaps with the first or is one of many in the
    // sequence.
    crashes.erase(crashes.begin() + 1);
  }
  return true;
}

// Assesses a part again after its evidence has changed.
void
PartCrashTracker::Update(Record& aRecord)
{
  const PartStatus status = Assess(aRecord);
  if (status != aRecord.status) {
    aRecord.status = status;
    if (this->findings.size() < kMaxFindings) {
      this->findings.push_back(
        { aRecord.part.hash, status, aRecord.crashes.size() });
    }
    if (status != PartStatus::Refused) {
      std::erase_if(this->explained, [&aRecord](const auto& aItem) {
        return aItem.second.hash == aRecord.part.hash;
      });
    }
  }
  if (status == PartStatus::Refused) {
    for (const Crash& crash : std::vector<Crash>(aRecord.crashes)) {
      this->Explain(aRecord.part, crash.id);
    }
  }
}

// Voids a crash as evidence about other parts, because a refused part explains
// it.
void
PartCrashTracker::Explain(const SharedPart& aPart, std::uint64_t aCrashId)
{
  if (this->IsExplained(aPart, aCrashId)) {
    return;
  }
  if (!this->explained.contains(aCrashId)) {
    this->explainedOrder.push_back(aCrashId);
  }
  this->explained[aCrashId] = aPart;
  while (this->explainedOrder.size() > kMaxExplained) {
    this->explained.erase(this->explainedOrder.front());
    this->explainedOrder.pop_front();
  }
  for (auto& [hash, record] : this->records) {
    if (!this->IsExplained(record.part, aCrashId)) {
      continue;
    }
    const std::size_t erased =
      std::erase_if(record.crashes, [aCrashId](const Crash& aCrash) {
        return aCrash.id == aCrashId;
      });
    if (erased > 0 && record.crashes.empty()) {
      this->schedule.Cancel(hash);
    }
    if (erased > 0) {
      this->Update(record);
    }
  }
}

// Voids the evidence of requests sent before an answer. Returns true if there
// was such evidence.
bool
PartCrashTracker::ClearEvidence(const SharedPart& aPart, TimePoint aAt)
{
  const auto found = this->records.find(aPart.hash);
  if (found == this->records.end()) {
    return false;
  }
  Record& record = found->second;
  const std::size_t erased = std::erase_if(
    record.crashes, [aAt](const Crash& aCrash) { return aCrash.sentAt < aAt; });
  this->Update(record);
  return erased > 0;
}

// Removes the record with the oldest evidence, refused parts last.
void
PartCrashTracker::MakeRoom()
{
  if (this->records.size() < kMaxRecords) {
    return;
  }
  const auto oldest =
    std::min_element(this->records.begin(),
                     this->records.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       const Record& left = aLeft.second;
                       const Record& right = aRight.second;
                       return std::pair(left.status, left.lastCrashAt) <
                              std::pair(right.status, right.lastCrashAt);
                     });
  this->schedule.Cancel(oldest->first);
  this->records.erase(oldest);
}

} // namespace wigeonwalk
