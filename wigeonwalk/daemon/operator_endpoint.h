// A daemon's endpoint for operators: the JSON-RPC calls of
// docs/operator-api.md, and /metrics and /health over HTTP on the same address.
//
//   OperatorEndpoint endpoint(dependencies);
//   if (endpoint.Start(reason)) { ... }
#pragma once

#include "wigeonwalk/adapters/metrics/metrics.h"
#include "wigeonwalk/daemon/cluster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace wigeonwalk {

// Runs on the daemon's I/O thread. Its dependencies must outlive it.
class OperatorEndpoint
{
public:
  struct Dependencies
  {
    boost::asio::any_io_executor executor;
    SystemTimer& timer;
    const DaemonSettings& settings;
    Cluster& cluster;
    DaemonKeyValue& keyValue;
    DaemonState& daemonState;
    EventRecorder& events;
    Metrics& metrics;
    std::uint64_t incarnation = 0;
    std::function<std::uint64_t()> requestsOpen;
    std::function<bool()> stopping;
    std::function<bool()> healthy;
    // Begins a graceful stop; a given timeout replaces the one of the settings.
    std::function<void(std::optional<Duration>)> drain;
  };

  explicit OperatorEndpoint(Dependencies aDependencies);
  ~OperatorEndpoint();

  // Opens the listener if the settings give an address for operators. Returns
  // false with the reason if that address cannot be used.
  bool Start(FailureReason& aReason);

private:
  struct State;

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
