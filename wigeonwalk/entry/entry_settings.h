// Settings of an entry daemon, which forwards requests to registered runners.
//
//   auto settings = ParseEntrySettings(text, reasons);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

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

// Bounds that the deployment sets.
struct EntryBounds
{
  // A runner gets no request later than this after it said that it leaves.
  Duration drain = std::chrono::seconds(2);
  // Time from the request to stop to the end of the process.
  Duration stopGrace = std::chrono::seconds(8);
  Duration configurationPropagation = std::chrono::seconds(2);
  // New weights are used everywhere within this time after they were named.
  Duration newWeights = std::chrono::seconds(12);
  // Two holders must not take turns in giving orders within this time.
  Duration orderLease = std::chrono::seconds(3);
  double repeatRatio = 0.2;
  double repeatSlack = 0;
  Duration repeatWindow = std::chrono::seconds(10);
};

struct EntrySettings
{
  HostId host;
  AvailabilityZone zone;
  std::string region;
  EntryListeners listen;
  // Address of the registry.
  std::string registryAddress;
  EntryBounds bounds;
  // Prompt tokens that a runner reads in a millisecond; from the deployment's
  // sheet.
  double readTokensPerMs = 38;
  std::string logLevel = "info";
};

} // namespace wigeonwalk
