// Enforces organisations' limits at one daemon with local shares, and exchanges
// the demand reports that rebalance the shares between daemons.
//
//   LimitEnforcer limits(members, channel, time, codec, clock, limitsOf);
//   auto permit = co_await limits.Enter(organisation, service, tokens, reason);
#pragma once

#include "wigeonwalk/base/hybrid_clock.h"
#include "wigeonwalk/limits/limit_owner.h"
#include "wigeonwalk/limits/local_share.h"
#include "wigeonwalk/membership/member_table.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/peer_channel.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// Encodes reports and allotments for ForwardedCall.
template<typename T>
concept LimitCodec = requires(T& aCodec,
                              const DemandReport& aReport,
                              const Allotment& aAllotment,
                              const std::string& aPayload)
{
  {
    aCodec.EncodeReport(aReport)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeReport(aPayload)
    } -> std::same_as<std::optional<DemandReport>>;
  {
    aCodec.EncodeAllotment(aAllotment)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeAllotment(aPayload)
    } -> std::same_as<std::optional<Allotment>>;
};

// Longest time that a request waits for an answer from a limit's owner before
// the fallback applies.
inline constexpr Duration kOwnerTimeout = std::chrono::milliseconds(100);

// A request's admission under its organisation's limits. The destructor ends
// it.
class LimitPermit
{
public:
  LimitPermit() = default;
  LimitPermit(std::shared_ptr<LocalShare> aShare,
              std::function<TimePoint()> aNow)
    : share(std::move(aShare))
    , now(std::move(aNow))
  {
  }
  LimitPermit(LimitPermit&&) noexcept = default;
  LimitPermit& operator=(LimitPermit&&) = delete;
  ~LimitPermit()
  {
    if (this->share) {
      this->share->Finish(0, this->now());
    }
  }

private:
  std::shared_ptr<LocalShare> share;
  std::function<TimePoint()> now;
};

// Enforces all limits at one daemon, and divides the limits that this daemon
// owns. One thread only. The references must outlive it.
template<PeerChannel Channel, Timer Time, LimitCodec Codec>
class LimitEnforcer
{
public:
  // Returns the limits of an organisation at a service from the documents in
  // force, or nullopt if they state none.
  using LimitsOf = std::function<std::optional<LimitAmounts>(const LimitKey&)>;

  LimitEnforcer(const MemberTable& aMembers,
                Channel& aChannel,
                Time& aTime,
                Codec& aCodec,
                HybridClock& aClock,
                LimitsOf aLimitsOf)
    : members(aMembers)
    , channel(aChannel)
    , time(aTime)
    , codec(aCodec)
    , clock(aClock)
    , limitsOf(std::move(aLimitsOf))
  {
  }

  // Returns the permit, or nullopt with the reason Overloaded if a limit is
  // used up.
  Task<std::optional<LimitPermit>> Enter(const OrganisationSpec& aOrganisation,
                                         const ServiceName& aService,
                                         double aTokens,
                                         FailureReason& aReason)
  {
    const LimitAmounts limits = AmountsOf(aOrganisation.limits);
    if (limits == AmountsOf(OrganisationLimits())) {
      co_return LimitPermit();
    }
    const LimitKey key{ aOrganisation.id, aService };
    const std::shared_ptr<LocalShare> share = this->ShareOf(key, limits);
    ShareAnswer answer = share->TryStart(aTokens, this->time.Now());
    if (answer.decision == ShareDecision::AskOwner) {
      co_await this->Report(key, *share);
      answer = share->TryStart(aTokens, this->time.Now());
    }
    if (answer.decision == ShareDecision::AskOwner) {
      share->UseFallback(
        this->reach.Now().total, this->Rank(), this->time.Now());
      answer = share->TryStart(aTokens, this->time.Now());
    }
    if (answer.decision != ShareDecision::Admitted) {
      co_return Fail(aReason,
                     ReasonCode::Overloaded,
                     "the organisation's limit is used up",
                     std::string(NameOf(answer.exhausted)));
    }
    co_return LimitPermit(share, [this] { return this->time.Now(); });
  }

  // Reports demand to the owners periodically. Runs until the I/O context
  // stops.
  Task<void> RunReports()
  {
    std::uint64_t lastLive = 0;
    while (true) {
      const TimePoint now = this->time.Now();
      const auto live = static_cast<std::uint32_t>(this->members.LiveCount());
      this->reach.Observe(live, 0, now);
      if (live != lastLive) {
        this->owner.MembersChanged(now);
        lastLive = live;
      }
      std::erase_if(this->shares, [now](const auto& aRow) {
        return aRow.second->IsIdle(now) && aRow.second.use_count() == 1;
      });
      this->owner.RemoveExpired(now);
      // Collects the due shares first, because shares may be added during a
      // report.
      std::vector<std::pair<LimitKey, std::shared_ptr<LocalShare>>> due;
      for (const auto& row : this->shares) {
        if (row.second->IsReportDue(now)) {
          due.push_back(row);
        }
      }
      for (const auto& [key, share] : due) {
        co_await this->Report(key, *share);
      }
      co_await this->time.WaitUntil(now + kReportPeriod);
    }
  }

  // Answers another daemon's report.
  std::optional<ForwardedAnswer> OnCall(const ForwardedCall& aCall)
  {
    const auto report = this->codec.DecodeReport(aCall.payload);
    if (!report) {
      return std::nullopt;
    }
    return ForwardedAnswer{
      aCall.kind, this->codec.EncodeAllotment(this->AnswerReport(*report))
    };
  }

private:
  std::shared_ptr<LocalShare> ShareOf(const LimitKey& aKey,
                                      const LimitAmounts& aLimits)
  {
    auto& share = this->shares[aKey];
    if (!share) {
      share = std::make_shared<LocalShare>(aLimits, this->time.Now());
    }
    share->SetLimits(aLimits);
    return share;
  }

  // Returns this daemon's position in the list of live daemons.
  std::uint32_t Rank() const
  {
    const std::vector<HostId> hosts = this->members.LiveHosts();
    const auto self =
      std::find(hosts.begin(), hosts.end(), this->members.Self().host);
    return static_cast<std::uint32_t>(self - hosts.begin());
  }

  Allotment AnswerReport(const DemandReport& aReport)
  {
    const auto limits = this->limitsOf(aReport.key);
    if (!limits) {
      return { aReport.key, {}, Duration(0) };
    }
    return this->owner.Answer(
      aReport, *limits, this->reach.Now(), this->time.Now());
  }

  Task<void> Report(LimitKey aKey, LocalShare& aShare)
  {
    const TimePoint sentAt = this->time.Now();
    const DemandReport report{ aKey,
                               this->members.Self().host,
                               aShare.TakeDemand(sentAt),
                               aShare.Held(sentAt) };
    const std::string shard =
      "limits/" + aKey.organisation.Text() + '/' + aKey.service.Text();
    const auto owners = RankOwners(shard, this->members.LiveHosts(), 1);
    if (owners.front() == this->members.Self().host) {
      aShare.Accept(this->AnswerReport(report), sentAt, sentAt);
      co_return;
    }
    const Member* member = this->members.Find(owners.front());
    if (member == nullptr) {
      co_return;
    }
    const std::string address = member->update.address;
    PeerCall call;
    call.from = this->members.Self().host;
    call.sentAt = this->clock.Stamp(sentAt);
    call.body = ForwardedCall{ ForwardedKind::DemandReport,
                               this->codec.EncodeReport(report) };
    FailureReason reason;
    const auto answer = co_await this->channel.Call(
      address, call, sentAt + kOwnerTimeout, reason);
    const auto* forwarded =
      answer ? std::get_if<ForwardedAnswer>(&answer->body) : nullptr;
    if (forwarded == nullptr) {
      co_return;
    }
    if (const auto allotment =
          this->codec.DecodeAllotment(forwarded->payload)) {
      aShare.Accept(*allotment, sentAt, this->time.Now());
    }
  }

  const MemberTable& members;
  Channel& channel;
  Time& time;
  Codec& codec;
  HybridClock& clock;
  LimitsOf limitsOf;
  ReachableFraction reach;
  LimitOwner owner;
  std::map<LimitKey, std::shared_ptr<LocalShare>> shares;
};

} // namespace wigeonwalk
