// Decides whether a daemon's documents are fresh enough to serve with.
//
//   Freshness freshness = EvaluateFreshness(state, now);
//   if (!MayServe(freshness)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <optional>

namespace wigeonwalk {

// How a daemon treats new requests.
enum class Freshness
{
  Serve,
  // Serves, but fails the load balancer's health check.
  FailHealthCheck,
  // Refuses new requests as NotRun, because the daemon is isolated and an edit
  // may have been accepted that it has not learned of.
  RefuseIsolated,
  // Refuses new requests, because the documents were not confirmed for too
  // long.
  RefuseStale,
  // Refuses new requests, because no documents were loaded since the start.
  RefuseNotLoaded,
};

template<>
struct EnumNames<Freshness>
{
  static constexpr std::array<EnumName<Freshness>, 5> kTable{ {
    { Freshness::Serve, "serve" },
    { Freshness::FailHealthCheck, "fail-health-check" },
    { Freshness::RefuseIsolated, "refuse-isolated" },
    { Freshness::RefuseStale, "refuse-stale" },
    { Freshness::RefuseNotLoaded, "refuse-not-loaded" },
  } };
};
static_assert(HasCompleteTable<Freshness>());

// An edit must be in force in all daemons within this time, so a daemon without
// any contact for this long may have missed one.
inline constexpr Duration kFailHealthCheckAfter = std::chrono::seconds(6);
// Later than kFailHealthCheckAfter, so that the load balancer can move callers
// to other daemons before they are refused.
inline constexpr Duration kRefuseIsolatedAfter = std::chrono::seconds(30);
// Longer than the one-hour partition between regions that must be survived.
inline constexpr Duration kRefuseStaleAfter = std::chrono::hours(4);

// What a daemon knows about how current its documents are.
struct FreshnessState
{
  // Whether the daemon has peers (from its settings or the host list), and a
  // key-value service.
  bool hasPeers = false;
  bool hasKeyValue = false;
  bool loaded = false;
  // Last contact to the key-value service, and to any other daemon.
  std::optional<TimePoint> keyValueContact;
  std::optional<TimePoint> peerContact;
  // The time up to which this daemon knows every accepted edit.
  std::optional<TimePoint> confirmedAt;
};

// Returns how to treat new requests now. Called for each request and health
// check, so that a process that was paused refuses requests at once, until it
// has contact to others again.
Freshness
EvaluateFreshness(const FreshnessState& aState, TimePoint aNow);

// Returns true if new requests are accepted.
constexpr bool
MayServe(Freshness aFreshness)
{
  return aFreshness == Freshness::Serve ||
         aFreshness == Freshness::FailHealthCheck;
}

} // namespace wigeonwalk
