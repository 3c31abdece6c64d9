// The request path, from a decoded request to a complete answer or an error
// with an accurate verdict. It depends on no protocol and no socket.
//
//   RequestPath path(documents, context, services, claims, limits);
//   co_await path.Complete(request, sink);
#pragma once

#include "wigeonwalk/serving/completion_run.h"
#include "wigeonwalk/serving/limit_enforcer.h"
#include "wigeonwalk/serving/plain_run.h"

#include <memory>
#include <string>
#include <utility>

namespace wigeonwalk {

// Enforces organisations' limits.
template<typename T>
concept RequestLimiter = requires(T& aLimits,
                                  const OrganisationSpec& aOrganisation,
                                  const ServiceName& aService,
                                  FailureReason& aReason)
{
  {
    aLimits.Enter(aOrganisation, aService, 1.0, aReason)
    } -> std::same_as<Task<std::optional<LimitPermit>>>;
};

// Time after which a caller is advised to retry if its organisation has used up
// a per-second limit.
inline constexpr Duration kLimitRetryAfter = std::chrono::seconds(1);

// Serves requests of all callers of one daemon. Runs on the I/O thread only.
// The references must outlive it.
template<DocumentSource Documents,
         typename Context,
         ServiceProvider Services,
         CallClaims Claims,
         RequestLimiter Limits>
class RequestPath
{
public:
  RequestPath(const Documents& aDocuments,
              Context& aContext,
              Services& aServices,
              Claims& aClaims,
              Limits& aLimits)
    : documents(aDocuments)
    , context(aContext)
    , services(aServices)
    , claims(aClaims)
    , limits(aLimits)
  {
  }

  // Serves a completion request and writes the answer to the sink.
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
    const double tokens =
      static_cast<double>(CountTokens(aRequest.prompt)) + aRequest.maxTokens;
    const auto permit = co_await this->EnterLimits(*caller, tokens, refusal);
    if (!permit) {
      this->RecordRefusal(aRequest.caller, refusal);
      co_await aSink.Fail(refusal);
      co_return;
    }
    CompletionRun<Context> run(this->context, aRequest, *caller);
    co_await run.Serve(aSink);
  }

  // Calls a plain service. On failure returns nullopt and sets the refusal.
  Task<std::optional<PlainResponse>> CallPlain(const PlainCall& aCall,
                                               Refusal& aRefusal)
  {
    this->Record(EventKind::RequestReceived, aCall.caller);
    const auto caller = this->Admit(aCall.caller, aRefusal);
    if (!caller) {
      this->RecordRefusal(aCall.caller, aRefusal);
      co_return std::nullopt;
    }
    const auto permit = co_await this->EnterLimits(*caller, 0, aRefusal);
    if (!permit) {
      this->RecordRefusal(aCall.caller, aRefusal);
      co_return std::nullopt;
    }
    PlainRun<Context, Services, Claims> run(
      this->context, this->services, this->claims, aCall, *caller);
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

  // The admissions that a request holds while it runs.
  struct Permit
  {
    LimitPermit limit;
    ServiceShedder::Work work;
  };

  // Admits the request under its organisation's limits and the service's
  // capacity, or sets the refusal.
  Task<std::optional<Permit>> EnterLimits(const AdmittedCaller& aCaller,
                                          double aTokens,
                                          Refusal& aRefusal)
  {
    const OrganisationSpec& organisation = *aCaller.organisation;
    const ServiceName& service = aCaller.accepted->document.name;
    auto limit = co_await this->limits.Enter(
      organisation, service, aTokens, aRefusal.reason);
    if (!limit) {
      aRefusal.retryAfter = kLimitRetryAfter;
      co_return std::nullopt;
    }
    auto work =
      this->context.daemon.ShedderOf(service, this->context.time.Now())
        .Offer(
          organisation,
          std::max(aTokens, 1.0),
          this->context.daemon.HasFreeRunner(aCaller.accepted->document,
                                             this->context.time.Now()),
          [this] { return this->context.time.Now(); },
          aRefusal.retryAfter);
    if (!work) {
      co_return Fail(
        aRefusal.reason,
        ReasonCode::Overloaded,
        "the service is overloaded: it receives more work than it completes");
    }
    co_return Permit{ std::move(*limit), std::move(*work) };
  }

  void Record(EventKind aKind, const CallerIdentity& aCaller)
  {
    this->context.events.Record({ aKind,
                                  this->context.time.Now(),
                                  aCaller.request,
                                  aCaller.service.Text(),
                                  std::nullopt,
                                  {} });
  }

  void RecordRefusal(const CallerIdentity& aCaller, const Refusal& aRefusal)
  {
    this->context.events.Record({ EventKind::RequestRefused,
                                  this->context.time.Now(),
                                  aCaller.request,
                                  aRefusal.reason.place,
                                  aRefusal.verdict,
                                  std::string(NameOf(aRefusal.reason.code)) });
  }

  const Documents& documents;
  Context& context;
  Services& services;
  Claims& claims;
  Limits& limits;
};

} // namespace wigeonwalk
