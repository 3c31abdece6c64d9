// Records in the registry when weights were published, for daemons that start
// when no other one is left that knows it.
//
//   WeightRecorder recorder(state, mirror, leader, store, items, timer, log);
//   spawn(recorder.Run());
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/order_authority.h"
#include "wigeonwalk/entry/replaced_weights.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace wigeonwalk {

// Returns true if the mirror has a record of this version or a newer one.
template<RegistryItemCodec E>
bool
IsRecorded(const ItemMirror& aMirror,
           const E& aCodec,
           const ModelName& aModel,
           WeightNumber aVersion)
{
  WeightsRecord record;
  record.model = aModel;
  const KeyValueEntry* item = aMirror.Find(aCodec.Encode(record).key);
  if (item == nullptr) {
    return false;
  }
  FailureReason ignored;
  const RegistryItem decoded = aCodec.Decode(*item, ignored);
  const auto* present = std::get_if<WeightsRecord>(&decoded);
  return present != nullptr && !present->versions.empty() &&
         present->versions.back().version >= aVersion;
}

// Each publication is written once, and again if the registry lost it in a
// restore; several at the same time share a write. Any daemon may write: the
// one that gives orders does so at once, and each of the others if those ranked
// above it have not. One that all daemons have found, because it was published
// while none ran, is written with its earliest possible time, unless another
// daemon tells within kLearnTime that it has observed it. The timer's time is
// the time of day at the process's start, continued by a clock that does not
// step. One task.
template<OrderAuthority A,
         KeyValueService S,
         RegistryItemCodec E,
         Timer T,
         StructuredLog L>
class WeightRecorder
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(200);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);
  static constexpr Duration kLearnTime = std::chrono::seconds(2);
  // Additional wait for each place in the ranking: a daemon learns of another
  // one's write by its next watch call.
  static constexpr Duration kRankDelay = std::chrono::seconds(1);
  // Versions in one record.
  static constexpr std::size_t kMaxVersions = 4;

  WeightRecorder(const EntryState& aState,
                 const ItemMirror& aMirror,
                 A& aLeader,
                 S& aStore,
                 const E& aCodec,
                 T& aTimer,
                 L& aLog)
    : state(aState)
    , mirror(aMirror)
    , leader(aLeader)
    , store(aStore)
    , codec(aCodec)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Runs until the daemon stops.
  Task<void> Run()
  {
    while (!this->state.stopping) {
      for (const WeightsRecord& record : this->DueRecords()) {
        co_await this->Write(record);
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kLoopInterval);
    }
  }

private:
  std::vector<WeightsRecord> DueRecords()
  {
    const TimePoint now = this->timer.Now();
    std::vector<WeightsRecord> due;
    if (this->state.registryUnreachable || now < this->retryAt) {
      return due;
    }
    for (const auto& [model, observed] : this->state.Weights()) {
      const PublishedWeights newest = observed.Newest();
      if (this->HasRecord(model, newest.version)) {
        this->unrecordedSince.erase(model);
        continue;
      }
      if (!this->IsSettled(newest)) {
        continue;
      }
      const auto since = this->unrecordedSince.try_emplace(model, now).first;
      if (now - since->second >= this->WriteDelay(model)) {
        due.push_back(this->MakeRecord(model));
      }
    }
    return due;
  }

  // Returns how long this daemon leaves the write to those ranked above it.
  Duration WriteDelay(const ModelName& aModel) const
  {
    if (this->leader.FencingNumber()) {
      return Duration(0);
    }
    std::vector<HostId> hosts;
    for (const auto& [host, member] : this->state.members) {
      hosts.push_back(host);
    }
    const auto ranked = RankOwners(aModel.Text(), hosts, hosts.size());
    const auto self =
      std::find(ranked.begin(), ranked.end(), this->state.Settings().host);
    return kRankDelay * (self - ranked.begin() + 1);
  }

  // Returns true if the registry's record has the version, or this daemon wrote
  // it later than the mirror's revision.
  bool HasRecord(const ModelName& aModel, WeightNumber aVersion) const
  {
    const auto last = this->written.find(aModel);
    if (last != this->written.end() && last->second.version >= aVersion &&
        last->second.revision > this->mirror.Revision()) {
      return true;
    }
    return IsRecorded(this->mirror, this->codec, aModel, aVersion);
  }

  // Returns true if no better time of the publication is expected from another
  // daemon. The age of the first version decides nothing.
  bool IsSettled(const PublishedWeights& aNewest) const
  {
    return !aNewest.mayBeOlder ||
           (aNewest.version > kFirstWeights &&
            this->timer.Now() - aNewest.knownSince >= kLearnTime);
  }

  // Adds the known publications to those that are recorded.
  WeightsRecord MakeRecord(const ModelName& aModel) const
  {
    WeightHistory known = this->state.RecordedWeightsOf(aModel);
    const WeightHistory history = HistoryWithEstimates(this->state, aModel);
    for (const PublishedWeights& publication : history.Versions()) {
      known.Record(publication);
    }
    WeightsRecord record;
    record.model = aModel;
    const auto& versions = known.Versions();
    const std::size_t dropped =
      versions.size() - std::min(versions.size(), kMaxVersions);
    for (std::size_t i = dropped; i < versions.size(); ++i) {
      record.versions.push_back(
        { versions[i].version, versions[i].revision, versions[i].knownSince });
    }
    return record;
  }

  Task<void> Write(WeightsRecord aRecord)
  {
    const KeyValueEntry item = this->codec.Encode(aRecord);
    const KeyValueEntry* current = this->mirror.Find(item.key);
    PutRequest put;
    put.key = item.key;
    put.value = item.value;
    put.expectedRevision = current == nullptr ? 0 : current->modRevision;
    FailureReason reason;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const WriteResult result = co_await this->store.Put(put, deadline, reason);
    if (result.outcome == WriteOutcome::Applied) {
      this->written[aRecord.model] = { aRecord.versions.back().version,
                                       result.revision };
      co_return;
    }
    this->retryAt = this->timer.Now() + kRetryDelay;
    if (result.outcome == WriteOutcome::Conflict) {
      // Another daemon's write is about to be mirrored.
      co_return;
    }
    this->log.Write(this->timer.Now(),
                    LogLevel::Warning,
                    "failed to record when weights were published",
                    {},
                    { { LogKey::Model, aRecord.model },
                      { LogKey::Outcome, result.outcome },
                      LogField(reason) });
  }

  // The newest version in the last record that this daemon wrote.
  struct WrittenRecord
  {
    WeightNumber version = 0;
    std::int64_t revision = 0;
  };

  const EntryState& state;
  const ItemMirror& mirror;
  A& leader;
  S& store;
  const E& codec;
  T& timer;
  L& log;
  std::map<ModelName, WrittenRecord> written;
  // Since when this daemon has been able to record a publication that has no
  // record.
  std::map<ModelName, TimePoint> unrecordedSince;
  TimePoint retryAt;
};

} // namespace wigeonwalk
