// One request of a caller: from its route to the last byte of its answer.
//
//   ForwardRun run(state, client, peers, measures, timer, log);
//   co_await run.Forward(request, exchange);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/ports/attempts.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/decision_log.h"
#include "wigeonwalk/ports/measures.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// How one attempt ended.
enum class AttemptEnd
{
  // The caller has the whole answer.
  Delivered,
  CallerGone,
  // The runner, or the way to it, failed.
  Failed,
};

template<>
struct EnumNames<AttemptEnd>
{
  static constexpr std::array<EnumName<AttemptEnd>, 3> kTable{ {
    { AttemptEnd::Delivered, "delivered" },
    { AttemptEnd::CallerGone, "caller-gone" },
    { AttemptEnd::Failed, "failed" },
  } };
};
static_assert(HasCompleteTable<AttemptEnd>());

// Tells other daemons of prompts that a runner reads for long, and of requests
// that crash runners.
template<typename T>
concept WorkTeller = requires(T& aTeller, const RunnerWork& aWork)
{
  aTeller.TellWork(aWork);
  aTeller.TellPoison();
};

// Forwards requests. Stateless between requests; the state must outlive it.
template<AttemptOpener U,
         WorkTeller P,
         RequestMeasures M,
         Timer T,
         DecisionLog L>
class ForwardRun
{
public:
  using Request = typename U::Request;
  using Attempt = typename U::Attempt;

  // Longest time to connect to a runner: several round trips between zones.
  static constexpr Duration kConnectTime = std::chrono::milliseconds(300);
  // Connections that are tried for one request before it is refused.
  static constexpr int kMostConnects = 4;
  // How often a request without a candidate looks for one.
  static constexpr Duration kCandidatePause = std::chrono::milliseconds(20);
  // Part of the route's target latency for which a request waits for a
  // candidate.
  static constexpr int kCandidateWaitPart = 8;
  // Where a refused request should try again, unless a cause says otherwise.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
  // Prompt tokens to read from which on other daemons are told: what is sent to
  // the runner next waits for about 50 ms.
  static constexpr std::uint32_t kLongRead = 2'048;
  // A request without any time limit.
  static constexpr Duration kLongestWait = std::chrono::minutes(10);

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
  {
  }

  // Answers the request. Returns once the exchange has ended.
  template<CallerExchange<Attempt> X>
  Task<void> Forward(const Request& aRequest, X& aExchange)
  {
    Run run{ .arrivedAt = this->timer.Now() };
    LastReason reason;
    const bool admitted = this->Admit(aRequest.facts, run, reason);
    if (admitted) {
      co_await this->RunAttempts(aRequest, run, aExchange);
    } else {
      run.failure = reason;
    }
    if (!run.done) {
      co_await this->Refuse(run, aExchange);
    }
    this->NoteEnd(aRequest.facts, run);
  }

private:
  // State of one request.
  struct Run
  {
    TimePoint arrivedAt;
    TimePoint deadline;
    // Keeps the route alive where the configuration changes.
    std::shared_ptr<const RouteTable> routes;
    const Route* route = nullptr;
    const ServiceConfiguration* service = nullptr;
    const OrganisationConfiguration* organisation = nullptr;
    Fingerprint print;
    RunKind kind = RunKind::Shared;
    std::vector<UpstreamId> tried;
    UpstreamId lastRunner;
    std::uint32_t sends = 0;
    int connects = 0;
    Verdict verdict = Verdict::NotRun;
    LastReason failure;
    AttemptEnd end = AttemptEnd::Failed;
    // The caller has its final answer or is gone.
    bool done = false;
    bool streamBegun = false;
    std::optional<std::uint64_t> lastEventId;
    TimePoint firstByteAt;
    // A failed answer of a runner, which is passed on where no other attempt
    // succeeds.
    std::unique_ptr<Attempt> failedAnswer;
    std::string failedBody;
    unsigned status = 0;
  };

  // Counts a request as running at a runner as long as it lives.
  class FollowedRun
  {
  public:
    FollowedRun(PoisonTracker& aTracker,
                UpstreamId aRunner,
                const Fingerprint& aPrint,
                RunKind aKind)
      : tracker(aTracker)
      , runner(std::move(aRunner))
      , print(aPrint)
    {
      this->tracker.Started(this->runner, this->print, aKind);
    }
    ~FollowedRun() { this->tracker.Ended(this->runner, this->print); }
    FollowedRun(const FollowedRun&) = delete;
    FollowedRun& operator=(const FollowedRun&) = delete;

  private:
    PoisonTracker& tracker;
    UpstreamId runner;
    Fingerprint print;
  };

  // One chosen runner.
  struct Choice
  {
    std::shared_ptr<Runner> runner;
    AttemptOrder order;
    std::uint32_t readTokens = 0;
    std::uint32_t rereadTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t fetchedTokens = 0;
    double cost = 0;
  };

  // Finds route, organisation and service of a request, and its deadline.
  bool Admit(const EntryRequest& aFacts, Run& aRun, LastReason& aReason)
  {
    aRun.routes = this->state.Routes();
    if (aRun.routes == nullptr) {
      Fail(aReason, ReasonCode::Unavailable, "no configuration is known yet");
      return false;
    }
    aRun.route = aRun.routes->FindRoute(aFacts.host, aFacts.target);
    if (aRun.route == nullptr) {
      Fail(aReason, ReasonCode::NotFound, "no route matches", "host, path");
      return false;
    }
    if (aRun.routes->NeedsKeys() && !aRun.route->isPublic) {
      aRun.organisation = aRun.routes->FindByKey(aFacts.apiKey);
      if (aRun.organisation == nullptr) {
        Fail(aReason, ReasonCode::Unauthorized, "unknown API key");
        return false;
      }
    }
    const ServiceName* service = ChooseService(*aRun.route, aFacts.id);
    aRun.service =
      service == nullptr ? nullptr : aRun.routes->FindService(*service);
    if (aRun.service == nullptr) {
      Fail(aReason, ReasonCode::Unavailable, "the route has no service");
      return false;
    }
    const Duration patience = aFacts.patience.value_or(kLongestWait);
    aRun.deadline = aRun.arrivedAt + std::min(patience, aRun.route->timeout);
    this->state.repeats.NoteRequest(aRun.service->name, aRun.arrivedAt);
    return this->AdmitContent(aFacts, aRun, aReason);
  }

  // Refuses a request that has crashed runner after runner.
  bool AdmitContent(const EntryRequest& aFacts, Run& aRun, LastReason& aReason)
  {
    const OrganisationId organisation =
      aRun.organisation ? aRun.organisation->name : OrganisationId();
    aRun.print = FingerprintOf(organisation, aFacts.content.ToHex());
    const PoisonAdmission admission =
      this->state.poison.Admit(aRun.print, aRun.arrivedAt);
    if (admission == PoisonAdmission::Refuse) {
      Fail(aReason,
           ReasonCode::Poisoned,
           "requests like this one have crashed runners");
      return false;
    }
    aRun.kind =
      admission == PoisonAdmission::RunAlone ? RunKind::Alone : RunKind::Shared;
    return true;
  }

  template<CallerExchange<Attempt> X>
  Task<void> RunAttempts(const Request& aRequest, Run& aRun, X& aExchange)
  {
    while (true) {
      const auto choice = co_await this->Choose(aRequest.facts, aRun);
      if (!choice) {
        co_return;
      }
      this->NotePlaced(aRequest.facts, aRun, *choice);
      LastReason reason;
      aRun.end =
        co_await this->TryOnce(aRequest, aRun, *choice, aExchange, reason);
      const bool cancelled = co_await this->IsCancelled();
      if (cancelled) {
        aRun.end = AttemptEnd::CallerGone;
      }
      if (aRun.end != AttemptEnd::Failed) {
        aRun.done = true;
        co_return;
      }
      aRun.failure = reason;
      this->NoteFailed(aRequest.facts, aRun, *choice);
      if (!this->MayTryAgain(aRun)) {
        co_return;
      }
    }
  }

  // Waits a moment where no runner may be used now.
  Task<std::optional<Choice>> Choose(const EntryRequest& aFacts, Run& aRun)
  {
    const TimePoint giveUp = std::min(
      aRun.deadline,
      this->timer.Now() + aRun.route->targetLatency / kCandidateWaitPart);
    while (true) {
      const TimePoint now = this->timer.Now();
      auto choice = this->ChooseNow(aFacts, aRun, now);
      if (choice) {
        co_return choice;
      }
      if (now >= giveUp) {
        break;
      }
      const TimePoint next = std::min(now + kCandidatePause, giveUp);
      co_await this->timer.WaitUntil(next);
    }
    if (aRun.failure.code == ReasonCode::None) {
      Fail(aRun.failure, ReasonCode::Unavailable, "no runner can be used");
    }
    co_return std::nullopt;
  }

  std::optional<Choice> ChooseNow(const EntryRequest& aFacts,
                                  const Run& aRun,
                                  TimePoint aNow) const
  {
    const auto candidates =
      this->state.Candidates(aRun.service->name, aRun.tried, aNow);
    if (candidates.empty()) {
      return std::nullopt;
    }
    Choice choice;
    if (aFacts.prompt && aRun.service->engine) {
      if (!this->ChooseForPrompt(aFacts, aRun, candidates, choice, aNow)) {
        return std::nullopt;
      }
    } else {
      const PlainQuery query{ this->state.Settings().zone,
                              aFacts.bodyBytes,
                              this->Weights() };
      choice.runner = ChoosePlain(query, candidates, aNow);
    }
    AttemptOrder& order = choice.order;
    order.address = choice.runner->entry.address;
    order.runner = choice.runner->entry.id;
    order.timeLeft = aRun.deadline - aNow;
    if (aRun.organisation != nullptr) {
      order.organisation = aRun.organisation->name;
    }
    order.resumeAfter = aRun.lastEventId;
    return choice;
  }

  // Rank of a request, 0 for the most urgent. That of its organisation takes
  // precedence.
  static std::uint32_t RankOf(const Run& aRun)
  {
    const std::uint32_t ofRoute = aRun.route->priority;
    return aRun.organisation == nullptr
             ? ofRoute
             : aRun.organisation->priority.value_or(ofRoute);
  }

  ChoiceWeights Weights() const
  {
    ChoiceWeights weights;
    weights.readTokensPerMs = this->state.Settings().readTokensPerMs;
    return weights;
  }

  bool ChooseForPrompt(const EntryRequest& aFacts,
                       const Run& aRun,
                       const std::vector<std::shared_ptr<Runner>>& aCandidates,
                       Choice& aChoice,
                       TimePoint aNow) const
  {
    const KnownWeights newest = this->state.WeightsOf(aFacts.prompt->model);
    const bool isolated =
      aRun.organisation != nullptr && aRun.organisation->isolated;
    const EngineQuery query{
      .prompt = *aFacts.prompt,
      .wall = isolated ? aRun.organisation->name.Text() : std::string(),
      .zone = this->state.Settings().zone,
      .bodyBytes = aFacts.bodyBytes,
      .runnerTokens = aRun.service->engine->cacheTokens,
      .bytesPerToken = aRun.service->engine->bytesPerToken,
      .newest = newest.version,
      .onlyNewest = this->OnlyNewest(newest, aNow),
      .weights = this->Weights(),
    };
    const auto sources = this->state.Sources(aNow);
    auto engine =
      ChooseEngine(query, aCandidates, this->state.parts, sources, aNow);
    if (!engine) {
      return false;
    }
    aChoice.runner = engine->runner;
    aChoice.order.version = engine->version;
    aChoice.order.cacheSalt = std::move(engine->salt);
    aChoice.order.fetchFrom = std::move(engine->fetchFrom);
    aChoice.order.saveTo = std::move(engine->saveTo);
    aChoice.readTokens = engine->readTokens;
    aChoice.order.priority = EnginePriority(RankOf(aRun), engine->readTokens);
    aChoice.rereadTokens = engine->rereadTokens;
    aChoice.cachedTokens = engine->cachedTokens;
    aChoice.fetchedTokens = engine->fetchedTokens;
    aChoice.cost = engine->cost;
    return true;
  }

  // Older weights are out of bounds once most of the time for new ones is over.
  bool OnlyNewest(const KnownWeights& aNewest, TimePoint aNow) const
  {
    constexpr double kPartOfTime = 0.8;
    const Duration allowed = FromSeconds(
      kPartOfTime * ToSeconds(this->state.Settings().bounds.newWeights));
    return aNewest.version > 1 && aNow - aNewest.since > allowed;
  }

  // Sends the request to one runner and passes its answer on.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> TryOnce(const Request& aRequest,
                           Run& aRun,
                           const Choice& aChoice,
                           X& aExchange,
                           LastReason& aReason)
  {
    const TimePoint sentAt = this->timer.Now();
    const auto& prompt = aRequest.facts.prompt;
    RunnerLoad load(aChoice.runner,
                    prompt ? prompt->inputTokens + prompt->maxOutputTokens : 0,
                    aChoice.readTokens);
    ++aRun.connects;
    const TimePoint connectBy = std::min(aRun.deadline, sentAt + kConnectTime);
    auto attempt = co_await this->upstreams.Open(
      aRequest, aChoice.order, connectBy, aRun.deadline, aReason);
    if (!attempt) {
      if (VerdictOf(aReason.code) != Verdict::NotRun) {
        ++aRun.sends;
      }
      co_return AttemptEnd::Failed;
    }
    ++aRun.sends;
    aRun.lastRunner = aChoice.runner->entry.id;
    const FollowedRun followed(
      this->state.poison, aRun.lastRunner, aRun.print, aRun.kind);
    if (aChoice.readTokens >= kLongRead) {
      this->peers.TellWork({ aRun.lastRunner, aChoice.readTokens });
    }
    const AttemptEnd end = co_await this->PassOn(
      aRequest, *attempt, aRun, load, aChoice, sentAt, aExchange, aReason);
    const bool cancelled = co_await this->IsCancelled();
    if (end == AttemptEnd::Delivered) {
      this->state.poison.Succeeded(
        aRun.lastRunner, aRun.print, this->timer.Now());
    } else if (end == AttemptEnd::Failed && !cancelled &&
               aReason.code == ReasonCode::ConnectionLostAfterWrite) {
      this->NoteLost(aRequest.facts, aRun, aChoice);
    }
    co_return end;
  }

  // Reads the answer of a runner and passes it on.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassOn(const Request& aRequest,
                          Attempt& aAttempt,
                          Run& aRun,
                          RunnerLoad& aLoad,
                          const Choice& aChoice,
                          TimePoint aSentAt,
                          X& aExchange,
                          LastReason& aReason)
  {
    const auto head = co_await aAttempt.ReadHead(aRun.deadline, aReason);
    if (!head) {
      co_return AttemptEnd::Failed;
    }
    aRun.status = head->status;
    if (head->refusedUnrun) {
      Fail(aReason,
           ReasonCode::RefusedBeforeRun,
           "the runner refused with status " + std::to_string(head->status),
           aChoice.runner->entry.id.Text());
      this->NoteRefused(aRequest.facts, *head, aChoice);
      co_return AttemptEnd::Failed;
    }
    if (head->IsSuccess() && !head->isSigned) {
      Fail(aReason,
           ReasonCode::MalformedResponse,
           "a success without the runner's signature",
           aChoice.runner->entry.id.Text());
      co_return AttemptEnd::Failed;
    }
    const bool stream = head->IsSuccess() && head->isEventStream;
    if (stream) {
      co_return co_await this->PassStream(
        aRequest, aAttempt, aRun, aLoad, aChoice, aExchange, aReason);
    }
    co_return co_await this->PassAnswer(
      aAttempt, *head, aRun, aChoice, aSentAt, aExchange, aReason);
  }

  // True where the caller has left, which cancels this task.
  Task<bool> IsCancelled() const
  {
    const auto cancellation =
      co_await boost::asio::this_coro::cancellation_state;
    co_return cancellation.cancelled() != boost::asio::cancellation_type::none;
  }

  // The connection of a running request broke: its runner may have crashed.
  void NoteLost(const EntryRequest& aFacts,
                const Run& aRun,
                const Choice& aChoice)
  {
    const TimePoint now = this->timer.Now();
    const auto refused = this->state.poison.UpstreamDied(
      aRun.lastRunner,
      static_cast<std::uint64_t>(aChoice.runner->entry.startedAt),
      now);
    this->peers.TellPoison();
    if (!refused.empty()) {
      this->log.Write(now,
                      LogLevel::Warning,
                      "request crashes runners",
                      aFacts.id,
                      { { LogKey::Upstream, aRun.lastRunner },
                        { LogKey::Count, refused.size() } });
    }
  }

  // Passes on an answer of one piece. It is read whole first, so that a broken
  // one can be replaced.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassAnswer(Attempt& aAttempt,
                              const AnswerFacts& aHead,
                              Run& aRun,
                              const Choice& aChoice,
                              TimePoint aSentAt,
                              X& aExchange,
                              LastReason& aReason)
  {
    std::string body;
    while (true) {
      const auto bytes = co_await aAttempt.ReadBody(aRun.deadline, aReason);
      if (!bytes) {
        co_return AttemptEnd::Failed;
      }
      if (bytes->empty()) {
        break;
      }
      body += *bytes;
    }
    const TimePoint now = this->timer.Now();
    RunnerHealth& health = aChoice.runner->health;
    const ReasonCode code = ReasonOfStatus(aHead.status, false);
    if (code == ReasonCode::StatusServerError ||
        (aRun.streamBegun && !aHead.IsSuccess())) {
      health.NoteFailedAnswer(now);
      Fail(aReason,
           ReasonCode::StatusServerError,
           "the runner answered with status " + std::to_string(aHead.status),
           aChoice.runner->entry.id.Text());
      if (!aRun.streamBegun) {
        aRun.failedAnswer = std::make_unique<Attempt>(std::move(aAttempt));
        aRun.failedBody = std::move(body);
      }
      co_return AttemptEnd::Failed;
    }
    health.NoteSuccess(now - aSentAt, now);
    aRun.firstByteAt = now;
    const bool written = co_await aExchange.Answer(aAttempt, std::move(body));
    aAttempt.Finish();
    co_return written ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  // Passes on whole events as they arrive.
  template<CallerExchange<Attempt> X>
  Task<AttemptEnd> PassStream(const Request& aRequest,
                              Attempt& aAttempt,
                              Run& aRun,
                              RunnerLoad& aLoad,
                              const Choice& aChoice,
                              X& aExchange,
                              LastReason& aReason)
  {
    const TimePoint openedAt = this->timer.Now();
    while (true) {
      auto events = co_await aAttempt.ReadEvents(aRun.deadline, aReason);
      if (!events) {
        co_return AttemptEnd::Failed;
      }
      if (events->empty()) {
        break;
      }
      aLoad.NoteRead();
      bool written = false;
      if (aRun.streamBegun) {
        written = co_await aExchange.WriteEvents(std::move(*events));
      } else {
        this->NoteFirstEvents(aRequest.facts, aRun, aChoice);
        written = co_await aExchange.BeginStream(aAttempt, std::move(*events));
      }
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
      if (aAttempt.LastEventId()) {
        aRun.lastEventId = aAttempt.LastEventId();
      }
    }
    if (!aRun.streamBegun) {
      aRun.streamBegun = true;
      co_await aExchange.BeginStream(aAttempt, std::string());
    }
    const TimePoint now = this->timer.Now();
    aChoice.runner->health.NoteSuccess(now - openedAt, now);
    const bool ended = co_await aExchange.EndStream();
    aAttempt.Finish();
    co_return ended ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  static MeasureScope ScopeOf(const Run& aRun)
  {
    return { aRun.service ? aRun.service->name : ServiceName(),
             aRun.organisation ? aRun.organisation->name : OrganisationId() };
  }

  // A runner that has made its first token holds all parts of the prompt. Its
  // events tell so later.
  void NoteFirstEvents(const EntryRequest& aFacts,
                       Run& aRun,
                       const Choice& aChoice)
  {
    aRun.firstByteAt = this->timer.Now();
    aRun.streamBegun = true;
    const MeasureScope scope = ScopeOf(aRun);
    this->measures.FirstToken(scope, aRun.firstByteAt - aRun.arrivedAt);
    if (!aFacts.prompt) {
      return;
    }
    this->measures.Prompt(
      scope, aFacts.prompt->inputTokens, aChoice.rereadTokens);
    for (const PromptPart& part : aFacts.prompt->parts) {
      this->state.parts.Set(aChoice.order.runner,
                            KeyOfPart(aChoice.order.cacheSalt, part.id),
                            part.tokens);
    }
    // Of a runner whose events are not followed, only this daemon's part of the
    // memory is known.
    const std::uint64_t memory = aRun.service->engine->cacheTokens;
    if (memory == 0) {
      return;
    }
    const bool followed = this->state.holders.contains(aChoice.order.runner);
    this->state.parts.Trim(aChoice.order.runner,
                           followed ? memory : memory / this->state.Daemons());
  }

  void NoteRefused(const EntryRequest& aFacts,
                   const AnswerFacts& aHead,
                   const Choice& aChoice)
  {
    Runner& runner = *aChoice.runner;
    if (aHead.wrongWeights && aFacts.prompt) {
      // The newest weights are there, or will be told by the next heartbeat.
      const KnownWeights newest = this->state.WeightsOf(aFacts.prompt->model);
      if (newest.version > aChoice.order.version) {
        runner.SetVersion(aFacts.prompt->model, newest.version);
      }
    }
  }

  void NoteFailed(const EntryRequest& aFacts, Run& aRun, const Choice& aChoice)
  {
    const Verdict verdict = VerdictOf(aRun.failure.code);
    aRun.verdict = CombineVerdicts(aRun.verdict, verdict);
    aRun.tried.push_back(aChoice.runner->entry.id);
    const TimePoint now = this->timer.Now();
    if (aRun.failure.code != ReasonCode::StatusServerError &&
        aRun.failure.code != ReasonCode::ResponseTimeout) {
      aChoice.runner->health.NoteFailure(now);
    }
    this->log.Write(now,
                    LogLevel::Info,
                    "attempt failed",
                    aFacts.id,
                    { { LogKey::Upstream, aChoice.runner->entry.id },
                      LogField(aRun.failure),
                      { LogKey::Verdict, verdict },
                      { LogKey::Count, aRun.sends } });
  }

  // True where another attempt can't make the request run twice, and the
  // route, the time and the budget allow one.
  bool MayTryAgain(const Run& aRun)
  {
    const bool mayRunAgain =
      aRun.route->MayRunAgain() &&
      (!aRun.streamBegun || (aRun.route->resumable && aRun.lastEventId));
    if (!MayRepeat(aRun.verdict, mayRunAgain) ||
        aRun.sends >= aRun.route->maxAttempts ||
        aRun.connects >= kMostConnects) {
      return false;
    }
    const TimePoint now = this->timer.Now();
    if (now >= aRun.deadline) {
      return false;
    }
    // A connection that never opened was no arrival at a runner.
    return aRun.sends == 0 || this->state.repeats.TrySpend(
                                aRun.service->name, this->state.Daemons(), now);
  }

  template<CallerExchange<Attempt> X>
  Task<void> Refuse(Run& aRun, X& aExchange)
  {
    aRun.done = true;
    if (aRun.streamBegun) {
      aExchange.Abort();
      co_return;
    }
    if (aRun.failedAnswer) {
      co_await aExchange.Answer(*aRun.failedAnswer, std::move(aRun.failedBody));
      aRun.failedAnswer->Finish();
      co_return;
    }
    Refusal refusal;
    refusal.verdict = aRun.verdict;
    refusal.reason = aRun.failure;
    if (aRun.verdict == Verdict::NotRun) {
      refusal.retryAfter = kRetryAfter;
    }
    co_await aExchange.Refuse(refusal);
  }

  void NotePlaced(const EntryRequest& aFacts,
                  const Run& aRun,
                  const Choice& aChoice)
  {
    if (!aFacts.prompt) {
      return;
    }
    const TimePoint now = this->timer.Now();
    this->log.Write(now,
                    LogLevel::Info,
                    "request placed",
                    aFacts.id,
                    { { LogKey::Upstream, aChoice.runner->entry.id },
                      { LogKey::Zone, aChoice.runner->entry.zone },
                      { LogKey::Version, aChoice.order.version },
                      { LogKey::CachedTokens, aChoice.cachedTokens },
                      { LogKey::FetchedTokens, aChoice.fetchedTokens },
                      { LogKey::ReadTokens, aChoice.readTokens },
                      { LogKey::Cost, aChoice.cost },
                      { LogKey::Count, aRun.sends } });
  }

  void NoteEnd(const EntryRequest& aFacts, const Run& aRun)
  {
    const TimePoint now = this->timer.Now();
    const MeasureScope scope = ScopeOf(aRun);
    const bool ran = aRun.end == AttemptEnd::Delivered;
    this->measures.Ended(scope, ran ? Verdict::Ran : aRun.verdict);
    if (aRun.sends > 1) {
      this->measures.Retried(scope);
    }
    const Duration firstByte = aRun.firstByteAt == TimePoint()
                                 ? Duration(0)
                                 : aRun.firstByteAt - aRun.arrivedAt;
    this->log.Write(
      now,
      LogLevel::Info,
      "request finished",
      aFacts.id,
      { LogField::Name(LogKey::Route, aRun.route ? aRun.route->name : ""),
        { LogKey::Organisation,
          aRun.organisation ? aRun.organisation->name : OrganisationId() },
        { LogKey::Upstream, aRun.lastRunner },
        { LogKey::Outcome, aRun.end },
        { LogKey::Status, aRun.status },
        { LogKey::Verdict, aRun.verdict },
        LogField(aRun.failure),
        { LogKey::Count, aRun.sends },
        { LogKey::FirstByte, firstByte },
        { LogKey::Elapsed, now - aRun.arrivedAt } });
  }

  EntryState& state;
  U& upstreams;
  P& peers;
  M& measures;
  T& timer;
  L& log;
};

} // namespace wigeonwalk
