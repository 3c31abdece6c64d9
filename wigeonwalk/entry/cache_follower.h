// Long-polls runners and stores for cache events.
//
//   CacheFollower follower(state, control, peers, timer, log);
//   for (const UpstreamId& holder : follower.Reconcile()) {
//     spawn(follower.Follow(holder));
//   }
//   spawn(follower.ForwardEvents());
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/held_parts.h"
#include "wigeonwalk/entry/notice_limits.h"
#include "wigeonwalk/entry/part_relay.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/runner_control.h"
#include "wigeonwalk/ports/structured_log.h"
#include "wigeonwalk/retry/backoff.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Sends one daemon the cached parts of some holders.
template<typename T>
concept PartNotifier = requires(T& aNotifier,
                                const HostId& aHost,
                                const std::vector<HeldParts>& aParts)
{
  aNotifier.SendParts(aHost, aParts);
};

// One task for each holder that this daemon follows. A holder accepts only a
// few concurrent calls, so in a large fleet a few daemons follow each holder
// and forward its events to the others.
template<RunnerControl C, PartNotifier P, Timer T, StructuredLog L>
class CacheFollower
{
public:
  // Long-poll timeout: how long a holder may hold a call open until it has
  // events. Shorter calls incur a cost.
  static constexpr Duration kLongPollTimeout = std::chrono::milliseconds(250);
  // Minimum interval between the starts of two calls to one holder.
  static constexpr Duration kMinCallInterval = std::chrono::milliseconds(150);
  // Time allowed for the response after the long-poll timeout.
  static constexpr Duration kResponseGrace = std::chrono::milliseconds(350);
  // Delay after a failed call; it doubles with each further failure. A holder
  // that has crashed, or that accepts no more calls, is asked by many daemons,
  // and each call has a cost.
  static constexpr BackoffSettings kRetryDelays{
    .initialDelay = std::chrono::milliseconds(100),
    .maxDelay = std::chrono::milliseconds(1'600),
  };
  // How often the list of holders is reconciled if the state has changed, and
  // in any case: some changes of the fleet, such as runners that are given up
  // after an outage, don't pass through the state.
  static constexpr Duration kReconcileInterval = std::chrono::milliseconds(200);
  static constexpr Duration kMaxReconcileInterval = std::chrono::seconds(2);
  // Calls per holder kept in reserve, because daemons whose views of the
  // membership differ choose different followers.
  static constexpr std::uint32_t kReservedCalls = 2;

  CacheFollower(EntryState& aState, C& aControl, P& aPeers, T& aTimer, L& aLog)
    : state(aState)
    , control(aControl)
    , peers(aPeers)
    , timer(aTimer)
    , log(aLog)
    , relay(aState)
  {
  }

  // Updates the list of holders from the fleet and the configuration. Returns
  // the holders for which the caller must start a Follow task.
  std::vector<UpstreamId> Reconcile()
  {
    // Ranking hundreds of daemons for each holder takes half a millisecond.
    const TimePoint now = this->timer.Now();
    const std::uint64_t generation = this->state.Generation();
    if (generation == this->reconciled && now < this->reconcileAt) {
      return {};
    }
    this->reconciled = generation;
    this->reconcileAt = now + kMaxReconcileInterval;
    const std::map<UpstreamId, WantedHolder> wanted = this->WantedHolders();
    for (auto it = this->state.holders.begin();
         it != this->state.holders.end();) {
      const auto found = wanted.find(it->first);
      if (found == wanted.end() ||
          found->second.holder.address != it->second.holder.address) {
        this->state.parts.Forget(it->first);
        it = this->state.holders.erase(it);
      } else {
        ++it;
      }
    }
    std::vector<UpstreamId> started;
    for (const auto& [id, entry] : wanted) {
      this->state.holders.try_emplace(id, FollowedHolder{ entry.holder });
      this->followers[id] = entry.followers;
      if (this->IsFollower(id) && this->tasks.insert(id).second) {
        started.push_back(id);
      }
    }
    std::erase_if(this->followers, [&wanted](const auto& aEntry) {
      return !wanted.contains(aEntry.first);
    });
    return started;
  }

  // Follows one holder until this daemon is no longer one of its followers.
  Task<void> Follow(UpstreamId aHolder)
  {
    std::uint32_t failures = 0;
    while (this->IsFollower(aHolder)) {
      const auto found = this->state.holders.find(aHolder);
      if (found == this->state.holders.end()) {
        break;
      }
      const std::string address = found->second.holder.address;
      const std::uint64_t since = found->second.nextEvent;
      const TimePoint startedAt = this->timer.Now();
      const TimePoint deadline = startedAt + kLongPollTimeout + kResponseGrace;
      const auto runner = this->state.fleet.Find(aHolder);
      RunnerAdvice advice;
      FailureReason reason;
      const auto batch = co_await this->control.CacheEvents(
        address, since, kLongPollTimeout, deadline, advice, reason);
      const TimePoint now = this->timer.Now();
      ApplyAdvice(this->state,
                  this->log,
                  runner,
                  batch ? batch->startedAt : 0,
                  advice,
                  now);
      if (batch) {
        failures = 0;
        this->HandleBatch(aHolder, address, *batch, now);
        co_await this->timer.WaitUntil(startedAt + kMinCallInterval);
      } else {
        this->NoteFailure(aHolder, reason, now);
        ++failures;
        TimePoint next = now + BackoffDelay(kRetryDelays, failures);
        if (advice.pause && runner != nullptr) {
          next = std::max(next, runner->requestedPause.AdmitsFrom());
        }
        co_await this->timer.WaitUntil(next);
      }
    }
    this->tasks.erase(aHolder);
  }

  // Periodically sends new events to the daemons that do not follow a holder.
  Task<void> ForwardEvents()
  {
    while (true) {
      this->SendPending();
      const TimePoint next = this->timer.Now() + kPartReportInterval;
      co_await this->timer.WaitUntil(next);
    }
  }

private:
  struct WantedHolder
  {
    CacheHolder holder;
    HolderFollowers followers;
  };

  std::map<UpstreamId, WantedHolder> WantedHolders() const
  {
    std::map<UpstreamId, WantedHolder> wanted;
    const auto& routes = this->state.Routes();
    if (routes == nullptr) {
      return wanted;
    }
    const AvailabilityZone& zone = this->state.Settings().zone;
    std::vector<HostId> all;
    std::map<AvailabilityZone, std::vector<HostId>> byZone;
    for (const auto& [host, member] : this->state.members) {
      all.push_back(host);
      byZone[member.zone].push_back(host);
    }
    for (const auto& service : routes->Configuration().services) {
      if (service.cacheStore) {
        const CacheStoreTraits& store = *service.cacheStore;
        const CacheHolder holder{ UpstreamId(store.address),
                                  HolderKind::Store,
                                  store.address,
                                  store.zone,
                                  store.linkMegabits,
                                  store.transferDelay,
                                  store.cacheTokens };
        wanted.emplace(
          holder.id,
          WantedHolder{ holder, RankFollowers(holder, store.eventCalls, all) });
      }
    }
    // A leaving runner's parts stay a source for as long as it answers.
    for (const auto& runner : this->state.fleet.All()) {
      const auto* service = routes->FindService(runner->entry.service);
      if (service == nullptr || !service->engine) {
        continue;
      }
      const AvailabilityZone& runnerZone = runner->entry.zone;
      const bool forwardsBetweenZones = this->state.KnowsAllZones();
      if (!forwardsBetweenZones && runnerZone != zone) {
        continue;
      }
      const CacheHolder holder{ runner->entry.id,
                                HolderKind::Runner,
                                runner->entry.address,
                                runner->entry.zone,
                                service->engine->linkMegabits,
                                Duration(0),
                                service->engine->cacheTokens };
      HolderFollowers ranked =
        RankFollowers(holder, service->engine->eventCalls, byZone[runnerZone]);
      if (forwardsBetweenZones) {
        AddReceivers(ranked, all);
      }
      wanted.emplace(holder.id, WantedHolder{ holder, std::move(ranked) });
    }
    return wanted;
  }

  static HolderFollowers RankFollowers(const CacheHolder& aHolder,
                                       std::uint32_t aCalls,
                                       const std::vector<HostId>& aHosts)
  {
    const std::size_t following =
      aCalls > kReservedCalls ? aCalls - kReservedCalls : aCalls;
    return { RankOwners(aHolder.id.Text(), aHosts, aHosts.size()), following };
  }

  // Appends the hosts that are not ranked yet. They get the events from the
  // followers, unless there is none.
  static void AddReceivers(HolderFollowers& aFollowers,
                           const std::vector<HostId>& aHosts)
  {
    if (!aFollowers.ranked.empty()) {
      aFollowers.following =
        std::min(aFollowers.following, aFollowers.ranked.size());
    }
    const std::set<HostId> known(aFollowers.ranked.begin(),
                                 aFollowers.ranked.end());
    std::copy_if(
      aHosts.begin(),
      aHosts.end(),
      std::back_inserter(aFollowers.ranked),
      [&known](const HostId& aHost) { return !known.contains(aHost); });
  }

  bool IsFollower(const UpstreamId& aHolder) const
  {
    const auto found = this->followers.find(aHolder);
    return found != this->followers.end() &&
           found->second.IsFollower(this->state.Settings().host);
  }

  void SendPending()
  {
    for (const auto& [host, parts] : this->relay.TakePending(this->followers)) {
      this->peers.SendParts(host, parts);
    }
  }

  void HandleBatch(const UpstreamId& aHolder,
                   const std::string& aAddress,
                   const PartEventBatch& aBatch,
                   TimePoint aNow)
  {
    const auto found = this->state.holders.find(aHolder);
    if (found == this->state.holders.end() ||
        found->second.holder.address != aAddress) {
      return;
    }
    FollowedHolder& followed = found->second;
    const auto runner = this->state.fleet.Find(aHolder);
    if (runner != nullptr && !runner->IsSameStart(aBatch.startedAt)) {
      // The runner has restarted, or another runner has its address.
      return;
    }
    HeldParts parts{ aHolder, aBatch.epoch, {} };
    for (const PartEvent& event : aBatch.events) {
      parts.changes.push_back(
        { KeyOfPart(event.name.salt, event.name.part), event.tokens });
    }
    const bool restarted =
      followed.epoch != 0 && followed.epoch != aBatch.epoch;
    if (restarted) {
      // This batch was requested from a position in the previous epoch.
      parts.changes.clear();
      this->log.Write(aNow,
                      LogLevel::Info,
                      "cache holder restarted",
                      {},
                      { { LogKey::Upstream, aHolder } });
    }
    this->relay.Add(parts, this->followers.at(aHolder));
    ApplyHeldParts(this->state, parts, aNow);
    if (restarted) {
      this->SendPending();
      followed.nextEvent = 0;
      followed.answeredAt = TimePoint();
      return;
    }
    followed.nextEvent = aBatch.nextPosition;
  }

  void NoteFailure(const UpstreamId& aHolder,
                   const FailureReason& aReason,
                   TimePoint aNow)
  {
    const auto runner = this->state.fleet.Find(aHolder);
    if (runner != nullptr && aReason.code != ReasonCode::StatusClientError) {
      runner->health.NoteFailure(aNow);
    }
    const auto found = this->state.holders.find(aHolder);
    if (found != this->state.holders.end() &&
        found->second.answeredAt != TimePoint()) {
      found->second.answeredAt = TimePoint();
      this->log.Write(aNow,
                      LogLevel::Warning,
                      "cache holder does not answer",
                      {},
                      { { LogKey::Upstream, aHolder }, LogField(aReason) });
    }
  }

  EntryState& state;
  C& control;
  P& peers;
  T& timer;
  L& log;
  std::map<UpstreamId, HolderFollowers> followers;
  // Holders with a running task.
  std::set<UpstreamId> tasks;
  // State's generation at the last reconciliation, and when the next one is due
  // without a change.
  std::optional<std::uint64_t> reconciled;
  TimePoint reconcileAt;
  PartRelay relay;
};

} // namespace wigeonwalk
