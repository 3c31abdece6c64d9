// Records in the registry until when all publications of weights are recorded.
//
//   WeightsCheckpointWriter writer(state, mirror, leader, store, items, timer);
//   spawn(writer.Run());
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/order_authority.h"
#include "wigeonwalk/entry/weight_recorder.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/registry_items.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace wigeonwalk {

// Weights that daemons find after a loss of all of them can have been published
// at any time since the last checkpoint, however long the daemons were down or
// unable to write. Only the daemon that gives orders writes checkpoints, and it
// writes none while it knows of a publication without a record: a missing
// checkpoint makes estimates older, never younger. One task.
template<OrderAuthority A, KeyValueService S, RegistryItemCodec E, Timer T>
class WeightsCheckpointWriter
{
public:
  static constexpr Duration kInterval = std::chrono::seconds(2);
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(200);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);

  WeightsCheckpointWriter(const EntryState& aState,
                          const ItemMirror& aMirror,
                          A& aLeader,
                          S& aStore,
                          const E& aCodec,
                          T& aTimer)
    : state(aState)
    , mirror(aMirror)
    , leader(aLeader)
    , store(aStore)
    , codec(aCodec)
    , timer(aTimer)
  {
  }

  // Runs until the daemon stops.
  Task<void> Run()
  {
    while (!this->state.stopping) {
      if (this->leader.FencingNumber() && !this->state.registryUnreachable) {
        co_await this->Advance();
      } else {
        this->probe.reset();
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kLoopInterval);
    }
  }

private:
  // A revision that the registry had at a time or later.
  struct RevisionProbe
  {
    TimePoint time;
    std::int64_t revision = 0;
  };

  Task<void> Advance()
  {
    if (this->timer.Now() >= this->probeAt) {
      this->probeAt = this->timer.Now() + kInterval;
      co_await this->Probe();
    }
    if (this->probe && this->mirror.Revision() >= this->probe->revision &&
        this->AreAllRecorded()) {
      const TimePoint recordedUntil = this->probe->time;
      this->probe.reset();
      co_await this->Write({ recordedUntil });
    }
  }

  // Reads the registry's revision, with a time before the read: whatever was
  // published before that time has a lower revision, also if this process is
  // paused meanwhile.
  Task<void> Probe()
  {
    const TimePoint now = this->timer.Now();
    const TimePoint deadline = now + kCallTimeout;
    const std::string key = this->codec.Encode(WeightsCheckpoint{}).key;
    FailureReason ignored;
    const auto read = co_await this->store.Get(key, deadline, ignored);
    if (read) {
      this->probe = RevisionProbe{ now, read->revision };
    }
  }

  bool AreAllRecorded() const
  {
    const auto& weights = this->state.Weights();
    return std::all_of(
      weights.begin(), weights.end(), [this](const auto& aEntry) {
        const WeightNumber newest = aEntry.second.Newest().version;
        return newest <= kFirstWeights ||
               IsRecorded(this->mirror, this->codec, aEntry.first, newest);
      });
  }

  // A write that is not applied is not repeated; the next checkpoint follows.
  Task<void> Write(WeightsCheckpoint aCheckpoint)
  {
    const KeyValueEntry item = this->codec.Encode(aCheckpoint);
    const KeyValueEntry* current = this->mirror.Find(item.key);
    PutRequest put;
    put.key = item.key;
    put.value = item.value;
    put.expectedRevision = current == nullptr ? 0 : current->modRevision;
    FailureReason ignored;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    co_await this->store.Put(put, deadline, ignored);
  }

  const EntryState& state;
  const ItemMirror& mirror;
  A& leader;
  S& store;
  const E& codec;
  T& timer;
  std::optional<RevisionProbe> probe;
  TimePoint probeAt;
};

} // namespace wigeonwalk
