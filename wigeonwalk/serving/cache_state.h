// What this daemon knows about cached and stored pieces, and about the links to
// the store hosts.
//
//   CacheState cache;
//   auto copies = cache.Directory().Lookup(chain);
//   LinkScheduler& link = cache.LinkOf(store, StoreTier::Disk);
#pragma once

#include "wigeonwalk/cache/engine_cache_tracker.h"
#include "wigeonwalk/cache/piece_directory.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/serving/link_scheduler.h"

#include <map>
#include <utility>

namespace wigeonwalk {

// The directory shard, the engines' caches and the tier links of one daemon.
// One thread only.
class CacheState
{
public:
  // Memory bounds. A directory record takes about 211 bytes and a tracked piece
  // 56 bytes, so a full directory takes 55 MB of the 256 MB that a daemon may
  // use for control state.
  static constexpr std::size_t kMaxDirectoryRecords = 262'144;
  static constexpr std::size_t kMaxPiecesPerEngine = 16'384;

  CacheState()
    : directory(kMaxDirectoryRecords)
    , tracker(kMaxPiecesPerEngine)
  {
  }

  PieceDirectory& Directory() { return this->directory; }
  EngineCacheTracker& Tracker() { return this->tracker; }
  const EngineCacheTracker& Tracker() const { return this->tracker; }

  // Returns the link to one tier of a store host. Creates it at first use with
  // the rate in the store's specification.
  LinkScheduler& LinkOf(const StoreSpec& aStore, StoreTier aTier)
  {
    const double rate = static_cast<double>(
      aTier == StoreTier::Memory ? aStore.memoryLinkRate : aStore.diskLinkRate);
    LinkLimits limits;
    limits.bytesPerSecond = rate;
    return this->links.try_emplace({ aStore.id, aTier }, limits).first->second;
  }

private:
  PieceDirectory directory;
  EngineCacheTracker tracker;
  std::map<std::pair<UpstreamId, StoreTier>, LinkScheduler> links;
};

} // namespace wigeonwalk
