// The service document: the configuration of a service, which its team edits.
//
// adapters/settings parses and validates the JSON form; all other code uses
// only this type.
//
//   const ServiceDocument& document = ...;
//   if (document.placementGoal == PlacementGoal::ShareRecomputed) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/model_engine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// What kind of upstreams a service has.
enum class ServiceKind
{
  Engine,
  Plain,
};

template<>
struct EnumNames<ServiceKind>
{
  static constexpr std::array<EnumName<ServiceKind>, 2> kTable{ {
    { ServiceKind::Engine, "engine" },
    { ServiceKind::Plain, "plain" },
  } };
};
static_assert(HasCompleteTable<ServiceKind>());

// What placement optimises for the service's requests.
enum class PlacementGoal
{
  TimeToFirstToken,
  ShareRecomputed,
};

template<>
struct EnumNames<PlacementGoal>
{
  static constexpr std::array<EnumName<PlacementGoal>, 2> kTable{ {
    { PlacementGoal::TimeToFirstToken, "time-to-first-token" },
    { PlacementGoal::ShareRecomputed, "share-recomputed" },
  } };
};
static_assert(HasCompleteTable<PlacementGoal>());

// Where the idempotency key of a non-idempotent call is taken from.
enum class KeySource
{
  Header,
  BodyField,
};

template<>
struct EnumNames<KeySource>
{
  static constexpr std::array<EnumName<KeySource>, 2> kTable{ {
    { KeySource::Header, "header" },
    { KeySource::BodyField, "body-field" },
  } };
};
static_assert(HasCompleteTable<KeySource>());

// One upstream that runs requests: a runner, or an instance of a plain service.
struct RunnerSpec
{
  UpstreamId id;
  AvailabilityZone zone;
  // IP address and port, "127.0.0.1:9000".
  std::string address;
  std::uint32_t accelerators = 1;
  // Whether the runner refuses an order with an old fencing number.
  bool checksFencingNumbers = false;

  bool operator==(const RunnerSpec&) const = default;
};

// One host of the service's cache store. Rates are in bytes per second.
struct StoreSpec
{
  UpstreamId id;
  AvailabilityZone zone;
  std::string address;
  std::uint64_t memoryBytes = 0;
  std::uint64_t diskBytes = 0;
  std::uint64_t memoryLinkRate = 0;
  std::uint64_t diskLinkRate = 0;

  bool operator==(const StoreSpec&) const = default;
};

// The model that the service's runners must run.
struct ModelSpec
{
  ModelName name;
  WeightVersion version;
  std::vector<AdapterName> adapters;
  // Bytes of KV cache per token.
  std::uint64_t cacheBytesPerToken = 0;
  // Prompt tokens per second that one runner prefills.
  double prefillTokensPerSecond = 0;

  bool operator==(const ModelSpec&) const = default;
};

// Limits of one organisation in the service, in total over all daemons. An
// empty value means no limit.
struct OrganisationLimits
{
  std::optional<std::uint32_t> concurrentRequests;
  std::optional<double> requestsPerSecond;
  std::optional<double> tokensPerSecond;

  bool operator==(const OrganisationLimits&) const = default;
};

// One organisation that may use the service.
struct OrganisationSpec
{
  OrganisationId id;
  // SHA-256 digests of its API keys, in hexadecimal.
  std::vector<std::string> keyDigests;
  // Share of the service under contention, relative to the other weights.
  double weight = 1;
  RequestClass requestClass = RequestClass::Standard;
  OrganisationLimits limits;

  bool operator==(const OrganisationSpec&) const = default;
};

// One kind of call of a plain service.
struct RouteSpec
{
  std::string method;
  // Path prefix under the service, "/reservations".
  std::string path;
  bool idempotent = true;
  KeySource keySource = KeySource::Header;
  // Header name, or JSON pointer into the body.
  std::string keyName;

  bool operator==(const RouteSpec&) const = default;
};

// The whole document of one service.
struct ServiceDocument
{
  ServiceName name;
  ServiceKind kind = ServiceKind::Engine;
  PlacementGoal placementGoal = PlacementGoal::TimeToFirstToken;
  // Availability zones of the service; runners and stores name only these.
  std::vector<AvailabilityZone> zones;
  ModelSpec model;
  std::vector<RunnerSpec> runners;
  std::vector<StoreSpec> stores;
  std::vector<OrganisationSpec> organisations;
  std::vector<RouteSpec> routes;
  // Maximum duration of a request.
  Duration requestTimeout = std::chrono::seconds(120);
  // Maximum time to the next token before a stream is probed.
  Duration tokenTimeout = std::chrono::seconds(2);
  // Minimum number of runners that keep serving while others load weights.
  std::uint32_t minimumServing = 1;

  bool operator==(const ServiceDocument&) const = default;
};

// A document with the revision under which it was accepted. The revision of a
// service increases by one with each accepted edit.
struct AcceptedDocument
{
  std::uint64_t revision = 0;
  // The edit that made this revision, by which a daemon determines the outcome
  // of an edit whose answer was lost.
  std::string editId;
  // The text as the team wrote it, and its parsed form.
  std::string text;
  ServiceDocument document;
};

} // namespace wigeonwalk
