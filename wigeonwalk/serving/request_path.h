// The request path: from a decoded request to a whole answer or an accurate
// error. It knows no protocol and no socket.
//
//   RequestPath path(documents, parts, services, claims);
//   co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/serving/completion_run.h"
#include "wigeonwalk/serving/plain_run.h"

#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// Serves requests of all callers of one daemon. Runs on the I/O thread only.
// The references must outlive it.
template<DocumentSource Documents,
         typename Parts,
         ServiceProvider Services,
         CallClaims Claims>
class RequestPath
{
public:
  RequestPath(const Documents& aDocuments,
              Parts& aParts,
              Services& aServices,
              Claims& aClaims)
    : documents(aDocuments)
    , parts(aParts)
    , services(aServices)
    , claims(aClaims)
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
    PlainRun<Parts, Services, Claims> run(
      this->parts, this->services, this->claims, aCall, *caller);
    auto response = co_await run.Serve(aRefusal);
    if (!response) {
      this->RecordRefusal(aCall.caller, aRefusal);
    }
    co_return response;
  }

private:
  std::optional<AdmittedCaller> Admit(const CallerIdentity& aCaller,
                                      Refusal& aRefusal)
  {
    aRefusal.verdict = Verdict::NotRun;
    if (!CheckFreshness(this->documents.CurrentFreshness(), aRefusal.reason)) {
      return std::nullopt;
    }
    return AdmitCaller(
      this->documents.Find(aCaller.service), aCaller, aRefusal.reason);
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
  Claims& claims;
};

} // namespace wigeonwalk
