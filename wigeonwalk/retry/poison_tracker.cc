#include "wigeonwalk/retry/poison_tracker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace {

// Seeds that keep these hashes distinct from other hashes of the same bytes.
constexpr std::uint64_t kFingerprintSeed = 0x706F69736F6E0001ULL;
constexpr std::uint64_t kCrashSeed = 0x706F69736F6E0002ULL;

std::uint64_t
CrashIdOf(const UpstreamId& aUpstream, std::uint64_t aIncarnation)
{
  const std::string text =
    aUpstream.Text() + '#' + std::to_string(aIncarnation);
  return HashBytes(text, kCrashSeed).low;
}

} // namespace

Fingerprint
FingerprintOf(const OrganisationId& aOrganisation, std::string_view aContent)
{
  const Hash128 salt = HashBytes(aOrganisation.Text(), kFingerprintSeed);
  return HashBytes(aContent, salt.low);
}

bool
PoisonTracker::IsRefused(const Record& aRecord)
{
  const bool crashedAlone =
    std::any_of(aRecord.crashes.begin(),
                aRecord.crashes.end(),
                [](const Crash& aCrash) { return aCrash.alone; });
  return crashedAlone && aRecord.crashes.size() >= kMaxCrashes;
}

bool
PoisonTracker::IsSuspected(const Record& aRecord)
{
  return aRecord.crashes.size() >= kSuspectCrashes && !IsRefused(aRecord);
}

bool
PoisonTracker::HasCrashes(const Fingerprint& aFingerprint) const
{
  const auto found = this->records.find(aFingerprint);
  return found != this->records.end() && !found->second.crashes.empty();
}

PoisonAdmission
PoisonTracker::Admit(const Fingerprint& aFingerprint, TimePoint aNow)
{
  const auto found = this->records.find(aFingerprint);
  if (found == this->records.end() || found->second.crashes.empty()) {
    return PoisonAdmission::Run;
  }
  Record& record = found->second;
  const bool refused = IsRefused(record);
  if (aNow - record.lastEvidenceAt >
      (refused ? kRefusedRetention : kSuspectRetention)) {
    this->suspects.erase(aFingerprint);
    this->records.erase(found);
    return PoisonAdmission::Run;
  }
  if (refused) {
    return PoisonAdmission::Refuse;
  }
  return IsSuspected(record) ? PoisonAdmission::RunAlone : PoisonAdmission::Run;
}

std::optional<UpstreamId>
PoisonTracker::ChooseUpstreamForSuspect(
  const Fingerprint& aFingerprint,
  const std::vector<UpstreamId>& aUpstreams)
{
  const UpstreamId* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const UpstreamId& upstream : aUpstreams) {
    const std::uint64_t score =
      HashBytes(upstream.Text(), aFingerprint.low).low;
    if (!best || score > bestScore) {
      best = &upstream;
      bestScore = score;
    }
  }
  return best ? std::optional(*best) : std::nullopt;
}

std::vector<UpstreamId>
PoisonTracker::ReservedUpstreams(const std::vector<UpstreamId>& aUpstreams,
                                 TimePoint aNow)
{
  std::vector<UpstreamId> reserved;
  for (const auto& [fingerprint, record] : this->records) {
    if (IsSuspected(record) &&
        aNow - record.lastEvidenceAt <= kReservationTime) {
      if (const auto upstream =
            ChooseUpstreamForSuspect(fingerprint, aUpstreams)) {
        reserved.push_back(*upstream);
      }
    }
  }
  return reserved;
}

void
PoisonTracker::Started(const UpstreamId& aUpstream,
                       const Fingerprint& aFingerprint,
                       RunKind aKind)
{
  this->running[aUpstream].push_back({ aFingerprint, aKind });
}

void
PoisonTracker::Succeeded(const UpstreamId& aUpstream,
                         const Fingerprint& aFingerprint,
                         TimePoint aNow)
{
  this->Ended(aUpstream, aFingerprint);
  const auto found = this->records.find(aFingerprint);
  if (found != this->records.end() && !found->second.crashes.empty()) {
    this->Apply({ aFingerprint, 0, aNow, PoisonEvidence::Cleared }, aNow);
  }
}

void
PoisonTracker::Ended(const UpstreamId& aUpstream,
                     const Fingerprint& aFingerprint)
{
  const auto found = this->running.find(aUpstream);
  if (found == this->running.end()) {
    return;
  }
  std::vector<Run>& runs = found->second;
  const auto run =
    std::find_if(runs.begin(), runs.end(), [&aFingerprint](const Run& aRun) {
      return aRun.fingerprint == aFingerprint;
    });
  if (run != runs.end()) {
    runs.erase(run);
  }
  if (runs.empty()) {
    this->running.erase(found);
  }
}

std::vector<Fingerprint>
PoisonTracker::RecordUpstreamCrash(const UpstreamId& aUpstream,
                                   std::uint64_t aIncarnation,
                                   TimePoint aNow)
{
  std::vector<Fingerprint> refused;
  const std::uint64_t crashId = CrashIdOf(aUpstream, aIncarnation);
  const bool massFailure = this->IsMassFailure(crashId, aNow);
  const auto found = this->running.find(aUpstream);
  if (found == this->running.end()) {
    return refused;
  }
  const std::vector<Run> runs = std::move(found->second);
  this->running.erase(found);
  for (const Run& run : runs) {
    if (massFailure && !this->HasCrashes(run.fingerprint)) {
      continue;
    }
    const PoisonEvidence evidence = run.kind == RunKind::Alone
                                      ? PoisonEvidence::CrashedAlone
                                      : PoisonEvidence::CrashedShared;
    const bool refusedBefore =
      this->Admit(run.fingerprint, aNow) == PoisonAdmission::Refuse;
    this->Apply({ run.fingerprint, crashId, aNow, evidence }, aNow);
    if (!refusedBefore &&
        this->Admit(run.fingerprint, aNow) == PoisonAdmission::Refuse) {
      refused.push_back(run.fingerprint);
    }
  }
  return refused;
}

bool
PoisonTracker::MergeNotice(const PoisonNotice& aNotice, TimePoint aNow)
{
  return this->Apply(aNotice, aNow);
}

std::vector<PoisonNotice>
PoisonTracker::TakeNotices(std::size_t aMaxCount)
{
  std::vector<PoisonNotice> taken = this->TakeSuspectEvidence(aMaxCount / 2);
  for (const PoisonNotice& notice :
       this->notices.Take(aMaxCount - taken.size())) {
    taken.push_back(notice);
  }
  return taken;
}

std::vector<PoisonNotice>
PoisonTracker::TakeSuspectEvidence(std::size_t aMaxCount)
{
  std::vector<PoisonNotice> evidence;
  for (std::size_t i = 0; i < this->suspects.size(); ++i) {
    const std::size_t turn = this->nextSuspect % this->suspects.size();
    const Fingerprint& fingerprint = *std::next(this->suspects.begin(), turn);
    const std::vector<Crash>& crashes = this->records.at(fingerprint).crashes;
    if (evidence.size() + crashes.size() > aMaxCount) {
      break;
    }
    for (const Crash& crash : crashes) {
      evidence.push_back({ fingerprint,
                           crash.id,
                           crash.at,
                           crash.alone ? PoisonEvidence::CrashedAlone
                                       : PoisonEvidence::CrashedShared });
    }
    ++this->nextSuspect;
  }
  return evidence;
}

std::vector<PoisonNotice>
PoisonTracker::TakeUrgent(std::size_t aMaxCount)
{
  return this->notices.TakeUnsent(aMaxCount);
}

bool
PoisonTracker::Apply(const PoisonNotice& aNotice, TimePoint aNow)
{
  if (!this->records.contains(aNotice.fingerprint)) {
    this->EvictIfFull(aNow);
  }
  Record& record = this->records[aNotice.fingerprint];
  if (aNotice.evidence == PoisonEvidence::Cleared) {
    if (aNotice.at <= record.clearedAt) {
      return false;
    }
    record.clearedAt = aNotice.at;
    std::erase_if(record.crashes, [&aNotice](const Crash& aCrash) {
      return aCrash.at <= aNotice.at;
    });
  } else if (!AddCrash(record, aNotice)) {
    return false;
  }
  record.lastEvidenceAt = aNow;
  if (record.crashes.size() >= kSuspectCrashes) {
    this->suspects.insert(aNotice.fingerprint);
  } else {
    this->suspects.erase(aNotice.fingerprint);
  }
  this->notices.Add(aNotice);
  return true;
}

bool
PoisonTracker::AddCrash(Record& aRecord, const PoisonNotice& aNotice)
{
  // More crashes than this would not change any decision.
  constexpr std::size_t kMaxCrashesPerRecord = 2 * kMaxCrashes;
  const bool alone = aNotice.evidence == PoisonEvidence::CrashedAlone;
  if (aNotice.at <= aRecord.clearedAt) {
    return false;
  }
  for (Crash& crash : aRecord.crashes) {
    if (crash.id == aNotice.crashId) {
      const bool stronger = alone && !crash.alone;
      crash.alone = crash.alone || alone;
      return stronger;
    }
  }
  if (aRecord.crashes.size() >= kMaxCrashesPerRecord && !alone) {
    return false;
  }
  if (aRecord.crashes.size() >= kMaxCrashesPerRecord) {
    aRecord.crashes.erase(aRecord.crashes.begin());
  }
  aRecord.crashes.push_back({ aNotice.crashId, aNotice.at, alone });
  return true;
}

bool
PoisonTracker::IsMassFailure(std::uint64_t aCrashId, TimePoint aNow)
{
  const bool known = std::any_of(
    this->recentCrashes.begin(),
    this->recentCrashes.end(),
    [aCrashId](const Crash& aRecent) { return aRecent.id == aCrashId; });
  if (!known) {
    this->recentCrashes.push_back({ aCrashId, aNow, false });
  }
  while (!this->recentCrashes.empty() &&
         aNow - this->recentCrashes.front().at > kMassFailureWindow) {
    this->recentCrashes.pop_front();
  }
  if (this->recentCrashes.size() > kMassFailureCrashes) {
    this->recentCrashes.pop_front();
  }
  return this->recentCrashes.size() >= kMassFailureCrashes;
}

void
PoisonTracker::EvictIfFull(TimePoint aNow)
{
  if (this->records.size() < kMaxRecords) {
    return;
  }
  std::erase_if(this->records, [this, aNow](const auto& aEntry) {
    const bool expired =
      aNow - aEntry.second.lastEvidenceAt > kSuspectRetention &&
      !IsRefused(aEntry.second);
    if (expired) {
      this->suspects.erase(aEntry.first);
    }
    return expired;
  });
  if (this->records.size() < kMaxRecords) {
    return;
  }
  // Refused fingerprints are evicted last.
  const auto oldest = std::min_element(
    this->records.begin(),
    this->records.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::pair(IsRefused(aLeft.second), aLeft.second.lastEvidenceAt) <
             std::pair(IsRefused(aRight.second), aRight.second.lastEvidenceAt);
    });
  this->suspects.erase(oldest->first);
  this->records.erase(oldest);
}

} // namespace wigeonwalk
