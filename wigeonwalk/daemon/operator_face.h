// What operators can ask of a daemon: JSON-RPC calls as docs/operator-api.md
// lists them, and /metrics and /health over HTTP on the same address.
//
//   OperatorFace face(parts);
//   if (face.Start(reason)) { ... }
#pragma once

#include "wigeonwalk/adapters/metrics/metrics.h"
#include "wigeonwalk/daemon/cluster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace wigeonwalk {

// Runs on the daemon's I/O thread. Everything that the parts refer to must
// outlive it.
class OperatorFace
{
public:
  struct Parts
  {
    boost::asio::any_io_executor executor;
    SystemTimer& timer;
    const DaemonSettings& settings;
    Cluster& cluster;
    DaemonKeyValue& keyValue;
    DaemonState& view;
    EventRecorder& events;
    Metrics& metrics;
    std::uint64_t incarnation = 0;
    std::function<std::uint64_t()> requestsOpen;
    std::function<bool()> stopping;
    std::function<bool()> healthy;
    // Begins a graceful stop with an own timeout where one is given.
    std::function<void(std::optional<Duration>)> drain;
  };

  explicit OperatorFace(Parts aParts);
  ~OperatorFace();

  // Opens the listener of the settings. Returns false with the reason.
  bool Start(FailureReason& aReason);

private:
  struct State;

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
