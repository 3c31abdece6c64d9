// One completion from admission to its last token, written as one flow: choose
// a runner, restore cache, open the stream, forward tokens, and on a failure
// probe, resume, move or settle.
//
//   CompletionRun run(parts, request, caller);
//   co_await run.Serve(sink);
#pragma once

#include "wigeonwalk/placement/placement.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/ports/workers.h"
#include "wigeonwalk/retry/backoff.h"
#include "wigeonwalk/retry/stream_liveness.h"
#include "wigeonwalk/retry/stream_resume.h"
#include "wigeonwalk/retry/verdict_rules.h"
#include "wigeonwalk/serving/admission.h"
#include "wigeonwalk/serving/cache_keeper.h"
#include "wigeonwalk/serving/cache_mover.h"
#include "wigeonwalk/serving/daemon_view.h"
#include "wigeonwalk/serving/engine_provider.h"

#include <boost/asio/this_coro.hpp>

#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// How one attempt ended.
enum class AttemptEnd
{
  // The caller has the whole answer.
  Answered,
  // The caller is gone; nothing more can be said to it.
  CallerGone,
  // The attempt failed; the refusal says why.
  Broken,
};

template<>
struct EnumNames<AttemptEnd>
{
  static constexpr std::array<EnumName<AttemptEnd>, 3> kTable{ {
    { AttemptEnd::Answered, "answered" },
    { AttemptEnd::CallerGone, "caller-gone" },
    { AttemptEnd::Broken, "broken" },
  } };
};
static_assert(HasCompleteTable<AttemptEnd>());

// The adapters and the shared state that a run uses. All must outlive it.
template<Timer Time,
         EngineProvider Engines,
         StoreProvider Stores,
         EventSink Events,
         Workers Pool>
struct RunParts
{
  Time& time;
  Engines& engines;
  CacheMover<Time, Stores, Events>& mover;
  CacheKeeper<CacheMover<Time, Stores, Events>, Engines>& keeper;
  Events& events;
  Pool& pool;
  DaemonView& view;
};

// Prompts up to this many pieces are hashed on the I/O thread: about 8 µs a
// piece stays below 100 µs.
inline constexpr std::size_t kInlinePieces = 12;

// One request. Lives in the caller's coroutine.
template<typename Parts>
class CompletionRun
{
public:
  CompletionRun(Parts& aParts,
                const CompletionRequest& aRequest,
                const AdmittedCaller& aCaller)
    : parts(aParts)
    , request(aRequest)
    , caller(aCaller)
    , document(aCaller.accepted->document)
    , deadline(aParts.time.Now() +
               aRequest.timeout.value_or(document.requestTimeout))
    , print(FingerprintOf(aCaller.organisation->id, aRequest.prompt))
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
      const AttemptEnd end = co_await this->RunAttempt(*placed, *slot, aSink);
      if (end != AttemptEnd::Broken) {
        co_return;
      }
      const auto next = this->PlanRetry(*placed, ++failures);
      if (!next) {
        break;
      }
      co_await this->parts.time.WaitUntil(*next);
    }
    co_await this->EndWithRefusal(aSink);
  }

private:
  // Marks the request as running on an upstream for the poison tracker.
  class RunMark
  {
  public:
    RunMark(PoisonTracker& aTracker, UpstreamId aUpstream, Fingerprint aPrint)
      : tracker(aTracker)
      , upstream(std::move(aUpstream))
      , print(aPrint)
    {
    }
    ~RunMark()
    {
      if (!this->settled) {
        this->tracker.Ended(this->upstream, this->print);
      }
    }
    RunMark(const RunMark&) = delete;
    RunMark& operator=(const RunMark&) = delete;
    void Settle() { this->settled = true; }

  private:
    PoisonTracker& tracker;
    UpstreamId upstream;
    Fingerprint print;
    bool settled = false;
  };

  // Refuses poison, hashes the prompt and looks up what is stored of it.
  Task<bool> Prepare()
  {
    DaemonView& view = this->parts.view;
    const TimePoint now = this->parts.time.Now();
    this->admission = view.poison.Admit(this->print, now);
    if (this->admission == Admission::Refuse) {
      this->Refuse(ReasonCode::Poisoned,
                   "this request crashed the upstreams that ran it");
      co_return false;
    }
    this->version =
      view.placer.ChooseVersion(this->document, view.random(), now);
    const PieceScope scope{ this->caller.organisation->id,
                            this->document.name,
                            this->document.model.name,
                            this->version,
                            AdapterName() };
    this->salt = ScopeSalt(view.secret, scope);
    if (this->request.prompt.size() <= kInlinePieces * kPieceBytes) {
      this->chain = PieceChain(this->salt, this->request.prompt);
    } else {
      const auto hash = [this] {
        return PieceChain(this->salt, this->request.prompt);
      };
      this->chain = co_await this->parts.pool.RunOnPool(hash);
    }
    this->copies = view.cache.Directory().Lookup(this->chain);
    this->Record(EventKind::DirectoryLookedUp,
                 std::to_string(this->copies.size()) + " of " +
                   std::to_string(this->chain.size()) + " pieces stored");
    co_return true;
  }

  Task<std::optional<QueueGate::Slot>> WaitForTurn()
  {
    const double tokens =
      static_cast<double>(CountTokens(this->request.prompt));
    this->Record(EventKind::RequestQueued, std::string());
    auto slot =
      co_await this->parts.view.QueueOf(this->document)
        .Enter(
          *this->caller.organisation, tokens, this->deadline, this->parts.time);
    if (!slot) {
      this->Refuse(ReasonCode::Overloaded,
                   "the request's time ended in the queue");
    }
    co_return slot;
  }

  std::optional<PlacedRequest> PlaceNext()
  {
    DaemonView& view = this->parts.view;
    const TimePoint now = this->parts.time.Now();
    PlacementInput input{ this->document, this->version,
                          this->chain,    CountTokens(this->request.prompt),
                          this->copies,   this->excluded,
                          std::nullopt,   view.random() };
    if (this->admission == Admission::RunAlone) {
      input.only = this->ChooseAlone(now);
      if (!input.only) {
        this->Refuse(ReasonCode::Overloaded,
                     "the request may only run alone and no runner is idle");
        return std::nullopt;
      }
    }
    LastReason reason;
    auto placed = view.placer.Place(input, now, reason);
    if (!placed) {
      // The reason of an earlier attempt tells the caller more.
      if (this->refusal.reason.code == ReasonCode::None) {
        this->Refuse(reason.code, reason.detail);
      }
      return std::nullopt;
    }
    view.explain.Put(this->request.caller.request, placed->explanation);
    this->Record(EventKind::RequestPlaced,
                 "first token expected in " +
                   std::to_string(placed->cost.TimeToFirstToken()) + " s",
                 placed->runner.id);
    return placed;
  }

  std::optional<UpstreamId> ChooseAlone(TimePoint aNow) const
  {
    std::vector<AloneCandidate> candidates;
    for (const RunnerSpec& runner : this->document.runners) {
      const UpstreamTable& upstreams = this->parts.view.upstreams;
      const bool idle = upstreams.Usable(runner.id, aNow) &&
                        upstreams.InFlight(runner.id) == 0 &&
                        upstreams.WaitSeconds(runner.id, aNow) <= 0;
      candidates.push_back({ runner.id, idle });
    }
    return this->parts.view.poison.ChooseAlone(this->print, candidates);
  }

  template<AnswerSink Sink>
  Task<AttemptEnd> RunAttempt(const PlacedRequest& aPlaced,
                              QueueGate::Slot& aSlot,
                              Sink& aSink)
  {
    DaemonView& view = this->parts.view;
    const UpstreamId& runner = aPlaced.runner.id;
    const auto load = view.upstreams.Begin(runner);
    const double rate =
      std::max(this->document.model.prefillTokensPerSecond, 1.0);
    view.upstreams.NoteSent(runner,
                            static_cast<double>(aPlaced.computedTokens) / rate,
                            this->parts.time.Now());
    auto& engine = this->parts.engines.EngineOf(aPlaced.runner);
    co_await this->RestoreCache(aPlaced, engine);

    const EngineRequest engineRequest = this->NextEngineRequest(runner);
    view.cache.Tracker().NoteSent(runner, this->chain, this->parts.time.Now());
    view.poison.Started(runner,
                        this->print,
                        this->admission == Admission::RunAlone
                          ? RunKind::Alone
                          : RunKind::Shared);
    RunMark mark(view.poison, runner, this->print);
    this->refusal.reason = LastReason();
    auto stream =
      co_await engine.Open(engineRequest, this->deadline, this->refusal.reason);
    if (!stream) {
      co_await this->NoteBreak(aPlaced.runner, engine, mark);
      co_return AttemptEnd::Broken;
    }
    this->Record(EventKind::StreamOpened, std::string(), runner);
    const AttemptEnd end =
      co_await this->Forward(aPlaced, *stream, engine, aSlot, aSink);
    if (end == AttemptEnd::Broken) {
      co_await stream->Cancel();
      co_await this->NoteBreak(aPlaced.runner, engine, mark);
      co_return end;
    }
    if (end == AttemptEnd::CallerGone) {
      co_return end;
    }
    mark.Settle();
    view.poison.Succeeded(runner, this->print, this->parts.time.Now());
    this->NoteAnswered(aPlaced.runner);
    // The caller may close its connection with the last byte, which cancels
    // this coroutine, so the export starts before.
    const auto executor = co_await boost::asio::this_coro::executor;
    this->parts.keeper.Start(
      executor, this->caller, aPlaced.runner, this->chain);
    co_await aSink.Finish(this->summary);
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
    const std::size_t restored = co_await this->parts.mover.Restore(
      this->document, this->caller.organisation->id, aPlaced.restore, aEngine);
    this->Record(EventKind::RestoreFinished,
                 std::to_string(restored) + " pieces",
                 aPlaced.runner.id);
  }

  // The next attempt: the first one, one that goes on at the next token on the
  // engine that ran the broken one, or a rerun.
  EngineRequest NextEngineRequest(const UpstreamId& aRunner)
  {
    EngineRequest next = MakeEngineRequest(
      this->request, this->caller, this->parts.view.attempts.Next());
    next.version = this->version;
    next.cacheSalt = this->salt.ToHex();
    next.pieces = this->chain;
    if (!this->resume) {
      this->resume.emplace(next.attempt, IsDeterministic(next));
    } else if (this->resume->NextIndex() > 0 && aRunner == this->lastRunner) {
      next.resumeAt = this->resume->NextIndex();
      next.resumes = this->resume->Attempt();
      this->resume->StartResumed(next.attempt);
      this->Record(EventKind::StreamResumed,
                   "at token " + std::to_string(next.resumeAt),
                   aRunner);
    } else {
      this->resume->StartRerun(next.attempt);
    }
    this->lastRunner = aRunner;
    return next;
  }

  // Forwards tokens until the stream ends, breaks or the caller is gone.
  template<typename Stream, typename Engine, AnswerSink Sink>
  Task<AttemptEnd> Forward(const PlacedRequest& aPlaced,
                           Stream& aStream,
                           Engine& aEngine,
                           QueueGate::Slot& aSlot,
                           Sink& aSink)
  {
    LivenessSettings settings;
    settings.longest = this->document.tokenTimeout;
    StreamLiveness liveness(settings,
                            FromSeconds(aPlaced.cost.TimeToFirstToken()),
                            this->parts.time.Now());
    while (!this->resume->Complete()) {
      const TimePoint until = std::min(this->deadline, liveness.ProbeAt());
      LastReason reason;
      const auto chunk = co_await aStream.Next(until, reason);
      if (!chunk) {
        const bool wait =
          co_await this->MayWaitOn(reason, liveness, aPlaced.runner, aEngine);
        if (wait) {
          continue;
        }
        co_return AttemptEnd::Broken;
      }
      liveness.RecordToken(this->parts.time.Now());
      const AttemptEnd end = co_await this->Deliver(*chunk, aSlot, aSink);
      if (end != AttemptEnd::Answered) {
        co_return end;
      }
    }
    // The end of the response lets its connection be used again.
    LastReason ignored;
    co_await aStream.Next(this->parts.time.Now() + settings.probeTimeout,
                          ignored);
    co_return AttemptEnd::Answered;
  }

  // Offers one chunk to the caller. Answered means that the stream goes on.
  template<AnswerSink Sink>
  Task<AttemptEnd> Deliver(const AnswerChunk& aChunk,
                           QueueGate::Slot& aSlot,
                           Sink& aSink)
  {
    switch (this->resume->Offer(aChunk)) {
      case ChunkDecision::Deliver:
        break;
      case ChunkDecision::SkipChecked:
        co_return AttemptEnd::Answered;
      case ChunkDecision::DropForeign:
      case ChunkDecision::DropDuplicate:
      case ChunkDecision::DropAfterEnd:
        this->Record(EventKind::AnswerDropped, std::string());
        co_return AttemptEnd::Answered;
      case ChunkDecision::DropAhead:
      case ChunkDecision::PrefixDiffers:
        this->Record(EventKind::AnswerDropped, std::string());
        Fail(this->refusal.reason,
             ReasonCode::MalformedResponse,
             "the engine's tokens do not follow what was delivered");
        co_return AttemptEnd::Broken;
    }
    if (aChunk.index == 0) {
      this->Record(EventKind::FirstToken, std::string(), this->lastRunner);
    }
    aSlot.Leave();
    const bool delivered = co_await aSink.Token(aChunk);
    if (!delivered) {
      this->Record(EventKind::CallerGone, std::string());
      co_return AttemptEnd::CallerGone;
    }
    if (aChunk.Last()) {
      this->summary.finishReason = aChunk.finishReason;
      this->summary.promptTokens = aChunk.promptTokens;
      this->summary.cachedTokens = aChunk.cachedTokens;
    }
    co_return AttemptEnd::Answered;
  }

  // Decides on a stream that yielded nothing. Returns true where a probe on a
  // new connection says to wait on.
  template<typename Engine>
  Task<bool> MayWaitOn(const LastReason& aReason,
                       StreamLiveness& aLiveness,
                       const RunnerSpec& aRunner,
                       Engine& aEngine)
  {
    const TimePoint now = this->parts.time.Now();
    if (aReason.code != ReasonCode::ResponseTimeout || now >= this->deadline) {
      this->refusal.reason = aReason;
      co_return false;
    }
    const ProbeResult probe = co_await this->Probe(aRunner, aEngine);
    const LivenessAction action =
      aLiveness.ActOn(probe, true, this->parts.time.Now());
    if (action == LivenessAction::WaitOn) {
      co_return true;
    }
    this->keepRunner = action == LivenessAction::ResumeSameUpstream;
    Fail(this->refusal.reason,
         ReasonCode::SilentConnection,
         "no token in the expected time; a probe found the upstream " +
           std::string(NameOf(probe)),
         aRunner.id.Text());
    co_return false;
  }

  template<typename Engine>
  Task<ProbeResult> Probe(const RunnerSpec& aRunner, Engine& aEngine)
  {
    LastReason reason;
    const TimePoint until =
      this->parts.time.Now() + LivenessSettings().probeTimeout;
    const auto report = co_await aEngine.Load(until, reason);
    if (!report) {
      co_return reason.code == ReasonCode::ConnectRefused
        ? ProbeResult::Refused
        : ProbeResult::NoAnswer;
    }
    if (this->parts.view.upstreams.ReportLoad(
          aRunner.id, *report, this->document.model.prefillTokensPerSecond)) {
      co_return ProbeResult::Restarted;
    }
    co_return report->waitingTokens > 0 ? ProbeResult::AnsweredBusy
                                        : ProbeResult::Answered;
  }

  // Finds out whether a broken attempt's upstream died, and blames what ran
  // there if it did.
  template<typename Engine>
  Task<void> NoteBreak(const RunnerSpec& aRunner,
                       Engine& aEngine,
                       RunMark& aMark)
  {
    DaemonView& view = this->parts.view;
    this->refusal.verdict =
      this->resume->VerdictOnFailure(this->refusal.reason.code);
    this->Record(EventKind::StreamBroken,
                 std::string(NameOf(this->refusal.reason.code)),
                 aRunner.id);
    const std::uint64_t incarnation = view.upstreams.Incarnation(aRunner.id);
    const bool lost =
      this->refusal.reason.code == ReasonCode::ConnectionLostAfterWrite;
    if (lost && !this->keepRunner) {
      const ProbeResult probe = co_await this->Probe(aRunner, aEngine);
      if (probe == ProbeResult::Refused || probe == ProbeResult::Restarted) {
        aMark.Settle();
        view.poison.UpstreamDied(
          aRunner.id, incarnation, this->parts.time.Now());
        view.cache.Tracker().Forget(aRunner.id);
        this->Record(EventKind::UpstreamLost, std::string(), aRunner.id);
      }
    }
    if (!this->keepRunner) {
      view.upstreams.NoteFailure(aRunner.id, this->parts.time.Now());
    }
  }

  // Returns when the next attempt starts, or nothing where none may follow.
  std::optional<TimePoint> PlanRetry(const PlacedRequest& aPlaced,
                                     std::uint32_t aFailures)
  {
    DaemonView& view = this->parts.view;
    const TimePoint now = this->parts.time.Now();
    const bool keep = std::exchange(this->keepRunner, false);
    if (!IsTransient(this->refusal.reason.code) ||
        this->resume->PlanAfterBreak(keep) == ResumePlan::Fail ||
        !view.budget.TrySpend(
          this->caller.organisation->id, this->document.name, now)) {
      return std::nullopt;
    }
    if (!keep) {
      this->excluded.insert(aPlaced.runner.id);
    }
    // A death may have made this request a suspect.
    this->admission = view.poison.Admit(this->print, now);
    if (this->admission == Admission::Refuse) {
      this->Refuse(ReasonCode::Poisoned,
                   "this request crashed the upstreams that ran it");
      return std::nullopt;
    }
    const auto next = NextAttemptAt(
      BackoffSettings(), aFailures, now, this->deadline, view.random);
    if (next) {
      this->Record(EventKind::RequestRetried, std::string());
    }
    return next;
  }

  void NoteAnswered(const RunnerSpec& aRunner)
  {
    DaemonView& view = this->parts.view;
    this->summary.completionTokens = this->resume->NextIndex();
    this->summary.upstream = aRunner.id;
    view.upstreams.NoteSuccess(aRunner.id);
    view.budget.RecordSuccess(this->caller.organisation->id,
                              this->document.name,
                              this->parts.time.Now());
    this->Record(EventKind::RequestFinished,
                 std::to_string(this->summary.cachedTokens) + " of " +
                   std::to_string(this->summary.promptTokens) +
                   " prompt tokens cached",
                 aRunner.id);
  }

  template<AnswerSink Sink>
  Task<void> EndWithRefusal(Sink& aSink)
  {
    this->parts.events.Record(
      { EventKind::RequestRefused,
        this->parts.time.Now(),
        this->request.caller.request,
        this->refusal.reason.place,
        this->refusal.verdict,
        std::string(NameOf(this->refusal.reason.code)) });
    co_await aSink.Fail(this->refusal);
  }

  // Sets a refusal for a cause that is no failed attempt. The verdict on an
  // earlier attempt stays.
  void Refuse(ReasonCode aCode, std::string aDetail)
  {
    Fail(this->refusal.reason, aCode, std::move(aDetail));
  }

  void Record(EventKind aKind,
              std::string aDetail,
              const UpstreamId& aSubject = UpstreamId())
  {
    this->parts.events.Record({ aKind,
                                this->parts.time.Now(),
                                this->request.caller.request,
                                aSubject.Text(),
                                std::nullopt,
                                std::move(aDetail) });
  }

  Parts& parts;
  const CompletionRequest& request;
  const AdmittedCaller& caller;
  const ServiceDocument& document;
  TimePoint deadline;
  Fingerprint print;
  Admission admission = Admission::Run;
  WeightVersion version;
  PieceKey salt;
  std::vector<PieceKey> chain;
  std::vector<std::vector<PieceCopy>> copies;
  std::unordered_set<UpstreamId> excluded;
  std::optional<StreamResume> resume;
  UpstreamId lastRunner;
  // The next attempt goes to the same runner.
  bool keepRunner = false;
  AnswerSummary summary;
  Refusal refusal;
};

} // namespace wigeonwalk
