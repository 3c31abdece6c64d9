// Whether a daemon may serve with the documents that it has.
//
//   Freshness freshness = JudgeFreshness(state, now);
//   if (!MayServe(freshness)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <optional>

namespace wigeonwalk {

// What a daemon does for its callers.
enum class Freshness
{
  Serve,
  // Serves, but fails the load balancer's health check.
  FailHealthCheck,
  // Refuses new requests as NotRun: an edit may have been accepted that this
  // daemon cannot see.
  RefuseIsolated,
  // Refuses: the documents were not confirmed for too long.
  RefuseStale,
  // Refuses: no documents have been read since the start.
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

// An edit is in force everywhere within this time, so a daemon that has heard
// from nobody for as long may be behind.
inline constexpr Duration kFailHealthCheckAfter = std::chrono::seconds(6);
// Time for the load balancer to move callers away before they are refused.
inline constexpr Duration kRefuseIsolatedAfter = std::chrono::seconds(30);
// Longer than the one-hour cut between regions that must be survived.
inline constexpr Duration kRefuseStaleAfter = std::chrono::hours(4);

// What a daemon knows of its own documents.
struct FreshnessState
{
  // Whether settings or the host list name other daemons, or a key-value
  // service.
  bool hasPeers = false;
  bool hasKeyValue = false;
  bool loaded = false;
  // When the key-value service and any other daemon last answered.
  std::optional<TimePoint> keyValueContact;
  std::optional<TimePoint> peerContact;
  // The time up to which this daemon knows every accepted edit.
  std::optional<TimePoint> confirmedAt;
};

// Returns what to do now. Called for each request and each health check, so a
// process that was paused refuses at once until it has heard from others.
Freshness
JudgeFreshness(const FreshnessState& aState, TimePoint aNow);

// Returns true where new requests are taken.
constexpr bool
MayServe(Freshness aFreshness)
{
  return aFreshness == Freshness::Serve ||
         aFreshness == Freshness::FailHealthCheck;
}

} // namespace wigeonwalk
