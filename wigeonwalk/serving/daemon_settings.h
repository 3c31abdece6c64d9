// Settings of one daemon, as read from its JSON file by adapters/settings.
//
//   DaemonSettings settings = ...;
//   server.Listen(settings.entryAddress);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Limits on what a caller may send.
struct CallerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  // Longest time from the first byte of a request to its last.
  Duration readTimeout = std::chrono::seconds(10);
  // Most connections that are open at once, and at most three quarters of the
  // process's descriptors. Beyond it, the one that has been idle for the
  // longest time is closed.
  std::uint32_t connections = 20'000;
  // Memory of requests that are being received or held, in bytes. Beyond it,
  // the largest that is still being received is refused.
  std::uint64_t requestBytes = 24ULL * 1024 * 1024;
};

// Another daemon that the settings list.
struct PeerSettings
{
  HostId host;
  AvailabilityZone zone;
  // IP address and port of its peer listener.
  std::string address;
};

// Timing of a planned stop.
struct StopSettings
{
  // Time that the load balancer needs to notice a failing health check.
  Duration balancerDelay = std::chrono::seconds(5);
  // Longest time for open streams to end; the operator may cut it short.
  Duration drainTimeout = std::chrono::minutes(10);
};

// All settings of a daemon. Addresses are "IP:port".
struct DaemonSettings
{
  HostId host;
  AvailabilityZone zone;
  std::string region;
  // Listener for callers; empty for none.
  std::string entryAddress;
  // Listener for operators (JSON-RPC, metrics, health); empty for none.
  std::string operatorAddress;
  // Listener for other daemons, TCP and UDP on the same port; empty for none.
  std::string peerAddress;
  std::vector<PeerSettings> peers;
  // File that holds the key shared by the cluster's daemons.
  std::string clusterKeyFile;
  std::vector<std::string> keyValueAddresses;
  std::string hostListAddress;
  std::string weightStoreAddress;
  // Documents read at the start, for runs without a key-value service.
  std::vector<std::string> documentFiles;
  CallerLimits callerLimits;
  StopSettings stop;
  // Worker threads for CPU work; zero means one for each core.
  std::uint32_t workerThreads = 0;
  std::string logLevel = "info";
  std::uint32_t timelineEvents = 16'384;
};

} // namespace wigeonwalk
