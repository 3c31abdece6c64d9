// Replays a trace under one policy in virtual time.
//
//   ReplayMetrics metrics = Replay<Wigeonwalk>(deployment, trace, Fault::None);
#pragma once

#include "returning_prompts/policies.h"

namespace wigeonwalk::replay {

// Maximum number of attempts; after them, a request counts as unserved.
inline constexpr int kMaxAttempts = 4;

// Delay after an attempt on a failed runner until the next attempt.
inline constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

// Seconds between tokens of an answer.
inline constexpr double kSecondsPerToken = 0.03;

// Runs one attempt of a request. Returns its job, and the chosen runner in
// `aRunner`.
template<Policy P>
Task<std::shared_ptr<Job>>
RunAttempt(Simulation& aSimulation,
           Daemon& aDaemon,
           P& aPolicy,
           const Arrival& aArrival,
           std::uint32_t& aRunner)
{
  const std::vector<PieceKey> chain = aSimulation.ChainOf(aArrival);
  std::vector<StoredPiece> stored;
  if (P::kTraits.restores) {
    stored = aSimulation.StoredPieces(chain);
  }
  const PlacementChoice choice = aPolicy.Choose(
    PolicyInput{ aSimulation, aDaemon, aArrival, chain, stored });
  FakeRunner& runner = *aSimulation.runners[choice.runner];
  aRunner = choice.runner;
  auto job = std::make_shared<Job>(aSimulation.time);
  if (!P::kTraits.recomputes) {
    job->chain = chain;
  }
  job->tokens = aArrival.tokens;
  job->restoreFrom = choice.restoreFrom;
  job->restoreTo = choice.restoreTo;
  const bool restores =
    P::kTraits.restores && choice.restoreTo > choice.restoreFrom;
  job->ready = !restores;
  job->storedPieces = stored.size();
  const double held = static_cast<double>(choice.restoreTo) * kPieceTokens;
  const double prefillTokens = std::max(1.0, double(aArrival.tokens) - held);
  job->requestClass =
    P::kTraits.shortPrefillsFirst
      ? EngineRequestClass(aArrival.requestClass, prefillTokens)
      : aArrival.requestClass;
  aDaemon.loads[choice.runner].NoteSent(
    prefillTokens / aSimulation.deployment.prefillTokensPerSecond,
    aSimulation.time.Now());
  aDaemon.tracker.NoteSent(
    aSimulation.RunnerName(choice.runner), chain, aSimulation.time.Now());
  runner.Submit(job);
  if (restores) {
    const bool complete = co_await aSimulation.Restore(
      aDaemon, aArrival, choice.sources, aSimulation.RunnerZone(choice.runner));
    job->restored = complete;
    if (!complete) {
      job->restoreTo = job->restoreFrom;
    }
    job->ready = true;
    runner.NotifyReady();
  }
  co_await job->done.Wait();
  co_return job;
}

// Runs one request from its arrival until its pieces are exported.
template<Policy P>
Task<void>
RunRequest(Simulation& aSimulation, P& aPolicy, Arrival aArrival)
{
  const TimePoint arrivedAt = aSimulation.time.Now();
  Daemon& daemon = aSimulation.DaemonFor(aArrival);
  aSimulation.RecordArrival(aArrival);
  const auto outcome = aSimulation.OpenOutcome(aArrival);
  auto admitted = std::make_shared<Signal>(aSimulation.time);
  QueuedRequest<std::shared_ptr<Signal>> queued{
    aSimulation.Organisation(aArrival.organisation), aArrival.requestClass
  };
  if (P::kTraits.fairQueue) {
    // Seen tokens are mostly restored, so they take little runner time.
    const double unseenTokens = static_cast<double>(aArrival.tokens) -
                                static_cast<double>(aArrival.seenTokens);
    queued.tokens = std::max(unseenTokens, double(kPieceTokens));
    daemon.queue.Push(queued.organisation,
                      queued.requestClass,
                      queued.tokens,
                      admitted,
                      arrivedAt);
    aSimulation.StartAdmittedRequests(daemon);
    co_await admitted->Wait();
  }
  std::shared_ptr<Job> job;
  std::uint32_t runner = 0;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    job = co_await RunAttempt(aSimulation, daemon, aPolicy, aArrival, runner);
    if (job->completed) {
      break;
    }
    co_await aSimulation.time.WaitUntil(aSimulation.time.Now() + kRetryDelay);
  }
  if (P::kTraits.fairQueue) {
    daemon.queue.Finish(queued);
    aSimulation.StartAdmittedRequests(daemon);
  }
  const bool isRemote = aSimulation.RunnerZone(runner) != daemon.zone;
  const double networkSeconds =
    isRemote && !P::kTraits.clairvoyant
      ? 2 * aSimulation.deployment.zoneLatencySeconds
      : 0;
  const TimePoint firstToken =
    aSimulation.time.Now() + FromSeconds(networkSeconds);
  aSimulation.CloseOutcome(outcome, aArrival, *job, firstToken);
  co_await aSimulation.time.WaitUntil(
    firstToken + FromSeconds(aArrival.answerTokens * kSecondsPerToken));
  if (P::kTraits.restores && job->completed) {
    co_await aSimulation.Export(
      daemon, aArrival, aSimulation.RunnerZone(runner));
  }
}

// Starts each request of the trace at its arrival time.
template<Policy P>
Task<void>
RunArrivals(Simulation& aSimulation, P& aPolicy)
{
  for (const Arrival& arrival : aSimulation.trace.arrivals) {
    co_await aSimulation.time.WaitUntil(arrival.at);
    aSimulation.time.Spawn(RunRequest(aSimulation, aPolicy, arrival));
  }
}

template<Policy P>
ReplayMetrics
Replay(const Deployment& aDeployment, const Trace& aTrace, Fault aFault)
{
  P policy;
  Simulation simulation(aDeployment, aTrace, P::kTraits, aFault);
  simulation.LoadHistory();
  simulation.time.Spawn(simulation.RunReports());
  simulation.time.Spawn(simulation.InjectFault());
  simulation.time.Spawn(RunArrivals(simulation, policy));
  simulation.time.RunUntil(aTrace.end);
  const ReplayMetrics utilisation = simulation.Utilisation();
  simulation.time.RunUntil(aTrace.end + kDrainTime);
  ReplayMetrics metrics =
    Summarise(aDeployment, std::move(simulation.outcomes));
  metrics.storeLinkUtilisation = utilisation.storeLinkUtilisation;
  metrics.zoneLinkUtilisation = utilisation.zoneLinkUtilisation;
  metrics.runnerUtilisation = utilisation.runnerUtilisation;
  return metrics;
}

} // namespace wigeonwalk::replay
