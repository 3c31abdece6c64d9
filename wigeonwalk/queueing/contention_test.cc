#include "wigeonwalk/queueing/contention.h"

#include "wigeonwalk/shares/member_shares.h"

#include <catch2/catch.hpp>

#include <deque>
#include <iostream>
#include <random>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Whether daemons take any room that they see, or only in their turn.
enum class Taking
{
  Any,
  InTurn,
};

struct Outcome
{
  int prompts = 0;
  int beyondRoom = 0;
  // Mean share of the runners' room that is in use.
  double used = 0;
};

// Daemons before runners that are full. Each daemon looks for room every 20 ms
// and sees what the others have done 4 ms later. Steps of 1 ms.
class Backlog
{
public:
  Backlog(std::size_t aDaemons, std::size_t aRunners, Taking aTaking)
    : taking(aTaking)
    , queues(aDaemons)
    , running(aRunners)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      this->phases.push_back(static_cast<int>(this->random() % kLookSteps));
    }
  }

  Outcome Play()
  {
    constexpr int kWarmUp = 1'000;
    constexpr int kSteps = 5'000;
    for (int step = 0; step < kSteps; ++step) {
      if (step == kWarmUp) {
        this->outcome = {};
      }
      this->now += 1ms;
      this->EndRuns();
      this->seen.push_back(this->Counts());
      if (this->seen.size() > kTellSteps) {
        this->seen.pop_front();
      }
      for (std::size_t i = 0; i < this->queues.size(); ++i) {
        if ((step + this->phases[i]) % kLookSteps == 0) {
          this->Look(i);
        }
      }
      this->outcome.used += this->Used() / (kSteps - kWarmUp);
    }
    return this->outcome;
  }

private:
  static constexpr int kLookSteps = 20;
  static constexpr std::size_t kTellSteps = 4;
  static constexpr std::size_t kRoom = 4;
  static constexpr Duration kRunTime = 1'200ms;

  void EndRuns()
  {
    for (auto& runs : this->running) {
      std::erase_if(runs,
                    [this](TimePoint aUntil) { return aUntil <= this->now; });
    }
  }

  std::vector<std::size_t> Counts() const
  {
    std::vector<std::size_t> counts;
    for (const auto& runs : this->running) {
      counts.push_back(runs.size());
    }
    return counts;
  }

  double Used() const
  {
    double used = 0;
    for (const auto& runs : this->running) {
      used += static_cast<double>(std::min(runs.size(), kRoom));
    }
    return used / static_cast<double>(kRoom * this->running.size());
  }

  void Look(std::size_t aDaemon)
  {
    Contention& contention = this->queues[aDaemon];
    contention.NoteWaiting(this->now);
    const double turns =
      this->taking == Taking::Any
        ? 1
        : 1 / contention.Contenders(this->queues.size(), this->now);
    const auto turn = static_cast<std::uint64_t>(this->now.time_since_epoch() /
                                                 Contention::kLookInterval);
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < this->running.size(); ++i) {
      if (this->seen.front()[i] < kRoom &&
          HasTurn(HostId("front-" + std::to_string(aDaemon)),
                  "r-" + std::to_string(i),
                  turn,
                  turns)) {
        free.push_back(i);
      }
    }
    if (free.empty()) {
      return;
    }
    auto& runs = this->running[free[this->random() % free.size()]];
    ++this->outcome.prompts;
    this->outcome.beyondRoom += runs.size() >= kRoom ? 1 : 0;
    const auto jitter = std::chrono::milliseconds(this->random() % 200);
    runs.push_back(this->now + kRunTime + jitter);
  }

  Taking taking;
  std::vector<Contention> queues;
  std::vector<std::vector<TimePoint>> running;
  std::vector<int> phases;
  std::deque<std::vector<std::size_t>> seen;
  TimePoint now = TimePoint() + 100s;
  Outcome outcome;
  std::mt19937 random{ 7 };
};

} // namespace

// Guards against daemons that hold back although nobody else waits, and against
// a mean that outlasts the overload.
SCENARIO("the others are expected to wait as often as this daemon")
{
  const TimePoint start = TimePoint() + 100s;
  Contention contention;
  CHECK(contention.Contenders(79, start) == 1);

  WHEN("a prompt has just begun to wait")
  {
    contention.NoteWaiting(start);
    THEN("few others are expected to")
    {
      CHECK(contention.Contenders(79, start) < 4);
    }
  }

  WHEN("prompts have waited for two seconds")
  {
    TimePoint now = start;
    for (; now < start + 2s; now += Contention::kLookInterval) {
      contention.NoteWaiting(now);
      contention.NoteWaiting(now + 1ms);
    }
    THEN("nearly all are expected to")
    {
      CHECK(contention.Contenders(79, now) > 75);
      CHECK(contention.Contenders(79, now) <= 79);
    }
    THEN("none of them are two seconds after the last one")
    {
      CHECK(contention.Contenders(79, now + 2s) < 2);
    }
  }
}

// Guards against runners that get many prompts for one place, which they
// preempt, and against places that stay empty while prompts wait.
SCENARIO("daemons with a backlog take turns at the places that become free")
{
  struct Row
  {
    std::size_t daemons;
    std::size_t runners;
  };
  const Row row =
    GENERATE(Row{ 9, 16 }, Row{ 27, 89 }, Row{ 79, 67 }, Row{ 295, 160 });
  const Outcome any = Backlog(row.daemons, row.runners, Taking::Any).Play();
  const Outcome turns =
    Backlog(row.daemons, row.runners, Taking::InTurn).Play();
  std::cout << row.daemons << " daemons, " << row.runners
            << " runners: beyond the room " << any.beyondRoom << " of "
            << any.prompts << " without turns, " << turns.beyondRoom << " of "
            << turns.prompts << " with turns, " << turns.used
            << " of the room in use" << std::endl;
  CHECK(turns.beyondRoom <= any.beyondRoom);
  // At most one prompt in five meets a full runner, and at least four fifths of
  // the room is in use.
  CHECK(turns.beyondRoom * 5 <= turns.prompts);
  CHECK(turns.used >= 0.8);
}
