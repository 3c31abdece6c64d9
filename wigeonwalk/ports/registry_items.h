// What the registry's items mean to the product, once decoded.
//
//   RegistryItem item = decoder.Decode(entry, reason);
//   if (auto* runner = std::get_if<RunnerEntry>(&item)) { ... }
#pragma once

#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/routing/routing_configuration.h"

#include <concepts>
#include <string>
#include <variant>

namespace wigeonwalk {

// Newly named weights of a model.
struct NamedWeights
{
  ModelName model;
  WeightNumber version = 0;

  bool operator==(const NamedWeights&) const = default;
};

// A daemon that is running.
struct EntryMember
{
  HostId host;
  AvailabilityZone zone;
  // "IP:port" of its listener for other daemons; empty without one.
  std::string peerAddress;

  bool operator==(const EntryMember&) const = default;
};

// An item of this product or of another writer that has no meaning here.
struct ForeignItem
{};

// An item that should have a meaning and can't be read.
struct UnreadableItem
{};

using RegistryItem = std::variant<ForeignItem,
                                  UnreadableItem,
                                  RoutingConfiguration,
                                  NamedWeights,
                                  RunnerEntry,
                                  EntryMember>;

// What a key that is gone had stood for.
using RemovedItem = std::variant<ForeignItem, UpstreamId, HostId>;

// Decodes the registry's items. An unreadable item leaves a reason.
template<typename T>
concept RegistryDecoder = requires(const T& aDecoder,
                                   const KeyValueEntry& aEntry,
                                   const std::string& aKey,
                                   LastReason& aReason)
{
  {
    aDecoder.Decode(aEntry, aReason)
    } -> std::same_as<RegistryItem>;
  {
    aDecoder.DecodeRemoved(aKey)
    } -> std::same_as<RemovedItem>;
};

} // namespace wigeonwalk
