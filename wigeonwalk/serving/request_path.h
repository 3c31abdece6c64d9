// The request path: from a decoded request to a whole answer or an accurate
// error. It knows no protocol and no socket.
//
//   RequestPath path(documents, parts, services);
//   co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/serving/completion_run.h"

#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// Serves requests of all callers of one daemon. Runs on the I/O thread only.
// The references must outlive it.
template<DocumentSource Documents, typename Parts, ServiceProvider Services>
class RequestPath
{
public:
  RequestPath(const Documents& aDocuments, Parts& aParts, Services& aServices)
    : documents(aDocuments)
    , parts(aParts)
    , services(aServices)
  {
  }

  // Generates an answer into the sink.
  template<AnswerSink Sink>
  Task<void> Complete(const CompletionRequest& aRequest, Sink& aSink)
  {
    this->Record(EventKind::RequestReceived, aRequest.caller);
    Refusal refusal;
    const auto caller = this->Admit(aRequest.caller, refusal);
    if (!caller) {
      this->RecordRefusal(aRequest.caller, refusal);
      co_await aSink.Fail(refusal);
      co_return;
    }
    CompletionRun<Parts> run(this->parts, aRequest, *caller);
    co_await run.Serve(aSink);
  }

  // Calls a plain service. On failure fills the refusal and returns nothing.
  Task<std::optional<PlainResponse>> CallPlain(const PlainCall& aCall,
                                               Refusal& aRefusal)
  {
    this->Record(EventKind::RequestReceived, aCall.caller);
    const auto caller = this->Admit(aCall.caller, aRefusal);
    if (!caller) {
      this->RecordRefusal(aCall.caller, aRefusal);
      co_return std::nullopt;
    }
    const ServiceDocument& document = caller->accepted->document;
    const RunnerSpec* upstream = this->ChooseUpstream(document);
    if (upstream == nullptr) {
      Fail(aRefusal.reason, ReasonCode::Unavailable, "no usable upstream");
      this->RecordRefusal(aCall.caller, aRefusal);
      co_return std::nullopt;
    }
    PlainRequest request;
    request.attempt = this->parts.view.attempts.Next();
    request.method = aCall.method;
    request.target = aCall.path;
    request.contentType = aCall.contentType;
    request.body = aCall.body;
    const TimePoint deadline =
      this->parts.time.Now() + aCall.timeout.value_or(document.requestTimeout);
    auto response = co_await this->services.ServiceOf(*upstream).Call(
      request, deadline, aRefusal.reason);
    if (!response) {
      aRefusal.verdict = VerdictOf(aRefusal.reason.code);
      this->RecordRefusal(aCall.caller, aRefusal);
    }
    co_return response;
  }

private:
  std::optional<AdmittedCaller> Admit(const CallerIdentity& aCaller,
                                      Refusal& aRefusal)
  {
    aRefusal.verdict = Verdict::NotRun;
    return AdmitCaller(
      this->documents.Find(aCaller.service), aCaller, aRefusal.reason);
  }

  // The usable upstream with the fewest calls of this daemon in flight.
  const RunnerSpec* ChooseUpstream(const ServiceDocument& aDocument) const
  {
    const UpstreamTable& upstreams = this->parts.view.upstreams;
    const RunnerSpec* best = nullptr;
    for (const RunnerSpec& upstream : aDocument.runners) {
      if (upstreams.Usable(upstream.id, this->parts.time.Now()) &&
          (best == nullptr ||
           upstreams.InFlight(upstream.id) < upstreams.InFlight(best->id))) {
        best = &upstream;
      }
    }
    return best;
  }

  void Record(EventKind aKind, const CallerIdentity& aCaller)
  {
    this->parts.events.Record({ aKind,
                                this->parts.time.Now(),
                                aCaller.request,
                                aCaller.service.Text(),
                                std::nullopt,
                                {} });
  }

  void RecordRefusal(const CallerIdentity& aCaller, const Refusal& aRefusal)
  {
    this->parts.events.Record({ EventKind::RequestRefused,
                                this->parts.time.Now(),
                                aCaller.request,
                                aRefusal.reason.place,
                                aRefusal.verdict,
                                std::string(NameOf(aRefusal.reason.code)) });
  }

  const Documents& documents;
  Parts& parts;
  Services& services;
};

} // namespace wigeonwalk
