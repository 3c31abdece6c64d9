// Serves one admitted completion request: chooses a runner, restores cached
// pieces, opens the stream and forwards its tokens. After a failure, probes the
// engine and then resumes the stream, retries on another runner or refuses the
// request.
//
//   CompletionRun run(context, request, caller);
//   co_await run.Serve(sink);
#pragma once

#include "wigeonwalk/placement/placement.h"
#include "wigeonwalk/retry/backoff.h"
#include "wigeonwalk/retry/verdict_rules.h"
#include "wigeonwalk/serving/poison_run_guard.h"
#include "wigeonwalk/serving/prepared_prompt.h"
#include "wigeonwalk/serving/stream_forwarder.h"

#include <boost/asio/this_coro.hpp>

#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Interval at which a suspected request checks whether its runner is idle.
inline constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(50);

// Serves one request. Lives in the coroutine that serves the caller.
template<typename Context>
class CompletionRun
{
public:
  CompletionRun(Context& aContext,
                const CompletionRequest& aRequest,
                const AdmittedCaller& aCaller)
    : context(aContext)
    , state(aRequest, aCaller, aContext.time.Now())
    , forwarder(aContext, state)
    , fingerprint(FingerprintOf(aCaller.organisation->id, aRequest.prompt))
  {
  }

  template<AnswerSink Sink>
  Task<void> Serve(Sink& aSink)
  {
    if (!co_await this->Prepare()) {
      co_await this->EndWithRefusal(aSink);
      co_return;
    }
    auto slot = co_await this->WaitForTurn();
    if (!slot) {
      co_await this->EndWithRefusal(aSink);
      co_return;
    }
    std::uint32_t failures = 0;
    while (true) {
      const auto placed = this->PlaceNext();
      if (!placed) {
        break;
      }
      if (this->admission == PoisonAdmission::RunAlone) {
        co_await this->WaitUntilIdle(placed->runner.id);
      }
      const AttemptEnd end = co_await this->RunAttempt(*placed, *slot, aSink);
      if (end != AttemptEnd::Broken) {
        co_return;
      }
      const auto next = this->PlanRetry(*placed, ++failures);
      if (!next) {
        break;
      }
      co_await this->context.time.WaitUntil(*next);
    }
    co_await this->EndWithRefusal(aSink);
  }

private:
  // Refuses a request that is known to crash upstreams, and prepares the
  // prompt.
  Task<bool> Prepare()
  {
    const TimePoint now = this->context.time.Now();
    this->admission = this->context.daemon.poison.Admit(this->fingerprint, now);
    if (this->admission == PoisonAdmission::Refuse) {
      this->Refuse(ReasonCode::Poisoned,
                   "this request crashed the upstreams that ran it");
      co_return false;
    }
    this->prompt = co_await PreparePrompt(this->context, this->state);
    co_return true;
  }

  Task<std::optional<AdmissionQueue::Slot>> WaitForTurn()
  {
    // Stored pieces are restored and cost the runner no prefill.
    const std::uint64_t all = CountTokens(this->state.request.prompt);
    const std::uint64_t stored = this->prompt.StoredTokens(all);
    const double tokens = std::max(1.0, static_cast<double>(all - stored));
    this->Record(EventKind::RequestQueued, std::string());
    auto slot = co_await this->context.daemon.QueueOf(this->state.document)
                  .Enter(*this->state.caller.organisation,
                         tokens,
                         this->state.deadline,
                         this->context.time);
    this->context.measures.QueueTime(
      this->state.scope, this->context.time.Now() - this->state.arrivedAt);
    if (!slot) {
      this->Refuse(
        ReasonCode::Overloaded,
        "the request's deadline passed while it waited in the queue");
    }
    co_return slot;
  }

  std::optional<PlacedRequest> PlaceNext()
  {
    DaemonState& daemon = this->context.daemon;
    const TimePoint now = this->context.time.Now();
    const std::unordered_set<UpstreamId> avoided =
      this->admission == PoisonAdmission::RunAlone ? this->excluded
                                                   : this->AvoidedRunners(now);
    PlacementInput input{
      this->state.document,   this->prompt.version,
      this->prompt.pieceKeys, CountTokens(this->state.request.prompt),
      this->prompt.copies,    avoided,
      std::nullopt,           daemon.random()
    };
    if (this->admission == PoisonAdmission::RunAlone) {
      input.only = PoisonTracker::ChooseUpstreamForSuspect(
        this->fingerprint, this->UsableRunners(now));
    }
    FailureReason reason;
    auto placed = daemon.placer.Place(input, now, reason);
    if (!placed) {
      // The reason of an earlier attempt is more informative.
      if (this->state.refusal.reason.code == ReasonCode::None) {
        this->Refuse(reason.code, reason.detail);
      }
      return std::nullopt;
    }
    daemon.explain.Put(this->state.request.caller.request, placed->explanation);
    this->Record(EventKind::RequestPlaced,
                 "first token expected in " +
                   std::to_string(placed->cost.TimeToFirstToken()) + " s",
                 placed->runner.id);
    return placed;
  }

  std::vector<UpstreamId> UsableRunners(TimePoint aNow) const
  {
    std::vector<UpstreamId> usable;
    for (const RunnerSpec& runner : this->state.document.runners) {
      if (this->context.daemon.upstreams.Usable(runner.id, aNow) &&
          !this->excluded.contains(runner.id)) {
        usable.push_back(runner.id);
      }
    }
    return usable;
  }

  // Returns the runners that this request must not use: those on which an
  // attempt failed, and those reserved for suspected requests, unless all
  // usable runners are reserved.
  std::unordered_set<UpstreamId> AvoidedRunners(TimePoint aNow) const
  {
    const std::vector<UpstreamId> usable = this->UsableRunners(aNow);
    const auto reserved =
      this->context.daemon.poison.ReservedUpstreams(usable, aNow);
    std::unordered_set<UpstreamId> avoided = this->excluded;
    if (reserved.size() < usable.size()) {
      avoided.insert(reserved.begin(), reserved.end());
    }
    return avoided;
  }

  // Waits until the runner has no other work. A suspected request runs alone,
  // so that a crash can only be attributed to it, and a success clears it.
  Task<void> WaitUntilIdle(UpstreamId aRunner)
  {
    const UpstreamTable& upstreams = this->context.daemon.upstreams;
    while (this->context.time.Now() < this->state.deadline &&
           !(upstreams.InFlight(aRunner) == 0 &&
             upstreams.IsIdle(aRunner, this->context.time.Now()))) {
      co_await this->context.time.WaitUntil(this->context.time.Now() +
                                            kIdleCheckInterval);
    }
  }

  template<AnswerSink Sink>
  Task<AttemptEnd> RunAttempt(const PlacedRequest& aPlaced,
                              AdmissionQueue::Slot& aSlot,
                              Sink& aSink)
  {
    DaemonState& daemon = this->context.daemon;
    const UpstreamId& runner = aPlaced.runner.id;
    const auto inFlight = daemon.upstreams.TrackInFlight(runner);
    const double rate =
      std::max(this->state.document.model.prefillTokensPerSecond, 1.0);
    daemon.upstreams.NoteSent(runner,
                              static_cast<double>(aPlaced.computedTokens) /
                                rate,
                              this->context.time.Now());
    auto& engine = this->context.engines.EngineOf(aPlaced.runner);
    co_await this->RestoreCache(aPlaced, engine);

    EngineRequest engineRequest = this->NextEngineRequest(runner);
    engineRequest.requestClass = EngineRequestClass(
      engineRequest.requestClass, static_cast<double>(aPlaced.computedTokens));
    daemon.cache.Tracker().NoteSent(
      runner, this->prompt.pieceKeys, this->context.time.Now());
    daemon.poison.Started(runner,
                          this->fingerprint,
                          this->admission == PoisonAdmission::RunAlone
                            ? RunKind::Alone
                            : RunKind::Shared);
    PoisonRunGuard guard(daemon.poison, runner, this->fingerprint);
    this->state.refusal.reason = FailureReason();
    auto stream = co_await engine.Open(
      engineRequest, this->state.deadline, this->state.refusal.reason);
    if (!stream) {
      co_await this->HandleBrokenAttempt(aPlaced.runner, engine, guard);
      co_return AttemptEnd::Broken;
    }
    this->Record(EventKind::StreamOpened, std::string(), runner);
    const AttemptEnd end =
      co_await this->forwarder.Forward(aPlaced, *stream, engine, aSlot, aSink);
    if (end == AttemptEnd::Broken) {
      co_await stream->Cancel();
      co_await this->HandleBrokenAttempt(aPlaced.runner, engine, guard);
      co_return end;
    }
    if (end == AttemptEnd::CallerGone) {
      co_return end;
    }
    guard.Dismiss();
    daemon.poison.Succeeded(
      runner, this->fingerprint, this->context.time.Now());
    this->NoteAnswered(aPlaced.runner);
    // Starts the export before the answer ends: the caller may close its
    // connection with the last byte, which cancels this coroutine.
    const auto executor = co_await boost::asio::this_coro::executor;
    this->context.exporter.Start(
      executor, this->state.caller, aPlaced.runner, this->prompt.pieceKeys);
    co_await aSink.Finish(this->state.summary);
    co_return end;
  }

  template<typename Engine>
  Task<void> RestoreCache(const PlacedRequest& aPlaced, Engine& aEngine)
  {
    if (aPlaced.restore.empty()) {
      co_return;
    }
    this->Record(EventKind::RestoreStarted,
                 std::to_string(aPlaced.restore.size()) + " pieces",
                 aPlaced.runner.id);
    const std::size_t restored =
      co_await this->context.mover.Restore(this->state.document,
                                           this->state.caller.organisation->id,
                                           aPlaced.restore,
                                           aEngine);
    this->Record(EventKind::RestoreFinished,
                 std::to_string(restored) + " pieces",
                 aPlaced.runner.id);
  }

  // Returns the engine request of the next attempt: the first attempt, a
  // resumption at the next token if the runner is that of the broken attempt,
  // or a rerun from the beginning.
  EngineRequest NextEngineRequest(const UpstreamId& aRunner)
  {
    EngineRequest next =
      MakeEngineRequest(this->state.request,
                        this->state.caller,
                        this->context.daemon.attempts.Next());
    next.version = this->prompt.version;
    next.cacheSalt = this->prompt.salt.ToHex();
    next.pieces = this->prompt.pieceKeys;
    if (!this->state.resume) {
      this->state.resume.emplace(next.attempt, IsDeterministic(next));
    } else if (this->state.resume->NextIndex() > 0 &&
               aRunner == this->state.lastRunner) {
      next.resumeAt = this->state.resume->NextIndex();
      next.resumes = this->state.resume->Attempt();
      this->state.resume->StartResumed(next.attempt);
      this->Record(EventKind::StreamResumed,
                   "at token " + std::to_string(next.resumeAt),
                   aRunner);
    } else {
      this->state.resume->StartRerun(next.attempt);
    }
    this->state.lastRunner = aRunner;
    return next;
  }

  // Records a broken attempt. If its connection was lost, probes the upstream,
  // and if the upstream died, reports this to the poison tracker, which
  // suspects the requests that ran there.
  template<typename Engine>
  Task<void> HandleBrokenAttempt(const RunnerSpec& aRunner,
                                 Engine& aEngine,
                                 PoisonRunGuard& aGuard)
  {
    DaemonState& daemon = this->context.daemon;
    this->state.refusal.verdict = CombineVerdicts(
      this->state.refusal.verdict,
      this->state.resume->VerdictOnFailure(this->state.refusal.reason.code));
    this->Record(EventKind::StreamBroken,
                 std::string(NameOf(this->state.refusal.reason.code)),
                 aRunner.id);
    const std::uint64_t incarnation = daemon.upstreams.Incarnation(aRunner.id);
    const bool connectionLost =
      this->state.refusal.reason.code == ReasonCode::ConnectionLostAfterWrite;
    if (connectionLost && !this->state.keepRunner) {
      const ProbeResult probe =
        co_await this->forwarder.Probe(aRunner, aEngine);
      if (probe == ProbeResult::Refused || probe == ProbeResult::Restarted) {
        aGuard.Dismiss();
        daemon.poison.RecordUpstreamCrash(
          aRunner.id, incarnation, this->context.time.Now());
        daemon.onEvidence();
        daemon.cache.Tracker().Forget(aRunner.id);
        this->Record(EventKind::UpstreamLost, std::string(), aRunner.id);
      }
    }
    if (!this->state.keepRunner) {
      daemon.upstreams.NoteFailure(aRunner.id, this->context.time.Now());
    }
  }

  // Returns true if the retry budget allows another attempt. The first retry of
  // a request that certainly has not run costs no upstream work and needs no
  // budget: in an outage, it at most doubles the number of cheap attempts.
  // Every other retry is charged to the budget.
  bool TrySpendRetry(std::uint32_t aFailures, TimePoint aNow)
  {
    const bool free =
      aFailures == 1 && this->state.refusal.verdict == Verdict::NotRun;
    return free || this->context.daemon.budget.TrySpend(
                     this->state.caller.organisation->id,
                     this->state.document.name,
                     aNow);
  }

  // Returns the start time of the next attempt, or nullopt if the request must
  // not be retried.
  std::optional<TimePoint> PlanRetry(const PlacedRequest& aPlaced,
                                     std::uint32_t aFailures)
  {
    DaemonState& daemon = this->context.daemon;
    const TimePoint now = this->context.time.Now();
    const bool keep = std::exchange(this->state.keepRunner, false);
    if (!IsTransient(this->state.refusal.reason.code) ||
        this->state.resume->PlanAfterBreak(keep) == ResumePlan::Fail ||
        !this->TrySpendRetry(aFailures, now)) {
      return std::nullopt;
    }
    if (!keep) {
      this->excluded.insert(aPlaced.runner.id);
    }
    // A crash of the upstream may have made this request a suspect.
    this->admission = daemon.poison.Admit(this->fingerprint, now);
    if (this->admission == PoisonAdmission::Refuse) {
      this->Refuse(ReasonCode::Poisoned,
                   "this request crashed the upstreams that ran it");
      return std::nullopt;
    }
    const auto next = NextAttemptAt(
      BackoffSettings(), aFailures, now, this->state.deadline, daemon.random);
    if (next) {
      this->context.measures.Retried(this->state.scope);
      this->Record(EventKind::RequestRetried, std::string());
    }
    return next;
  }

  void NoteAnswered(const RunnerSpec& aRunner)
  {
    DaemonState& daemon = this->context.daemon;
    this->state.summary.completionTokens = this->state.resume->NextIndex();
    this->state.summary.upstream = aRunner.id;
    daemon.upstreams.NoteSuccess(aRunner.id);
    daemon.budget.RecordSuccess(this->state.caller.organisation->id,
                                this->state.document.name,
                                this->context.time.Now());
    const std::uint64_t served =
      this->prompt.StoredTokens(this->state.summary.promptTokens);
    const std::uint64_t cached = this->state.summary.cachedTokens;
    this->context.measures.Prompt(this->state.scope,
                                  this->state.summary.promptTokens,
                                  served > cached ? served - cached : 0);
    this->context.measures.Ended(this->state.scope, Verdict::Ran);
    this->Record(EventKind::RequestFinished,
                 std::to_string(this->state.summary.cachedTokens) + " of " +
                   std::to_string(this->state.summary.promptTokens) +
                   " prompt tokens cached",
                 aRunner.id);
  }

  template<AnswerSink Sink>
  Task<void> EndWithRefusal(Sink& aSink)
  {
    this->context.measures.Ended(this->state.scope,
                                 this->state.refusal.verdict);
    this->context.events.Record(
      { EventKind::RequestRefused,
        this->context.time.Now(),
        this->state.request.caller.request,
        this->state.refusal.reason.place,
        this->state.refusal.verdict,
        std::string(NameOf(this->state.refusal.reason.code)) });
    co_await aSink.Fail(this->state.refusal);
  }

  // Sets the reason of the refusal for a cause other than a failed attempt.
  // Keeps the verdict of earlier attempts.
  void Refuse(ReasonCode aCode, std::string aDetail)
  {
    Fail(this->state.refusal.reason, aCode, std::move(aDetail));
  }

  void Record(EventKind aKind,
              std::string aDetail,
              const UpstreamId& aSubject = UpstreamId())
  {
    RecordStep(this->context, this->state, aKind, std::move(aDetail), aSubject);
  }

  Context& context;
  RequestState state;
  StreamForwarder<Context> forwarder;
  Fingerprint fingerprint;
  PoisonAdmission admission = PoisonAdmission::Run;
  PreparedPrompt prompt;
  std::unordered_set<UpstreamId> excluded;
};

} // namespace wigeonwalk
