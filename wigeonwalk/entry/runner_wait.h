// Finds a runner for the next attempt of a request and waits while none has
// room.
//
//   RunnerWait wait(state, timer);
//   auto pick = co_await wait.Find(search, failure);
//   if (!pick) { ... refuse with failure.reason and failure.retryAfter ... }
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/pause_forecast.h"
#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/ports/clock.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// A request that needs a runner.
struct RunnerSearch
{
  const EntryRequest& request;
  const AdmittedRequest& admitted;
  const std::vector<UpstreamId>& tried;
  TimePoint arrivedAt;
  // The origin of a stream of which the caller has received events; null if the
  // request begins anew.
  const StreamOrigin* resumed = nullptr;

  bool Resumes() const { return this->resumed != nullptr; }
};

// Why no runner was found; the request has not been sent.
struct SearchFailure
{
  FailureReason reason;
  // Delay until a retry; zero for the default.
  Duration retryAfter{ 0 };
};

// A large prompt waits for a runner with memory for it, and is refused if the
// wait would make its first token late. A small prompt waits for a short time
// only and is then sent to the best runner: it costs an engine little to
// preempt for it. Requests without a prompt wait only if no runner can be used.
template<Timer T>
class RunnerWait
{
public:
  // How often a waiting request looks for a runner.
  static constexpr Duration kPollInterval = Contention::kLookInterval;
  // Small prompts, and requests without a usable runner, wait for at most the
  // route's target latency divided by this.
  static constexpr int kShortWaitDivisor = 8;
  // Large prompts wait for at most the target latency divided by this, counted
  // from their arrival; the rest is left for the prefill.
  static constexpr int kLongWaitDivisor = 2;

  RunnerWait(EntryState& aState, T& aTimer)
    : state(aState)
    , timer(aTimer)
  {
  }

  Task<std::optional<RunnerPick>> Find(const RunnerSearch& aSearch,
                                       SearchFailure& aFailure)
  {
    const auto queue = this->state.QueueOf(aSearch.admitted.service->name);
    const std::uint32_t rank = this->QueueRank(aSearch);
    if (aSearch.Resumes() || !queue->requests.HasWaiting(rank)) {
      auto pick = this->PickNow(aSearch, *queue);
      if (pick) {
        co_return pick;
      }
    }
    if (this->IsRefusedByPlace(aSearch, aFailure) ||
        this->IsRefusedByOrigin(aSearch, aFailure)) {
      co_return std::nullopt;
    }
    const QueuePlace place(
      queue, { rank, OrganisationOf(aSearch), aSearch.admitted.memoryTokens });
    const TimePoint giveUpAt = this->GiveUpAt(aSearch);
    if (this->IsRefusedByForecast(aSearch, place, giveUpAt, aFailure)) {
      co_return std::nullopt;
    }
    while (this->timer.Now() < giveUpAt) {
      if (this->IsRefusedByPause(aSearch, giveUpAt, aFailure) ||
          this->IsRefusedByPlace(aSearch, aFailure) ||
          this->IsRefusedByOrigin(aSearch, aFailure)) {
        co_return std::nullopt;
      }
      const TimePoint next =
        std::min(this->timer.Now() + kPollInterval, giveUpAt);
      co_await this->timer.WaitUntil(next);
      if (this->WaitsForRoom(aSearch)) {
        queue->contention.NoteWaiting(this->timer.Now());
      }
      if (queue->requests.IsFirst(place.ticket)) {
        auto pick = this->PickNow(aSearch, *queue);
        if (pick) {
          co_return pick;
        }
      }
    }
    co_return this->PickAtLast(aSearch, aFailure);
  }

private:
  // A request's place in the queue; the destructor gives it up, also if the
  // caller leaves.
  struct QueuePlace
  {
    QueuePlace(std::shared_ptr<ServiceQueue> aQueue, const QueuedWork& aWork)
      : queue(std::move(aQueue))
      , ticket(this->queue->requests.Enter(aWork))
    {
    }
    ~QueuePlace() { this->queue->requests.Leave(this->ticket); }
    QueuePlace(const QueuePlace&) = delete;
    QueuePlace& operator=(const QueuePlace&) = delete;

    std::shared_ptr<ServiceQueue> queue;
    WaitQueue::Ticket ticket;
  };

  static OrganisationId OrganisationOf(const RunnerSearch& aSearch)
  {
    const auto* organisation = aSearch.admitted.organisation;
    return organisation ? organisation->name : OrganisationId();
  }

  static std::string Milliseconds(Duration aDuration)
  {
    return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
               .count()) +
           " ms";
  }

  static void Refuse(SearchFailure& aFailure,
                     const std::string& aNumbers,
                     Duration aRetryAfter)
  {
    Fail(aFailure.reason,
         ReasonCode::Overloaded,
         "no runner has memory for the prompt in time: " + aNumbers);
    aFailure.retryAfter = aRetryAfter;
  }

  // Returns true if the request is refused rather than sent to a full runner.
  bool WaitsForRoom(const RunnerSearch& aSearch) const
  {
    const auto& engine = aSearch.admitted.service->engine;
    return !aSearch.Resumes() && engine &&
           IsLargeRequest(aSearch.admitted.memoryTokens, engine->cacheTokens);
  }

  // Within a priority, small prompts precede large ones: they use memory that
  // large ones leave free.
  std::uint32_t QueueRank(const RunnerSearch& aSearch) const
  {
    return 2 * aSearch.admitted.Priority() +
           (this->WaitsForRoom(aSearch) ? 1 : 0);
  }

  TimePoint GiveUpAt(const RunnerSearch& aSearch) const
  {
    const Duration target = aSearch.admitted.route->targetLatency;
    const TimePoint until = this->WaitsForRoom(aSearch)
                              ? aSearch.arrivedAt + target / kLongWaitDivisor
                              : this->timer.Now() + target / kShortWaitDivisor;
    return std::min(aSearch.admitted.deadline, until);
  }

  // Returns true with the reason if the requests before this one are expected
  // to take longer than it may wait. If no runner can be used at all, it waits:
  // load is not the reason.
  bool IsRefusedByForecast(const RunnerSearch& aSearch,
                           const QueuePlace& aPlace,
                           TimePoint aGiveUpAt,
                           SearchFailure& aFailure) const
  {
    if (!this->WaitsForRoom(aSearch)) {
      return false;
    }
    const TimePoint now = this->timer.Now();
    const Duration longest = aGiveUpAt - now;
    const Admission admission = aPlace.queue->Admit(
      aPlace.ticket, longest, SpreadOfRequest(aSearch.request.id), now);
    if (admission.admitted || !this->Pick(aSearch, {})) {
      return false;
    }
    const std::uint64_t tokens =
      aPlace.queue->requests.TokensUpTo(aPlace.ticket);
    Refuse(aFailure,
           "expected wait " + Milliseconds(*admission.expectedWait) +
             ", longest " + Milliseconds(longest) + ", " +
             std::to_string(tokens) + " tokens up to this request",
           admission.retryAfter);
    return true;
  }

  // Returns true with the reason if no runner takes requests before
  // `aGiveUpAt`, because all asked for a pause.
  bool IsRefusedByPause(const RunnerSearch& aSearch,
                        TimePoint aGiveUpAt,
                        SearchFailure& aFailure) const
  {
    const TimePoint now = this->timer.Now();
    const PauseForecast pauses = ForecastPause(
      this->state, aSearch.admitted.service->name, aSearch.tried, now);
    if (!pauses.any || (pauses.untried && *pauses.untried < aGiveUpAt)) {
      return false;
    }
    Fail(aFailure.reason,
         ReasonCode::Unavailable,
         "all runners asked for a pause; the first ends in " +
           Milliseconds(*pauses.any - now));
    aFailure.retryAfter =
      RetryAfterPause(*pauses.any, SpreadOfRequest(aSearch.request.id), now);
    ++this->state.refusedForPause;
    return true;
  }

  // Returns true with the reason if no runner of the service is at a place
  // where the request may be processed.
  bool IsRefusedByPlace(const RunnerSearch& aSearch,
                        SearchFailure& aFailure) const
  {
    const TimePoint now = this->timer.Now();
    if (this->state.zonesOutOfUse.All(now).empty() &&
        !aSearch.admitted.homes.IsBound()) {
      return false;
    }
    const ServiceName& service = aSearch.admitted.service->name;
    const PlaceRefusal why = this->state.Places().WhyNone(
      this->state.fleet.RunnersOf(service), aSearch.admitted.homes, now);
    if (why == PlaceRefusal::None) {
      return false;
    }
    ++this->state.refusedForPlace[static_cast<std::size_t>(why)];
    Fail(aFailure.reason,
         ReasonCode::Unavailable,
         why == PlaceRefusal::NotAtHome
           ? "no runner is in a home region of the request"
           : "all runners are in zones out of use");
    aFailure.retryAfter = ServiceQueue::RetryAfter(
      std::nullopt, SpreadOfRequest(aSearch.request.id));
    return true;
  }

  // Returns true with the reason if no runner is left that may continue the
  // stream.
  bool IsRefusedByOrigin(const RunnerSearch& aSearch,
                         SearchFailure& aFailure) const
  {
    if (!aSearch.Resumes()) {
      return false;
    }
    const auto runners =
      this->state.fleet.RunnersOf(aSearch.admitted.service->name);
    const bool isAnyLeft =
      std::any_of(runners.begin(), runners.end(), [&](const auto& aRunner) {
        return MayContinue(*aSearch.resumed, aRunner->Origin());
      });
    if (!isAnyLeft) {
      Fail(aFailure.reason,
           ReasonCode::Unavailable,
           "no runner of the software version that began the stream");
    }
    return !isAnyLeft;
  }

  // Picks a runner with room. A large prompt takes turns with those that wait
  // at other daemons, as all of them see the same room.
  std::optional<RunnerPick> PickNow(const RunnerSearch& aSearch,
                                    const ServiceQueue& aQueue) const
  {
    if (aSearch.Resumes()) {
      return this->Pick(aSearch, {});
    }
    PickRules rules{ RoomRule::Required };
    if (this->WaitsForRoom(aSearch)) {
      rules.turns = 1 / aQueue.contention.Contenders(this->state.DaemonCount(),
                                                     this->timer.Now());
    }
    return this->Pick(aSearch, rules);
  }

  // Picks a runner for a request that may not wait any longer, or gives the
  // reason why it is refused.
  std::optional<RunnerPick> PickAtLast(const RunnerSearch& aSearch,
                                       SearchFailure& aFailure) const
  {
    auto pick = this->Pick(aSearch, {});
    if (!pick) {
      Fail(aFailure.reason, ReasonCode::Unavailable, "no runner can be used");
      return std::nullopt;
    }
    if (this->WaitsForRoom(aSearch)) {
      Refuse(aFailure,
             "no place after " +
               Milliseconds(this->timer.Now() - aSearch.arrivedAt),
             ServiceQueue::RetryAfter(std::nullopt,
                                      SpreadOfRequest(aSearch.request.id)));
      return std::nullopt;
    }
    return pick;
  }

  std::optional<RunnerPick> Pick(const RunnerSearch& aSearch,
                                 PickRules aRules) const
  {
    aRules.resumed = aSearch.resumed;
    return PickRunner(this->state,
                      aSearch.request,
                      aSearch.admitted,
                      aSearch.tried,
                      aRules,
                      this->timer.Now());
  }

  EntryState& state;
  T& timer;
};

} // namespace wigeonwalk
