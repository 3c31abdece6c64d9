#include "wigeonwalk/retry/poison_tracker.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace {

// Seeds that keep these hashes distinct from other hashes of the same bytes.
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

bool
PoisonTracker::IsSuspected(const Record& aRecord)
{
  return aRecord.deaths.size() >= kSuspectDeaths && !IsRefused(aRecord);
}

bool
PoisonTracker::HasDeaths(const Fingerprint& aPrint) const
{
  const auto found = this->records.find(aPrint);
  return found != this->records.end() && !found->second.deaths.empty();
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
    this->suspects.erase(aPrint);
    this->records.erase(found);
    return PoisonAdmission::Run;
  }
  if (refused) {
    return PoisonAdmission::Refuse;
  }
  return IsSuspected(record) ? PoisonAdmission::RunAlone : PoisonAdmission::Run;
}

std::optional<UpstreamId>
PoisonTracker::ChooseAlone(const Fingerprint& aPrint,
                           const std::vector<UpstreamId>& aUpstreams)
{
  const UpstreamId* best = nullptr;
  std::uint64_t bestScore = 0;
  for (const UpstreamId& upstream : aUpstreams) {
    const std::uint64_t score = HashBytes(upstream.Text(), aPrint.low).low;
    if (!best || score > bestScore) {
      best = &upstream;
      bestScore = score;
    }
  }
  return best ? std::optional(*best) : std::nullopt;
}

std::vector<UpstreamId>
PoisonTracker::Reserved(const std::vector<UpstreamId>& aUpstreams,
                        TimePoint aNow)
{
  std::vector<UpstreamId> reserved;
  for (const auto& [print, record] : this->records) {
    if (IsSuspected(record) && aNow - record.lastAt <= kReservedTime) {
      if (const auto upstream = ChooseAlone(print, aUpstreams)) {
        reserved.push_back(*upstream);
      }
    }
  }
  return reserved;
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
  const std::uint64_t death = DeathId(aUpstream, aIncarnation);
  const bool massFailure = this->IsMassFailure(death, aNow);
  const auto found = this->running.find(aUpstream);
  if (found == this->running.end()) {
    return refused;
  }
  const std::vector<Run> runs = std::move(found->second);
  this->running.erase(found);
  for (const Run& run : runs) {
    if (massFailure && !this->HasDeaths(run.print)) {
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
  std::vector<PoisonNotice> taken = this->Refresh(aMost / 2);
  for (const PoisonNotice& notice : this->notices.Take(aMost - taken.size())) {
    taken.push_back(notice);
  }
  return taken;
}

std::vector<PoisonNotice>
PoisonTracker::Refresh(std::size_t aMost)
{
  std::vector<PoisonNotice> evidence;
  for (std::size_t i = 0; i < this->suspects.size(); ++i) {
    const std::size_t turn = this->refreshed % this->suspects.size();
    const Fingerprint& print = *std::next(this->suspects.begin(), turn);
    const std::vector<Death>& deaths = this->records.at(print).deaths;
    if (evidence.size() + deaths.size() > aMost) {
      break;
    }
    for (const Death& death : deaths) {
      evidence.push_back({ print,
                           death.id,
                           death.at,
                           death.alone ? PoisonEvidence::DiedAlone
                                       : PoisonEvidence::DiedShared });
    }
    ++this->refreshed;
  }
  return evidence;
}

std::vector<PoisonNotice>
PoisonTracker::TakeUrgent(std::size_t aMost)
{
  return this->notices.TakeUnsent(aMost);
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
  if (record.deaths.size() >= kSuspectDeaths) {
    this->suspects.insert(aNotice.fingerprint);
  } else {
    this->suspects.erase(aNotice.fingerprint);
  }
  this->notices.Add(aNotice);
  return true;
}

bool
PoisonTracker::AddDeath(Record& aRecord, const PoisonNotice& aNotice)
{
  // More crashes than this would not change any decision.
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
PoisonTracker::IsMassFailure(std::uint64_t aDeath, TimePoint aNow)
{
  const bool known = std::any_of(
    this->recentDeaths.begin(),
    this->recentDeaths.end(),
    [aDeath](const Death& aRecent) { return aRecent.id == aDeath; });
  if (!known) {
    this->recentDeaths.push_back({ aDeath, aNow, false });
  }
  while (!this->recentDeaths.empty() &&
         aNow - this->recentDeaths.front().at > kMassWindow) {
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
  std::erase_if(this->records, [this, aNow](const auto& aEntry) {
    const bool expired =
      aNow - aEntry.second.lastAt > kSuspectMemory && !IsRefused(aEntry.second);
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
      return std::pair(IsRefused(aLeft.second), aLeft.second.lastAt) <
             std::pair(IsRefused(aRight.second), aRight.second.lastAt);
    });
  this->suspects.erase(oldest->first);
  this->records.erase(oldest);
}

} // namespace wigeonwalk
