// One request of a caller: from its route to the last byte of its answer.
//
//   ForwardRun run(state, client, peers, measures, timer, log);
//   co_await run.Forward(request, exchange);
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
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

  // Longest time to connect to a runner: several round trips between zones.
  static constexpr Duration kConnectTime = std::chrono::milliseconds(300);
  // Connections that are tried for one request before it is refused.
  static constexpr int kMostConnects = 4;
  // How often a request without a candidate looks for one.
  static constexpr Duration kCandidatePause = std::chrono::milliseconds(20);
  // Time after the start of the process for which a request waits for the first
  // configuration. Several tries of a read of the registry.
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
  {
  }

  // Answers the request. Returns once the exchange has ended.
  template<CallerExchange<Attempt> X>
  Task<void> Forward(const Request& aRequest, X& aExchange)
  {
    Run run{ .arrivedAt = this->timer.Now() };
    LastReason reason;
    co_await this->AwaitConfiguration();
    const bool admitted = AdmitRequest(
      this->state, aRequest.facts, run.arrivedAt, run.admitted, reason);
    if (admitted) {
      co_await this->RunAttempts(aRequest, run, aExchange);
    } else {
      run.failure = reason;
    }
    if (!run.done) {
      co_await this->Refuse(run, aExchange);
    }
    this->NoteEnd(aRequest.facts, run);
  }

private:
  // State of one request.
  struct Run
  {
    TimePoint arrivedAt;
    AdmittedRequest admitted;
    std::vector<UpstreamId> tried;
    UpstreamId lastRunner;
    std::uint32_t sends = 0;
    int connects = 0;
    Verdict verdict = Verdict::NotRun;
    LastReason failure;
    AttemptEnd end = AttemptEnd::Failed;
    // The caller has its final answer or is gone.
    bool done = false;
    bool streamBegun = false;
    std::optional<std::uint64_t> lastEventId;
    TimePoint firstByteAt;
    // A failed answer of a runner, which is passed on where no other attempt
    // succeeds.
    std::unique_ptr<Attempt> failedAnswer;
    std::string failedBody;
    unsigned status = 0;
  };

  // A process that has just started reads the configuration in some 70 ms.
  Task<void> AwaitConfiguration()
  {
    const TimePoint until = this->state.startedAt + kStartTime;
    while (this->state.Routes() == nullptr && this->timer.Now() < until) {
      const TimePoint next = this->timer.Now() + kCandidatePause;
      co_await this->timer.WaitUntil(next);
    }
  }

  template<CallerExchange<Attempt> X>
  Task<void> RunAttempts(const Request& aRequest, Run& aRun, X& aExchange)
  {
    while (true) {
      const auto choice = co_await this->Choose(aRequest.facts, aRun);
      if (!choice) {
        co_return;
      }
      LogPlaced(
        this->log, this->timer.Now(), aRequest.facts, *choice, aRun.sends);
      LastReason reason;
      aRun.end =
        co_await this->TryOnce(aRequest, aRun, *choice, aExchange, reason);
      const bool cancelled = co_await this->IsCancelled();
      if (cancelled) {
        aRun.end = AttemptEnd::CallerGone;
      }
      if (aRun.end != AttemptEnd::Failed) {
        aRun.done = true;
        co_return;
      }
      aRun.failure = reason;
      this->NoteFailed(aRequest.facts, aRun, *choice);
      if (!this->MayTryAgain(aRun)) {
        co_return;
      }
    }
  }

  // Waits a moment where no runner may be used now.
  Task<std::optional<RunnerPick>> Choose(const EntryRequest& aFacts, Run& aRun)
  {
    const TimePoint giveUp =
      std::min(aRun.admitted.deadline,
               this->timer.Now() +
                 aRun.admitted.route->targetLatency / kCandidateWaitPart);
    while (true) {
      const TimePoint now = this->timer.Now();
      auto choice =
        PickRunner(this->state, aFacts, aRun.admitted, aRun.tried, now);
      if (choice) {
        choice->order.resumeAfter = aRun.lastEventId;
        co_return choice;
      }
      if (now >= giveUp) {
        break;
      }
      const TimePoint next = std::min(now + kCandidatePause, giveUp);
      co_await this->timer.WaitUntil(next);
    }
    if (aRun.failure.code == ReasonCode::None) {
      Fail(aRun.failure, ReasonCode::Unavailable, "no runner can be used");
    }
    co_return std::nullopt;
  }

  // Sends the request to one runner and passes its answer on.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> TryOnce(const Request& aRequest,
                           Run& aRun,
                           const RunnerPick& aChoice,
                           X& aExchange,
                           LastReason& aReason)
  {
    const TimePoint sentAt = this->timer.Now();
    const auto& prompt = aRequest.facts.prompt;
    RunnerLoad load(aChoice.runner,
                    prompt ? prompt->inputTokens + prompt->maxOutputTokens : 0,
                    aChoice.readTokens);
    ++aRun.connects;
    const TimePoint connectBy =
      std::min(aRun.admitted.deadline, sentAt + kConnectTime);
    auto attempt = co_await this->upstreams.Open(
      aRequest, aChoice.order, connectBy, aRun.admitted.deadline, aReason);
    if (!attempt) {
      if (VerdictOf(aReason.code) != Verdict::NotRun) {
        ++aRun.sends;
      }
      co_return AttemptEnd::Failed;
    }
    ++aRun.sends;
    aRun.lastRunner = aChoice.runner->entry.id;
    const FollowedRun followed(this->state.poison,
                               aRun.lastRunner,
                               aRun.admitted.print,
                               aRun.admitted.kind);
    if (aChoice.readTokens >= kLongRead) {
      this->peers.TellWork({ aRun.lastRunner, aChoice.readTokens });
    }
    const AttemptEnd end = co_await this->PassOn(
      aRequest, *attempt, aRun, load, aChoice, sentAt, aExchange, aReason);
    const bool cancelled = co_await this->IsCancelled();
    if (end == AttemptEnd::Delivered) {
      this->state.poison.Succeeded(
        aRun.lastRunner, aRun.admitted.print, this->timer.Now());
    } else if (end == AttemptEnd::Failed && !cancelled &&
               aReason.code == ReasonCode::ConnectionLostAfterWrite) {
      this->NoteLost(aRequest.facts, aRun, aChoice);
    }
    co_return end;
  }

  // Reads the answer of a runner and passes it on.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassOn(const Request& aRequest,
                          Attempt& aAttempt,
                          Run& aRun,
                          RunnerLoad& aLoad,
                          const RunnerPick& aChoice,
                          TimePoint aSentAt,
                          X& aExchange,
                          LastReason& aReason)
  {
    const auto head =
      co_await aAttempt.ReadHead(aRun.admitted.deadline, aReason);
    if (!head) {
      co_return AttemptEnd::Failed;
    }
    aRun.status = head->status;
    if (head->refusedUnrun) {
      Fail(aReason,
           ReasonCode::RefusedBeforeRun,
           "the runner refused with status " + std::to_string(head->status),
           aChoice.runner->entry.id.Text());
      this->NoteRefused(aRequest.facts, *head, aChoice);
      co_return AttemptEnd::Failed;
    }
    if (!head->isSigned && (head->IsSuccess() || head->promisesUnrun)) {
      Fail(aReason,
           ReasonCode::MalformedResponse,
           "status " + std::to_string(head->status) +
             " without the runner's signature",
           aChoice.runner->entry.id.Text());
      co_return AttemptEnd::Failed;
    }
    const bool stream = head->IsSuccess() && head->isEventStream;
    if (stream) {
      co_return co_await this->PassStream(
        aRequest, aAttempt, aRun, aLoad, aChoice, aExchange, aReason);
    }
    co_return co_await this->PassAnswer(
      aAttempt, *head, aRun, aChoice, aSentAt, aExchange, aReason);
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
                const Run& aRun,
                const RunnerPick& aChoice)
  {
    const TimePoint now = this->timer.Now();
    const auto refused = this->state.poison.UpstreamDied(
      aRun.lastRunner,
      static_cast<std::uint64_t>(aChoice.runner->entry.startedAt),
      now);
    this->peers.TellPoison();
    if (!refused.empty()) {
      this->log.Write(now,
                      LogLevel::Warning,
                      "request crashes runners",
                      aFacts.id,
                      { { LogKey::Upstream, aRun.lastRunner },
                        { LogKey::Count, refused.size() } });
    }
  }

  // Passes on an answer of one piece. It is read whole first, so that a broken
  // one can be replaced.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassAnswer(Attempt& aAttempt,
                              const AnswerFacts& aHead,
                              Run& aRun,
                              const RunnerPick& aChoice,
                              TimePoint aSentAt,
                              X& aExchange,
                              LastReason& aReason)
  {
    std::string body;
    while (true) {
      const auto bytes =
        co_await aAttempt.ReadBody(aRun.admitted.deadline, aReason);
      if (!bytes) {
        co_return AttemptEnd::Failed;
      }
      if (bytes->empty()) {
        break;
      }
      body += *bytes;
    }
    const TimePoint now = this->timer.Now();
    RunnerHealth& health = aChoice.runner->health;
    const ReasonCode code = ReasonOfStatus(aHead.status, false);
    if (code == ReasonCode::StatusServerError ||
        (aRun.streamBegun && !aHead.IsSuccess())) {
      health.NoteFailedAnswer(now);
      Fail(aReason,
           ReasonCode::StatusServerError,
           "the runner answered with status " + std::to_string(aHead.status),
           aChoice.runner->entry.id.Text());
      if (!aRun.streamBegun) {
        aRun.failedAnswer = std::make_unique<Attempt>(std::move(aAttempt));
        aRun.failedBody = std::move(body);
      }
      co_return AttemptEnd::Failed;
    }
    health.NoteSuccess(now - aSentAt, now);
    aRun.firstByteAt = now;
    const bool written = co_await aExchange.Answer(aAttempt, std::move(body));
    aAttempt.Finish();
    co_return written ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  // Passes on whole events as they arrive.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassStream(const Request& aRequest,
                              Attempt& aAttempt,
                              Run& aRun,
                              RunnerLoad& aLoad,
                              const RunnerPick& aChoice,
                              X& aExchange,
                              LastReason& aReason)
  {
    const TimePoint openedAt = this->timer.Now();
    while (true) {
      auto events =
        co_await aAttempt.ReadEvents(aRun.admitted.deadline, aReason);
      if (!events) {
        co_return AttemptEnd::Failed;
      }
      if (events->empty()) {
        break;
      }
      aLoad.NoteRead();
      bool written = false;
      if (aRun.streamBegun) {
        written = co_await aExchange.WriteEvents(std::move(*events));
      } else {
        this->NoteFirstEvents(aRequest.facts, aRun, aChoice);
        written = co_await aExchange.BeginStream(aAttempt, std::move(*events));
      }
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
      if (aAttempt.LastEventId()) {
        aRun.lastEventId = aAttempt.LastEventId();
      }
    }
    if (!aRun.streamBegun) {
      aRun.streamBegun = true;
      co_await aExchange.BeginStream(aAttempt, std::string());
    }
    const TimePoint now = this->timer.Now();
    aChoice.runner->health.NoteSuccess(now - openedAt, now);
    const bool ended = co_await aExchange.EndStream();
    aAttempt.Finish();
    co_return ended ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  // A runner that has made its first token holds all parts of the prompt. Its
  // events tell so later.
  void NoteFirstEvents(const EntryRequest& aFacts,
                       Run& aRun,
                       const RunnerPick& aChoice)
  {
    aRun.firstByteAt = this->timer.Now();
    aRun.streamBegun = true;
    const MeasureScope scope = aRun.admitted.Scope();
    this->measures.FirstToken(scope, aRun.firstByteAt - aRun.arrivedAt);
    if (!aFacts.prompt) {
      return;
    }
    this->measures.Prompt(
      scope, aFacts.prompt->inputTokens, aChoice.rereadTokens);
    for (const PromptPart& part : aFacts.prompt->parts) {
      this->state.parts.Set(aChoice.order.runner,
                            KeyOfPart(aChoice.order.cacheSalt, part.id),
                            part.tokens);
    }
    // Of a runner whose events are not followed, only this daemon's part of the
    // memory is known.
    const std::uint64_t memory = aRun.admitted.service->engine->cacheTokens;
    if (memory == 0) {
      return;
    }
    const bool followed = this->state.holders.contains(aChoice.order.runner);
    this->state.parts.Trim(aChoice.order.runner,
                           followed ? memory : memory / this->state.Daemons());
  }

  void NoteRefused(const EntryRequest& aFacts,
                   const AnswerFacts& aHead,
                   const RunnerPick& aChoice)
  {
    Runner& runner = *aChoice.runner;
    if (aHead.wrongWeights && aFacts.prompt) {
      // The newest weights are there, or will be told by the next heartbeat.
      const KnownWeights newest = this->state.WeightsOf(aFacts.prompt->model);
      if (newest.version > aChoice.order.version) {
        runner.SetVersion(aFacts.prompt->model, newest.version);
      }
    }
  }

  void NoteFailed(const EntryRequest& aFacts,
                  Run& aRun,
                  const RunnerPick& aChoice)
  {
    const Verdict verdict = VerdictOf(aRun.failure.code);
    aRun.verdict = CombineVerdicts(aRun.verdict, verdict);
    aRun.tried.push_back(aChoice.runner->entry.id);
    const TimePoint now = this->timer.Now();
    if (aRun.failure.code != ReasonCode::StatusServerError &&
        aRun.failure.code != ReasonCode::ResponseTimeout) {
      aChoice.runner->health.NoteFailure(now);
    }
    LogFailed(
      this->log, now, aFacts.id, *aChoice.runner, aRun.failure, aRun.sends);
  }

  // True where another attempt can't make the request run twice, and the
  // route, the time and the budget allow one.
  bool MayTryAgain(const Run& aRun)
  {
    const bool mayRunAgain =
      aRun.admitted.route->MayRunAgain() &&
      (!aRun.streamBegun ||
       (aRun.admitted.route->resumable && aRun.lastEventId));
    if (!MayRepeat(aRun.verdict, mayRunAgain) ||
        aRun.sends >= aRun.admitted.route->maxAttempts ||
        aRun.connects >= kMostConnects) {
      return false;
    }
    const TimePoint now = this->timer.Now();
    if (now >= aRun.admitted.deadline) {
      return false;
    }
    // A connection that never opened was no arrival at a runner.
    return aRun.sends == 0 ||
           this->state.repeats.TrySpend(
             aRun.admitted.service->name, this->state.Daemons(), now);
  }

  template<CallerExchange<Attempt> X>
  Task<void> Refuse(Run& aRun, X& aExchange)
  {
    aRun.done = true;
    if (aRun.streamBegun) {
      aExchange.Abort();
      co_return;
    }
    if (aRun.failedAnswer) {
      co_await aExchange.Answer(*aRun.failedAnswer, std::move(aRun.failedBody));
      aRun.failedAnswer->Finish();
      co_return;
    }
    Refusal refusal;
    refusal.verdict = aRun.verdict;
    refusal.reason = aRun.failure;
    if (aRun.verdict == Verdict::NotRun) {
      refusal.retryAfter = kRetryAfter;
    }
    co_await aExchange.Refuse(refusal);
  }

  void NoteEnd(const EntryRequest& aFacts, const Run& aRun)
  {
    const MeasureScope scope = aRun.admitted.Scope();
    const bool ran = aRun.end == AttemptEnd::Delivered;
    this->measures.Ended(scope, ran ? Verdict::Ran : aRun.verdict);
    if (aRun.sends > 1) {
      this->measures.Retried(scope);
    }
    const RequestEnd end{ aRun.end,       aRun.lastRunner, aRun.status,
                          aRun.verdict,   aRun.failure,    aRun.sends,
                          aRun.arrivedAt, aRun.firstByteAt };
    LogEnd(this->log, this->timer.Now(), aFacts.id, aRun.admitted, end);
  }

  EntryState& state;
  U& upstreams;
  P& peers;
  M& measures;
  T& timer;
  L& log;
};

} // namespace wigeonwalk
