// The writer of one shard's claim log.
//
//   ClaimShard<Kv, Time, ClaimTextCodec> shard(kv, time, executor, settings,
//                                              ids, 7);
//   ClaimDecision decision = co_await shard.Claim({ key, body, createdAt });
//   if (decision.answer == ClaimAnswer::Granted) { ... run the call ... }
#pragma once

#include "wigeonwalk/claims/claim_log_view.h"
#include "wigeonwalk/claims/pending_entry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Counters of one shard or of the whole log.
struct ClaimLogCounts
{
  std::uint64_t granted = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t unknownWrites = 0;
  // Claims that became durable after their caller was told that the call did
  // not run.
  std::uint64_t durableAfterWithdrawal = 0;
  // Segments that this daemon created below the floor.
  std::uint64_t discarded = 0;
  std::uint64_t loads = 0;
  // Loads that found a corrupt segment or floor; the shard refuses claims.
  std::uint64_t corruptLoads = 0;
};

// Appends claims, releases and outcomes of one shard in batches. One coroutine
// writes while entries are queued, with at most one call in flight; it ends
// when nothing is queued or in doubt. Must outlive the execution of the
// executor's context.
//
// A write whose answer was lost stays in doubt until a read shows that the tail
// has changed: it can take effect at any later time as long as the tail has the
// revision that the write expects. Of all writes that expect one revision, only
// one can take effect. Not thread-safe.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec>
class ClaimShard
{
public:
  ClaimShard(Kv& aService,
             Time& aTimer,
             boost::asio::any_io_executor aExecutor,
             const ClaimLogSettings& aSettings,
             BatchIds& aIds,
             std::uint32_t aShard)
    : service(aService)
    , timer(aTimer)
    , executor(std::move(aExecutor))
    , settings(aSettings)
    , ids(aIds)
    , view(aService, aTimer, aSettings, aShard)
  {
  }

  // Returns once the claim is durable, refused, or withdrawn because of a
  // timeout. A withdrawn claim that becomes durable later is released.
  Task<ClaimDecision> Claim(ClaimMade aClaim);

  // Queue an entry; it is appended as soon as the service answers.
  void Release(const ClaimRef& aClaim);
  void Finish(const ClaimFinished& aOutcome);

  const ClaimLogCounts& Counts() const { return this->counts; }
  std::size_t Queued() const { return this->queue.size(); }

private:
  using Item = std::shared_ptr<PendingEntry>;

  void Enqueue(Item aItem);
  Task<void> WithdrawOnTimeout(Item aItem);
  Task<void> Run();
  Task<bool> RefreshView();
  Task<void> Append();
  Task<bool> ValidateCreatedTail(std::int64_t aRevision);
  std::vector<Item> CollectBatch();
  bool IsReady(PendingEntry& aItem);
  bool IsClaimReady(PendingEntry& aItem);
  std::optional<ClaimDecision> DecideFromTable(const ClaimMade& aClaim);
  void OnAppended(const AppendAttempt& aAttempt);
  void ResolveInDoubtWrites();
  void RemoveResolved();
  Task<void> BackOff();

  Kv& service;
  Time& timer;
  boost::asio::any_io_executor executor;
  const ClaimLogSettings& settings;
  BatchIds& ids;
  ClaimLogView<Kv, Time, Codec> view;
  std::deque<Item> queue;
  // Writes that expect the tail's revision and whose answers were lost.
  std::vector<AppendAttempt> inDoubtWrites;
  // Set if the tail must be read before the next write.
  bool mustCatchUp = false;
  bool running = false;
  TimePoint nextAppendAt;
  std::uint32_t failures = 0;
  // Keys claimed and claims released by the batch that is being collected.
  std::unordered_set<ClaimKey> batchKeys;
  std::unordered_set<ClaimRef> batchReleases;
  ClaimLogCounts counts;
};

} // namespace wigeonwalk

#include "wigeonwalk/claims/internal/claim_shard_impl.h"
