#include "wigeonwalk/entry/part_relay.h"
#include "wigeonwalk/membership/rendezvous.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace wigeonwalk;

namespace {

const UpstreamId kHolder("r-1");

HeldPart
Part(std::uint64_t aNumber, std::uint32_t aTokens)
{
  return { { aNumber, aNumber }, aTokens };
}

// A daemon that follows one holder, which three other daemons also use.
struct Setting
{
  Setting()
  {
    this->followers[kHolder] = {
      { HostId("front-1"), HostId("front-2"), HostId("front-3"), HostId("x") },
      1
    };
  }

  static EntrySettings Settings()
  {
    EntrySettings settings;
    settings.host = HostId("front-1");
    return settings;
  }

  void Report(std::int64_t aEpoch, std::vector<HeldPart> aChanges)
  {
    const HeldParts parts{ kHolder, aEpoch, std::move(aChanges) };
    this->relay.Add(parts, this->followers[kHolder]);
    for (const HeldPart& change : parts.changes) {
      this->state.parts.Set(kHolder, change.part, change.tokens);
    }
  }

  EntryState state{ Settings() };
  PartRelay relay{ state };
  std::map<UpstreamId, HolderFollowers> followers;
};

} // namespace

// Guards against daemons that miss a holder's events or learn too late of its
// restart, and against traffic for short parts.
SCENARIO("a holder's events are forwarded to daemons that do not follow it")
{
  Setting setting;
  setting.Report(1, { Part(1, 12'800), Part(2, 300) });
  setting.Report(1, { Part(1, 0), Part(3, 4'000) });

  THEN("each gets one report with the latest state of each long part")
  {
    const auto told = setting.relay.TakePending(setting.followers);
    REQUIRE(told.size() == 3);
    REQUIRE(told.at(HostId("x")).size() == 1);
    const HeldParts& parts = told.at(HostId("x"))[0];
    CHECK(parts.changes == std::vector<HeldPart>{ Part(1, 0), Part(3, 4'000) });
    CHECK(setting.relay.TakePending(setting.followers).empty());
  }

  THEN("a report without changes is forwarded too: the holder is alive")
  {
    setting.relay.TakePending(setting.followers);
    setting.Report(1, {});
    CHECK(setting.relay.TakePending(setting.followers).size() == 3);
  }

  THEN("the eviction of a long part is forwarded")
  {
    setting.relay.TakePending(setting.followers);
    setting.state.parts.Set(kHolder, Part(9, 1).part, 5'000);
    setting.Report(1, { Part(9, 0), Part(10, 0) });
    const auto told = setting.relay.TakePending(setting.followers);
    CHECK(told.at(HostId("x"))[0].changes ==
          std::vector<HeldPart>{ Part(9, 0) });
  }

  WHEN("the holder restarts")
  {
    setting.Report(2, {});

    THEN("changes from before the restart are not forwarded")
    {
      const auto told = setting.relay.TakePending(setting.followers);
      CHECK(told.at(HostId("x"))[0].epoch == 2);
      CHECK(told.at(HostId("x"))[0].changes.empty());
    }
  }

  WHEN("all daemons follow the holder")
  {
    setting.followers[kHolder].following = 4;
    setting.relay.TakePending(setting.followers);
    setting.Report(1, { Part(1, 12'800) });
    CHECK(setting.relay.TakePending(setting.followers).empty());
  }
}

// Guards against daemons that get a holder's events from no follower, or from
// several.
SCENARIO("each daemon gets a holder's events from one follower")
{
  std::vector<HostId> hosts;
  for (int i = 0; i < 39; ++i) {
    hosts.emplace_back("front-" + std::to_string(i));
  }
  std::map<HostId, int> reportCounts;
  std::set<HostId> toldByFirst;
  for (int i = 0; i < 99; ++i) {
    const HolderFollowers followers{
      RankOwners("r-" + std::to_string(i), hosts, hosts.size()), 10
    };
    for (const HostId& host : hosts) {
      const auto told = followers.ReceiversOf(host);
      if (!followers.IsFollower(host)) {
        continue;
      }
      for (const HostId& other : told) {
        ++reportCounts[other];
      }
      if (host == hosts[0]) {
        toldByFirst.insert(told.begin(), told.end());
      }
    }
  }
  int sum = 0;
  for (const auto& [host, count] : reportCounts) {
    sum += count;
  }
  CHECK(sum == 99 * 29);
  // A follower forwards the events of many holders to few daemons.
  CHECK(toldByFirst.size() < 39);
}

// Guards against messages that are truncated because they exceed a datagram.
SCENARIO("reports are split into datagrams")
{
  const std::size_t changes = GENERATE(0, 1, 36, 37, 38, 100);
  std::vector<HeldParts> all;
  for (int i = 0; i < 3; ++i) {
    HeldParts parts{ kHolder, 1, {} };
    for (std::size_t j = 0; j < changes; ++j) {
      parts.changes.push_back(Part(j, 1'000));
    }
    all.push_back(std::move(parts));
  }
  std::size_t told = 0;
  std::size_t holders = 0;
  for (const auto& message : PartRelay::SplitIntoDatagrams(all)) {
    std::size_t rows = 0;
    for (const HeldParts& parts : message) {
      rows += parts.changes.size() + PartRelay::kHolderRows;
      told += parts.changes.size();
      ++holders;
    }
    CHECK(rows <= PartRelay::kMaxRows);
  }
  CHECK(told == 3 * changes);
  CHECK(holders >= 3);
}
