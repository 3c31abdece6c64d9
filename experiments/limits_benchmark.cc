// Measures shared limits and overload shedding in virtual time.
//
//   limits_benchmark --row partition-350 --check
//
// Prints one line for each row. With --check, exits with 1 if a figure exceeds
// its bound. The bounds come from docs/design.md.
#include "experiments/limits/limit_fleet.h"
#include "wigeonwalk/limits/overload.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Event that is injected 30 s after the start.
enum class FleetEvent
{
  None,
  ReversedSkew,
  LostDaemon,
  LostOwner,
  Partition,
};

struct FleetRow
{
  const char* name;
  FleetEvent event;
  std::uint32_t daemons;
  double limit;
};

constexpr std::array<FleetRow, 10> kFleetRows{ {
  { "steady-6", FleetEvent::None, 6, 200 },
  { "steady-350", FleetEvent::None, 350, 2'000 },
  { "reversed-6", FleetEvent::ReversedSkew, 6, 200 },
  { "reversed-350", FleetEvent::ReversedSkew, 350, 2'000 },
  { "lost-daemon-6", FleetEvent::LostDaemon, 6, 200 },
  { "lost-daemon-350", FleetEvent::LostDaemon, 350, 2'000 },
  { "lost-owner-6", FleetEvent::LostOwner, 6, 200 },
  { "lost-owner-350", FleetEvent::LostOwner, 350, 2'000 },
  { "partition-6", FleetEvent::Partition, 6, 200 },
  { "partition-350", FleetEvent::Partition, 350, 2'000 },
} };

// Bytes of a datagram without its pairs: IP and UDP headers, HMAC, sender,
// timestamp and kind. A pair takes 24 bytes (design section 7).
constexpr double kDatagramBytes = 28 + 16 + 40;
constexpr double kPairBytes = 24;

// Bound on a daemon's total control traffic (design section 1.6).
constexpr double kMaxControlBytesPerSecond = 22'000;

// Bursts of up to a quarter of a second are allowed, which is 2.5% of ten
// seconds.
constexpr double kBurstAllowanceOverTenSeconds = 0.025;

bool
CheckBound(const char* aRow, const char* aName, double aValue, double aBound)
{
  if (aValue <= aBound) {
    return true;
  }
  std::printf(
    "%s: %s %.3f is over its bound %.3f\n", aRow, aName, aValue, aBound);
  return false;
}

double
Mean(const std::vector<std::uint32_t>& aCounts,
     std::size_t aFrom,
     std::size_t aUntil)
{
  double sum = 0;
  for (std::size_t i = aFrom; i < aUntil; ++i) {
    sum += aCounts[i];
  }
  return sum / static_cast<double>(aUntil - aFrom);
}

void
InjectEvent(LimitFleet& aFleet, const FleetRow& aRow)
{
  switch (aRow.event) {
    case FleetEvent::None:
      break;
    case FleetEvent::ReversedSkew:
      aFleet.ReverseSkew();
      break;
    case FleetEvent::LostDaemon:
      aFleet.StopDaemon(1);
      break;
    case FleetEvent::LostOwner:
      aFleet.StopDaemon(0);
      break;
    case FleetEvent::Partition:
      aFleet.SetPartition(aRow.daemons / 3);
      break;
  }
}

bool
RunFleetRow(const FleetRow& aRow)
{
  constexpr std::size_t kEventSecond = 30;
  constexpr std::size_t kEndSecond = 150;
  constexpr std::size_t kWindowSeconds = 10;
  LimitFleet fleet({ .daemons = aRow.daemons, .limit = aRow.limit });
  fleet.Run(std::chrono::seconds(kEventSecond));
  InjectEvent(fleet, aRow);
  fleet.Run(std::chrono::seconds(kEndSecond - kEventSecond));
  const auto& admitted = fleet.Admitted();
  // Rate after convergence: the mean of the last 30 s.
  const double settled = Mean(admitted, kEndSecond - 30, kEndSecond);
  double highest = 0;
  double lowest = aRow.limit;
  std::size_t converged = kEventSecond;
  for (std::size_t i = kWindowSeconds; i + kWindowSeconds <= kEndSecond; ++i) {
    const double mean = Mean(admitted, i, i + kWindowSeconds);
    highest = std::max(highest, mean);
    lowest = i >= kEventSecond ? std::min(lowest, mean) : lowest;
  }
  for (std::size_t i = kEventSecond; i + 3 <= kEndSecond; ++i) {
    if (std::abs(Mean(admitted, i, i + 3) - settled) > 0.1 * settled) {
      converged = i + 1;
    }
  }
  const double overshoot = highest / aRow.limit - 1;
  const double perDaemon =
    static_cast<double>(fleet.Reports()) / kEndSecond / aRow.daemons;
  std::printf("%-16s overshoot %5.1f%% (busiest 10 s) | unused %5.1f%% settled,"
              " %5.1f%% worst 10 s | converged in %3zu s | %.2f reports/s and"
              " daemon\n",
              aRow.name,
              100 * std::max(0.0, overshoot),
              100 * (1 - settled / aRow.limit),
              100 * (1 - lowest / aRow.limit),
              converged - kEventSecond,
              perDaemon);
  return CheckBound(
           aRow.name, "overshoot", overshoot, kBurstAllowanceOverTenSeconds) &
         CheckBound(aRow.name, "reports a second and daemon", perDaemon, 1.1);
}

// Measures the bytes of reports and answers at the target: 6,200 requests per
// second on 350 daemons, Zipf-distributed over 230 organisations with 3
// services each. The limits of each pair are 1.25 times its mean load, and a
// request runs for 5 s. Checks the mean over all daemons, or the busiest daemon
// if `aBusiest` is set.
bool
RunTraffic(bool aBusiest)
{
  constexpr std::uint32_t kDaemons = 350;
  constexpr std::uint32_t kPairs = 690;
  constexpr double kRequestsPerSecond = 6'200;
  constexpr std::size_t kSeconds = 60;
  // Not measured: all daemons start at once here, unlike in production.
  constexpr Duration kStartUp = 40s;
  std::vector<double> weights(kPairs);
  double sum = 0;
  for (std::uint32_t i = 0; i < kPairs; ++i) {
    weights[i] = 1.0 / (i + 1);
    sum += weights[i];
  }
  std::mt19937_64 random(1);
  std::vector<std::map<std::uint32_t, LocalShare>> shares(kDaemons);
  std::vector<LimitOwner> owners(kDaemons);
  // Baseline: one central counter for the whole fleet.
  std::vector<LocalShare> central;
  std::uint64_t centralAdmitted = 0;
  std::vector<std::map<std::uint32_t, TimePoint>> nextOnDemandReportAt(
    kDaemons);
  std::vector<double> bytes(kDaemons, 0);
  std::discrete_distribution<std::uint32_t> pairOf(weights.begin(),
                                                   weights.end());
  std::uniform_int_distribution<std::uint32_t> daemonOf(0, kDaemons - 1);
  const TimePoint start{ 24h };
  std::uint64_t datagrams = 0;
  std::uint64_t admitted = 0;
  std::uint64_t offered = 0;
  struct Completion
  {
    TimePoint at;
    std::uint32_t daemon;
    std::uint32_t pair;
    bool isCentral;
    bool operator>(const Completion& aOther) const
    {
      return this->at > aOther.at;
    }
  };
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    running;
  const auto limitsOf = [&](std::uint32_t aPair) {
    const double rate = 1.25 * kRequestsPerSecond * weights[aPair] / sum;
    return LimitAmounts{ { std::ceil(5 * rate), rate, kNoLimit } };
  };
  for (std::uint32_t pair = 0; pair < kPairs; ++pair) {
    central.emplace_back(limitsOf(pair), start);
    central.back().Accept({ {}, limitsOf(pair), 1h }, start, start);
  }
  const auto report = [&](std::uint32_t aDaemon,
                          std::uint32_t aPair,
                          TimePoint aNow,
                          bool aRequestWaits) {
    LocalShare& share = shares[aDaemon].at(aPair);
    const std::uint32_t owner = (aPair * 7 + 13) % kDaemons;
    const LimitKey key{ OrganisationId(std::to_string(aPair)),
                        ServiceName("s") };
    const DemandReport sent{ key,
                             HostId(std::to_string(aDaemon)),
                             share.TakeDemand(aNow),
                             share.Held(aNow),
                             aRequestWaits };
    const FleetReach reach{ 1, kDaemons };
    share.Accept(
      owners[owner].Answer(sent, limitsOf(aPair), reach, aNow), aNow, aNow);
    if (aNow < start + kStartUp) {
      return;
    }
    datagrams += 2;
    // Both daemons count the bytes that they send and receive.
    bytes[aDaemon] += 2 * (kDatagramBytes + kPairBytes);
    bytes[owner] += 2 * (kDatagramBytes + kPairBytes);
  };
  for (TimePoint now = start; now < start + kStartUp + kSeconds * 1s;
       now += 10ms) {
    while (!running.empty() && running.top().at <= now) {
      const Completion& completion = running.top();
      (completion.isCentral ? central[completion.pair]
                            : shares[completion.daemon].at(completion.pair))
        .Finish(0, now);
      running.pop();
    }
    std::poisson_distribution<int> arrivals(kRequestsPerSecond / 100);
    for (int left = arrivals(random); left > 0; --left) {
      const std::uint32_t daemon = daemonOf(random);
      const std::uint32_t pair = pairOf(random);
      if (central[pair].TryStart(1, now).decision == ShareDecision::Admitted) {
        centralAdmitted += now >= start + kStartUp ? 1 : 0;
        running.push({ now + 5s, daemon, pair, true });
      }
      LocalShare& share =
        shares[daemon].try_emplace(pair, limitsOf(pair), now).first->second;
      ShareAnswer answer = share.TryStart(1, now);
      TimePoint& nextReportAt = nextOnDemandReportAt[daemon][pair];
      if (answer.decision == ShareDecision::AskOwner && now >= nextReportAt) {
        nextReportAt = now + 100ms;
        report(daemon, pair, now, true);
        answer = share.TryStart(1, now);
      }
      if (now >= start + kStartUp) {
        ++offered;
      }
      if (answer.decision == ShareDecision::Admitted) {
        admitted += now >= start + kStartUp ? 1 : 0;
        running.push({ now + 5s, daemon, pair, false });
      }
    }
    for (std::uint32_t daemon = 0; daemon < kDaemons; ++daemon) {
      for (auto& [pair, share] : shares[daemon]) {
        if (!share.IsIdle(now) && share.IsReportDue(now)) {
          report(daemon, pair, now, false);
        }
      }
      std::erase_if(shares[daemon],
                    [&](const auto& aRow) { return aRow.second.IsIdle(now); });
    }
  }
  const double mean =
    std::accumulate(bytes.begin(), bytes.end(), 0.0) / kDaemons / kSeconds;
  const double highest =
    *std::max_element(bytes.begin(), bytes.end()) / kSeconds;
  std::printf(
    "%-16s %.1f datagrams/s and daemon | %.1f KB/s and daemon, "
    "busiest %.1f KB/s | refused %.1f%%, one central counter %.1f%%\n",
    "traffic-350",
    static_cast<double>(datagrams) / kDaemons / kSeconds,
    mean / 1'000,
    highest / 1'000,
    100.0 * static_cast<double>(offered - admitted) /
      static_cast<double>(offered),
    100.0 * static_cast<double>(offered - centralAdmitted) /
      static_cast<double>(offered));
  return aBusiest
           ? CheckBound("busiest-owner-350",
                        "bytes/s",
                        highest,
                        kMaxControlBytesPerSecond)
           : CheckBound(
               "traffic-350", "bytes/s", mean, kMaxControlBytesPerSecond);
}

// Returns the goodput, in requests per second, of one daemon in front of
// servers that complete 100 requests per second. A request counts as useful if
// it starts within 0.79 s, so that its first token is sent within 0.99 s.
double
Goodput(double aLoad, bool aSheds)
{
  constexpr double kCapacity = 100;
  constexpr double kSeconds = 120;
  const TimePoint start{ 24h };
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(aLoad * kCapacity);
  std::exponential_distribution<double> work(kCapacity);
  std::discrete_distribution<int> classOf({ 0.3, 0.5, 0.2 });
  std::uniform_real_distribution<double> shareUse(0, 2);
  OverloadShedder shedder(3, start);
  std::queue<TimePoint> completions;
  TimePoint serverFreeAt = start;
  std::uint64_t useful = 0;
  for (TimePoint now = start; now < start + FromSeconds(kSeconds);
       now += FromSeconds(gap(random))) {
    while (!completions.empty() && completions.front() <= now) {
      shedder.Complete(1, completions.front());
      completions.pop();
    }
    const auto requestClass = static_cast<RequestClass>(classOf(random));
    const ShedAnswer answer =
      shedder.Offer({ requestClass, shareUse(random), 1 }, now);
    if (aSheds && !answer.admitted) {
      continue;
    }
    const TimePoint begin = std::max(serverFreeAt, now);
    serverFreeAt = begin + FromSeconds(work(random));
    useful += begin - now <= 790ms ? 1 : 0;
    completions.push(serverFreeAt);
  }
  return static_cast<double>(useful) / kSeconds;
}

bool
RunGoodput()
{
  const double base = Goodput(1.0, true);
  bool passes = true;
  for (const double load : { 1.0, 1.5, 2.0 }) {
    const double with = Goodput(load, true);
    std::printf("%-16s load %3.0f%%: goodput %5.1f/s with shedding, %5.1f/s "
                "without\n",
                "goodput",
                100 * load,
                with,
                Goodput(load, false));
    passes &= CheckBound("goodput", "loss against 100%", 1 - with / base, 0.05);
  }
  return passes;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app{ "Shared limits and overload shedding in virtual time" };
  std::string row;
  bool check = false;
  app.add_option("--row", row, "Run only this row");
  app.add_flag("--check", check, "Exit with 1 if a figure exceeds its bound");
  CLI11_PARSE(app, argc, argv);
  bool passes = true;
  for (const FleetRow& fleet : kFleetRows) {
    if (row.empty() || row == fleet.name) {
      passes &= RunFleetRow(fleet);
    }
  }
  if (row.empty() || row == "traffic-350") {
    passes &= RunTraffic(false);
  }
  if (row == "busiest-owner-350") {
    passes &= RunTraffic(true);
  }
  if (row.empty() || row == "goodput") {
    passes &= RunGoodput();
  }
  return check && !passes ? 1 : 0;
}
