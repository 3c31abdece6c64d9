// The state that all requests of a daemon share.
//
//   DaemonState daemon(host, zone, incarnation, secret);
//   daemon.poison.Admit(fingerprint, now);
#pragma once

#include "wigeonwalk/cache/return_model.h"
#include "wigeonwalk/retry/poison_tracker.h"
#include "wigeonwalk/retry/retry_budget.h"
#include "wigeonwalk/serving/admission_queue.h"
#include "wigeonwalk/serving/cache_state.h"
#include "wigeonwalk/serving/explain_log.h"
#include "wigeonwalk/serving/placer.h"
#include "wigeonwalk/serving/service_shedder.h"
#include "wigeonwalk/serving/upstream_table.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

// Generates a unique identifier for each attempt of a daemon.
class AttemptIdGenerator
{
public:
  AttemptIdGenerator(HostId aDaemon, std::uint64_t aIncarnation)
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

// State shared by the coroutines of one I/O thread.
struct DaemonState
{
  // Prefill work that a daemon allows to wait at a service's upstreams, in
  // seconds of all its runners. Further requests wait in this daemon's queue,
  // which is fair between organisations.
  static constexpr double kUpstreamQueueSeconds = 2;

  // Longest wait at an engine that counts as free, so that requests are not
  // shed: half of the 0.99 s within which the first token is due.
  static constexpr Duration kFreeEngineMaxWait = std::chrono::milliseconds(500);

  DaemonState(HostId aDaemon,
              AvailabilityZone aZone,
              std::uint64_t aIncarnation,
              std::string aSecret)
    : attempts(std::move(aDaemon), aIncarnation)
    , secret(std::move(aSecret))
    , placer(upstreams, cache, std::move(aZone))
    , random(aIncarnation)
  {
  }

  // Returns the queue of a service. Creates it at first use with the capacity
  // of the document's runners.
  AdmissionQueue& QueueOf(const ServiceDocument& aDocument)
  {
    const double capacity = kUpstreamQueueSeconds *
                            aDocument.model.prefillTokensPerSecond *
                            static_cast<double>(aDocument.runners.size());
    return this->queues.try_emplace(aDocument.name, capacity).first->second;
  }

  // Returns true if a usable runner of the service can start a request soon: an
  // engine with little prefill work, or a plain upstream without a call of this
  // daemon in flight.
  bool HasFreeRunner(const ServiceDocument& aDocument, TimePoint aNow) const
  {
    const auto isFree = [&](const RunnerSpec& aRunner) {
      if (!this->upstreams.Usable(aRunner.id, aNow)) {
        return false;
      }
      return aDocument.kind == ServiceKind::Engine
               ? this->upstreams.WaitSeconds(aRunner.id, aNow) <=
                   ToSeconds(kFreeEngineMaxWait)
               : this->upstreams.InFlight(aRunner.id) == 0;
    };
    return std::any_of(
      aDocument.runners.begin(), aDocument.runners.end(), isFree);
  }

  // Returns the overload shedder of a service. Creates it at first use.
  ServiceShedder& ShedderOf(const ServiceName& aService, TimePoint aNow)
  {
    return this->shedders.try_emplace(aService, this->random(), aNow)
      .first->second;
  }

  AttemptIdGenerator attempts;
  // Secret of the cluster, from which cache salts are derived.
  std::string secret;
  UpstreamTable upstreams;
  CacheState cache;
  Placer placer;
  RetryBudget budget;
  PoisonTracker poison;
  // Called when the poison tracker has new evidence to send to other daemons.
  std::function<void()> onEvidence = [] {};
  ReturnModel returns;
  ExplainLog explain;
  std::mt19937_64 random;

private:
  std::unordered_map<ServiceName, AdmissionQueue> queues;
  std::unordered_map<ServiceName, ServiceShedder> shedders;
};

} // namespace wigeonwalk
