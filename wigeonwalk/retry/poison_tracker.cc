#include "wigeonwalk/retry/poison_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace {

// Separates these hashes from others of the same bytes.
constexpr std::uint64_t kFingerprintSeed = 0x706F69736F6E0001ULL;
constexpr std::uint64_t kDeathSeed = 0x706F69736F6E0002ULL;

std::uint64_t
DeathId(const UpstreamId& aUpstream, std::uint64_t aIncarnation)
{
  const std::string text =
    aUpstream.Text() + '#' + std::to_string(aIncarnation);
  return HashBytes(text, kDeathSeed).low;
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
  const bool diedAlone =
    std::any_of(aRecord.deaths.begin(),
                aRecord.deaths.end(),
                [](const Death& aDeath) { return aDeath.alone; });
  return diedAlone && aRecord.deaths.size() >= kMaxDeaths;
}

PoisonAdmission
PoisonTracker::Admit(const Fingerprint& aPrint, TimePoint aNow)
{
  const auto found = this->records.find(aPrint);
  if (found == this->records.end() || found->second.deaths.empty()) {
    return PoisonAdmission::Run;
  }
  Record& record = found->second;
  const bool refused = IsRefused(record);
  if (aNow - record.lastAt > (refused ? kRefusedMemory : kSuspectMemory)) {
    this->records.erase(found);
    return PoisonAdmission::Run;
  }
  return refused ? PoisonAdmission::Refuse : PoisonAdmission::RunAlone;
}

std::optional<UpstreamId>
PoisonTracker::ChooseAlone(const Fingerprint& aPrint,
                           const std::vector<AloneCandidate>& aCandidates) const
{
  const AloneCandidate* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const AloneCandidate& candidate : aCandidates) {
    const std::uint64_t score =
      HashBytes(candidate.upstream.Text(), aPrint.low).low;
    if (candidate.idle && !this->IsReserved(candidate.upstream) &&
        (!best || score > bestScore)) {
      best = &candidate;
      bestScore = score;
    }
  }
  return best ? std::optional(best->upstream) : std::nullopt;
}

bool
PoisonTracker::IsReserved(const UpstreamId& aUpstream) const
{
  const auto found = this->running.find(aUpstream);
  return found != this->running.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [](const Run& aRun) {
             return aRun.kind == RunKind::Alone;
           });
}

void
PoisonTracker::Started(const UpstreamId& aUpstream,
                       const Fingerprint& aPrint,
                       RunKind aKind)
{
  this->running[aUpstream].push_back({ aPrint, aKind });
}

void
PoisonTracker::Succeeded(const UpstreamId& aUpstream,
                         const Fingerprint& aPrint,
                         TimePoint aNow)
{
  this->Ended(aUpstream, aPrint);
  const auto found = this->records.find(aPrint);
  if (found != this->records.end() && !found->second.deaths.empty()) {
    this->Apply({ aPrint, 0, aNow, PoisonEvidence::Cleared }, aNow);
  }
}

void
PoisonTracker::Ended(const UpstreamId& aUpstream, const Fingerprint& aPrint)
{
  const auto found = this->running.find(aUpstream);
  if (found == this->running.end()) {
    return;
  }
  std::vector<Run>& runs = found->second;
  const auto run =
    std::find_if(runs.begin(), runs.end(), [&aPrint](const Run& aRun) {
      return aRun.print == aPrint;
    });
  if (run != runs.end()) {
    runs.erase(run);
  }
  if (runs.empty()) {
    this->running.erase(found);
  }
}

std::vector<Fingerprint>
PoisonTracker::UpstreamDied(const UpstreamId& aUpstream,
                            std::uint64_t aIncarnation,
                            TimePoint aNow)
{
  std::vector<Fingerprint> refused;
  const bool massFailure = this->IsMassFailure(aNow);
  const auto found = this->running.find(aUpstream);
  if (found == this->running.end()) {
    return refused;
  }
  const std::vector<Run> runs = std::move(found->second);
  this->running.erase(found);
  const std::uint64_t death = DeathId(aUpstream, aIncarnation);
  for (const Run& run : runs) {
    if (massFailure && this->Admit(run.print, aNow) == PoisonAdmission::Run) {
      continue;
    }
    const PoisonEvidence evidence = run.kind == RunKind::Alone
                                      ? PoisonEvidence::DiedAlone
                                      : PoisonEvidence::DiedShared;
    const bool refusedBefore =
      this->Admit(run.print, aNow) == PoisonAdmission::Refuse;
    this->Apply({ run.print, death, aNow, evidence }, aNow);
    if (!refusedBefore &&
        this->Admit(run.print, aNow) == PoisonAdmission::Refuse) {
      refused.push_back(run.print);
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
PoisonTracker::TakeNotices(std::size_t aMost)
{
  return this->notices.Take(aMost);
}

bool
PoisonTracker::Apply(const PoisonNotice& aNotice, TimePoint aNow)
{
  if (!this->records.contains(aNotice.fingerprint)) {
    this->MakeRoom(aNow);
  }
  Record& record = this->records[aNotice.fingerprint];
  if (aNotice.evidence == PoisonEvidence::Cleared) {
    if (aNotice.at <= record.clearedAt) {
      return false;
    }
    record.clearedAt = aNotice.at;
    std::erase_if(record.deaths, [&aNotice](const Death& aDeath) {
      return aDeath.at <= aNotice.at;
    });
  } else if (!AddDeath(record, aNotice)) {
    return false;
  }
  record.lastAt = aNow;
  this->notices.Add(aNotice);
  return true;
}

bool
PoisonTracker::AddDeath(Record& aRecord, const PoisonNotice& aNotice)
{
  // More deaths than this change no decision.
  constexpr std::size_t kKeptDeaths = 2 * kMaxDeaths;
  const bool alone = aNotice.evidence == PoisonEvidence::DiedAlone;
  if (aNotice.at <= aRecord.clearedAt) {
    return false;
  }
  for (Death& death : aRecord.deaths) {
    if (death.id == aNotice.death) {
      const bool stronger = alone && !death.alone;
      death.alone = death.alone || alone;
      return stronger;
    }
  }
  if (aRecord.deaths.size() >= kKeptDeaths && !alone) {
    return false;
  }
  if (aRecord.deaths.size() >= kKeptDeaths) {
    aRecord.deaths.erase(aRecord.deaths.begin());
  }
  aRecord.deaths.push_back({ aNotice.death, aNotice.at, alone });
  return true;
}

bool
PoisonTracker::IsMassFailure(TimePoint aNow)
{
  this->recentDeaths.push_back(aNow);
  while (aNow - this->recentDeaths.front() > kMassWindow) {
    this->recentDeaths.pop_front();
  }
  if (this->recentDeaths.size() > kMassDeaths) {
    this->recentDeaths.pop_front();
  }
  return this->recentDeaths.size() >= kMassDeaths;
}

void
PoisonTracker::MakeRoom(TimePoint aNow)
{
  if (this->records.size() < kMaxRecords) {
    return;
  }
  std::erase_if(this->records, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.lastAt > kSuspectMemory &&
           !IsRefused(aEntry.second);
  });
  if (this->records.size() < kMaxRecords) {
    return;
  }
  // Refused fingerprints are dropped last.
  const auto oldest = std::min_element(
    this->records.begin(),
    this->records.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::pair(IsRefused(aLeft.second), aLeft.second.lastAt) <
             std::pair(IsRefused(aRight.second), aRight.second.lastAt);
    });
  this->records.erase(oldest);
}

} // namespace wigeonwalk
