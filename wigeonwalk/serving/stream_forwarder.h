// The state of one request across its attempts, and the forwarding of tokens
// from an open stream to the caller.
//
//   StreamForwarder forwarder(context, state);
//   AttemptEnd end = co_await forwarder.Forward(placed, stream, engine, slot,
//                                               sink);
#pragma once

#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/ports/request_metrics.h"
#include "wigeonwalk/ports/worker_pool.h"
#include "wigeonwalk/retry/stream_liveness.h"
#include "wigeonwalk/retry/stream_resume.h"
#include "wigeonwalk/serving/admission.h"
#include "wigeonwalk/serving/cache_exporter.h"
#include "wigeonwalk/serving/daemon_state.h"
#include "wigeonwalk/serving/engine_provider.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// How one attempt ended.
enum class AttemptEnd
{
  // The caller has received the whole answer.
  Answered,
  // The caller has disconnected, so that nothing more can be sent to it.
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

// The adapters and the shared state that a request's run uses. All must outlive
// it.
template<Timer Time,
         EngineProvider Engines,
         typename Mover,
         EventSink Events,
         RequestMetrics Measures,
         WorkerPool Pool>
struct RunContext
{
  Time& time;
  Engines& engines;
  Mover& mover;
  CacheExporter<Mover, Engines>& exporter;
  Events& events;
  Measures& measures;
  Pool& pool;
  DaemonState& daemon;
};

// One request across all its attempts.
struct RequestState
{
  RequestState(const CompletionRequest& aRequest,
               const AdmittedCaller& aCaller,
               TimePoint aNow)
    : request(aRequest)
    , caller(aCaller)
    , document(aCaller.accepted->document)
    , scope{ document.name, aCaller.organisation->id }
    , arrivedAt(aNow)
    , deadline(aNow + aRequest.timeout.value_or(document.requestTimeout))
  {
  }

  const CompletionRequest& request;
  const AdmittedCaller& caller;
  const ServiceDocument& document;
  MetricScope scope;
  TimePoint arrivedAt;
  TimePoint deadline;
  TimePoint lastTokenAt;
  // Set by the first attempt.
  std::optional<StreamResume> resume;
  UpstreamId lastRunner;
  // The runner still works, so that the next attempt may use it again.
  bool keepRunner = false;
  AnswerSummary summary;
  Refusal refusal;
};

// Records an event of a request.
template<typename Context>
void
RecordStep(Context& aContext,
           const RequestState& aState,
           EventKind aKind,
           std::string aDetail,
           const UpstreamId& aSubject = UpstreamId())
{
  aContext.events.Record({ aKind,
                           aContext.time.Now(),
                           aState.request.caller.request,
                           aSubject.Text(),
                           std::nullopt,
                           std::move(aDetail) });
}

// Forwards tokens for one request. The references must outlive it.
template<typename Context>
class StreamForwarder
{
public:
  StreamForwarder(Context& aContext, RequestState& aState)
    : context(aContext)
    , state(aState)
  {
  }

  // Forwards tokens until the stream ends or breaks, or the caller disconnects.
  template<typename Stream, typename Engine, AnswerSink Sink>
  Task<AttemptEnd> Forward(const PlacedRequest& aPlaced,
                           Stream& aStream,
                           Engine& aEngine,
                           AdmissionQueue::Slot& aSlot,
                           Sink& aSink)
  {
    LivenessSettings settings;
    settings.maxTimeout = this->state.document.tokenTimeout;
    StreamLiveness liveness(settings,
                            FromSeconds(aPlaced.cost.TimeToFirstToken()),
                            this->context.time.Now());
    while (!this->state.resume->Complete()) {
      const TimePoint until =
        std::min(this->state.deadline, liveness.ProbeAt());
      FailureReason reason;
      const auto chunk = co_await aStream.Next(until, reason);
      if (!chunk) {
        const bool wait = co_await this->ShouldKeepWaiting(
          reason, liveness, aPlaced.runner, aEngine);
        if (wait) {
          continue;
        }
        co_return AttemptEnd::Broken;
      }
      liveness.RecordToken(this->context.time.Now());
      const AttemptEnd end = co_await this->Deliver(*chunk, aSlot, aSink);
      if (end != AttemptEnd::Answered) {
        co_return end;
      }
    }
    // Reads the end of the response, so that its connection can be reused.
    FailureReason ignored;
    co_await aStream.Next(this->context.time.Now() + settings.probeTimeout,
                          ignored);
    co_return AttemptEnd::Answered;
  }

  // Requests an engine's load report on a new connection.
  template<typename Engine>
  Task<ProbeResult> Probe(const RunnerSpec& aRunner, Engine& aEngine)
  {
    FailureReason reason;
    const TimePoint until =
      this->context.time.Now() + LivenessSettings().probeTimeout;
    const auto report = co_await aEngine.Probe(until, reason);
    if (!report) {
      co_return reason.code == ReasonCode::ConnectRefused
        ? ProbeResult::Refused
        : ProbeResult::NoAnswer;
    }
    if (this->context.daemon.upstreams.ReportLoad(
          aRunner.id,
          *report,
          this->state.document.model.prefillTokensPerSecond)) {
      co_return ProbeResult::Restarted;
    }
    co_return report->waitingTokens > 0 ? ProbeResult::AnsweredBusy
                                        : ProbeResult::Answered;
  }

private:
  // Checks one chunk and sends it to the caller. Answered means that the stream
  // continues.
  template<AnswerSink Sink>
  Task<AttemptEnd> Deliver(const AnswerChunk& aChunk,
                           AdmissionQueue::Slot& aSlot,
                           Sink& aSink)
  {
    switch (this->state.resume->Offer(aChunk)) {
      case ChunkDecision::Deliver:
        break;
      case ChunkDecision::SkipChecked:
        co_return AttemptEnd::Answered;
      case ChunkDecision::DropForeign:
      case ChunkDecision::DropDuplicate:
      case ChunkDecision::DropAfterEnd:
        this->context.measures.Dropped(this->state.scope);
        this->Record(EventKind::AnswerDropped, std::string());
        co_return AttemptEnd::Answered;
      case ChunkDecision::DropAhead:
      case ChunkDecision::PrefixDiffers:
        this->Record(EventKind::AnswerDropped, std::string());
        Fail(this->state.refusal.reason,
             ReasonCode::MalformedResponse,
             "the engine's tokens do not continue the delivered ones");
        co_return AttemptEnd::Broken;
    }
    if (aChunk.index == 0) {
      RecordStep(this->context,
                 this->state,
                 EventKind::FirstToken,
                 std::string(),
                 this->state.lastRunner);
    }
    aSlot.Leave();
    this->Measure(aChunk);
    const bool delivered = co_await aSink.Token(aChunk);
    if (!delivered) {
      this->Record(EventKind::CallerGone, std::string());
      co_return AttemptEnd::CallerGone;
    }
    if (aChunk.IsLast()) {
      this->state.summary.finishReason = aChunk.finishReason;
      this->state.summary.promptTokens = aChunk.promptTokens;
      this->state.summary.cachedTokens = aChunk.cachedTokens;
    }
    co_return AttemptEnd::Answered;
  }

  // Decides how to continue after a stream yielded no chunk. Returns true if a
  // probe on a new connection shows that the stream should be waited for.
  template<typename Engine>
  Task<bool> ShouldKeepWaiting(const FailureReason& aReason,
                               StreamLiveness& aLiveness,
                               const RunnerSpec& aRunner,
                               Engine& aEngine)
  {
    const TimePoint now = this->context.time.Now();
    if (aReason.code != ReasonCode::ResponseTimeout ||
        now >= this->state.deadline) {
      this->state.refusal.reason = aReason;
      co_return false;
    }
    const ProbeResult probe = co_await this->Probe(aRunner, aEngine);
    const LivenessAction action =
      aLiveness.DecideAfterProbe(probe, true, this->context.time.Now());
    if (action == LivenessAction::KeepWaiting) {
      co_return true;
    }
    this->state.keepRunner = action == LivenessAction::ResumeSameUpstream;
    Fail(this->state.refusal.reason,
         ReasonCode::SilentConnection,
         "no token within the expected time; result of the probe of the "
         "upstream: " +
           std::string(NameOf(probe)),
         aRunner.id.Text());
    co_return false;
  }

  void Measure(const AnswerChunk& aChunk)
  {
    const TimePoint now = this->context.time.Now();
    if (aChunk.index == 0) {
      this->context.measures.TimeToFirstToken(this->state.scope,
                                              now - this->state.arrivedAt);
    } else {
      this->context.measures.InterTokenLatency(this->state.scope,
                                               now - this->state.lastTokenAt);
    }
    this->state.lastTokenAt = now;
  }

  void Record(EventKind aKind, std::string aDetail)
  {
    RecordStep(this->context, this->state, aKind, std::move(aDetail));
  }

  Context& context;
  RequestState& state;
};

} // namespace wigeonwalk
