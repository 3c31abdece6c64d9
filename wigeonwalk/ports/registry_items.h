// Decoded items of the registry (the platform's key-value service).
//
//   RegistryItem item = decoder.Decode(entry, reason);
//   if (auto* runner = std::get_if<RunnerEntry>(&item)) { ... }
#pragma once

#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <variant>

namespace wigeonwalk {

// The weight version that the operator wants loaded for a model.
struct DesiredWeights
{
  ModelName model;
  WeightNumber version = 0;
  // Revision of the registry at which the item was written; zero if unknown.
  std::int64_t revision = 0;
  // The item may have been written long before this daemon learnt of it.
  bool mayBeOlder = false;

  bool operator==(const DesiredWeights&) const = default;
};

// A running entry daemon.
struct EntryMember
{
  HostId host;
  AvailabilityZone zone;
  // "IP:port" of its listener for other daemons; empty if it has none.
  std::string peerAddress;

  bool operator==(const EntryMember&) const = default;
};

// An item that this daemon does not use, of this product or another writer.
struct ForeignItem
{};

// An item under a known key whose value can't be decoded.
struct UnreadableItem
{};

using RegistryItem = std::variant<ForeignItem,
                                  UnreadableItem,
                                  RoutingConfiguration,
                                  DesiredWeights,
                                  RunnerEntry,
                                  EntryMember>;

// What a deleted key identified.
using RemovedItem = std::variant<ForeignItem, UpstreamId, HostId>;

// Decodes registry items. For an UnreadableItem the reason is set.
template<typename T>
concept RegistryDecoder = requires(const T& aDecoder,
                                   const KeyValueEntry& aEntry,
                                   const std::string& aKey,
                                   FailureReason& aReason)
{
  {
    aDecoder.Decode(aEntry, aReason)
    } -> std::same_as<RegistryItem>;
  {
    aDecoder.DecodeRemoved(aKey)
    } -> std::same_as<RemovedItem>;
};

} // namespace wigeonwalk
