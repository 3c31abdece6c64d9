// Settings of an entry daemon, which forwards requests to registered runners.
//
//   auto settings = ParseEntrySettings(text, reasons);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/zones/home_regions.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk {

// Listeners, each "IP:port"; an empty one is not opened.
struct EntryListeners
{
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string metrics;
};

// Limits that the deployment imposes.
struct EntryBounds
{
  // A draining runner must get no new request later than this after it has
  // announced that it leaves.
  Duration drain = std::chrono::seconds(2);
  // Longest time from the stop request to the end of the process.
  Duration stopGrace = std::chrono::seconds(8);
  // Longest time until the runners of a zone that is taken out of use get no
  // new requests.
  Duration zoneOrder = std::chrono::seconds(5);
  // Longest time until all daemons use a new configuration.
  Duration configurationPropagation = std::chrono::seconds(2);
  // Longest time from the publication of new weights until all runners use
  // them.
  Duration newWeights = std::chrono::seconds(12);
  // Least time between the last order of one daemon and the first order of
  // another.
  Duration orderLease = std::chrono::seconds(3);
  // Retry budget: in each window, the retries for a service over all daemons
  // stay below `repeatRatio` x requests + `repeatSlack`.
  double repeatRatio = 0.2;
  double repeatSlack = 0;
  Duration repeatWindow = std::chrono::seconds(10);
};

// Limits on what all clients together make the daemon hold.
struct CallerSettings
{
  // Most connections that are open at once. Beyond it, the one that has been
  // idle for the longest time is closed.
  std::uint32_t connections = 3'000;
  // Most connections that are open at once to each listener that is not for
  // callers; at the peers' listener those of processes that have not proved
  // that they know the cluster's key.
  std::uint32_t adminConnections = 32;
  // Memory of requests that are being received or held, in bytes. Beyond it,
  // the largest that is still being received is refused. At least one request
  // of the largest size fits, whatever the limit says.
  std::uint64_t requestBytes = 24ULL * 1024 * 1024;
  // Most cached parts of prompts that are remembered, each counted once for
  // each runner or store that holds it.
  std::uint32_t cachedParts = 131'072;
};

struct EntrySettings
{
  HostId host;
  AvailabilityZone zone;
  std::string region;
  // The region of each availability zone. A zone that is not listed is in an
  // unknown one.
  ZoneRegions regions;
  EntryListeners listen;
  CallerSettings callers;
  // Address of the registry.
  std::string registryAddress;
  EntryBounds bounds;
  // Prefill rate of a runner in tokens per millisecond, from the deployment's
  // specification.
  double readTokensPerMs = 38;
  std::string logLevel = "info";
};

} // namespace wigeonwalk
