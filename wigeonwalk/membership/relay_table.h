// Indirect probes: probes that this daemon sends on behalf of others.
//
//   std::uint64_t sequence = ...;
//   relays.Add(sequence,
//              { requesterAddress, requesterSequence, now + timeout });
//   if (auto relay = relays.Take(sequence)) { ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wigeonwalk {

// The requester to which the answer of the probed daemon is forwarded, and its
// sequence number for the probe.
struct Relay
{
  std::string address;
  std::uint64_t sequence = 0;
  TimePoint expiresAt;
};

// Open indirect probes by this daemon's own sequence numbers. Bounded; a full
// table rejects new requests, which is harmless because requesters ask several
// daemons.
class RelayTable
{
public:
  static constexpr std::size_t kMaxRelays = 256;

  bool Add(std::uint64_t aSequence, Relay aRelay)
  {
    if (this->relays.size() >= kMaxRelays) {
      return false;
    }
    return this->relays.emplace(aSequence, std::move(aRelay)).second;
  }

  std::optional<Relay> Take(std::uint64_t aSequence)
  {
    const auto node = this->relays.extract(aSequence);
    return node ? std::optional<Relay>(node.mapped()) : std::nullopt;
  }

  void Expire(TimePoint aNow)
  {
    std::erase_if(this->relays, [&](const auto& aItem) {
      return aItem.second.expiresAt <= aNow;
    });
  }

private:
  std::map<std::uint64_t, Relay> relays;
};

} // namespace wigeonwalk
