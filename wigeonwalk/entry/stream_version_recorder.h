// Lists in the registry which software versions begin streams, for daemons that
// start when no record of a stream is left.
//
//   StreamVersionRecorder recorder(state, mirror, store, items, timer);
//   spawn(recorder.Run());
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/fleet/stream_version_upkeep.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/registry_items.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Writes the list whenever StreamVersionUpkeep has a newer one. The daemons are
// ranked, and each leaves the write to those above it for some time. One task.
template<KeyValueService S, RegistryItemCodec E, Timer T>
class StreamVersionRecorder
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(200);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);
  // Additional wait for each place in the ranking: a daemon learns of another
  // one's write by its next watch call.
  static constexpr Duration kRankDelay = std::chrono::seconds(1);

  StreamVersionRecorder(const EntryState& aState,
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

  // Runs until the daemon stops.
  Task<void> Run()
  {
    while (!this->state.stopping) {
      if (this->IsDue()) {
        co_await this->Write();
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kLoopInterval);
    }
  }

private:
  bool IsDue()
  {
    const TimePoint now = this->timer.Now();
    if (this->state.registryUnreachable || now < this->retryAt ||
        this->mirror.Revision() < this->writtenAt) {
      return false;
    }
    if (this->checkedGeneration != this->state.Generation() ||
        now >= this->checkAt) {
      this->checkedGeneration = this->state.Generation();
      this->checkAt = now + kRetryDelay;
      this->wanted = this->upkeep.Update(this->state.streamVersions,
                                         this->Item() != nullptr,
                                         this->state.ServingStreamOrigins(),
                                         now);
    }
    if (!this->wanted) {
      this->wantedSince.reset();
      return false;
    }
    this->wantedSince = this->wantedSince.value_or(now);
    return now - *this->wantedSince >= this->RankDelay();
  }

  const KeyValueEntry* Item() const
  {
    return this->mirror.Find(this->codec.Encode(StreamVersions{}).key);
  }

  Duration RankDelay() const
  {
    const std::vector<HostId> hosts = this->state.DaemonHosts();
    const auto ranked = RankOwners("stream versions", hosts, hosts.size());
    const auto self =
      std::find(ranked.begin(), ranked.end(), this->state.Settings().host);
    return kRankDelay * (self == ranked.end() ? 0 : self - ranked.begin());
  }

  Task<void> Write()
  {
    const KeyValueEntry* current = this->Item();
    StreamVersions versions;
    versions.origins = *this->wanted;
    versions.incarnation = IncarnationOf(this->mirror.Revision());
    const KeyValueEntry item = this->codec.Encode(versions);
    PutRequest put;
    put.key = item.key;
    put.value = item.value;
    put.expectedRevision = current == nullptr ? 0 : current->modRevision;
    FailureReason ignored;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const WriteResult result = co_await this->store.Put(put, deadline, ignored);
    if (result.outcome == WriteOutcome::Applied) {
      this->writtenAt = result.revision;
    } else {
      // After a conflict, another daemon's write is about to be mirrored.
      this->retryAt = this->timer.Now() + kRetryDelay;
    }
    this->checkedGeneration.reset();
  }

  const EntryState& state;
  const ItemMirror& mirror;
  S& store;
  const E& codec;
  T& timer;
  StreamVersionUpkeep upkeep;
  // The list that the registry should have instead of the present one, and
  // since when.
  std::optional<std::vector<StreamOrigin>> wanted;
  std::optional<TimePoint> wantedSince;
  std::optional<std::uint64_t> checkedGeneration;
  TimePoint checkAt;
  std::int64_t writtenAt = 0;
  TimePoint retryAt;
};

} // namespace wigeonwalk
