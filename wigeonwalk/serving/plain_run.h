// Serves one call to a plain service: finds the route, claims the idempotency
// key if the call must not be repeated, calls an upstream, and records the
// outcome.
//
//   PlainRun run(context, services, claims, call, caller);
//   auto response = co_await run.Serve(refusal);
#pragma once

#include "wigeonwalk/claims/claim_service.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/retry/backoff.h"
#include "wigeonwalk/retry/verdict_rules.h"
#include "wigeonwalk/serving/admission.h"
#include "wigeonwalk/serving/daemon_state.h"
#include "wigeonwalk/serving/engine_provider.h"

#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// Claims idempotency keys for calls that must not be repeated.
template<typename T>
concept CallClaims = requires(T& aClaims,
                              ClaimedCall aCall,
                              const GrantedClaim& aClaim,
                              std::optional<FirstAnswer> aAnswer)
{
  {
    aClaims.Claim(aCall)
    } -> std::same_as<Task<ClaimResult>>;
  {
    aClaims.Release(aClaim, ReasonCode::None, RequestProgress::NothingSent)
    } -> std::same_as<bool>;
  {
    aClaims.Finish(aClaim, Verdict::Ran, aAnswer)
    } -> std::same_as<void>;
};

// Returns the route with the call's method and the longest path prefix of its
// path, or nullptr if none matches.
const RouteSpec*
FindRoute(const ServiceDocument& aDocument, const PlainCall& aCall);

// Returns the idempotency key of a call from the header or body field that its
// route names, or an empty string.
std::string
FindKey(const RouteSpec& aRoute, const PlainCall& aCall);

// Serves one call. Lives in the coroutine that serves the caller.
template<typename Context, ServiceProvider Services, CallClaims Claims>
class PlainRun
{
public:
  PlainRun(Context& aContext,
           Services& aServices,
           Claims& aClaims,
           const PlainCall& aCall,
           const AdmittedCaller& aCaller)
    : context(aContext)
    , services(aServices)
    , claims(aClaims)
    , call(aCall)
    , caller(aCaller)
    , document(aCaller.accepted->document)
    , deadline(aContext.time.Now() +
               aCall.timeout.value_or(document.requestTimeout))
  {
  }

  // Returns the service's response. On failure returns nullopt and sets the
  // refusal.
  Task<std::optional<PlainResponse>> Serve(Refusal& aRefusal)
  {
    const RouteSpec* route = FindRoute(this->document, this->call);
    if (route == nullptr) {
      aRefusal.verdict = Verdict::NotRun;
      co_return Fail(aRefusal.reason,
                     ReasonCode::NotFound,
                     "the service has no route for this method and path",
                     "target");
    }
    if (route->idempotent) {
      co_return co_await this->CallWithRetries(std::string(), aRefusal);
    }
    co_return co_await this->CallOnce(*route, aRefusal);
  }

private:
  // Claims the key, then calls an upstream. Attempts that provably did not run
  // are retried under the same claim.
  Task<std::optional<PlainResponse>> CallOnce(const RouteSpec& aRoute,
                                              Refusal& aRefusal)
  {
    const std::string key = FindKey(aRoute, this->call);
    ClaimedCall wanted;
    wanted.organisation = this->caller.organisation->id;
    wanted.service = this->document.name;
    wanted.idempotencyKey = key;
    wanted.keyCreatedAt = this->call.keyCreatedAt;
    wanted.body = this->call.body;
    const ClaimResult claim = co_await this->claims.Claim(std::move(wanted));
    if (claim.answer != ClaimAnswer::Granted) {
      co_return this->AnswerUngranted(aRoute, claim, aRefusal);
    }
    this->Record(EventKind::RequestClaimed, UpstreamId());
    auto response = co_await this->CallWithRetries(key, aRefusal);
    if (response) {
      this->claims.Finish(
        claim.grant,
        Verdict::Ran,
        FirstAnswer{ static_cast<std::uint16_t>(response->status),
                     response->contentType,
                     response->body });
      co_return response;
    }
    if (aRefusal.verdict == Verdict::NotRun) {
      this->claims.Release(
        claim.grant, aRefusal.reason.code, RequestProgress::NothingSent);
    } else {
      this->claims.Finish(claim.grant, aRefusal.verdict, std::nullopt);
    }
    co_return std::nullopt;
  }

  // Returns the result of a call whose claim was not granted: the first call's
  // response if it is known, else a refusal.
  std::optional<PlainResponse> AnswerUngranted(const RouteSpec& aRoute,
                                               const ClaimResult& aClaim,
                                               Refusal& aRefusal)
  {
    if (aClaim.firstAnswer) {
      PlainResponse first;
      first.status = aClaim.firstAnswer->status;
      first.contentType = aClaim.firstAnswer->contentType;
      first.body = aClaim.firstAnswer->body;
      return first;
    }
    aRefusal.verdict = aClaim.verdict;
    if (aClaim.answer == ClaimAnswer::Unavailable) {
      Event event{ EventKind::ClaimGivenUp,
                   this->context.time.Now(),
                   this->call.caller.request };
      event.elapsed = aClaim.waited;
      event.limit = aClaim.limit;
      this->context.events.Record(std::move(event));
    }
    return Fail(aRefusal.reason,
                aClaim.code,
                "claim of the idempotency key: " +
                  std::string(NameOf(aClaim.answer)),
                aRoute.keyName);
  }

  Task<std::optional<PlainResponse>> CallWithRetries(std::string aKey,
                                                     Refusal& aRefusal)
  {
    DaemonState& daemon = this->context.daemon;
    const bool idempotent = aKey.empty();
    std::uint32_t failures = 0;
    while (true) {
      const RunnerSpec* upstream = this->ChooseUpstream();
      if (upstream == nullptr) {
        co_return Fail(
          aRefusal.reason, ReasonCode::Unavailable, "no usable upstream");
      }
      auto response = co_await this->CallUpstream(*upstream, aKey, aRefusal);
      if (response) {
        daemon.upstreams.NoteSuccess(upstream->id);
        daemon.budget.RecordSuccess(this->caller.organisation->id,
                                    this->document.name,
                                    this->context.time.Now());
        co_return response;
      }
      daemon.upstreams.NoteFailure(upstream->id, this->context.time.Now());
      const auto next = this->PlanRetry(aRefusal, idempotent, ++failures);
      if (!next) {
        co_return std::nullopt;
      }
      co_await this->context.time.WaitUntil(*next);
    }
  }

  Task<std::optional<PlainResponse>> CallUpstream(const RunnerSpec& aUpstream,
                                                  const std::string& aKey,
                                                  Refusal& aRefusal)
  {
    const auto inFlight =
      this->context.daemon.upstreams.TrackInFlight(aUpstream.id);
    PlainRequest request;
    request.attempt = this->context.daemon.attempts.Next();
    request.method = this->call.method;
    request.target = this->call.path;
    request.contentType = this->call.contentType;
    request.body = this->call.body;
    request.idempotencyKey = aKey;
    this->Record(EventKind::RequestPlaced, aUpstream.id);
    auto response = co_await this->services.ServiceOf(aUpstream).Call(
      request, this->deadline, aRefusal.reason);
    if (!response) {
      aRefusal.verdict =
        CombineVerdicts(aRefusal.verdict, VerdictOf(aRefusal.reason.code));
      co_return std::nullopt;
    }
    this->Record(EventKind::RequestFinished, aUpstream.id);
    co_return response;
  }

  // Returns the usable upstream with the fewest calls of this daemon in flight,
  // or nullptr if none is usable.
  const RunnerSpec* ChooseUpstream() const
  {
    const UpstreamTable& upstreams = this->context.daemon.upstreams;
    const RunnerSpec* best = nullptr;
    for (const RunnerSpec& upstream : this->document.runners) {
      if (upstreams.Usable(upstream.id, this->context.time.Now()) &&
          (best == nullptr ||
           upstreams.InFlight(upstream.id) < upstreams.InFlight(best->id))) {
        best = &upstream;
      }
    }
    return best;
  }

  std::optional<TimePoint> PlanRetry(const Refusal& aRefusal,
                                     bool aIdempotent,
                                     std::uint32_t aFailures)
  {
    DaemonState& daemon = this->context.daemon;
    const TimePoint now = this->context.time.Now();
    if (!MayRetry(
          aRefusal.reason.code, RequestProgress::ByteSent, aIdempotent) ||
        !daemon.budget.TrySpend(
          this->caller.organisation->id, this->document.name, now)) {
      return std::nullopt;
    }
    this->Record(EventKind::RequestRetried, UpstreamId());
    return NextAttemptAt(
      BackoffSettings(), aFailures, now, this->deadline, daemon.random);
  }

  void Record(EventKind aKind, const UpstreamId& aSubject)
  {
    this->context.events.Record({ aKind,
                                  this->context.time.Now(),
                                  this->call.caller.request,
                                  aSubject.Text(),
                                  std::nullopt,
                                  {} });
  }

  Context& context;
  Services& services;
  Claims& claims;
  const PlainCall& call;
  const AdmittedCaller& caller;
  const ServiceDocument& document;
  TimePoint deadline;
};

} // namespace wigeonwalk
