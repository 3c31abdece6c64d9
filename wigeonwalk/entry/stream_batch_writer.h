// Writes to the registry where streams began, for take-ups after all daemons
// were lost.
//
//   StreamBatchWriter writer(state, mirror, store, items, timer);
//   spawn(writer.Run());
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/retry/stream_keepers.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Only while streams may have several origins, and only the streams of which
// this daemon is the recorder: the calls don't grow with the fleet. A record
// that was not written when all daemons are lost is missing, and the take-up is
// refused. After a restore of the registry, records are written again.
// One task.
template<KeyValueService S, RegistryItemCodec E, Timer T>
class StreamBatchWriter
{
public:
  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
  // Batches are removed with their lease, which is replaced before its end.
  static constexpr Duration kTimeToLive = std::chrono::seconds(30);
  static constexpr Duration kLeaseUse = std::chrono::seconds(10);
  // Records of this time are kept, and written once another origin is possible.
  static constexpr Duration kMaxWait = std::chrono::seconds(10);

  StreamBatchWriter(EntryState& aState,
                    const ItemMirror& aMirror,
                    S& aStore,
                    const E& aCodec,
                    T& aTimer)
    : state(aState)
    , mirror(aMirror)
    , store(aStore)
    , codec(aCodec)
    , timer(aTimer)
  {
  }

  // Runs for the lifetime of the daemon.
  Task<void> Run()
  {
    while (true) {
      this->Collect(this->timer.Now());
      if (!this->waiting.empty() && !this->state.registryUnreachable &&
          !this->state.OnlyStreamOrigin(this->timer.Now())) {
        co_await this->Write();
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kInterval);
    }
  }

private:
  void Collect(TimePoint aNow)
  {
    const std::int64_t present = this->mirror.Revision();
    if (this->revision != 0 &&
        IncarnationOf(present) != IncarnationOf(this->revision)) {
      this->state.streamOrigins.MarkUnwritten(aNow - kTimeToLive);
    }
    this->revision = present;
    for (StreamRecord& record : this->state.streamOrigins.TakeUnwritten()) {
      this->waiting.emplace_back(aNow, std::move(record));
    }
    std::erase_if(this->waiting, [aNow](const auto& aWaiting) {
      return aNow - aWaiting.first > kMaxWait;
    });
  }

  // Moves the records that this daemon writes to the end, and returns where
  // they begin.
  auto PartitionOwn()
  {
    const auto recorders = StreamRecorders(this->state.DaemonHosts());
    const HostId& self = this->state.Settings().host;
    return std::stable_partition(
      this->waiting.begin(), this->waiting.end(), [&](const auto& aWaiting) {
        return RecorderOf(recorders, aWaiting.second.key) != self;
      });
  }

  Task<void> Write()
  {
    const auto own = this->PartitionOwn();
    if (own == this->waiting.end()) {
      co_return;
    }
    const TimePoint now = this->timer.Now();
    const TimePoint deadline = now + kCallTimeout;
    FailureReason reason;
    if (!this->lease || now - this->leasedAt >= kLeaseUse) {
      this->lease =
        co_await this->store.GrantLease(kTimeToLive, deadline, reason);
      this->leasedAt = now;
    }
    if (!this->lease) {
      co_return;
    }
    StreamBatch batch;
    batch.writer = this->state.Settings().host;
    batch.number = now.time_since_epoch().count();
    for (auto row = own; row != this->waiting.end(); ++row) {
      batch.streams.push_back(row->second);
    }
    const KeyValueEntry item = this->codec.Encode(batch);
    const PutRequest put{ .key = item.key,
                          .value = item.value,
                          .lease = *this->lease };
    const WriteResult result = co_await this->store.Put(put, deadline, reason);
    if (result.outcome == WriteOutcome::Applied) {
      this->waiting.erase(own, this->waiting.end());
    } else {
      this->lease.reset();
    }
  }

  EntryState& state;
  const ItemMirror& mirror;
  S& store;
  const E& codec;
  T& timer;
  // With the time since which they wait; those of other recorders too, in case
  // this daemon becomes their recorder.
  std::vector<std::pair<TimePoint, StreamRecord>> waiting;
  std::optional<LeaseId> lease;
  TimePoint leasedAt;
  // Last known revision of the registry.
  std::int64_t revision = 0;
};

} // namespace wigeonwalk
