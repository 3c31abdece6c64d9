// Follows the cache events of runners and stores.
//
//   CacheFollower follower(state, control, timer, log);
//   for (const UpstreamId& holder : follower.Reconcile()) {
//     spawn(follower.Follow(holder));
//   }
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/decision_log.h"
#include "wigeonwalk/ports/runner_control.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace wigeonwalk {

// One task for each holder that this daemon follows. A holder takes only a few
// calls at a time, so that in a large fleet a few daemons follow each one, and
// each daemon a few.
template<RunnerControl C, Timer T, DecisionLog L>
class CacheFollower
{
public:
  // How long a holder may keep a call waiting for events. Shorter calls are
  // priced.
  static constexpr Duration kEventWait = std::chrono::milliseconds(250);
  // Least time between two calls to one holder.
  static constexpr Duration kEventPace = std::chrono::milliseconds(150);
  // Time for the answer to arrive after the wait.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(350);
  // Pause after a failed call.
  static constexpr Duration kFailurePause = std::chrono::milliseconds(100);
  // How often the list of holders is looked at.
  static constexpr Duration kReconcilePace = std::chrono::milliseconds(200);
  // Calls at each holder that are left free for daemons whose view of the
  // members differs.
  static constexpr std::uint32_t kSpareCalls = 2;

  CacheFollower(EntryState& aState, C& aControl, T& aTimer, L& aLog)
    : state(aState)
    , control(aControl)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Brings the list of holders in line with the fleet and the configuration.
  // Returns the holders that need a task.
  std::vector<UpstreamId> Reconcile()
  {
    std::map<UpstreamId, CacheHolder> wanted = this->WantedHolders();
    for (auto it = this->state.holders.begin();
         it != this->state.holders.end();) {
      const auto found = wanted.find(it->first);
      if (found == wanted.end() ||
          found->second.address != it->second.holder.address) {
        this->state.parts.Forget(it->first);
        it = this->state.holders.erase(it);
      } else {
        ++it;
      }
    }
    std::vector<UpstreamId> started;
    for (auto& [id, holder] : wanted) {
      if (this->state.holders.contains(id) || this->tasks.contains(id)) {
        continue;
      }
      this->state.holders[id].holder = holder;
      this->tasks.insert(id);
      started.push_back(id);
    }
    return started;
  }

  // Follows one holder until it is no longer wanted.
  Task<void> Follow(UpstreamId aHolder)
  {
    while (true) {
      const auto found = this->state.holders.find(aHolder);
      if (found == this->state.holders.end()) {
        break;
      }
      const std::string address = found->second.holder.address;
      const std::uint64_t since = found->second.nextEvent;
      const TimePoint startedAt = this->timer.Now();
      const TimePoint deadline = startedAt + kEventWait + kAnswerTime;
      LastReason reason;
      const auto batch = co_await this->control.CacheEvents(
        address, since, kEventWait, deadline, reason);
      const TimePoint now = this->timer.Now();
      if (batch) {
        this->Take(aHolder, address, *batch, now);
        co_await this->timer.WaitUntil(startedAt + kEventPace);
      } else {
        this->NoteFailure(aHolder, reason, now);
        co_await this->timer.WaitUntil(now + kFailurePause);
      }
    }
    this->tasks.erase(aHolder);
  }

private:
  std::map<UpstreamId, CacheHolder> WantedHolders() const
  {
    std::map<UpstreamId, CacheHolder> wanted;
    const auto& routes = this->state.Routes();
    if (routes == nullptr) {
      return wanted;
    }
    std::vector<HostId> hosts;
    for (const auto& [host, member] : this->state.members) {
      hosts.push_back(host);
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
        if (this->IsMine(holder, store.eventCalls, hosts)) {
          wanted.emplace(holder.id, holder);
        }
      }
    }
    for (const auto& runner : this->state.fleet.All()) {
      const auto* service = routes->FindService(runner->entry.service);
      // Events of runners elsewhere would cost more than they save: prompts
      // with long bodies stay in the zone, and stores hold the long parts.
      if (runner->leaving || service == nullptr || !service->engine ||
          runner->entry.zone != this->state.Settings().zone) {
        continue;
      }
      const CacheHolder holder{ runner->entry.id,
                                HolderKind::Runner,
                                runner->entry.address,
                                runner->entry.zone,
                                service->engine->linkMegabits,
                                Duration(0),
                                service->engine->cacheTokens };
      if (this->IsMine(holder, service->engine->eventCalls, hosts)) {
        wanted.emplace(holder.id, holder);
      }
    }
    return wanted;
  }

  bool IsMine(const CacheHolder& aHolder,
              std::uint32_t aCalls,
              const std::vector<HostId>& aHosts) const
  {
    const std::size_t followers =
      aCalls > kSpareCalls ? aCalls - kSpareCalls : aCalls;
    return aHosts.size() <= followers ||
           IsOwner(
             aHolder.id.Text(), this->state.Settings().host, aHosts, followers);
  }

  void Take(const UpstreamId& aHolder,
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
    if (runner != nullptr && aBatch.startedAt != 0 &&
        runner->entry.startedAt != 0 &&
        runner->entry.startedAt != aBatch.startedAt) {
      // Another start of the runner, or another runner at its address.
      return;
    }
    if (followed.epoch != aBatch.epoch) {
      this->state.parts.Forget(aHolder);
      if (followed.epoch != 0) {
        this->log.Write(aNow,
                        LogLevel::Info,
                        "cache holder restarted",
                        {},
                        { { LogKey::Upstream, aHolder } });
      }
      const bool first = followed.epoch == 0;
      followed.epoch = aBatch.epoch;
      if (!first) {
        // These events were asked for from a position of the earlier epoch.
        followed.nextEvent = 0;
        followed.answeredAt = TimePoint();
        return;
      }
    }
    for (const PartEvent& event : aBatch.events) {
      this->state.parts.Set(
        aHolder, KeyOfPart(event.name.salt, event.name.part), event.tokens);
    }
    followed.nextEvent = aBatch.next;
    followed.answeredAt = aNow;
    if (runner != nullptr) {
      runner->heardAt = aNow;
    }
  }

  void NoteFailure(const UpstreamId& aHolder,
                   const LastReason& aReason,
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
  T& timer;
  L& log;
  // Holders with a running task.
  std::set<UpstreamId> tasks;
};

} // namespace wigeonwalk
