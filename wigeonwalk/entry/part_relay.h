// Forwards holders' cache events from the daemons that follow a holder to those
// that do not.
//
//   relay.Add(parts, followers[parts.holder]);
//   for (const auto& [host, parts] : relay.TakePending(followers)) { ... }
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace wigeonwalk {

// The daemons that use a holder, in rendezvous order. The first `following` of
// them follow it and forward its events to the others.
struct HolderFollowers
{
  std::vector<HostId> ranked;
  std::size_t following = 0;

  // A daemon that is not in the ranking yet follows the holder itself, since no
  // other daemon would forward events to it.
  bool IsFollower(const HostId& aHost) const;

  // Returns the daemons to which `aFollower` forwards the holder's events. Each
  // daemon ranks the followers in an order of its own and gets the events from
  // the first of them, so that it gets those of many holders from the same
  // follower.
  std::vector<HostId> ReceiversOf(const HostId& aFollower) const;
};

// Batches changes, so that each daemon gets few messages. Not thread-safe; the
// EntryState must outlive it.
class PartRelay
{
public:
  // Shorter parts are not forwarded: an engine prefills them in about 15 ms.
  static constexpr std::uint32_t kMinForwardedTokens = 512;
  // Changes of parts that fit into one datagram at up to 24 bytes each; a
  // holder's name takes the space of kHolderRows of them.
  static constexpr std::size_t kMaxRows = 40;
  static constexpr std::size_t kHolderRows = 3;

  explicit PartRelay(const EntryState& aState)
    : state(aState)
  {
  }

  // Adds a holder's report to the batch. Must be called before the report is
  // applied to the state. A report without changes shows that the holder still
  // answers.
  void Add(const HeldParts& aParts, const HolderFollowers& aFollowers);

  // Returns the batched reports by receiving daemon, and clears the batch.
  std::map<HostId, std::vector<HeldParts>> TakePending(
    const std::map<UpstreamId, HolderFollowers>& aFollowers);

  // Splits the reports for one daemon into messages of one datagram each.
  static std::vector<std::vector<HeldParts>> SplitIntoDatagrams(
    const std::vector<HeldParts>& aParts);

private:
  const EntryState& state;
  std::map<UpstreamId, HeldParts> pending;
};

} // namespace wigeonwalk
