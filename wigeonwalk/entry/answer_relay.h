// Relays the response of one attempt to the caller.
//
//   AnswerRelay<Attempt, M, T, L> relay(state, measures, timer, log);
//   end = co_await relay.RelayResponse(request, attempt, sent, progress,
//                                      exchange, reason);
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/forward_progress.h"
#include "wigeonwalk/entry/replaced_weights.h"
#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/ports/attempts.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/request_metrics.h"
#include "wigeonwalk/ports/structured_log.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// Tells other daemons where a stream began.
template<typename T>
concept OriginAnnouncer = requires(T& aPeers, const StreamRecord& aRecord)
{
  aPeers.AnnounceOrigin(aRecord);
};

// An attempt that was sent: its runner, the load it adds there, and when it was
// sent.
struct SentAttempt
{
  const RunnerPick& pick;
  RunnerLoad& load;
  TimePoint sentAt;
};

// A non-streaming response is buffered completely before any of it is relayed,
// so that a failed attempt can be retried. A stream is relayed event by event.
// Keeps no state between requests; the EntryState must outlive it.
template<RunnerExchange Attempt,
         OriginAnnouncer P,
         RequestMetrics M,
         Timer T,
         StructuredLog L>
class AnswerRelay
{
public:
  using Progress = ForwardProgress<Attempt>;

  AnswerRelay(EntryState& aState, P& aPeers, M& aMeasures, T& aTimer, L& aLog)
    : state(aState)
    , peers(aPeers)
    , measures(aMeasures)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Returns how the attempt ended, and the reason if it failed.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> RelayResponse(const EntryRequest& aRequest,
                                 Attempt& aAttempt,
                                 const SentAttempt& aSent,
                                 Progress& aProgress,
                                 X& aExchange,
                                 FailureReason& aReason)
  {
    const auto head =
      co_await aAttempt.ReadHead(aProgress.admitted.deadline, aReason);
    if (!head) {
      co_return AttemptEnd::Failed;
    }
    aProgress.status = head->status;
    ApplyAdvice(this->state,
                this->log,
                aSent.pick.runner,
                head->advice,
                this->timer.Now());
    if (!head->refusedWithoutRunning) {
      aSent.pick.runner->requestedPause.NoteTaken(aSent.sentAt);
    }
    this->CheckWeights(aRequest, *head, aSent.pick);
    if (!this->IsUsable(aRequest, *head, aSent.pick, aProgress, aReason)) {
      co_return AttemptEnd::Failed;
    }
    if (head->IsSuccess() && head->isEventStream) {
      co_return co_await this->RelayStream(
        aRequest, aAttempt, aSent, aProgress, aExchange, aReason);
    }
    co_return co_await this->RelayWholeResponse(
      aAttempt, *head, aSent, aProgress, aExchange, aReason);
  }

private:
  // Returns false with a reason if no part of the response may reach the
  // caller.
  bool IsUsable(const EntryRequest& aRequest,
                const AnswerHead& aHead,
                const RunnerPick& aPick,
                const Progress& aProgress,
                FailureReason& aReason)
  {
    const std::string status = "status " + std::to_string(aHead.status);
    const std::string& runner = aPick.runner->entry.id.Text();
    if (aHead.refusedWithoutRunning) {
      Fail(aReason,
           ReasonCode::RefusedBeforeRun,
           "the runner refused with " + status,
           runner);
      this->NoteWeightsMismatch(aRequest, aHead, aPick);
      return false;
    }
    if (!aHead.isSigned && (aHead.IsSuccess() || aHead.impliesNotRun)) {
      Fail(aReason,
           ReasonCode::MalformedResponse,
           status + " without the runner's signature header",
           runner);
      return false;
    }
    if (!aProgress.streamStarted) {
      return true;
    }
    // The caller has received events, so only further events may follow.
    if (!aHead.IsSuccess()) {
      aPick.runner->health.NoteFailedAnswer(this->timer.Now());
      Fail(aReason,
           ReasonCode::StatusServerError,
           "the runner answered with " + status,
           runner);
      return false;
    }
    if (!aHead.isEventStream) {
      Fail(aReason,
           ReasonCode::MalformedResponse,
           status + " is not an event stream, so the stream can't be resumed",
           runner);
      return false;
    }
    return true;
  }

  // Logs and counts an answer that was made on older weights than the request
  // expected, or on weights that were replaced longer ago than allowed.
  void CheckWeights(const EntryRequest& aRequest,
                    const AnswerHead& aHead,
                    const RunnerPick& aPick)
  {
    if (!aRequest.prompt || !aHead.weights) {
      return;
    }
    const TimePoint now = this->timer.Now();
    const WeightHistory history =
      HistoryWithEstimates(this->state, aRequest.prompt->model);
    const TimePoint replacedAt =
      history.ReplacedAt(*aHead.weights).value_or(now);
    const Duration allowed = this->state.Settings().bounds.newWeights;
    if (*aHead.weights >= aPick.spec.version && now - replacedAt <= allowed) {
      return;
    }
    ++this->state.answersOnOldWeights;
    this->log.Write(now,
                    LogLevel::Warning,
                    "answer on old weights",
                    aRequest.id,
                    { { LogKey::Upstream, aPick.runner->entry.id },
                      { LogKey::Model, aRequest.prompt->model },
                      { LogKey::Version, *aHead.weights },
                      { LogKey::Expected, aPick.spec.version },
                      { LogKey::Age, now - replacedAt } });
  }

  void NoteWeightsMismatch(const EntryRequest& aRequest,
                           const AnswerHead& aHead,
                           const RunnerPick& aPick)
  {
    if (!aHead.otherWeights || !aRequest.prompt) {
      return;
    }
    // Callers may name any model; a runner's list must not grow with them.
    const ModelName& model = aRequest.prompt->model;
    if (aPick.runner->VersionOf(model) > 0 ||
        this->state.WeightsOf(model).Newest().version > 0) {
      aPick.runner->SetVersion(model, *aHead.otherWeights);
    }
  }

  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> RelayWholeResponse(Attempt& aAttempt,
                                      const AnswerHead& aHead,
                                      const SentAttempt& aSent,
                                      Progress& aProgress,
                                      X& aExchange,
                                      FailureReason& aReason)
  {
    std::string body;
    while (true) {
      const auto bytes =
        co_await aAttempt.ReadBody(aProgress.admitted.deadline, aReason);
      if (!bytes) {
        co_return AttemptEnd::Failed;
      }
      if (bytes->empty()) {
        break;
      }
      body += *bytes;
    }
    const TimePoint now = this->timer.Now();
    Runner& runner = *aSent.pick.runner;
    const ReasonCode code = ReasonOfStatus(aHead.status, false);
    if (code == ReasonCode::StatusServerError) {
      runner.health.NoteFailedAnswer(now);
      Fail(aReason,
           code,
           "the runner answered with status " + std::to_string(aHead.status),
           runner.entry.id.Text());
      aProgress.failedAnswer = std::make_unique<Attempt>(std::move(aAttempt));
      aProgress.failedBody = std::move(body);
      co_return AttemptEnd::Failed;
    }
    runner.health.NoteSuccess(now - aSent.sentAt, now);
    if (aHead.IsSuccess()) {
      this->NoteAnswerGoesOn(aProgress);
    }
    aProgress.firstByteAt = now;
    const bool written = co_await aExchange.Answer(aAttempt, std::move(body));
    aAttempt.Finish();
    co_return written ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> RelayStream(const EntryRequest& aRequest,
                               Attempt& aAttempt,
                               const SentAttempt& aSent,
                               Progress& aProgress,
                               X& aExchange,
                               FailureReason& aReason)
  {
    const TimePoint openedAt = this->timer.Now();
    for (int reads = 0;; ++reads) {
      auto events =
        co_await aAttempt.ReadEvents(aProgress.admitted.deadline, aReason);
      if (!events) {
        co_return AttemptEnd::Failed;
      }
      if (events->empty()) {
        break;
      }
      aSent.load.NotePrefillDone();
      if (reads == 1) {
        this->NoteAnswerGoesOn(aProgress);
      }
      bool written = false;
      if (aProgress.streamStarted) {
        written = co_await aExchange.WriteEvents(std::move(*events));
      } else {
        this->NoteFirstEvents(aRequest, aSent.pick, aProgress);
        written = co_await aExchange.BeginStream(aAttempt, std::move(*events));
      }
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
      if (aAttempt.LastEventId()) {
        aProgress.lastEventId = aAttempt.LastEventId();
      }
    }
    if (!aProgress.streamStarted) {
      aProgress.streamStarted = true;
      co_await aExchange.BeginStream(aAttempt, std::string());
    }
    const TimePoint now = this->timer.Now();
    aSent.pick.runner->health.NoteSuccess(now - openedAt, now);
    const bool ended = co_await aExchange.EndStream();
    aAttempt.Finish();
    co_return ended ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  // A part that crashes runners does so when its answer begins, so the parts of
  // an answer that goes on do not.
  void NoteAnswerGoesOn(Progress& aProgress)
  {
    aProgress.answerGoesOn = true;
    this->state.partCrashes.RecordAnswer(aProgress.admitted.sharedParts,
                                         this->timer.Now());
  }

  void NoteFirstEvents(const EntryRequest& aRequest,
                       const RunnerPick& aPick,
                       Progress& aProgress)
  {
    aProgress.firstByteAt = this->timer.Now();
    aProgress.streamStarted = true;
    this->NoteOrigin(aPick, aProgress);
    const MetricScope scope = aProgress.admitted.Scope();
    this->measures.TimeToFirstToken(
      scope, aProgress.firstByteAt - aProgress.arrivedAt);
    const auto& engine = aProgress.admitted.service->engine;
    if (!aRequest.prompt || !engine) {
      return;
    }
    this->measures.Prompt(
      scope, aRequest.prompt->inputTokens, aPick.recomputedTokens);
    this->NoteParts(*aRequest.prompt, aPick.spec, engine->cacheTokens);
  }

  // Records where the caller's stream began or went on, before it has events
  // that it may take up elsewhere.
  void NoteOrigin(const RunnerPick& aPick, Progress& aProgress)
  {
    // Another start of the runner may have answered if it has registered since
    // the request was sent.
    const UpstreamId& runner = aPick.runner->entry.id;
    const auto present = this->state.fleet.Find(runner);
    const StreamOrigin origin = present == nullptr || present == aPick.runner
                                  ? aPick.runner->Origin()
                                  : StreamOrigin{ aPick.runner->entry.service };
    if (aProgress.isTakeUp && aProgress.origin != origin) {
      aProgress.origin.version.clear();
    } else {
      aProgress.origin = origin;
    }
    if (aProgress.streamKey) {
      const StreamRecord record{ *aProgress.streamKey, aProgress.origin };
      this->state.streamOrigins.Record(record, runner, this->timer.Now());
      this->peers.AnnounceOrigin(record);
    }
  }

  // A runner that has generated its first token holds all parts of the prompt.
  // Its cache events confirm this later.
  void NoteParts(const Prompt& aPrompt,
                 const AttemptSpec& aSpec,
                 std::uint64_t aCacheTokens)
  {
    for (const PromptPart& part : aPrompt.parts) {
      this->state.parts.Set(
        aSpec.runner, KeyOfPart(aSpec.cacheSalt, part.id), part.tokens);
    }
    if (aCacheTokens == 0) {
      return;
    }
    // If the runner's cache events are not followed, this daemon knows only of
    // its own requests; it assumes an equal share of the memory per daemon.
    const bool followed = this->state.holders.contains(aSpec.runner);
    this->state.parts.Trim(aSpec.runner,
                           followed ? aCacheTokens
                                    : aCacheTokens / this->state.DaemonCount());
  }

  EntryState& state;
  P& peers;
  M& measures;
  T& timer;
  L& log;
};

} // namespace wigeonwalk
