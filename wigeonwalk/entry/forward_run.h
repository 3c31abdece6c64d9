// One request of a caller: from its route to the last byte of its answer.
//
//   ForwardRun run(state, client, peers, measures, timer, log);
//   co_await run.Forward(request, exchange);
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/answer_relay.h"
#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/forward_progress.h"
#include "wigeonwalk/entry/request_log.h"
#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/ports/attempts.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/decision_log.h"
#include "wigeonwalk/ports/measures.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Tells other daemons of prompts that a runner reads for long, and of requests
// that crash runners.
template<typename T>
concept WorkTeller = requires(T& aTeller, const RunnerWork& aWork)
{
  aTeller.TellWork(aWork);
  aTeller.TellPoison();
};

// Forwards requests. Stateless between requests; the state must outlive it.
template<AttemptOpener U,
         WorkTeller P,
         RequestMeasures M,
         Timer T,
         DecisionLog L>
class ForwardRun
{
public:
  using Request = typename U::Request;
  using Attempt = typename U::Attempt;
  using Progress = ForwardProgress<Attempt>;

  // Longest time to connect to a runner: several round trips between zones.
  static constexpr Duration kConnectTime = std::chrono::milliseconds(300);
  // Connections that are tried for one request before it is refused.
  static constexpr int kMostConnects = 4;
  // How often a request without a candidate looks for one.
  static constexpr Duration kCandidatePause = std::chrono::milliseconds(20);
  // Time after the start of the process for which a request waits for the first
  // configuration: many times what the first read of a prompt registry takes,
  // and short beside a caller's patience.
  static constexpr Duration kStartTime = std::chrono::milliseconds(600);
  // Part of the route's target latency for which a request waits for a
  // candidate.
  static constexpr int kCandidateWaitPart = 8;
  // Where a refused request should try again, unless a cause says otherwise.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
  // Prompt tokens to read from which on other daemons are told: what is sent to
  // the runner next waits for about 50 ms.
  static constexpr std::uint32_t kLongRead = 2'048;

  ForwardRun(EntryState& aState,
             U& aUpstreams,
             P& aPeers,
             M& aMeasures,
             T& aTimer,
             L& aLog)
    : state(aState)
    , upstreams(aUpstreams)
    , peers(aPeers)
    , measures(aMeasures)
    , timer(aTimer)
    , log(aLog)
    , relay(aState, aMeasures, aTimer)
  {
  }

  // Answers the request. Returns once the exchange has ended.
  template<CallerExchange<Attempt> X>
  Task<void> Forward(const Request& aRequest, X& aExchange)
  {
    Progress progress{ .arrivedAt = this->timer.Now() };
    LastReason reason;
    co_await this->AwaitConfiguration();
    const bool admitted = AdmitRequest(this->state,
                                       aRequest.facts,
                                       progress.arrivedAt,
                                       progress.admitted,
                                       reason);
    if (admitted) {
      co_await this->RunAttempts(aRequest, progress, aExchange);
    } else {
      progress.failure = reason;
    }
    if (!progress.done) {
      co_await this->Refuse(progress, aExchange);
    }
    this->NoteEnd(aRequest.facts, progress);
  }

private:
  // Waits a moment in a process that has just started.
  Task<void> AwaitConfiguration()
  {
    const TimePoint until = this->state.startedAt + kStartTime;
    while (this->state.Routes() == nullptr && this->timer.Now() < until) {
      const TimePoint next = this->timer.Now() + kCandidatePause;
      co_await this->timer.WaitUntil(next);
    }
  }

  template<CallerExchange<Attempt> X>
  Task<void> RunAttempts(const Request& aRequest,
                         Progress& aProgress,
                         X& aExchange)
  {
    while (true) {
      const auto choice = co_await this->Choose(aRequest.facts, aProgress);
      if (!choice) {
        co_return;
      }
      LogPlaced(
        this->log, this->timer.Now(), aRequest.facts, *choice, aProgress.sends);
      LastReason reason;
      aProgress.end =
        co_await this->TryOnce(aRequest, aProgress, *choice, aExchange, reason);
      const bool cancelled = co_await this->IsCancelled();
      if (cancelled) {
        aProgress.end = AttemptEnd::CallerGone;
      }
      if (aProgress.end != AttemptEnd::Failed) {
        aProgress.done = true;
        co_return;
      }
      aProgress.failure = reason;
      this->NoteFailed(aRequest.facts, aProgress, *choice);
      if (!this->MayTryAgain(aProgress)) {
        co_return;
      }
    }
  }

  // Waits a moment where no runner may be used now.
  Task<std::optional<RunnerPick>> Choose(const EntryRequest& aFacts,
                                         Progress& aProgress)
  {
    const TimePoint giveUp =
      std::min(aProgress.admitted.deadline,
               this->timer.Now() +
                 aProgress.admitted.route->targetLatency / kCandidateWaitPart);
    while (true) {
      const TimePoint now = this->timer.Now();
      auto choice = PickRunner(
        this->state, aFacts, aProgress.admitted, aProgress.tried, now);
      if (choice) {
        choice->order.resumeAfter = aProgress.lastEventId;
        co_return choice;
      }
      if (now >= giveUp) {
        break;
      }
      const TimePoint next = std::min(now + kCandidatePause, giveUp);
      co_await this->timer.WaitUntil(next);
    }
    if (aProgress.failure.code == ReasonCode::None) {
      Fail(aProgress.failure, ReasonCode::Unavailable, "no runner can be used");
    }
    co_return std::nullopt;
  }

  // Sends the request to one runner and passes its answer on.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> TryOnce(const Request& aRequest,
                           Progress& aProgress,
                           const RunnerPick& aChoice,
                           X& aExchange,
                           LastReason& aReason)
  {
    const TimePoint sentAt = this->timer.Now();
    const auto& prompt = aRequest.facts.prompt;
    RunnerLoad load(aChoice.runner,
                    prompt ? prompt->inputTokens + prompt->maxOutputTokens : 0,
                    aChoice.readTokens);
    ++aProgress.connects;
    const TimePoint connectBy =
      std::min(aProgress.admitted.deadline, sentAt + kConnectTime);
    auto attempt = co_await this->upstreams.Open(
      aRequest, aChoice.order, connectBy, aProgress.admitted.deadline, aReason);
    if (!attempt) {
      if (VerdictOf(aReason.code) != Verdict::NotRun) {
        ++aProgress.sends;
      }
      co_return AttemptEnd::Failed;
    }
    ++aProgress.sends;
    aProgress.lastRunner = aChoice.runner->entry.id;
    const FollowedRun followed(this->state.poison,
                               aProgress.lastRunner,
                               aProgress.admitted.print,
                               aProgress.admitted.kind);
    if (aChoice.readTokens >= kLongRead) {
      this->peers.TellWork({ aProgress.lastRunner, aChoice.readTokens });
    }
    const SentAttempt sent{ aChoice, load, sentAt };
    const AttemptEnd end = co_await this->relay.PassOn(
      aRequest.facts, *attempt, sent, aProgress, aExchange, aReason);
    const bool cancelled = co_await this->IsCancelled();
    if (end == AttemptEnd::Delivered) {
      this->state.poison.Succeeded(
        aProgress.lastRunner, aProgress.admitted.print, this->timer.Now());
    } else if (end == AttemptEnd::Failed && !cancelled &&
               aReason.code == ReasonCode::ConnectionLostAfterWrite) {
      this->NoteLost(aRequest.facts, aProgress, aChoice);
    }
    co_return end;
  }

  // True where the caller has left, which cancels this task.
  Task<bool> IsCancelled() const
  {
    const auto cancellation =
      co_await boost::asio::this_coro::cancellation_state;
    co_return cancellation.cancelled() != boost::asio::cancellation_type::none;
  }

  // The connection of a running request broke: its runner may have crashed.
  void NoteLost(const EntryRequest& aFacts,
                const Progress& aProgress,
                const RunnerPick& aChoice)
  {
    const TimePoint now = this->timer.Now();
    const auto refused = this->state.poison.UpstreamDied(
      aProgress.lastRunner,
      static_cast<std::uint64_t>(aChoice.runner->entry.startedAt),
      now);
    this->peers.TellPoison();
    if (!refused.empty()) {
      this->log.Write(now,
                      LogLevel::Warning,
                      "request crashes runners",
                      aFacts.id,
                      { { LogKey::Upstream, aProgress.lastRunner },
                        { LogKey::Count, refused.size() } });
    }
  }

  void NoteFailed(const EntryRequest& aFacts,
                  Progress& aProgress,
                  const RunnerPick& aChoice)
  {
    const Verdict verdict = VerdictOf(aProgress.failure.code);
    aProgress.verdict = CombineVerdicts(aProgress.verdict, verdict);
    aProgress.tried.push_back(aChoice.runner->entry.id);
    const TimePoint now = this->timer.Now();
    if (aProgress.failure.code != ReasonCode::StatusServerError &&
        aProgress.failure.code != ReasonCode::ResponseTimeout) {
      aChoice.runner->health.NoteFailure(now);
    }
    LogFailed(this->log,
              now,
              aFacts.id,
              *aChoice.runner,
              aProgress.failure,
              aProgress.sends);
  }

  // True where another attempt can't make the request run twice, and the
  // route, the time and the budget allow one.
  bool MayTryAgain(const Progress& aProgress)
  {
    const bool mayRunAgain =
      aProgress.admitted.route->MayRunAgain() &&
      (!aProgress.streamBegun ||
       (aProgress.admitted.route->resumable && aProgress.lastEventId));
    if (!MayRepeat(aProgress.verdict, mayRunAgain) ||
        aProgress.sends >= aProgress.admitted.route->maxAttempts ||
        aProgress.connects >= kMostConnects) {
      return false;
    }
    const TimePoint now = this->timer.Now();
    if (now >= aProgress.admitted.deadline) {
      return false;
    }
    // A connection that never opened was no arrival at a runner.
    return aProgress.sends == 0 ||
           this->state.repeats.TrySpend(
             aProgress.admitted.service->name, this->state.Daemons(), now);
  }

  template<CallerExchange<Attempt> X>
  Task<void> Refuse(Progress& aProgress, X& aExchange)
  {
    aProgress.done = true;
    if (aProgress.streamBegun) {
      aExchange.Abort();
      co_return;
    }
    if (aProgress.failedAnswer) {
      co_await aExchange.Answer(*aProgress.failedAnswer,
                                std::move(aProgress.failedBody));
      aProgress.failedAnswer->Finish();
      co_return;
    }
    Refusal refusal;
    refusal.verdict = aProgress.verdict;
    refusal.reason = aProgress.failure;
    if (aProgress.verdict == Verdict::NotRun) {
      refusal.retryAfter = kRetryAfter;
    }
    co_await aExchange.Refuse(refusal);
  }

  void NoteEnd(const EntryRequest& aFacts, const Progress& aProgress)
  {
    const MeasureScope scope = aProgress.admitted.Scope();
    const bool ran = aProgress.end == AttemptEnd::Delivered;
    this->measures.Ended(scope, ran ? Verdict::Ran : aProgress.verdict);
    if (aProgress.sends > 1) {
      this->measures.Retried(scope);
    }
    const RequestEnd end{ aProgress.end,       aProgress.lastRunner,
                          aProgress.status,    aProgress.verdict,
                          aProgress.failure,   aProgress.sends,
                          aProgress.arrivedAt, aProgress.firstByteAt };
    LogEnd(this->log, this->timer.Now(), aFacts.id, aProgress.admitted, end);
  }

  EntryState& state;
  U& upstreams;
  P& peers;
  M& measures;
  T& timer;
  L& log;
  AnswerRelay<Attempt, M, T> relay;
};

} // namespace wigeonwalk
