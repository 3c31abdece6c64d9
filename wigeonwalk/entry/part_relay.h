// What the daemons that follow a holder tell those that do not.
//
//   relay.Keep(parts, followers[parts.holder]);
//   for (const auto& [host, parts] : relay.Take(followers)) { ... }
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace wigeonwalk {

// The daemons that use a holder, best first. The first ones follow it, the
// others are told by them.
struct HolderFollowers
{
  std::vector<HostId> ranked;
  std::size_t following = 0;

  // A daemon that is not ranked yet follows, since none would tell it anything.
  bool IsFollower(const HostId& aHost) const;

  // Returns the daemons that hear of the holder from a follower. Each has its
  // own order of daemons and hears from the first that follows the holder, so
  // that it hears of many holders from the same one.
  std::vector<HostId> ToldBy(const HostId& aFollower) const;
};

// Gathers changes, so that each daemon gets few messages. One thread only; the
// state must outlive it.
class PartRelay
{
public:
  // Shorter parts are not told: an engine reads them in about 15 ms.
  static constexpr std::uint32_t kLeastTokens = 512;
  // Changes of parts that fit into one datagram at up to 24 bytes each, and how
  // many of them the name of a holder takes the place of.
  static constexpr std::size_t kMostRows = 40;
  static constexpr std::size_t kHolderRows = 3;

  explicit PartRelay(const EntryState& aState)
    : state(aState)
  {
  }

  // Keeps what a holder reported. Call before the state takes it over. A report
  // without changes tells that the holder still answers.
  void Keep(const HeldParts& aParts, const HolderFollowers& aFollowers);

  // Returns what is to be told to whom, and forgets it.
  std::map<HostId, std::vector<HeldParts>> Take(
    const std::map<UpstreamId, HolderFollowers>& aFollowers);

  // Divides what is told to one daemon into messages of one datagram each.
  static std::vector<std::vector<HeldParts>> Divide(
    const std::vector<HeldParts>& aParts);

private:
  const EntryState& state;
  std::map<UpstreamId, HeldParts> kept;
};

} // namespace wigeonwalk
