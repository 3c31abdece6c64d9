// Polls one engine for its load, state and cache events. Each engine has a task
// of its own.
//
//   Spawn(ObserveEngine(runner, service, documents, engines, daemon, time));
#pragma once

#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/serving/daemon_state.h"
#include "wigeonwalk/serving/engine_provider.h"

#include <algorithm>
#include <cstdint>

namespace wigeonwalk {

// Average number of bytes that one round of polls of one engine takes: 320 for
// the load, and 540 for state and events in every kRoundsPerStatePoll-th round.
// Polls may use kPollBytesPerSecond of a daemon's 22 KB/s of control traffic.
inline constexpr double kPollBytes = 460;
inline constexpr double kPollBytesPerSecond = 10'000;
inline constexpr std::uint64_t kRoundsPerStatePoll = 4;

// Shortest time between two rounds.
inline constexpr Duration kMinPollInterval = std::chrono::milliseconds(250);

// Timeout of one poll.
inline constexpr Duration kPollTimeout = std::chrono::seconds(1);

// Returns the time between rounds of polls of one engine if a daemon polls
// `aEngines` of them, so that polls stay within their share of control traffic.
inline Duration
PollInterval(std::size_t aEngines)
{
  const double seconds =
    static_cast<double>(aEngines) * kPollBytes / kPollBytesPerSecond;
  return std::max(kMinPollInterval, FromSeconds(seconds));
}

// Returns the number of engines of all services in force, from which the poll
// interval follows.
template<DocumentSource Documents>
std::size_t
CountEngines(const Documents& aDocuments)
{
  std::size_t engines = 0;
  for (const auto& accepted : aDocuments.AllInForce()) {
    const ServiceDocument& document = accepted->document;
    engines +=
      document.kind == ServiceKind::Engine ? document.runners.size() : 0;
  }
  return engines;
}

// Polls one engine until the service no longer lists it. If the engine has
// dropped events, the tracker detects the gap in their sequence.
template<Timer Time, EngineProvider Engines, DocumentSource Documents>
Task<void>
ObserveEngine(RunnerSpec aRunner,
              ServiceName aService,
              const Documents& aDocuments,
              Engines& aEngines,
              DaemonState& aDaemon,
              Time& aTime)
{
  std::uint64_t lastSequence = 0;
  std::uint64_t round = 0;
  while (true) {
    const auto accepted = aDocuments.Find(aService);
    if (!accepted) {
      co_return;
    }
    const ServiceDocument& document = accepted->document;
    const bool listed =
      std::find(document.runners.begin(), document.runners.end(), aRunner) !=
      document.runners.end();
    if (!listed) {
      co_return;
    }
    auto& engine = aEngines.EngineOf(aRunner);
    FailureReason reason;
    const auto load = co_await engine.Load(aTime.Now() + kPollTimeout, reason);
    if (load) {
      const bool restarted = aDaemon.upstreams.ReportLoad(
        aRunner.id, *load, document.model.prefillTokensPerSecond);
      if (restarted) {
        aDaemon.cache.Tracker().Forget(aRunner.id);
        lastSequence = 0;
      }
    }
    if (load && round++ % kRoundsPerStatePoll == 0) {
      const auto state =
        co_await engine.State(aTime.Now() + kPollTimeout, reason);
      if (state) {
        aDaemon.upstreams.ReportState(aRunner.id, *state);
      }
      const auto events = co_await engine.CacheEvents(
        lastSequence, aTime.Now() + kPollTimeout, reason);
      if (events) {
        aDaemon.cache.Tracker().Apply(aRunner.id, *events, aTime.Now());
        if (!events->events.empty()) {
          lastSequence = events->events.back().sequence;
        }
      }
    }
    co_await aTime.WaitUntil(aTime.Now() +
                             PollInterval(CountEngines(aDocuments)));
  }
}

} // namespace wigeonwalk
