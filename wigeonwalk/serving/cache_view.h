// What this daemon knows of cached and stored pieces, and of the links to them.
//
//   CacheView view(kMaxRecords);
//   auto copies = view.Directory().Lookup(chain);
//   LinkGate& link = view.LinkOf(store, StoreTier::Disk);
#pragma once

#include "wigeonwalk/cache/engine_cache_tracker.h"
#include "wigeonwalk/cache/piece_directory.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/serving/link_gate.h"

#include <map>
#include <utility>

namespace wigeonwalk {

// The directory shard, the engines' caches and the tier links of one daemon.
// One thread only.
class CacheView
{
public:
  // Bounds: about 211 bytes a record and 56 bytes a piece, so a full directory
  // takes 55 MB of the 256 MB that a daemon may use for control.
  static constexpr std::size_t kMaxDirectoryRecords = 262'144;
  static constexpr std::size_t kMaxPiecesPerEngine = 16'384;

  CacheView()
    : directory(kMaxDirectoryRecords)
    , tracker(kMaxPiecesPerEngine)
  {
  }

  PieceDirectory& Directory() { return this->directory; }
  EngineCacheTracker& Tracker() { return this->tracker; }
  const EngineCacheTracker& Tracker() const { return this->tracker; }

  // The link to one tier of a store host, made with the document's rate.
  LinkGate& LinkOf(const StoreSpec& aStore, StoreTier aTier)
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
  std::map<std::pair<UpstreamId, StoreTier>, LinkGate> links;
};

} // namespace wigeonwalk
