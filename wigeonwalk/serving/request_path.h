// The request path: from a decoded request to a whole answer or an accurate
// error. It knows no protocol and no socket.
//
//   RequestPath path(documents, runners, timer, engines, plain, events,
//   origin); co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/retry/verdict_rules.h"
#include "wigeonwalk/serving/admission.h"
#include "wigeonwalk/serving/runner_table.h"

#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// Finds the documents in force.
template<typename T>
concept DocumentSource = requires(const T& aSource, const ServiceName& aService)
{
  {
    aSource.Find(aService)
    } -> std::same_as<std::shared_ptr<const AcceptedDocument>>;
};

// Gives the engine and the plain service behind an upstream.
template<typename T>
concept UpstreamProvider = requires(T& aProvider, const RunnerSpec& aRunner)
{
  {
    aProvider.EngineOf(aRunner)
    } -> std::same_as<typename T::Engine&>;
  {
    aProvider.ServiceOf(aRunner)
    } -> std::same_as<typename T::Service&>;
}
&&StreamingEngine<typename T::Engine>&& PlainService<typename T::Service>;

// Gives each attempt of this daemon an identity of its own.
class AttemptSource
{
public:
  AttemptSource(HostId aDaemon, std::uint64_t aIncarnation)
    : daemon(std::move(aDaemon))
    , incarnation(aIncarnation)
  {
  }

  AttemptId Next()
  {
    ++this->attempts;
    return { this->daemon, this->incarnation, this->attempts, this->attempts };
  }

private:
  HostId daemon;
  std::uint64_t incarnation;
  std::uint64_t attempts = 0;
};

// Serves requests of all callers of one daemon. Runs on the I/O thread only.
// The references must outlive it.
template<DocumentSource Documents,
         Timer Time,
         UpstreamProvider Upstreams,
         EventSink Events>
class RequestPath
{
public:
  RequestPath(const Documents& aDocuments,
              RunnerTable& aRunners,
              Time& aTime,
              Upstreams& aUpstreams,
              Events& aEvents,
              AttemptSource& aAttempts)
    : documents(aDocuments)
    , runners(aRunners)
    , time(aTime)
    , upstreams(aUpstreams)
    , events(aEvents)
    , attempts(aAttempts)
  {
  }

  // Generates an answer into the sink.
  template<AnswerSink Sink>
  Task<void> Complete(const CompletionRequest& aRequest, Sink& aSink)
  {
    const RequestId& id = aRequest.caller.request;
    this->Record(
      EventKind::RequestReceived, id, aRequest.caller.service.Text());
    Refusal refusal;
    const auto admission = this->Admit(aRequest.caller, refusal);
    if (!admission) {
      this->RecordRefusal(id, refusal);
      co_await aSink.Fail(refusal);
      co_return;
    }
    const ServiceDocument& document = admission->accepted->document;
    const TimePoint deadline =
      this->time.Now() + aRequest.timeout.value_or(document.requestTimeout);
    AnswerSummary summary;
    while (true) {
      const auto runner = this->runners.Choose(document, refusal.reason);
      if (!runner) {
        refusal.verdict = Verdict::NotRun;
        break;
      }
      if (co_await this->RunAttempt(
            aRequest, *admission, *runner, deadline, aSink, summary, refusal)) {
        co_return;
      }
      const bool mayRetry =
        summary.completionTokens == 0 &&
        refusal.reason.code != ReasonCode::StatusClientError &&
        this->time.Now() < deadline && this->runners.TakeRetry(*runner);
      if (!mayRetry) {
        break;
      }
      this->Record(EventKind::RequestRetried, id, runner->id.Text());
    }
    this->RecordRefusal(id, refusal);
    co_await aSink.Fail(refusal);
  }

  // Calls a plain service. On failure fills the refusal and returns nothing.
  Task<std::optional<PlainResponse>> CallPlain(const PlainCall& aCall,
                                               Refusal& aRefusal)
  {
    const auto admission = this->Admit(aCall.caller, aRefusal);
    if (!admission) {
      this->RecordRefusal(aCall.caller.request, aRefusal);
      co_return std::nullopt;
    }
    const ServiceDocument& document = admission->accepted->document;
    const auto runner = this->runners.Choose(document, aRefusal.reason);
    if (!runner) {
      this->RecordRefusal(aCall.caller.request, aRefusal);
      co_return std::nullopt;
    }
    PlainRequest request;
    request.attempt = this->attempts.Next();
    request.method = aCall.method;
    request.target = aCall.path;
    request.contentType = aCall.contentType;
    request.body = aCall.body;
    const TimePoint deadline =
      this->time.Now() + aCall.timeout.value_or(document.requestTimeout);
    auto response = co_await this->upstreams.ServiceOf(*runner).Call(
      request, deadline, aRefusal.reason);
    if (!response) {
      aRefusal.verdict = VerdictOf(aRefusal.reason.code);
      this->RecordRefusal(aCall.caller.request, aRefusal);
    }
    co_return response;
  }

private:
  std::optional<Admission> Admit(const CallerIdentity& aCaller,
                                 Refusal& aRefusal)
  {
    aRefusal.verdict = Verdict::NotRun;
    return AdmitCaller(
      this->documents.Find(aCaller.service), aCaller, aRefusal.reason);
  }

  // Runs one attempt on one runner. Returns true where the caller has the whole
  // answer or is gone.
  template<AnswerSink Sink>
  Task<bool> RunAttempt(const CompletionRequest& aRequest,
                        const Admission& aAdmission,
                        const RunnerSpec& aRunner,
                        TimePoint aDeadline,
                        Sink& aSink,
                        AnswerSummary& aSummary,
                        Refusal& aRefusal)
  {
    const RequestId& id = aRequest.caller.request;
    const EngineRequest engineRequest =
      MakeEngineRequest(aRequest, aAdmission, this->attempts.Next());
    this->Record(EventKind::RequestPlaced, id, aRunner.id.Text());
    const auto load = this->runners.Begin(aRunner.id);
    aRefusal.reason = LastReason();
    auto stream = co_await this->upstreams.EngineOf(aRunner).Open(
      engineRequest, aDeadline, aRefusal.reason);
    if (!stream) {
      aRefusal.verdict = VerdictOf(aRefusal.reason.code);
      co_return false;
    }
    this->Record(EventKind::StreamOpened, id, aRunner.id.Text());
    aSummary.upstream = aRunner.id;
    while (auto chunk = co_await stream->Next(aDeadline, aRefusal.reason)) {
      if (chunk->attempt != engineRequest.attempt ||
          chunk->index != aSummary.completionTokens) {
        this->Record(EventKind::AnswerDropped, id, aRunner.id.Text());
        continue;
      }
      if (aSummary.completionTokens == 0) {
        this->Record(EventKind::FirstToken, id, aRunner.id.Text());
      }
      ++aSummary.completionTokens;
      if (!co_await aSink.Token(*chunk)) {
        this->Record(EventKind::CallerGone, id, aRunner.id.Text());
        co_return true;
      }
      if (chunk->Last()) {
        aSummary.finishReason = chunk->finishReason;
        aSummary.promptTokens = chunk->promptTokens;
        aSummary.cachedTokens = chunk->cachedTokens;
      }
    }
    if (aSummary.finishReason.empty()) {
      aRefusal.verdict = VerdictOf(aRefusal.reason.code);
      this->Record(EventKind::StreamBroken, id, aRunner.id.Text());
      co_return false;
    }
    this->Record(EventKind::RequestFinished, id, aRunner.id.Text());
    co_await aSink.Finish(aSummary);
    co_return true;
  }

  void Record(EventKind aKind, const RequestId& aRequest, std::string aSubject)
  {
    this->events.Record({ aKind,
                          this->time.Now(),
                          aRequest,
                          std::move(aSubject),
                          std::nullopt,
                          {} });
  }

  void RecordRefusal(const RequestId& aRequest, const Refusal& aRefusal)
  {
    this->events.Record({ EventKind::RequestRefused,
                          this->time.Now(),
                          aRequest,
                          aRefusal.reason.place,
                          aRefusal.verdict,
                          std::string(NameOf(aRefusal.reason.code)) });
  }

  const Documents& documents;
  RunnerTable& runners;
  Time& time;
  Upstreams& upstreams;
  Events& events;
  AttemptSource& attempts;
};

} // namespace wigeonwalk
