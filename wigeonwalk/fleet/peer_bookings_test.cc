#include "wigeonwalk/fleet/peer_bookings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <iostream>
#include <iterator>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const HostId kOne("front-1");
const HostId kTwo("front-2");
const UpstreamId kRunner("r-1");

// How daemons know of each other's prompts.
enum class Knowledge
{
  // Reports of eight others every 300 ms.
  Reports,
  // Besides, announcements of each prompt to 24 others.
  Starts,
  // Announcements when a prompt starts and ends, to all others.
  StartsAndEnds,
};

// What callers of one zone got: prompts by the number of prompts that their
// runner had when they came.
struct Outcome
{
  int prompts = 0;
  int beyondMemory = 0;
  double busiestToMean = 0;
};

// Long prompts of a zone's callers, each placed by one of its daemons at the
// runner with the most room as far as this daemon knows. Times in steps of 5
// ms.
class Zone
{
public:
  Zone(std::size_t aDaemons, std::size_t aRunners, Knowledge aKnowledge)
    : knowledge(aKnowledge)
    , daemons(aDaemons)
    , running(aRunners)
    , total(aRunners, 0)
  {
  }

  // `aRate` is the number of prompts in a step.
  Outcome Play(int aSteps, double aRate)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->now += 5ms;
      this->EndRuns();
      if (step % kReportSteps == 0) {
        this->Report();
      }
      for (double due = aRate; this->uniform(this->random) < due; due -= 1) {
        this->Place(
          static_cast<std::size_t>(this->uniform(this->random) *
                                   static_cast<double>(this->daemons.size())));
      }
    }
    const auto busiest =
      *std::max_element(this->total.begin(), this->total.end());
    this->outcome.busiestToMean = static_cast<double>(busiest) *
                                  static_cast<double>(this->total.size()) /
                                  this->outcome.prompts;
    return this->outcome;
  }

private:
  static constexpr int kReportSteps = 60;
  static constexpr std::size_t kReported = 8;
  static constexpr std::size_t kAnnounced = 24;
  // Long prompts that a runner has memory for.
  static constexpr std::size_t kRoom = 5;
  static constexpr Duration kRunTime = 1'200ms;

  struct Run
  {
    std::size_t daemon = 0;
    TimePoint until;
  };

  struct Daemon
  {
    PeerBookings bookings;
    // Prompts of others at each runner, by the reports.
    std::vector<std::size_t> reported;
  };

  void EndRuns()
  {
    for (std::size_t i = 0; i < this->running.size(); ++i) {
      auto& runs = this->running[i];
      std::vector<Run> ended;
      std::copy_if(runs.begin(),
                   runs.end(),
                   std::back_inserter(ended),
                   [this](const Run& aRun) { return aRun.until <= this->now; });
      std::erase_if(
        runs, [this](const Run& aRun) { return aRun.until <= this->now; });
      for (const Run& run : ended) {
        if (this->knowledge == Knowledge::StartsAndEnds) {
          this->Announce(run.daemon, i, this->daemons.size());
        }
      }
    }
  }

  // Tells others what a daemon has at a runner.
  void Announce(std::size_t aDaemon, std::size_t aRunner, std::size_t aCount)
  {
    const std::uint32_t heard =
      AnnouncementsOf(this->daemons.size() - 1, aCount);
    const auto own = static_cast<std::uint32_t>(this->OwnAt(aDaemon, aRunner));
    this->ForNext(aDaemon, aCount, [&](Daemon& aOther) {
      aOther.bookings.Book(HostId(std::to_string(aDaemon)),
                           { UpstreamId(std::to_string(aRunner)),
                             0,
                             heard * own,
                             this->now + kRunTime });
    });
  }

  // Calls `aTell` for the daemons that follow one in their order.
  template<typename F>
  void ForNext(std::size_t aDaemon, std::size_t aCount, F aTell)
  {
    const std::size_t last = std::min(aCount, this->daemons.size() - 1);
    for (std::size_t i = 1; i <= last; ++i) {
      aTell(this->daemons[(aDaemon + i) % this->daemons.size()]);
    }
  }

  std::size_t OwnAt(std::size_t aDaemon, std::size_t aRunner) const
  {
    const auto& runs = this->running[aRunner];
    return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [aDaemon](const Run& aRun) {
        return aRun.daemon == aDaemon;
      }));
  }

  void Report()
  {
    for (Daemon& daemon : this->daemons) {
      daemon.reported.assign(this->running.size(), 0);
    }
    // If ends are told, reports leave out long prompts.
    if (this->knowledge == Knowledge::StartsAndEnds) {
      return;
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->ForNext(i, kReported, [&](Daemon& aOther) {
        for (std::size_t j = 0; j < this->running.size(); ++j) {
          aOther.reported[j] += this->OwnAt(i, j);
        }
        aOther.bookings.NoteReport(HostId(std::to_string(i)));
      });
    }
  }

  void Place(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    std::vector<std::size_t> known = daemon.reported;
    for (const PeerBooking& booking : daemon.bookings.All(this->now)) {
      known[std::stoul(booking.runner.Text())] += booking.requests;
    }
    std::size_t best = 0;
    double least = std::numeric_limits<double>::max();
    for (std::size_t j = 0; j < this->running.size(); ++j) {
      const double load =
        static_cast<double>(known[j] + this->OwnAt(aDaemon, j)) +
        0.5 * this->uniform(this->random);
      if (load < least) {
        least = load;
        best = j;
      }
    }
    ++this->outcome.prompts;
    ++this->total[best];
    this->outcome.beyondMemory += this->running[best].size() >= kRoom ? 1 : 0;
    this->running[best].push_back({ aDaemon, this->now + kRunTime });
    if (this->knowledge != Knowledge::Reports) {
      this->Announce(aDaemon,
                     best,
                     this->knowledge == Knowledge::Starts
                       ? kAnnounced
                       : this->daemons.size());
    }
  }

  Knowledge knowledge;
  std::vector<Daemon> daemons;
  std::vector<std::vector<Run>> running;
  std::vector<int> total;
  TimePoint now = TimePoint() + 100s;
  Outcome outcome;
  std::mt19937 random{ 7 };
  std::uniform_real_distribution<double> uniform{ 0, 1 };
};

} // namespace

// Guards against prompts of other daemons that are forgotten too early, counted
// twice, or kept for ever.
SCENARIO("announced prompts are booked until they have ended")
{
  const TimePoint now = TimePoint() + 100s;
  PeerBookings bookings;
  const PeerBooking booking{ kRunner, 17'060, 1, now + 1s };
  const PeerBooking none;
  CHECK(bookings.Book(kOne, booking) == none);
  CHECK(bookings.Book(kTwo, booking) == none);
  CHECK(bookings.All(now) == std::vector<PeerBooking>{ booking, booking });

  THEN("they end after the time that their runs take")
  {
    CHECK(bookings.All(now + 999ms).size() == 2);
    CHECK(bookings.All(now + 1s).empty());
  }

  THEN("a report of their daemon takes their place")
  {
    bookings.NoteReport(kOne);
    CHECK(bookings.All(now) == std::vector<PeerBooking>{ booking });
    CHECK(bookings.Book(kOne, booking) == none);
    CHECK(bookings.All(now).size() == 2);
  }

  THEN("a later one of the same daemon and runner takes their place")
  {
    const PeerBooking two{ kRunner, 34'120, 2, now + 2s };
    CHECK(bookings.Book(kOne, two) == booking);
    CHECK(bookings.All(now) == std::vector<PeerBooking>{ two, booking });
  }

  THEN("the end of the last one removes them")
  {
    CHECK(bookings.Book(kOne, { kRunner, 0, 0, now + 1s }) == booking);
    CHECK(bookings.All(now) == std::vector<PeerBooking>{ booking });
  }

  THEN("those of a daemon that is gone are forgotten")
  {
    bookings.KeepOnly(std::set<HostId>{ kTwo });
    CHECK(bookings.All(now) == std::vector<PeerBooking>{ booking });
  }

  THEN("a daemon that announces without end takes a bounded memory")
  {
    for (std::size_t i = 0; i < 2 * PeerBookings::kMaxBookings; ++i) {
      const UpstreamId other("r-" + std::to_string(i));
      bookings.Book(kOne, { other, 17'060, 1, now + 1s });
    }
    CHECK(bookings.All(now).size() == PeerBookings::kMaxBookings);
    CHECK(bookings.All(now + 1s).empty());
    bookings.Book(kOne, { kRunner, 1, 1, now + 2s });
    CHECK(bookings.All(now + 1s).size() == 1);
  }

  THEN("in a large zone one announcement stands for several")
  {
    CHECK(AnnouncementsOf(8, 24) == 1);
    CHECK(AnnouncementsOf(25, 24) == 1);
    CHECK(AnnouncementsOf(48, 24) == 2);
    CHECK(AnnouncementsOf(98, 24) == 4);
    CHECK(AnnouncementsOf(0, 24) == 1);
  }
}

// Guards against daemons that fill the same few runners between two reports
// while others idle.
SCENARIO("many daemons place long prompts evenly without asking the runners")
{
  struct Row
  {
    std::size_t daemons;
    std::size_t runners;
  };
  // Daemons and runners of one zone in fleets of 9, 27, 79, 295 and 350
  // daemons.
  const Row row = GENERATE(
    Row{ 3, 5 }, Row{ 7, 22 }, Row{ 26, 30 }, Row{ 49, 27 }, Row{ 39, 99 });
  // Three fifths of the memory is in use in the mean.
  const double rate = 0.6 * 5 * static_cast<double>(row.runners) / 240;
  const auto play = [&](Knowledge aKnowledge) {
    return Zone(row.daemons, row.runners, aKnowledge).Play(2'000, rate);
  };
  const Outcome reports = play(Knowledge::Reports);
  const Outcome announced = play(Knowledge::Starts);
  const Outcome ended = play(Knowledge::StartsAndEnds);
  std::cout << row.daemons << " daemons, " << row.runners << " runners, "
            << reports.prompts << " prompts: beyond the memory "
            << reports.beyondMemory << " by reports, " << announced.beyondMemory
            << " by starts, " << ended.beyondMemory
            << " by starts and ends; busiest to mean " << reports.busiestToMean
            << ", " << announced.busiestToMean << ", " << ended.busiestToMean
            << std::endl;
  CHECK(announced.beyondMemory <= reports.beyondMemory);
  CHECK(ended.beyondMemory <= announced.beyondMemory);
  // Of a hundred prompts, at most five meet a full runner while two fifths of
  // the memory is free.
  CHECK(announced.beyondMemory * 20 <= announced.prompts);
}
