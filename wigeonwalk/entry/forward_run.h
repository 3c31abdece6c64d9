// Forwards one caller's request, from routing to the last byte of the response.
//
//   ForwardRun run(state, client, peers, measures, timer, log);
//   co_await run.Forward(request, exchange);
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/announced_prompt.h"
#include "wigeonwalk/entry/answer_relay.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/forward_progress.h"
#include "wigeonwalk/entry/request_log.h"
#include "wigeonwalk/entry/retry_decision.h"
#include "wigeonwalk/entry/runner_wait.h"
#include "wigeonwalk/ports/attempts.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/request_metrics.h"
#include "wigeonwalk/ports/structured_log.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Forwards one request and retries failed attempts. The EntryState must outlive
// it.
template<AttemptOpener U,
         WorkNotifier P,
         RequestMetrics M,
         Timer T,
         StructuredLog L>
requires OriginSource<P> && OriginAnnouncer<P>
class ForwardRun
{
public:
  using Request = typename U::Request;
  using Attempt = typename U::Attempt;
  using Progress = ForwardProgress<Attempt>;

  // Timeout for connecting to a runner: several round trips between zones.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
  // How often a request that waits for the first configuration looks for it.
  static constexpr Duration kConfigurationPollInterval =
    std::chrono::milliseconds(20);
  // How long after the start of the process requests wait for the first
  // configuration: many times what the first read takes if the registry is
  // fast, and short compared with callers' timeouts.
  static constexpr Duration kStartupWait = std::chrono::milliseconds(600);
  // Prefills of at least this many tokens are announced to other daemons: the
  // next request at the runner waits for about 50 ms.
  static constexpr std::uint32_t kLongPrefillTokens = 2'048;

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
    , wait(aState, aTimer)
    , relay(aState, aPeers, aMeasures, aTimer, aLog)
  {
  }

  // Forwards the request and answers its caller. Returns when the exchange has
  // ended.
  template<CallerExchange<Attempt> X>
  Task<void> Forward(const Request& aRequest, X& aExchange)
  {
    Progress progress{ .arrivedAt = this->timer.Now() };
    try {
      co_await this->Process(aRequest, progress, aExchange);
    } catch (const boost::system::system_error&) {
      // Cancelled: the caller has left.
      throw;
    } catch (const std::exception& error) {
      this->NoteException(aRequest.facts, progress, error);
    }
    if (!progress.done) {
      co_await this->Refuse(aRequest.facts, progress, aExchange);
    }
    this->NoteEnd(aRequest.facts, progress);
  }

  // What is known of the request if Forward is cancelled now.
  Verdict VerdictIfCancelled() const
  {
    return this->isAtRunner ? Verdict::MayHaveRun : this->failedVerdict;
  }

private:
  template<CallerExchange<Attempt> X>
  Task<void> Process(const Request& aRequest, Progress& aProgress, X& aExchange)
  {
    FailureReason reason;
    co_await this->AwaitConfiguration();
    const bool admitted = AdmitRequest(this->state,
                                       aRequest.facts,
                                       aProgress.arrivedAt,
                                       aProgress.admitted,
                                       reason);
    const bool mayRun =
      admitted && co_await this->FindOrigin(aRequest.facts, aProgress, reason);
    if (mayRun) {
      co_await this->RunAttempts(aRequest, aProgress, aExchange);
    } else {
      aProgress.failure = reason;
    }
  }

  // Finds the origin of a stream that the caller takes up again. Returns false
  // with the reason if no runner may continue it.
  Task<bool> FindOrigin(const EntryRequest& aRequest,
                        Progress& aProgress,
                        FailureReason& aReason)
  {
    AdmittedRequest& admitted = aProgress.admitted;
    if (!admitted.route->CanBeResumed()) {
      co_return true;
    }
    aProgress.isTakeUp = aRequest.continuesStream;
    const RequestId& first =
      aProgress.isTakeUp ? aRequest.firstAttempt : aRequest.id;
    if (!first.Empty()) {
      aProgress.streamKey = StreamKey(first,
                                      admitted.Scope().organisation,
                                      aRequest.host,
                                      aRequest.contentHash);
    }
    if (!aProgress.isTakeUp) {
      co_return true;
    }
    const auto only = this->state.OnlyStreamOrigin(this->timer.Now());
    const TakeUp found = co_await ResolveTakeUp(
      this->state.streamOrigins, this->peers, aProgress.streamKey, only);
    ++this->state.takeUps[static_cast<std::size_t>(found.source)];
    LogTakeUp(this->log, this->timer.Now(), aRequest, found);
    aProgress.origin = found.origin;
    if (!found.origin.IsKnown()) {
      Fail(aReason,
           ReasonCode::Unavailable,
           "the software version that began the stream is not known");
      co_return false;
    }
    if (!SelectService(admitted, found.origin.service)) {
      Fail(aReason,
           ReasonCode::Unavailable,
           "the route does not lead to the service that began the stream");
      co_return false;
    }
    co_return true;
  }

  // Records a fault of this program, which must not leave the caller without an
  // answer.
  void NoteException(const EntryRequest& aRequest,
                     Progress& aProgress,
                     const std::exception& aError)
  {
    aProgress.verdict =
      CombineVerdicts(aProgress.verdict, this->VerdictIfCancelled());
    aProgress.failedAnswer.reset();
    Fail(aProgress.failure, ReasonCode::Internal, aError.what());
    this->log.Write(
      this->timer.Now(),
      LogLevel::Error,
      "request failed by an exception",
      aRequest.id,
      { LogField(aProgress.failure), { LogKey::Verdict, aProgress.verdict } });
  }

  // Waits for the first configuration if the process has just started.
  Task<void> AwaitConfiguration()
  {
    const TimePoint until = this->state.startedAt + kStartupWait;
    while (this->state.Routes() == nullptr && this->timer.Now() < until) {
      const TimePoint next = this->timer.Now() + kConfigurationPollInterval;
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
      if (!choice || !AdmitParts(this->state,
                                 aProgress.admitted,
                                 this->timer.Now(),
                                 aProgress.failure)) {
        co_return;
      }
      LogPlaced(this->log,
                this->timer.Now(),
                aRequest.facts,
                *choice,
                aProgress.sentAttempts);
      FailureReason reason;
      aProgress.end =
        co_await this->TryOnce(aRequest, aProgress, *choice, aExchange, reason);
      const bool cancelled = co_await this->IsCancelled();
      if (cancelled) {
        aProgress.end = AttemptEnd::CallerGone;
      }
      if (aProgress.end == AttemptEnd::NotSent &&
          this->timer.Now() < aProgress.admitted.deadline) {
        continue;
      }
      this->NoteReleased(aRequest.facts, aProgress);
      if (aProgress.end == AttemptEnd::Delivered ||
          aProgress.end == AttemptEnd::CallerGone) {
        aProgress.done = true;
        co_return;
      }
      aProgress.failure = reason;
      this->NoteAttemptFailed(aRequest.facts, aProgress, *choice);
      const FailedRequest failed{ aProgress.admitted,
                                  aProgress.tried,
                                  aProgress.verdict,
                                  aProgress.sentAttempts,
                                  aProgress.connectAttempts,
                                  aProgress.streamStarted,
                                  aProgress.lastEventId.has_value(),
                                  aProgress.origin.IsKnown() };
      if (!MayRetry(this->state, failed, this->timer.Now())) {
        co_return;
      }
    }
  }

  // Picks a runner; waits while none has room for the request.
  Task<std::optional<RunnerPick>> Choose(const EntryRequest& aRequest,
                                         Progress& aProgress)
  {
    const RunnerSearch search{ aRequest,
                               aProgress.admitted,
                               aProgress.tried,
                               aProgress.arrivedAt,
                               aProgress.Resumed() };
    SearchFailure failure;
    auto choice = co_await this->wait.Find(search, failure);
    if (choice) {
      choice->spec.resumeAfter = aProgress.lastEventId;
    } else {
      if (aProgress.failure.code == ReasonCode::None) {
        aProgress.failure = failure.reason;
      }
      aProgress.retryAfter = failure.retryAfter;
    }
    co_return choice;
  }

  // Sends the request to one runner and relays its response.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> TryOnce(const Request& aRequest,
                           Progress& aProgress,
                           const RunnerPick& aChoice,
                           X& aExchange,
                           FailureReason& aReason)
  {
    const TimePoint sentAt = this->timer.Now();
    RunnerLoad load(
      aChoice.runner, aProgress.admitted.memoryTokens, aChoice.prefillTokens);
    const TimePoint connectBy =
      std::min(aProgress.admitted.deadline, sentAt + kConnectTimeout);
    bool isWanted = true;
    const SendCheck maySend = [this, &isWanted, &aChoice, &aProgress] {
      const TimePoint now = this->timer.Now();
      isWanted = this->state.MaySend(*aChoice.runner, now) &&
                 (!aChoice.cacheDomain ||
                  *aChoice.cacheDomain ==
                    CurrentCacheDomain(this->state, aProgress.admitted));
      if (isWanted) {
        this->isAtRunner = true;
        this->state.NoteSent(*aChoice.runner, now);
      }
      return isWanted;
    };
    auto attempt = co_await this->upstreams.Open(aRequest,
                                                 aChoice.spec,
                                                 connectBy,
                                                 aProgress.admitted.deadline,
                                                 maySend,
                                                 aReason);
    if (!isWanted) {
      co_return AttemptEnd::NotSent;
    }
    ++aProgress.connectAttempts;
    if (!attempt) {
      if (VerdictOf(aReason.code) != Verdict::NotRun) {
        ++aProgress.sentAttempts;
      }
      co_return AttemptEnd::Failed;
    }
    ++aProgress.sentAttempts;
    aProgress.lastRunner = aChoice.runner->entry.id;
    aChoice.runner->coldStart.NoteReached(sentAt);
    const TrackedRun followed(this->state.poison,
                              aProgress.lastRunner,
                              aProgress.admitted.fingerprint,
                              aProgress.admitted.kind);
    std::optional<AnnouncedPrompt<P>> announced;
    if (aChoice.prefillTokens >= kLongPrefillTokens) {
      announced.emplace(this->peers,
                        aChoice.runner,
                        RunnerWork{ aProgress.lastRunner,
                                    aChoice.prefillTokens,
                                    aProgress.admitted.memoryTokens,
                                    this->QueueOf(aProgress)->ExpectedRun() });
    }
    const SentAttempt sent{ aChoice, load, sentAt };
    aProgress.answerGoesOn = false;
    const AttemptEnd end = co_await this->relay.RelayResponse(
      aRequest.facts, *attempt, sent, aProgress, aExchange, aReason);
    const bool cancelled = co_await this->IsCancelled();
    if (end == AttemptEnd::Delivered &&
        aChoice.prefillTokens >= kLongPrefillTokens) {
      this->QueueOf(aProgress)->NoteRun(this->timer.Now() - sentAt);
    }
    if (end == AttemptEnd::Delivered) {
      this->state.poison.Succeeded(aProgress.lastRunner,
                                   aProgress.admitted.fingerprint,
                                   this->timer.Now());
    } else if (end == AttemptEnd::Failed && !cancelled &&
               aReason.code == ReasonCode::ConnectionLostAfterWrite) {
      this->NotePartsLost(aRequest.facts, aProgress, sent);
      this->NoteConnectionLost(aRequest.facts, aProgress, aChoice);
    }
    co_return end;
  }

  std::shared_ptr<ServiceQueue> QueueOf(const Progress& aProgress)
  {
    return this->state.QueueOf(aProgress.admitted.service->name);
  }

  void NoteReleased(const EntryRequest& aRequest, const Progress& aProgress)
  {
    if (aRequest.prompt) {
      this->QueueOf(aProgress)->NoteReleased(aProgress.admitted.memoryTokens,
                                             this->timer.Now());
    }
  }

  // Returns true if this task was cancelled because the caller has left.
  Task<bool> IsCancelled() const
  {
    const auto cancellation =
      co_await boost::asio::this_coro::cancellation_state;
    co_return cancellation.cancelled() != boost::asio::cancellation_type::none;
  }

  // Records that the connection was lost before the answer had begun and gone
  // on: a part of the prompt may have crashed the runner.
  void NotePartsLost(const EntryRequest& aRequest,
                     const Progress& aProgress,
                     const SentAttempt& aSent)
  {
    const std::vector<SharedPart>& parts = aProgress.admitted.sharedParts;
    if (aProgress.answerGoesOn || parts.empty()) {
      return;
    }
    const TimePoint now = this->timer.Now();
    const RunnerEntry& runner = aSent.pick.runner->entry;
    this->state.partCrashes.RecordLost(
      { parts,
        HashBytes(aRequest.prompt->parts.back().id,
                  aProgress.admitted.fingerprint.low)
          .low,
        runner.id,
        static_cast<std::uint64_t>(runner.startedAt),
        aSent.sentAt },
      now);
    LogPartsLost(this->log, now, aRequest.id, runner.id, parts);
  }

  // Records that the connection was lost while the request ran: the runner may
  // have crashed.
  void NoteConnectionLost(const EntryRequest& aRequest,
                          const Progress& aProgress,
                          const RunnerPick& aChoice)
  {
    const TimePoint now = this->timer.Now();
    const auto refused = this->state.poison.RecordUpstreamCrash(
      aProgress.lastRunner,
      static_cast<std::uint64_t>(aChoice.runner->entry.startedAt),
      now);
    this->peers.AnnouncePoison();
    if (!refused.empty()) {
      this->log.Write(now,
                      LogLevel::Warning,
                      "request crashes runners",
                      aRequest.id,
                      { { LogKey::Upstream, aProgress.lastRunner },
                        { LogKey::Count, refused.size() } });
    }
  }

  void NoteAttemptFailed(const EntryRequest& aRequest,
                         Progress& aProgress,
                         const RunnerPick& aChoice)
  {
    const Verdict verdict = VerdictOf(aProgress.failure.code);
    aProgress.verdict = CombineVerdicts(aProgress.verdict, verdict);
    this->failedVerdict = aProgress.verdict;
    this->isAtRunner = false;
    aProgress.tried.push_back(aChoice.runner->entry.id);
    const TimePoint now = this->timer.Now();
    // A runner that asked for a pause is not avoided beyond it.
    const bool asked = aProgress.failure.code == ReasonCode::RefusedBeforeRun &&
                       aChoice.runner->requestedPause.IsPaused(now);
    if (!asked && aProgress.failure.code != ReasonCode::StatusServerError &&
        aProgress.failure.code != ReasonCode::ResponseTimeout) {
      aChoice.runner->health.NoteFailure(now);
    }
    if (aProgress.failure.code == ReasonCode::ConnectRefused ||
        aProgress.failure.code == ReasonCode::ConnectTimeout) {
      aChoice.runner->coldStart.NoteUnreachable(now);
    }
    LogFailed(this->log,
              now,
              aRequest.id,
              *aChoice.runner,
              aProgress.failure,
              aProgress.sentAttempts);
  }

  template<CallerExchange<Attempt> X>
  Task<void> Refuse(const EntryRequest& aRequest,
                    Progress& aProgress,
                    X& aExchange)
  {
    aProgress.done = true;
    if (aProgress.streamStarted) {
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
      refusal.retryAfter = aProgress.retryAfter > Duration(0)
                             ? aProgress.retryAfter
                             : RetryAfterFailure(this->state,
                                                 { aRequest.id,
                                                   aProgress.admitted.service,
                                                   aProgress.failure.code },
                                                 this->timer.Now());
    }
    co_await aExchange.Refuse(refusal);
  }

  void NoteEnd(const EntryRequest& aRequest, const Progress& aProgress)
  {
    const MetricScope scope = aProgress.admitted.Scope();
    const bool ran = aProgress.end == AttemptEnd::Delivered;
    this->measures.Ended(scope, ran ? Verdict::Ran : aProgress.verdict);
    if (aProgress.sentAttempts > 1) {
      this->measures.Retried(scope);
    }
    const RequestEnd end{ aProgress.end,       aProgress.lastRunner,
                          aProgress.status,    aProgress.verdict,
                          aProgress.failure,   aProgress.sentAttempts,
                          aProgress.arrivedAt, aProgress.firstByteAt };
    LogEnd(this->log, this->timer.Now(), aRequest.id, aProgress.admitted, end);
  }

  EntryState& state;
  U& upstreams;
  P& peers;
  M& measures;
  T& timer;
  L& log;
  RunnerWait<T> wait;
  AnswerRelay<Attempt, P, M, T, L> relay;
  // The present attempt may have reached a runner.
  bool isAtRunner = false;
  // The combined verdict on the attempts that failed.
  Verdict failedVerdict = Verdict::NotRun;
};

} // namespace wigeonwalk
