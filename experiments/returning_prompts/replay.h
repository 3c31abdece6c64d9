// Replays a trace under one policy in virtual time.
//
//   Figures figures = Replay<Wigeonwalk>(deployment, trace, Fault::None);
#pragma once

#include "returning_prompts/policies.h"

namespace wigeonwalk::replay {

// Maximum number of attempts; after them, a request counts as unserved.
inline constexpr int kMaxAttempts = 4;

// Delay after an attempt on a failed runner until the next attempt.
inline constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

// Seconds between tokens of an answer.
inline constexpr double kTokenSeconds = 0.03;

// Runs one attempt of a request. Returns its job, and the chosen runner in
// `aRunner`.
template<Policy P>
Task<std::shared_ptr<Job>>
RunAttempt(World& aWorld,
           Daemon& aDaemon,
           P& aPolicy,
           const Arrival& aArrival,
           std::uint32_t& aRunner)
{
  const std::vector<PieceKey> chain = aWorld.ChainOf(aArrival);
  std::vector<StoredPiece> stored;
  if (P::kTraits.restores) {
    stored = aWorld.StoredPieces(chain);
  }
  const Choice choice =
    aPolicy.Choose(Sight{ aWorld, aDaemon, aArrival, chain, stored });
  FakeRunner& runner = *aWorld.runners[choice.runner];
  aRunner = choice.runner;
  auto job = std::make_shared<Job>(aWorld.time);
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
  const double work = std::max(1.0, double(aArrival.tokens) - held);
  job->requestClass = P::kTraits.shortFirst
                        ? EngineRequestClass(aArrival.requestClass, work)
                        : aArrival.requestClass;
  aDaemon.loads[choice.runner].NoteSent(
    work / aWorld.deployment.prefillTokensPerSecond, aWorld.time.Now());
  aDaemon.tracker.NoteSent(
    aWorld.RunnerName(choice.runner), chain, aWorld.time.Now());
  runner.Submit(job);
  if (restores) {
    const bool complete = co_await aWorld.Restore(
      aDaemon, aArrival, choice.sources, aWorld.RunnerZone(choice.runner));
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
RunRequest(World& aWorld, P& aPolicy, Arrival aArrival)
{
  const TimePoint arrivedAt = aWorld.time.Now();
  Daemon& daemon = aWorld.DaemonFor(aArrival);
  aWorld.NoteArrival(aArrival);
  const auto outcome = aWorld.OpenOutcome(aArrival);
  auto admitted = std::make_shared<Signal>(aWorld.time);
  QueuedRequest<std::shared_ptr<Signal>> queued{
    aWorld.Organisation(aArrival.organisation), aArrival.requestClass
  };
  if (P::kTraits.fairQueue) {
    // Seen tokens are mostly restored, so they take little runner time.
    const double missing = static_cast<double>(aArrival.tokens) -
                           static_cast<double>(aArrival.seenTokens);
    queued.tokens = std::max(missing, double(kPieceTokens));
    daemon.queue.Push(queued.organisation,
                      queued.requestClass,
                      queued.tokens,
                      admitted,
                      arrivedAt);
    aWorld.PumpQueue(daemon);
    co_await admitted->Wait();
  }
  std::shared_ptr<Job> job;
  std::uint32_t runner = 0;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    job = co_await RunAttempt(aWorld, daemon, aPolicy, aArrival, runner);
    if (job->completed) {
      break;
    }
    co_await aWorld.time.WaitUntil(aWorld.time.Now() + kRetryDelay);
  }
  if (P::kTraits.fairQueue) {
    daemon.queue.Finish(queued);
    aWorld.PumpQueue(daemon);
  }
  const bool distant = aWorld.RunnerZone(runner) != daemon.zone;
  const double distance = distant && !P::kTraits.clairvoyant
                            ? 2 * aWorld.deployment.zoneLatencySeconds
                            : 0;
  const TimePoint firstToken = aWorld.time.Now() + FromSeconds(distance);
  aWorld.CloseOutcome(outcome, aArrival, *job, firstToken);
  co_await aWorld.time.WaitUntil(
    firstToken + FromSeconds(aArrival.answerTokens * kTokenSeconds));
  if (P::kTraits.restores && job->completed) {
    co_await aWorld.Export(daemon, aArrival, aWorld.RunnerZone(runner));
  }
}

// Starts each request of the trace at its arrival time.
template<Policy P>
Task<void>
RunArrivals(World& aWorld, P& aPolicy)
{
  for (const Arrival& arrival : aWorld.trace.arrivals) {
    co_await aWorld.time.WaitUntil(arrival.at);
    aWorld.time.Spawn(RunRequest(aWorld, aPolicy, arrival));
  }
}

template<Policy P>
Figures
Replay(const Deployment& aDeployment, const Trace& aTrace, Fault aFault)
{
  P policy;
  World world(aDeployment, aTrace, P::kTraits, aFault);
  world.Prime();
  world.time.Spawn(world.Report());
  world.time.Spawn(world.Fail());
  world.time.Spawn(RunArrivals(world, policy));
  world.time.RunUntil(aTrace.end);
  const Figures use = world.Use();
  world.time.RunUntil(aTrace.end + kDrainTime);
  Figures figures = Summarise(aDeployment, std::move(world.outcomes));
  figures.storeLinkUse = use.storeLinkUse;
  figures.zoneLinkUse = use.zoneLinkUse;
  figures.runnerUse = use.runnerUse;
  return figures;
}

} // namespace wigeonwalk::replay
