// The claim log of all shards, stored in the key-value service. It grants each
// idempotency key to at most one call.
//
//   ClaimLog<Kv, Time> log(kv, time, executor, host, incarnation);
//   ClaimDecision decision = co_await log.Claim({ key, body, createdAt });
#pragma once

#include "wigeonwalk/claims/claim_shard.h"
#include "wigeonwalk/claims/claim_text_codec.h"

#include <array>
#include <memory>

namespace wigeonwalk {

// A granted claim: its key and its position in the log.
struct ClaimTicket
{
  ClaimKey key;
  ClaimRef claim;
};

// Routes each claim to the writer of its shard. Any daemon may write to any
// shard; compare-and-swap resolves conflicts. A shard's log is loaded on first
// use, so claims should be sent to the shard's owner. Must outlive the
// execution of the executor's context. Not thread-safe.
template<KeyValueService Kv, Timer Time, ClaimCodec Codec = ClaimTextCodec>
class ClaimLog
{
public:
  ClaimLog(Kv& aService,
           Time& aTimer,
           boost::asio::any_io_executor aExecutor,
           const HostId& aHost,
           std::uint64_t aIncarnation,
           ClaimLogSettings aSettings = {})
    : service(aService)
    , timer(aTimer)
    , executor(std::move(aExecutor))
    , settings(aSettings)
    , ids(aHost, aIncarnation)
  {
  }

  Task<ClaimDecision> Claim(const ClaimMade& aClaim)
  {
    return this->ShardFor(aClaim.key).Claim(aClaim);
  }
  void Release(const ClaimTicket& aTicket)
  {
    this->ShardFor(aTicket.key).Release(aTicket.claim);
  }
  void Finish(const ClaimTicket& aTicket,
              Verdict aVerdict,
              std::uint16_t aStatus)
  {
    this->ShardFor(aTicket.key).Finish({ aTicket.claim, aVerdict, aStatus });
  }

  const ClaimLogSettings& Settings() const { return this->settings; }

  // Returns the sum of all shards' counts.
  ClaimLogCounts Counts() const
  {
    ClaimLogCounts sum;
    for (const auto& shard : this->shards) {
      if (shard) {
        Add(sum, shard->Counts());
      }
    }
    return sum;
  }

  // Returns the number of entries that are not yet durable.
  std::size_t Queued() const
  {
    std::size_t queued = 0;
    for (const auto& shard : this->shards) {
      queued += shard ? shard->Queued() : 0;
    }
    return queued;
  }

private:
  using Shard = ClaimShard<Kv, Time, Codec>;

  Shard& ShardFor(const ClaimKey& aKey)
  {
    const std::uint32_t number = ShardOf(aKey);
    std::unique_ptr<Shard>& shard = this->shards[number];
    if (!shard) {
      shard = std::make_unique<Shard>(this->service,
                                      this->timer,
                                      this->executor,
                                      this->settings,
                                      this->ids,
                                      number);
    }
    return *shard;
  }

  static void Add(ClaimLogCounts& aSum, const ClaimLogCounts& aPart)
  {
    aSum.granted += aPart.granted;
    aSum.duplicates += aPart.duplicates;
    aSum.unavailable += aPart.unavailable;
    aSum.conflicts += aPart.conflicts;
    aSum.unknownWrites += aPart.unknownWrites;
    aSum.durableAfterWithdrawal += aPart.durableAfterWithdrawal;
    aSum.discarded += aPart.discarded;
    aSum.loads += aPart.loads;
    aSum.corruptLoads += aPart.corruptLoads;
  }

  Kv& service;
  Time& timer;
  boost::asio::any_io_executor executor;
  ClaimLogSettings settings;
  BatchIds ids;
  std::array<std::unique_ptr<Shard>, kClaimShards> shards;
};

} // namespace wigeonwalk
