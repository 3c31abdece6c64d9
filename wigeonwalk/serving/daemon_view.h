// The state that all requests of a daemon share.
//
//   DaemonView view(settings, incarnation);
//   view.poison.Admit(print, now);
#pragma once

#include "wigeonwalk/cache/return_model.h"
#include "wigeonwalk/retry/poison_tracker.h"
#include "wigeonwalk/retry/retry_budget.h"
#include "wigeonwalk/serving/cache_view.h"
#include "wigeonwalk/serving/explain_log.h"
#include "wigeonwalk/serving/placer.h"
#include "wigeonwalk/serving/queue_gate.h"
#include "wigeonwalk/serving/shed_gate.h"
#include "wigeonwalk/serving/upstream_table.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

// Gives each attempt of a daemon an identity of its own.
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

// Shared by the coroutines of one I/O thread.
struct DaemonView
{
  // Prefill work that a daemon lets a service's upstreams hold, in seconds of
  // all its runners. Longer queues belong here, where they are fair.
  static constexpr double kQueueSeconds = 2;

  // Wait at an engine that is no reason to shed: half of the 0.99 s within
  // which the first token is due.
  static constexpr Duration kSoon = std::chrono::milliseconds(500);

  DaemonView(HostId aDaemon,
             AvailabilityZone aZone,
             std::uint64_t aIncarnation,
             std::string aSecret)
    : attempts(std::move(aDaemon), aIncarnation)
    , secret(std::move(aSecret))
    , placer(upstreams, cache, std::move(aZone))
    , random(aIncarnation)
  {
  }

  // The queue of a service, made at first use with the document's capacity.
  QueueGate& QueueOf(const ServiceDocument& aDocument)
  {
    const double capacity = kQueueSeconds *
                            aDocument.model.prefillTokensPerSecond *
                            static_cast<double>(aDocument.runners.size());
    return this->queues.try_emplace(aDocument.name, capacity).first->second;
  }

  // True where a runner of the service would begin a request soon: an engine
  // that has little to read, or a plain upstream without a call of this daemon.
  bool HasFreePlace(const ServiceDocument& aDocument, TimePoint aNow) const
  {
    const auto isFree = [&](const RunnerSpec& aRunner) {
      if (!this->upstreams.Usable(aRunner.id, aNow)) {
        return false;
      }
      return aDocument.kind == ServiceKind::Engine
               ? this->upstreams.WaitSeconds(aRunner.id, aNow) <=
                   ToSeconds(kSoon)
               : this->upstreams.InFlight(aRunner.id) == 0;
    };
    return std::any_of(
      aDocument.runners.begin(), aDocument.runners.end(), isFree);
  }

  // The overload shedder of a service, made at first use.
  ShedGate& ShedderOf(const ServiceName& aService, TimePoint aNow)
  {
    return this->shedders.try_emplace(aService, this->random(), aNow)
      .first->second;
  }

  AttemptSource attempts;
  // Secret of the cluster, from which cache salts are derived.
  std::string secret;
  UpstreamTable upstreams;
  CacheView cache;
  Placer placer;
  RetryBudget budget;
  PoisonTracker poison;
  // Called where the tracker has new evidence for other daemons.
  std::function<void()> onEvidence = [] {};
  ReturnModel returns;
  ExplainLog explain;
  std::mt19937_64 random;

private:
  std::unordered_map<ServiceName, QueueGate> queues;
  std::unordered_map<ServiceName, ShedGate> shedders;
};

} // namespace wigeonwalk
