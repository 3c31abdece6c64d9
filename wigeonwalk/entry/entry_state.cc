#include "wigeonwalk/entry/entry_state.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

const WeightHistory&
HistoryOf(const std::map<ModelName, WeightHistory>& aWeights,
          const ModelName& aModel)
{
  static const WeightHistory kNone;
  const auto found = aWeights.find(aModel);
  return found == aWeights.end() ? kNone : found->second;
}

} // namespace

EntryState::EntryState(EntrySettings aSettings)
  : parts(aSettings.callers.cachedParts)
  , retryBudget({ .ratio = aSettings.bounds.repeatRatio,
                  .slack = aSettings.bounds.repeatSlack,
                  .window = aSettings.bounds.repeatWindow })
  , partCrashes(HashBytes(aSettings.host.Text(), 0).low)
  , settings(std::move(aSettings))
{
}

FleetChange
EntryState::ApplyRunner(const RunnerEntry& aEntry,
                        TimePoint aNow,
                        ItemOrigin aOrigin)
{
  const auto known = this->fleet.Find(aEntry.id);
  const RunnerEntry entry = this->fleet.Complete(aEntry);
  const FleetChange change = aOrigin == ItemOrigin::Restored
                               ? this->fleet.RegisterRestored(entry, aNow)
                               : this->fleet.Register(entry);
  this->generation += change == FleetChange::None ? 0 : 1;
  if (change == FleetChange::Restarted) {
    this->ForgetHolder(entry.id);
    if (known->entry.startedAt != entry.startedAt) {
      this->fleet.NoteReplaced(*known, aNow);
    }
    if (known->SoftwareVersion() != entry.softwareVersion) {
      this->streamOrigins.NoteOtherVersion(
        entry.id, TimePoint(std::chrono::milliseconds(entry.startedAt)));
    }
  }
  this->NoteRegistered(entry.id, change);
  this->NoteColdStart(entry, change, aNow);
  return change;
}

void
EntryState::NoteColdStart(const RunnerEntry& aEntry,
                          FleetChange aChange,
                          TimePoint aNow)
{
  const auto runner = this->fleet.Find(aEntry.id);
  if (runner == nullptr || !runner->IsSameStart(aEntry.startedAt)) {
    return;
  }
  if (aEntry.coldRemaining) {
    runner->coldStart.Extend(aNow + *aEntry.coldRemaining);
  } else if (aChange == FleetChange::Added ||
             aChange == FleetChange::Restarted) {
    runner->coldStart.NoteUnknownAge(aNow);
  }
}

FleetChange
EntryState::Apply(RegistryItem aItem, TimePoint aNow, ItemOrigin aOrigin)
{
  if (const auto* entry = std::get_if<RunnerEntry>(&aItem)) {
    return this->ApplyRunner(*entry, aNow, aOrigin);
  }
  if (const auto* checkpoint = std::get_if<WeightsCheckpoint>(&aItem)) {
    this->weightsRecordedUntil = checkpoint->recordedUntil;
    return FleetChange::None;
  }
  if (const auto* batch = std::get_if<StreamBatch>(&aItem)) {
    for (const StreamRecord& record : batch->streams) {
      this->streamOrigins.Record(record, UpstreamId(), aNow);
    }
    return FleetChange::None;
  }
  ++this->generation;
  if (auto* configuration = std::get_if<RoutingConfiguration>(&aItem)) {
    if (this->routes == nullptr ||
        this->routes->Configuration().version < configuration->version) {
      this->routes = std::make_shared<RouteTable>(std::move(*configuration));
    }
  } else if (auto* named = std::get_if<DesiredWeights>(&aItem)) {
    this->foundWeights += named->mayBeOlder ? 1 : 0;
    this->RecordWeights(
      named->model,
      { named->version, aNow, named->revision, named->mayBeOlder });
  } else if (const auto* record = std::get_if<WeightsRecord>(&aItem)) {
    // The time of day of the recording host may be ahead of this one's.
    for (const RecordedWeights& row : record->versions) {
      this->recordedWeights[record->model].Record(
        { row.version, std::min(row.publishedAt, aNow), row.revision, true });
    }
  } else if (auto* versions = std::get_if<StreamVersions>(&aItem)) {
    if (!versions->isComplete && this->streamVersions) {
      versions->origins =
        MergeOrigins(versions->origins, this->streamVersions->origins);
    }
    this->streamVersions = std::move(*versions);
  } else if (const auto* order = std::get_if<ZoneOrder>(&aItem)) {
    this->zonesOutOfUse.TakeOut(order->zone, aNow);
  } else if (auto* member = std::get_if<EntryMember>(&aItem)) {
    this->members[member->host] = *member;
  }
  return FleetChange::None;
}

FleetChange
EntryState::ApplyRemoved(const RemovedItem& aItem,
                         TimePoint aNow,
                         ItemOrigin aOrigin)
{
  ++this->generation;
  if (const auto* runner = std::get_if<UpstreamId>(&aItem)) {
    const FleetChange change = this->fleet.Unregister(*runner, aNow);
    if (change == FleetChange::Removed) {
      this->ForgetHolder(*runner);
    }
    return change;
  }
  if (const auto* host = std::get_if<HostId>(&aItem)) {
    this->members.erase(*host);
  }
  if (const auto* zone = std::get_if<AvailabilityZone>(&aItem)) {
    if (aOrigin == ItemOrigin::Restored) {
      this->zonesOutOfUse.NoteMissing(*zone, aNow);
    } else {
      this->zonesOutOfUse.TakeBack(*zone);
    }
  }
  return FleetChange::None;
}

void
EntryState::NoteRegistered(const UpstreamId& aRunner, FleetChange aChange)
{
  const auto runner = this->fleet.Find(aRunner);
  const bool isNew =
    aChange == FleetChange::Added || aChange == FleetChange::Restarted;
  if (aChange == FleetChange::StartedLeaving ||
      (isNew && runner->entry.state == RunnerState::Leaving)) {
    this->CountLeaving(LeavingCause::Registry);
  }
  if (isNew && this->IsMarked(*runner)) {
    runner->leaving = true;
  }
}

bool
EntryState::IsMarked(const Runner& aRunner) const
{
  return aRunner.entry.startedAt != 0 &&
         this->leaving.MarkOf(aRunner.entry.id) ==
           static_cast<std::uint64_t>(aRunner.entry.startedAt);
}

void
EntryState::CountLeaving(LeavingCause aCause)
{
  ++this->leavingCounts[static_cast<std::size_t>(aCause)];
}

bool
EntryState::MarkLeaving(Runner& aRunner, LeavingCause aCause)
{
  const auto start = static_cast<std::uint64_t>(aRunner.entry.startedAt);
  if (start != 0) {
    this->leaving.Mark(aRunner.entry.id, start);
  }
  if (aRunner.leaving) {
    return false;
  }
  aRunner.leaving = true;
  ++this->generation;
  this->CountLeaving(aCause);
  return true;
}

bool
EntryState::Pause(Runner& aRunner, Duration aPause, TimePoint aNow)
{
  constexpr std::uint64_t kSteps = 1'024;
  Duration longest{ 0 };
  if (this->routes != nullptr) {
    for (const Route& route : this->routes->Configuration().routes) {
      longest = std::max(longest, route.timeout);
    }
  }
  const Hash128 hash =
    HashBytes(this->settings.host.Text() + aRunner.entry.id.Text(), 0);
  const double spread = static_cast<double>(hash.low % kSteps) / kSteps;
  const TimePoint end = aNow + std::min(aPause, longest);
  const bool isLonger = aRunner.requestedPause.Extend(end, spread);
  this->requestedPauses += isLonger ? 1 : 0;
  return isLonger;
}

std::shared_ptr<Runner>
EntryState::MergeLeaving(const LeavingNotice& aNotice)
{
  if (aNotice.incarnation == 0) {
    return nullptr;
  }
  this->leaving.MergeNotice(aNotice);
  const auto runner = this->fleet.Find(aNotice.upstream);
  const bool isNew = runner != nullptr && this->IsMarked(*runner) &&
                     this->MarkLeaving(*runner, LeavingCause::Peer);
  return isNew ? runner : nullptr;
}

std::vector<LeavingNotice>
EntryState::RegisteredLeaving() const
{
  std::vector<LeavingNotice> marks = this->leaving.All();
  std::erase_if(marks, [this](const LeavingNotice& aMark) {
    const auto runner = this->fleet.Find(aMark.upstream);
    return runner == nullptr || !this->IsMarked(*runner);
  });
  return marks;
}

void
EntryState::ExpireLeaving(TimePoint aNow)
{
  for (const LeavingNotice& mark : this->leaving.All()) {
    if (this->fleet.Find(mark.upstream) != nullptr) {
      this->unregisteredLeaving.erase(mark.upstream);
      continue;
    }
    const auto [since, isNew] =
      this->unregisteredLeaving.try_emplace(mark.upstream, aNow);
    if (aNow - since->second >= kLeavingRetention) {
      this->leaving.Forget(mark.upstream);
      this->unregisteredLeaving.erase(since);
    }
  }
}

void
EntryState::ForgetHolder(const UpstreamId& aHolder)
{
  this->parts.Forget(aHolder);
  this->holders.erase(aHolder);
}

std::vector<std::shared_ptr<Runner>>
EntryState::Candidates(const ServiceName& aService,
                       const std::vector<UpstreamId>& aTried,
                       TimePoint aNow,
                       const StreamOrigin* aResumed) const
{
  std::vector<std::shared_ptr<Runner>> all = this->fleet.RunnersOf(aService);
  std::erase_if(all, [&](const std::shared_ptr<Runner>& aRunner) {
    return std::find(aTried.begin(), aTried.end(), aRunner->entry.id) !=
             aTried.end() ||
           (aResumed != nullptr &&
            !MayContinue(*aResumed, aRunner->Origin())) ||
           aNow < aRunner->pausedUntil || aRunner->IsGone(aNow) ||
           !this->MaySend(*aRunner, aNow);
  });
  std::vector<std::shared_ptr<Runner>> healthy;
  for (const auto& runner : all) {
    if (!runner->health.IsAvoided(aNow)) {
      healthy.push_back(runner);
    }
  }
  return healthy.empty() ? all : healthy;
}

bool
EntryState::MaySend(const Runner& aRunner, TimePoint aNow) const
{
  return aRunner.TakesRequests(aNow) &&
         !this->zonesOutOfUse.IsOut(aRunner.entry.zone, aNow) &&
         this->AdmitsCold(aRunner, aNow);
}

void
EntryState::NoteSent(Runner& aRunner, TimePoint aNow)
{
  aRunner.requestedPause.NoteSent(aNow);
  aRunner.coldStart.NoteSent(aNow);
  const auto* traits = this->ColdTraitsOf(aRunner.entry.service);
  this->sentToCold +=
    traits != nullptr && aRunner.coldStart.IsCold(*traits, aNow) ? 1 : 0;
}

const ColdStartTraits*
EntryState::ColdTraitsOf(const ServiceName& aService) const
{
  const auto* service =
    this->routes == nullptr ? nullptr : this->routes->FindService(aService);
  return service != nullptr && service->coldStart ? &*service->coldStart
                                                  : nullptr;
}

bool
EntryState::AdmitsCold(const Runner& aRunner, TimePoint aNow) const
{
  const auto* traits = this->ColdTraitsOf(aRunner.entry.service);
  if (traits == nullptr || aRunner.coldStart.IsWarm(*traits, aNow)) {
    return true;
  }
  if (aRunner.coldStart.HasJustSent(*traits, aNow)) {
    return false;
  }
  const MemberShares& daemons = this->Shares();
  const std::string& runner = aRunner.entry.id.Text();
  const AvailabilityZone& zone = aRunner.entry.zone;
  return aRunner.coldStart.Admits(*traits,
                                  { daemons.RankFor(runner, zone),
                                    daemons.CountIn(zone),
                                    PhaseOf(this->settings.host, runner) },
                                  aNow);
}

std::size_t
EntryState::ColdRunners(TimePoint aNow) const
{
  const auto all = this->fleet.All();
  return std::count_if(all.begin(), all.end(), [&](const auto& aRunner) {
    const auto* traits = this->ColdTraitsOf(aRunner->entry.service);
    return traits != nullptr && aRunner->coldStart.IsCold(*traits, aNow);
  });
}

const MemberShares&
EntryState::Shares() const
{
  if (!this->shares || this->shares->first != this->generation) {
    std::vector<ShareMember> list;
    for (const auto& [host, member] : this->members) {
      list.push_back({ host, member.zone });
    }
    this->shares.emplace(
      this->generation,
      MemberShares(this->settings.host, this->settings.zone, list));
  }
  return this->shares->second;
}

std::vector<CacheHolder>
EntryState::Sources(TimePoint aNow) const
{
  std::vector<CacheHolder> sources;
  for (const auto& [id, followed] : this->holders) {
    if (aNow - followed.answeredAt <= kSourceMaxAge) {
      sources.push_back(followed.holder);
    }
  }
  return sources;
}

Duration
EntryState::RelayLifetime() const
{
  constexpr Duration kMaxLifetime = std::chrono::milliseconds(1'500);
  const EntryBounds& bounds = this->settings.bounds;
  const Duration shortest =
    std::min(bounds.drain, bounds.configurationPropagation);
  return std::min(shortest / 2, kMaxLifetime);
}

const WeightHistory&
EntryState::WeightsOf(const ModelName& aModel) const
{
  return HistoryOf(this->weights, aModel);
}

bool
EntryState::RecordWeights(const ModelName& aModel,
                          const PublishedWeights& aWeights)
{
  return this->weights[aModel].Record(aWeights);
}

const WeightHistory&
EntryState::RecordedWeightsOf(const ModelName& aModel) const
{
  return HistoryOf(this->recordedWeights, aModel);
}

std::optional<StreamOrigin>
EntryState::OnlyStreamOrigin(TimePoint aNow) const
{
  const Duration age = aNow - this->registryKnownAt;
  if (!this->streamVersions ||
      age > this->settings.bounds.configurationPropagation) {
    return std::nullopt;
  }
  return OnlyOrigin(*this->streamVersions, this->ServingStreamOrigins());
}

std::shared_ptr<ServiceQueue>
EntryState::QueueOf(const ServiceName& aService)
{
  std::shared_ptr<ServiceQueue>& queue = this->queues[aService];
  if (queue == nullptr) {
    queue = std::make_shared<ServiceQueue>();
  }
  return queue;
}

double
EntryState::DaemonsWaiting(TimePoint aNow) const
{
  double share = 0;
  for (const auto& [service, queue] : this->queues) {
    share = std::max(share, queue->contention.Share(aNow));
  }
  return share * static_cast<double>(this->DaemonCount());
}

std::vector<HostId>
EntryState::DaemonHosts() const
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : this->members) {
    hosts.push_back(host);
  }
  return hosts;
}

std::size_t
EntryState::DaemonCount() const
{
  return std::max<std::size_t>(this->members.size(), 1);
}

} // namespace wigeonwalk
