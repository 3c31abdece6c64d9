// The key that authenticates messages between daemons, kept in the registry.
//
//   key = co_await ObtainClusterKey(state, mirror, store, timer, generatedKey);
//   while (true) {
//     key = co_await WaitForOtherClusterKey(state, mirror, store, timer, key);
//   }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace wigeonwalk {

inline constexpr const char* kClusterKeyItem = "wigeonwalk/cluster-key";

// How long a daemon that starts waits for other daemons to write a key that the
// registry lost in a restore.
inline constexpr Duration kClusterKeyReturnTime = std::chrono::seconds(2);

// Writes the cluster key if none exists.
template<KeyValueService S, Timer T>
Task<void>
WriteClusterKey(S& aStore, T& aTimer, std::string aKey)
{
  constexpr Duration kCallTimeout = std::chrono::seconds(1);
  const PutRequest put{ .key = kClusterKeyItem,
                        .value = aKey,
                        .expectedRevision = 0 };
  FailureReason ignored;
  const TimePoint deadline = aTimer.Now() + kCallTimeout;
  co_await aStore.Put(put, deadline, ignored);
}

// Returns true if other daemons are registered.
inline bool
HasOtherMembers(const EntryState& aState)
{
  return std::any_of(
    aState.members.begin(), aState.members.end(), [&](const auto& aMember) {
      return aMember.first != aState.Settings().host;
    });
}

// Waits until the mirror contains the cluster key, and returns it. In a new
// cluster every daemon tries to write its generated key `aGeneratedKey`; the
// first write wins and all daemons use that key.
template<KeyValueService S, Timer T>
Task<std::string>
ObtainClusterKey(const EntryState& aState,
                 const ItemMirror& aMirror,
                 S& aStore,
                 T& aTimer,
                 std::string aGeneratedKey)
{
  constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
  constexpr Duration kWriteInterval = std::chrono::seconds(1);
  TimePoint missingSince = aTimer.Now();
  TimePoint writeAt = missingSince;
  while (true) {
    if (const KeyValueEntry* item = aMirror.Find(kClusterKeyItem)) {
      co_return item->value;
    }
    const TimePoint now = aTimer.Now();
    if (aMirror.Revision() == 0) {
      missingSince = now;
    }
    const bool mayReturn =
      HasOtherMembers(aState) && now - missingSince < kClusterKeyReturnTime;
    if (aMirror.Revision() > 0 && now >= writeAt && !mayReturn) {
      writeAt = now + kWriteInterval;
      co_await WriteClusterKey(aStore, aTimer, aGeneratedKey);
    }
    const TimePoint next = aTimer.Now() + kLoopInterval;
    co_await aTimer.WaitUntil(next);
  }
}

// Waits until the mirror contains another cluster key than `aKey`, and returns
// it. Writes the key again if the registry lost it; the daemons spread these
// writes over a short time.
template<KeyValueService S, Timer T>
Task<std::string>
WaitForOtherClusterKey(const EntryState& aState,
                       const ItemMirror& aMirror,
                       S& aStore,
                       T& aTimer,
                       std::string aKey)
{
  constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
  constexpr Duration kWriteSpread = std::chrono::milliseconds(500);
  constexpr std::uint64_t kSteps = 1'024;
  const std::uint64_t step =
    HashBytes(aState.Settings().host.Text(), 0).low % kSteps;
  while (true) {
    const TimePoint next = aTimer.Now() + kCheckInterval;
    co_await aTimer.WaitUntil(next);
    if (aMirror.Find(kClusterKeyItem) == nullptr) {
      const TimePoint writeAt = aTimer.Now() + kWriteSpread * step / kSteps;
      co_await aTimer.WaitUntil(writeAt);
    }
    const KeyValueEntry* item = aMirror.Find(kClusterKeyItem);
    if (item != nullptr && item->value != aKey) {
      co_return item->value;
    }
    if (item == nullptr) {
      co_await WriteClusterKey(aStore, aTimer, aKey);
    }
  }
}

} // namespace wigeonwalk
