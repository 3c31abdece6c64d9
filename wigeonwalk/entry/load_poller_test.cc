#include "wigeonwalk/entry/load_poller.h"
#include "wigeonwalk/entry/test_rollout.h"
#include "wigeonwalk/testing/fake_runner_control.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Records the loads sent to each daemon.
struct SentReports
{
  void SendReports(const EntryMember& aMember,
                   const std::vector<ReportedLoad>& aLoads)
  {
    this->loads[aMember.host] = aLoads;
  }
  std::map<HostId, std::vector<ReportedLoad>> loads;
};

// One daemon of a cluster with the given number of daemons in each of two
// zones.
struct Daemon
{
  Daemon(VirtualTime& aTime,
         FakeRunnerControl& aControl,
         const std::string& aHost,
         int aDaemonsPerZone)
    : time(aTime)
    , state(MakeSettings(aHost))
    , poller(state, aControl, peers, aTime)
  {
    this->state.Apply(MakeConfiguration(), aTime.Now());
    for (int i = 0; i < 20; ++i) {
      RunnerEntry entry;
      entry.id = UpstreamId("r-" + std::to_string(i));
      entry.service = ServiceName("engines");
      entry.address = "a-" + std::to_string(i);
      entry.zone = AvailabilityZone(i < 10 ? "north" : "south");
      this->state.Apply(entry, aTime.Now());
    }
    for (const char* zone : { "north", "south" }) {
      for (int i = 0; i < aDaemonsPerZone; ++i) {
        const HostId host(std::string(zone) + "-" + std::to_string(i));
        this->state.Apply(
          EntryMember{ host, AvailabilityZone(zone), host.Text() },
          aTime.Now());
      }
    }
    this->state.isAskedForChanges = AssignReaders(this->state.Settings().host,
                                                  AvailabilityZone("north"),
                                                  this->state.members)
                                      .isAsked;
  }

  void PollOnce()
  {
    for (const UpstreamId& runner : this->poller.DuePolls()) {
      this->polls.push_back(runner);
      this->time.Spawn(this->poller.Poll(runner));
    }
    this->time.RunUntil(this->time.Now() + 500ms);
    this->poller.Announce();
  }

  VirtualTime& time;
  SentReports peers;
  EntryState state;
  LoadPoller<FakeRunnerControl, SentReports, VirtualTime> poller;
  std::vector<UpstreamId> polls;
};

} // namespace

// Guards against runners that every daemon polls, or that none does.
SCENARIO("the readers of a zone share the polls of its runners")
{
  VirtualTime time;
  FakeRunnerControl control(time);
  for (int i = 0; i < 20; ++i) {
    auto& runner = control.runners["a-" + std::to_string(i)];
    runner.memoryTokens = 1'000 * (i + 1);
    runner.running = 2;
  }

  GIVEN("a large zone")
  {
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<UpstreamId, int> polls;
    for (int i = 0; i < 40; ++i) {
      daemons.push_back(std::make_unique<Daemon>(
        time, control, "north-" + std::to_string(i), 40));
      daemons.back()->PollOnce();
      for (const UpstreamId& runner : daemons.back()->polls) {
        ++polls[runner];
      }
    }

    THEN("each runner of the zone is polled by one daemon")
    {
      CHECK(polls.size() == 10);
      for (const auto& [runner, count] : polls) {
        CHECK(count == 1);
      }
    }

    THEN("the loads go to the other readers only")
    {
      const auto readers = AllReaders(daemons[0]->state.members);
      for (const auto& daemon : daemons) {
        if (daemon->polls.empty()) {
          CHECK(daemon->peers.loads.empty());
          continue;
        }
        CHECK(daemon->peers.loads.size() == readers.size() - 1);
        CHECK(daemon->peers.loads.begin()->second.size() ==
              daemon->polls.size());
      }
    }
  }

  GIVEN("a small cluster")
  {
    Daemon daemon(time, control, "north-0", 2);
    daemon.PollOnce();
    THEN("nothing is polled")
    {
      CHECK(daemon.polls.empty());
    }
  }

  GIVEN("a runner that does not answer")
  {
    control.runners["a-0"].fault = OrderFault::Unresponsive;
    control.runners["a-0"].faultOnce = false;
    std::size_t known = 0;
    for (int i = 0; i < 10; ++i) {
      Daemon daemon(time, control, "north-" + std::to_string(i), 10);
      daemon.PollOnce();
      known += daemon.state.reportedLoads.Busiest(20, time.Now()).size();
    }
    THEN("the loads of the others are known")
    {
      CHECK(known == 9);
    }
  }
}
