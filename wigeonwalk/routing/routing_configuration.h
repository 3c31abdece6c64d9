// The operator's configuration: routes, services, organisations and limits.
//
//   RoutingConfiguration configuration = ...;   // decoded by an adapter
//   RouteTable table(std::move(configuration));
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/zones/home_regions.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Whether the requests of a route may run more than once.
enum class RequestKind
{
  // May run more than once.
  Idempotent,
  // Runs at most once for each request of a caller.
  NonIdempotent,
  // The answer is a stream of events; runs at most once unless the route's
  // streams can be resumed.
  Streaming,
};

template<>
struct EnumNames<RequestKind>
{
  static constexpr std::array<EnumName<RequestKind>, 3> kTable{ {
    { RequestKind::Idempotent, "idempotent" },
    { RequestKind::NonIdempotent, "non_idempotent" },
    { RequestKind::Streaming, "streaming" },
  } };
};
static_assert(HasCompleteTable<RequestKind>());

// One of the services that share a route's requests.
struct WeightedService
{
  ServiceName service;
  // Share of the requests, relative to the other weights of the route.
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route
{
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::NonIdempotent;
  // Time limit for the complete response.
  Duration timeout = std::chrono::seconds(30);
  // Latency objective: to the end of a non-streaming response, or to the first
  // event of a stream.
  Duration targetLatency = std::chrono::seconds(1);
  // Objective for the longest gap between events of a stream.
  Duration targetGap{ 0 };
  // Priority of the route's requests; 0 is the most urgent.
  std::uint32_t priority = 0;
  std::vector<WeightedService> services;
  // Maximum number of runners to which one request may be sent.
  std::uint32_t maxAttempts = 1;
  // A public route needs no API key.
  bool isPublic = false;
  // A broken stream may be resumed at another runner after its last event.
  bool resumable = false;
  // Regions in which its requests may be processed.
  HomeRegions homes;

  // Returns true if running the same request twice is safe.
  bool MayRunAgain() const
  {
    return this->kind == RequestKind::Idempotent ||
           (this->kind == RequestKind::Streaming && this->resumable);
  }

  // Returns true if its streams may be continued after they broke off.
  bool CanBeResumed() const
  {
    return this->kind == RequestKind::Streaming && this->resumable;
  }

  bool operator==(const Route&) const = default;
};

// Properties of the model runners of a service.
struct EngineTraits
{
  std::uint32_t slots = 1;
  // Memory in tokens, shared by running requests and cached prompt parts.
  std::uint64_t cacheTokens = 0;
  // Size of the KV cache of one token.
  std::uint64_t bytesPerToken = 0;
  // Bandwidth of a runner's link for KV cache, in megabits per second.
  double linkMegabits = 0;
  // Concurrent long-poll calls for cache events that one runner accepts.
  std::uint32_t eventCalls = 0;
  std::vector<ModelName> models;

  bool operator==(const EngineTraits&) const = default;
};

// Properties of a KV cache store.
struct CacheStoreTraits
{
  std::string address;
  AvailabilityZone zone;
  std::uint64_t cacheTokens = 0;
  double linkMegabits = 0;
  // Fixed delay of each transfer.
  Duration transferDelay{ 0 };
  std::uint32_t eventCalls = 0;
  // The store never evicts; this system must free obsolete cache.
  bool freedByCaller = false;

  bool operator==(const CacheStoreTraits&) const = default;
};

// What a service allows its runners while they are cold: after a start, or
// whenever they say so.
struct ColdStartTraits
{
  // How long a runner is cold after its start.
  Duration time{ 0 };
  // Requests a second that a cold runner may get from all daemons together.
  double requestsPerSecond = 0;

  bool operator==(const ColdStartTraits&) const = default;
};

struct ServiceConfiguration
{
  ServiceName name;
  std::string healthPath;
  // Connections that one runner accepts from all callers together.
  std::uint32_t maxConnections = 0;
  std::optional<EngineTraits> engine;
  std::optional<CacheStoreTraits> cacheStore;
  // Absent if cold runners get requests like others.
  std::optional<ColdStartTraits> coldStart;

  bool operator==(const ServiceConfiguration&) const = default;
};

struct OrganisationConfiguration
{
  OrganisationId name;
  std::vector<std::string> apiKeys;
  // Takes precedence over the route's priority.
  std::optional<std::uint32_t> priority;
  // Its KV cache is shared with no other organisation.
  bool isolated = false;
  // Regions in which its requests may be processed.
  HomeRegions homes;

  bool operator==(const OrganisationConfiguration&) const = default;
};

// Limits on callers' requests and connections.
struct CallerBounds
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 4 * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(60);

  bool operator==(const CallerBounds&) const = default;
};

struct RoutingConfiguration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfiguration> services;
  std::vector<OrganisationConfiguration> organisations;
  // The configuration lists organisations, though the list may be empty:
  // callers need a key on routes that are not public.
  bool listsOrganisations = false;
  CallerBounds bounds;

  bool operator==(const RoutingConfiguration&) const = default;
};

} // namespace wigeonwalk
