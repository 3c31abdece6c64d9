#include "wigeonwalk/fleet/cold_start.h"

#include "wigeonwalk/shares/member_shares.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const AvailabilityZone kZone("north");
constexpr ColdStartTraits kTraits{ 3s, 15 };
// The largest number of requests in any second that a cold runner may get.
constexpr std::size_t kMostInSecond = 27;

// One daemon that always has requests for the runner.
struct Sender
{
  ColdStart cold;
  ColdShare share;
};

ColdShare
ShareOf(const ShareMember& aSelf, const std::vector<ShareMember>& aMembers)
{
  const MemberShares shares(aSelf.host, aSelf.zone, aMembers);
  return { shares.RankFor("runner", kZone),
           shares.CountIn(kZone),
           PhaseOf(aSelf.host, "runner") };
}

std::vector<ShareMember>
Members(int aFirst, int aCount)
{
  std::vector<ShareMember> members;
  for (int i = aFirst; i < aFirst + aCount; ++i) {
    members.push_back({ HostId("front-" + std::to_string(i)), kZone });
  }
  return members;
}

// Daemons that all use one list of members.
void
AddSenders(std::vector<Sender>& aSenders,
           const std::vector<ShareMember>& aMembers,
           TimePoint aColdUntil)
{
  for (const ShareMember& self : aMembers) {
    Sender sender;
    sender.cold.Extend(aColdUntil);
    sender.share = ShareOf(self, aMembers);
    aSenders.push_back(sender);
  }
}

// Lets each daemon send whenever it may. Returns when requests were sent.
std::vector<TimePoint>
SendAll(std::vector<Sender>& aSenders, TimePoint aFrom, TimePoint aUntil)
{
  std::vector<TimePoint> sent;
  for (TimePoint now = aFrom; now < aUntil; now += 5ms) {
    for (Sender& sender : aSenders) {
      if (sender.cold.Admits(kTraits, sender.share, now)) {
        sender.cold.NoteSent(now);
        sent.push_back(now);
      }
    }
  }
  return sent;
}

std::size_t
MostInSecond(const std::vector<TimePoint>& aSent)
{
  std::size_t most = 0;
  for (auto first = aSent.begin(); first != aSent.end(); ++first) {
    const auto last = std::upper_bound(first, aSent.end(), *first + 1s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

} // namespace

// Guards against many daemons that each send little to a cold runner, and
// together break it.
SCENARIO("daemons share the limit of a cold runner without asking each other")
{
  const TimePoint start = TimePoint() + 100s;
  const TimePoint coldUntil = start + kTraits.time;
  std::vector<Sender> senders;

  GIVEN("daemons with the same list of members")
  {
    const int count = GENERATE(1, 2, 9, 79, 350);
    CAPTURE(count);
    AddSenders(senders, Members(0, count), coldUntil);
    const auto sent = SendAll(senders, start, coldUntil);

    THEN("the limit holds, and most of it is used")
    {
      CHECK(MostInSecond(sent) <= kMostInSecond);
      const double used = ToSeconds(kTraits.time) * kTraits.requestsPerSecond *
                          ColdStart::kUsedFraction * std::min(count, 3) / 3;
      CHECK(static_cast<double>(sent.size()) >= 0.8 * used);
    }
  }

  GIVEN("two lists without a common member, as while all daemons restart")
  {
    AddSenders(senders, Members(0, 40), coldUntil);
    AddSenders(senders, Members(40, 39), coldUntil);
    CHECK(MostInSecond(SendAll(senders, start, coldUntil)) <= kMostInSecond);
  }

  GIVEN("a daemon that joins and one that dies meanwhile")
  {
    AddSenders(senders, Members(0, 26), coldUntil);
    auto sent = SendAll(senders, start, start + 1s);
    const auto later = Members(1, 26);
    for (std::size_t i = 1; i < senders.size(); ++i) {
      senders[i].share = ShareOf(later[i - 1], later);
    }
    const auto rest = SendAll(senders, start + 1s, coldUntil);
    sent.insert(sent.end(), rest.begin(), rest.end());
    CHECK(MostInSecond(sent) <= kMostInSecond);
  }

  GIVEN("senders that restart and forget what they have sent")
  {
    AddSenders(senders, Members(0, 26), coldUntil);
    auto sent = SendAll(senders, start, start + 1s);
    for (Sender& sender : senders) {
      sender.cold = ColdStart();
      sender.cold.Extend(coldUntil);
    }
    const auto rest = SendAll(senders, start + 1s, coldUntil);
    sent.insert(sent.end(), rest.begin(), rest.end());
    CHECK(MostInSecond(sent) <= kMostInSecond);
  }
}

// Guards against a runner that is flooded at the end of its cold time, as every
// daemon finds it empty.
SCENARIO("a runner gets full load in steps after its cold time")
{
  const TimePoint coldUntil = TimePoint() + 100s;
  std::vector<Sender> senders;
  AddSenders(senders, Members(0, 26), coldUntil);
  const TimePoint warm = coldUntil + ColdStart::kWarmUpTime;
  const auto sent = SendAll(senders, coldUntil, warm);

  const auto countBetween = [&sent](TimePoint aFrom, TimePoint aUntil) {
    return std::count_if(sent.begin(), sent.end(), [&](TimePoint aTime) {
      return aTime >= aFrom && aTime < aUntil;
    });
  };
  const auto first = countBetween(coldUntil, coldUntil + 500ms);
  const auto last = countBetween(warm - 500ms, warm);
  CHECK(first <= static_cast<long>(kTraits.requestsPerSecond));
  CHECK(last > first);
  CHECK(last <= static_cast<long>(ColdStart::kWarmUpFactor *
                                  kTraits.requestsPerSecond));
  CHECK(senders.front().cold.IsWarm(kTraits, warm));
  CHECK(senders.front().cold.Admits(kTraits, {}, warm));
}

// Guards against full load on a runner that may have started unnoticed.
SCENARIO("a runner whose age is unknown counts as cold")
{
  const TimePoint now = TimePoint() + 100s;
  ColdStart cold;
  CHECK_FALSE(cold.IsCold(kTraits, now));

  GIVEN("a start at an unknown time")
  {
    cold.NoteUnknownAge(now);
    CHECK(cold.IsCold(kTraits, now + kTraits.time - 1ms));
    CHECK_FALSE(cold.IsCold(kTraits, now + kTraits.time));
  }

  GIVEN("a runner that can't be reached")
  {
    cold.NoteUnreachable(now);
    CHECK(cold.IsCold(kTraits, now + kTraits.time));

    THEN("it counts as cold from the first request on that reaches it")
    {
      cold.NoteReached(now + 1s);
      CHECK(cold.IsCold(kTraits, now + 1s + kTraits.time - 1ms));
      CHECK_FALSE(cold.IsCold(kTraits, now + 1s + kTraits.time));
      cold.NoteReached(now + 2s);
      CHECK_FALSE(cold.IsCold(kTraits, now + 1s + kTraits.time));
    }
  }
}
