// The key that authenticates messages between daemons, kept in the registry.
//
//   key = co_await ObtainClusterKey(mirror, store, timer, generatedKey);
#pragma once

#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <string>

namespace wigeonwalk {

inline constexpr const char* kClusterKeyItem = "wigeonwalk/cluster-key";

// Waits until the mirror contains the cluster key, and returns it. In a new
// cluster every daemon tries to write its generated key `aGeneratedKey`; the
// first write wins and all daemons use that key.
template<KeyValueService S, Timer T>
Task<std::string>
ObtainClusterKey(const ItemMirror& aMirror,
                 S& aStore,
                 T& aTimer,
                 std::string aGeneratedKey)
{
  constexpr Duration kLoopInterval = std::chrono::milliseconds(100);
  constexpr Duration kCallTimeout = std::chrono::seconds(1);
  constexpr Duration kWriteInterval = std::chrono::seconds(1);
  TimePoint writeAt = aTimer.Now();
  while (true) {
    if (const KeyValueEntry* item = aMirror.Find(kClusterKeyItem)) {
      co_return item->value;
    }
    const TimePoint now = aTimer.Now();
    if (aMirror.Revision() > 0 && now >= writeAt) {
      writeAt = now + kWriteInterval;
      const PutRequest put{ .key = kClusterKeyItem,
                            .value = aGeneratedKey,
                            .expectedRevision = 0 };
      FailureReason ignored;
      const TimePoint deadline = now + kCallTimeout;
      co_await aStore.Put(put, deadline, ignored);
    }
    const TimePoint next = aTimer.Now() + kLoopInterval;
    co_await aTimer.WaitUntil(next);
  }
}

} // namespace wigeonwalk
