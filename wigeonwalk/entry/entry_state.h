// An entry daemon's view of the cluster: configuration, runners, cached parts,
// published weights and other daemons.
//
//   EntryState state(settings);
//   state.Apply(std::move(item), now);
#pragma once

#include "wigeonwalk/entry/entry_settings.h"
#include "wigeonwalk/entry/stop_schedule.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/part_index.h"
#include "wigeonwalk/fleet/place_rules.h"
#include "wigeonwalk/fleet/runner_advice.h"
#include "wigeonwalk/fleet/runner_choice.h"
#include "wigeonwalk/fleet/stream_version_upkeep.h"
#include "wigeonwalk/fleet/weight_history.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/queueing/service_queue.h"
#include "wigeonwalk/retry/leaving_upstreams.h"
#include "wigeonwalk/retry/part_crash_tracker.h"
#include "wigeonwalk/retry/poison_tracker.h"
#include "wigeonwalk/retry/sliding_window_budget.h"
#include "wigeonwalk/retry/stream_origins.h"
#include "wigeonwalk/retry/stream_take_up.h"
#include "wigeonwalk/routing/route_table.h"
#include "wigeonwalk/shares/member_shares.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwalk {

// How a registry item was learnt.
enum class ItemOrigin
{
  // By a write, or by a listing of the incarnation that was already known.
  Written,
  // By the first listing after a restore of the registry from an older copy.
  Restored,
};

template<>
struct EnumNames<ItemOrigin>
{
  static constexpr std::array<EnumName<ItemOrigin>, 2> kTable{ {
    { ItemOrigin::Written, "written" },
    { ItemOrigin::Restored, "restored" },
  } };
};
static_assert(HasCompleteTable<ItemOrigin>());

// Position in a holder's stream of cache events.
struct FollowedHolder
{
  CacheHolder holder;
  // Changes when the holder restarts.
  std::int64_t epoch = 0;
  std::uint64_t nextEvent = 0;
  // When the last events arrived, from the holder or through another daemon.
  TimePoint answeredAt;
};

// Not thread-safe: used only on the daemon's I/O thread.
class EntryState
{
public:
  // Parts are not fetched from a source whose last report is older than this:
  // the source may have restarted, and its parts may be only partially written.
  static constexpr Duration kSourceMaxAge = std::chrono::milliseconds(900);

  // Cached parts are told between zones in clusters of up to this many daemons.
  static constexpr std::size_t kMaxDaemonsAcrossZones = 12;

  // How long a mark of a leaving runner is kept after its registration is gone:
  // a registration that lapsed in silence may return for the same start.
  static constexpr Duration kLeavingRetention = std::chrono::minutes(10);

  explicit EntryState(EntrySettings aSettings);

  // Applies a decoded registry item or its removal. Returns how the runner
  // changed, if the item describes one.
  FleetChange Apply(RegistryItem aItem,
                    TimePoint aNow,
                    ItemOrigin aOrigin = ItemOrigin::Written);
  FleetChange ApplyRemoved(const RemovedItem& aItem,
                           TimePoint aNow,
                           ItemOrigin aOrigin = ItemOrigin::Written);

  // The current configuration; null before the first one is known.
  const std::shared_ptr<const RouteTable>& Routes() const
  {
    return this->routes;
  }

  // Returns the runners of a service that may get a request now. Runners with
  // recent failures are included only if there are no others. `aResumed` is the
  // origin of the stream that the request continues; null if it begins anew.
  std::vector<std::shared_ptr<Runner>> Candidates(
    const ServiceName& aService,
    const std::vector<UpstreamId>& aTried,
    TimePoint aNow,
    const StreamOrigin* aResumed = nullptr) const;

  // Returns true if a new request may be sent to the runner now, as far as the
  // runner and the operator have said.
  bool MaySend(const Runner& aRunner, TimePoint aNow) const;

  // Records that a request is sent to the runner.
  void NoteSent(Runner& aRunner, TimePoint aNow);

  // Returns what a service allows its cold runners; null if it sets no limit.
  const ColdStartTraits* ColdTraitsOf(const ServiceName& aService) const;

  // Returns the number of runners that are cold.
  std::size_t ColdRunners(TimePoint aNow) const;

  // How this daemon shares with the others what all of them draw on.
  const MemberShares& Shares() const;

  // Where requests may be processed. Refers to this state.
  PlaceRules Places() const
  {
    return PlaceRules(this->zonesOutOfUse, this->settings.regions);
  }

  // Stops new requests to this start of a runner. Returns true if it got some
  // until now. The mark outlives the registration if the start is known, and is
  // then queued for the other daemons; with an unknown start it ends when the
  // registration is replaced or removed.
  bool MarkLeaving(Runner& aRunner, LeavingCause aCause);

  // Sends the runner no requests for the time that it asked for, at most for
  // the longest time that a route waits. Returns true if its pause ends later
  // now.
  bool Pause(Runner& aRunner, Duration aPause, TimePoint aNow);

  // Merges another daemon's mark. Returns the runner if it got requests until
  // now, else null. A mark without a start names no start and is ignored.
  std::shared_ptr<Runner> MergeLeaving(const LeavingNotice& aNotice);

  // Returns the marks of runners that are still registered, for other daemons
  // that may not know them.
  std::vector<LeavingNotice> RegisteredLeaving() const;

  // Removes the marks of runners whose registration has been gone for
  // kLeavingRetention.
  void ExpireLeaving(TimePoint aNow);

  // Returns the holders from which parts may be fetched now.
  std::vector<CacheHolder> Sources(TimePoint aNow) const;

  // How long after a reader's last contact with the registry this daemon relies
  // on it: within half of the shortest time in which a change must be applied,
  // so that the daemon can still watch the registry itself.
  Duration RelayLifetime() const;

  // Returns true if a reader keeps this daemon up to date, so that it need not
  // watch the registry.
  bool FollowsReader(TimePoint aNow) const { return aNow < this->relayedUntil; }

  // Returns the published versions of a model's weights; none if the model is
  // unknown.
  const WeightHistory& WeightsOf(const ModelName& aModel) const;

  // The published versions of all models.
  const std::map<ModelName, WeightHistory>& Weights() const
  {
    return this->weights;
  }

  // Records since when a version is known to have been published. Returns true
  // if it is new or counts from an earlier time.
  bool RecordWeights(const ModelName& aModel, const PublishedWeights& aWeights);

  // Returns the publications of a model's weights that are recorded in the
  // registry. Their times are estimates.
  const WeightHistory& RecordedWeightsOf(const ModelName& aModel) const;

  // Returns a time before which all publications of weights are recorded in the
  // registry; nothing if it has no such time.
  std::optional<TimePoint> WeightsRecordedUntil() const
  {
    return this->weightsRecordedUntil;
  }

  // Returns the origins of all registered runners that may begin streams which
  // can be taken up again, in ascending order.
  std::vector<StreamOrigin> ServingStreamOrigins() const
  {
    return this->routes == nullptr
             ? std::vector<StreamOrigin>()
             : ServingOrigins(this->fleet, this->routes->Configuration());
  }

  // Returns the only origin that such a stream can have, or nothing if there
  // may be several or this daemon may have missed one.
  std::optional<StreamOrigin> OnlyStreamOrigin(TimePoint aNow) const;

  // Returns the queue of requests that wait for a runner of the service.
  // Waiting requests share it, because a cancelled one may end after the state.
  std::shared_ptr<ServiceQueue> QueueOf(const ServiceName& aService);

  // Returns how many daemons are expected to have large prompts that wait for
  // room at the runners of the busiest service.
  double DaemonsWaiting(TimePoint aNow) const;

  // Changes whenever the configuration, the members, or the set, state or
  // registration of runners changes.
  std::uint64_t Generation() const { return this->generation; }

  // Returns true if changes of cached parts are forwarded between zones. In a
  // larger cluster that would cost more than it saves.
  bool KnowsAllZones() const
  {
    return this->members.size() <= kMaxDaemonsAcrossZones;
  }

  // The number of daemons, this one included.
  std::size_t DaemonCount() const;
  std::vector<HostId> DaemonHosts() const;

  const EntrySettings& Settings() const { return this->settings; }

  Fleet fleet;
  PartIndex parts;
  std::map<UpstreamId, FollowedHolder> holders;
  std::map<HostId, EntryMember> members;
  ZonesOutOfUse zonesOutOfUse;
  // Starts of runners that said that they leave, here or at another daemon.
  LeavingUpstreams leaving;
  // Runners that leave, by the cause by which this daemon learnt of it first.
  std::array<std::uint64_t, EnumNames<LeavingCause>::kTable.size()>
    leavingCounts{};
  // Pauses that runners asked this daemon for, and requests that were refused
  // because all runners paused.
  std::uint64_t requestedPauses = 0;
  std::uint64_t refusedForPause = 0;
  // Requests that were refused because no runner is at a place where they may
  // be processed, by reason.
  std::array<std::uint64_t, EnumNames<PlaceRefusal>::kTable.size()>
    refusedForPlace{};
  // Requests that were sent to cold runners.
  std::uint64_t sentToCold = 0;
  // Answers that were made on older weights than expected or allowed.
  std::uint64_t answersOnOldWeights = 0;
  SlidingWindowBudget retryBudget;
  PoisonTracker poison;
  PartCrashTracker partCrashes;
  // Where the last streams began that may be taken up again.
  StreamOrigins streamOrigins;
  // The origins that streams may have; nothing before the registry's list is
  // known.
  std::optional<StreamVersions> streamVersions;
  // Streams that callers took up again, by how their origin was found.
  std::array<std::uint64_t, EnumNames<TakeUpSource>::kTable.size()> takeUps{};
  // How often weights were found that may have been published earlier.
  std::uint64_t foundWeights = 0;
  // The registry has not answered for some time.
  bool registryUnreachable = true;
  // When the registry was last known to be at the mirror's revision.
  TimePoint registryKnownAt;
  // A reader's knowledge is recent until this time.
  TimePoint relayedUntil;
  // Other daemons of the zone rely on this one for registry changes.
  bool isAskedForChanges = false;
  // Start of the process; the epoch if it is irrelevant.
  TimePoint startedAt;
  // The process is shutting down.
  bool stopping = false;
  // Set while the process is shutting down.
  std::optional<StopSchedule> stop;

private:
  FleetChange ApplyRunner(const RunnerEntry& aEntry,
                          TimePoint aNow,
                          ItemOrigin aOrigin);
  // Returns true if this daemon's share of what a cold runner may get allows
  // another request.
  bool AdmitsCold(const Runner& aRunner, TimePoint aNow) const;
  void NoteColdStart(const RunnerEntry& aEntry,
                     FleetChange aChange,
                     TimePoint aNow);
  void ForgetHolder(const UpstreamId& aHolder);
  void CountLeaving(LeavingCause aCause);
  // Returns true if this start of the runner is marked. A start that an
  // unsteady clock dated before a marked one is not.
  bool IsMarked(const Runner& aRunner) const;
  // Applies earlier marks to a new registration.
  void NoteRegistered(const UpstreamId& aRunner, FleetChange aChange);

  EntrySettings settings;
  std::uint64_t generation = 0;
  // The shares among the members of a generation.
  mutable std::optional<std::pair<std::uint64_t, MemberShares>> shares;
  std::shared_ptr<const RouteTable> routes;
  std::map<ModelName, WeightHistory> weights;
  std::map<ModelName, WeightHistory> recordedWeights;
  std::optional<TimePoint> weightsRecordedUntil;
  std::map<ServiceName, std::shared_ptr<ServiceQueue>> queues;
  // Since when marked runners are not registered.
  std::map<UpstreamId, TimePoint> unregisteredLeaving;
};

} // namespace wigeonwalk
