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
  : retryBudget({ .ratio = aSettings.bounds.repeatRatio,
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
  const FleetChange change = aOrigin == ItemOrigin::Restored
                               ? this->fleet.RegisterRestored(aEntry, aNow)
                               : this->fleet.Register(aEntry);
  this->generation += change == FleetChange::None ? 0 : 1;
  if (change == FleetChange::Restarted) {
    this->ForgetHolder(aEntry.id);
    if (known->entry.startedAt != aEntry.startedAt) {
      this->fleet.NoteReplaced(*known, aNow);
    }
  }
  this->NoteRegistered(aEntry.id, change);
  return change;
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
  } else if (auto* member = std::get_if<EntryMember>(&aItem)) {
    this->members[member->host] = *member;
  }
  return FleetChange::None;
}

FleetChange
EntryState::ApplyRemoved(const RemovedItem& aItem, TimePoint aNow)
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
                       TimePoint aNow) const
{
  std::vector<std::shared_ptr<Runner>> all = this->fleet.RunnersOf(aService);
  std::erase_if(all, [&](const std::shared_ptr<Runner>& aRunner) {
    return std::find(aTried.begin(), aTried.end(), aRunner->entry.id) !=
             aTried.end() ||
           aNow < aRunner->pausedUntil || aRunner->IsGone(aNow) ||
           !aRunner->TakesRequests(aNow);
  });
  std::vector<std::shared_ptr<Runner>> healthy;
  for (const auto& runner : all) {
    if (!runner->health.IsAvoided(aNow)) {
      healthy.push_back(runner);
    }
  }
  return healthy.empty() ? all : healthy;
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

std::shared_ptr<ServiceQueue>
EntryState::QueueOf(const ServiceName& aService)
{
  std::shared_ptr<ServiceQueue>& queue = this->queues[aService];
  if (queue == nullptr) {
    queue = std::make_shared<ServiceQueue>();
  }
  return queue;
}

std::size_t
EntryState::DaemonCount() const
{
  return std::max<std::size_t>(this->members.size(), 1);
}

} // namespace wigeonwalk
