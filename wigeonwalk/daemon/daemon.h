// One daemon: its listeners, its request path and its state, assembled from
// the settings.
//
//   Daemon daemon(context, settings);
//   if (daemon.Start(reason)) { context.run(); }
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/serving/daemon_settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace wigeonwalk {

// Runs on the single I/O thread that runs the context.
class Daemon
{
public:
  Daemon(boost::asio::io_context& aContext, DaemonSettings aSettings);
  ~Daemon();

  // Reads the documents and opens the listeners. Returns false with the reason
  // if one of these steps fails.
  bool Start(FailureReason& aReason);

  // Begins a graceful stop: fails the health check, gives the load balancer
  // time to notice, drains open requests up to the drain timeout, then stops
  // the context. A second call stops the context at once.
  void RequestStop();

  // Writes the buffered log lines. Nothing is logged afterwards.
  void FlushLog();

private:
  struct State;

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
