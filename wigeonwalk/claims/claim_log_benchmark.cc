// Compares claim schemes in virtual time under the same seeded arrivals: write
// load, added latency, and double runs and refusals under faults. Fails if the
// batched log exceeds a bound of the design page.
#include "wigeonwalk/claims/internal/claim_schemes.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 4711;
// A tenth of 6,200 requests a second.
constexpr double kTargetBookingsPerSecond = 620;
// Today's rate, scaled by the number of runners: 35 of 890.
constexpr double kTodayBookingsPerSecond = kTargetBookingsPerSecond * 35 / 890;
// Bounds of the design page.
constexpr double kMaxWritesPerSecond = 192;
constexpr std::size_t kMaxStoredSegmentBytes = 4096;
constexpr double kMaxControlBytesPerSecond = 22'000;
constexpr Duration kMaxRefusalDelay = 300ms;
// Estimated overhead of each call: HTTP headers and the gateway's JSON. The
// gateway transfers values in base64.
constexpr double kFramingBytesPerCall = 600;
constexpr double kBase64Expansion = 4.0 / 3;

// Number of simulated shards; the figures are scaled to all shards.
constexpr std::uint32_t kSimulatedShards = 4;
// Longer than the window, so that trimming is part of the measured time.
constexpr Duration kWarmUp = 13min;
constexpr Duration kMeasured = 2min;

struct Load
{
  double writes = 0;
  double bytes = 0;
  double p50 = 0;
  double p99 = 0;
  std::size_t largestValue = 0;
};

struct FaultResult
{
  std::uint64_t doubleRuns = 0;
  std::uint64_t unavailable = 0;
  Duration slowestUnavailable{};
};

enum class FaultKind
{
  Crash,
  Pause,
  Outage,
};

// Simulates the bookings of one shard and records their results.
template<ClaimScheme Scheme>
class ShardSimulation
{
public:
  ShardSimulation(VirtualTime& aTime,
                  FakeKeyValue<>& aService,
                  std::uint32_t aShard,
                  double aRate)
    : time(aTime)
    , service(aService)
    , shard(aShard)
    , rate(aRate)
    , random(kSeed + aShard)
  {
    this->StartNewOwner();
  }

  // Starts a new owner, which receives all later calls.
  void StartNewOwner()
  {
    this->processes.push_back(std::make_unique<FakeProcess>(this->time));
    this->owners.push_back(std::make_unique<Scheme>(
      this->time, this->service, *this->processes.back(), ++this->incarnation));
  }
  FakeProcess& Process() { return *this->processes.back(); }

  Task<void> GenerateCalls(TimePoint aEnd)
  {
    std::exponential_distribution<double> gap(this->rate);
    while (this->time.Now() < aEnd) {
      co_await this->time.WaitUntil(this->time.Now() +
                                    FromSeconds(gap(this->random)));
      const auto low =
        static_cast<std::uint64_t>(this->time.Now().time_since_epoch().count());
      this->time.Spawn(this->Call({ this->shard, low }));
      // One caller in five retries its booking within a minute.
      if (this->random() % 5 == 0) {
        this->time.Spawn(this->CallLater({ this->shard, low }));
      }
    }
  }

  std::vector<double> latencies;
  TimePoint measureFrom;
  // Start of the outage. The refusal of a call that arrived earlier is timed
  // from here.
  TimePoint outageStart;
  FaultResult faultResult;

private:
  Task<void> CallLater(ClaimKey aKey)
  {
    std::uniform_real_distribution<double> seconds(1, 60);
    co_await this->time.WaitUntil(this->time.Now() +
                                  FromSeconds(seconds(this->random)));
    co_await this->Call(aKey);
  }

  Task<void> Call(ClaimKey aKey)
  {
    const TimePoint start = this->time.Now();
    Scheme& owner = *this->owners.back();
    FakeProcess& process = *this->processes.back();
    co_await process.WaitUntilRunning();
    const ClaimAnswer answer = co_await owner.Claim(aKey);
    const Duration elapsed = this->time.Now() - start;
    co_await process.WaitUntilRunning();
    if (answer == ClaimAnswer::Unavailable) {
      ++this->faultResult.unavailable;
      this->faultResult.slowestUnavailable =
        std::max(this->faultResult.slowestUnavailable,
                 this->time.Now() - std::max(start, this->outageStart));
    }
    if (answer != ClaimAnswer::Granted) {
      co_return;
    }
    if (start >= this->measureFrom) {
      this->latencies.push_back(ToSeconds(elapsed) * 1000);
    }
    co_await process.WaitUntil(process.Now() + 20ms);
    this->faultResult.doubleRuns += ++this->runs[aKey] > 1 ? 1 : 0;
    owner.Finish(aKey);
  }

  VirtualTime& time;
  FakeKeyValue<>& service;
  std::uint32_t shard;
  double rate;
  std::mt19937_64 random;
  std::uint64_t incarnation = 0;
  std::vector<std::unique_ptr<FakeProcess>> processes;
  std::vector<std::unique_ptr<Scheme>> owners;
  std::unordered_map<ClaimKey, std::uint32_t> runs;
};

double
Percentile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto at = static_cast<std::size_t>(aQuantile * (aValues.size() - 1));
  return aValues[at];
}

template<ClaimScheme Scheme>
Load
MeasureLoad(double aBookings)
{
  VirtualTime time;
  FakeKeyValue<> service(time, kSeed, {});
  std::vector<std::unique_ptr<ShardSimulation<Scheme>>> shards;
  const TimePoint end = time.Now() + kWarmUp + kMeasured;
  for (std::uint32_t i = 0; i < kSimulatedShards; ++i) {
    shards.push_back(std::make_unique<ShardSimulation<Scheme>>(
      time, service, i, aBookings / kClaimShards));
    shards.back()->measureFrom = end - kMeasured;
    time.Spawn(shards.back()->GenerateCalls(end));
  }
  time.RunUntil(end - kMeasured);
  const KeyValueCounts before = service.Counts();
  time.RunUntil(end);
  const KeyValueCounts after = service.Counts();
  const double scale =
    double(kClaimShards) / kSimulatedShards / ToSeconds(kMeasured);
  Load load;
  load.writes = double(after.writes - before.writes) * scale;
  load.bytes = double(after.bytesWritten - before.bytesWritten) * scale;
  load.largestValue = after.largestValue;
  std::vector<double> latencies;
  for (const auto& shard : shards) {
    latencies.insert(
      latencies.end(), shard->latencies.begin(), shard->latencies.end());
  }
  load.p50 = Percentile(latencies, 0.5);
  load.p99 = Percentile(latencies, 0.99);
  return load;
}

// Simulates one shard at the target rate with a fault after 20 s. After a crash
// or the start of a pause of 30 s, another owner takes over within 5 s.
template<ClaimScheme Scheme>
FaultResult
MeasureFault(FaultKind aFault)
{
  VirtualTime time;
  const TimePoint fault = time.Now() + 20s;
  KeyValueFaults faults;
  if (aFault == FaultKind::Outage) {
    faults.outages = { { fault, fault + 30s } };
  }
  FakeKeyValue<> service(time, kSeed, faults);
  ShardSimulation<Scheme> shard(
    time, service, 0, kTargetBookingsPerSecond / kClaimShards);
  shard.outageStart = fault;
  time.Spawn(shard.GenerateCalls(fault + 60s));
  time.RunUntil(fault);
  if (aFault != FaultKind::Outage) {
    if (aFault == FaultKind::Crash) {
      shard.Process().Kill();
    } else {
      shard.Process().PauseUntil(fault + 30s);
    }
    time.RunUntil(fault + 5s);
    shard.StartNewOwner();
  }
  time.RunUntil(fault + 130s);
  return shard.faultResult;
}

template<ClaimScheme Scheme>
void
PrintFault(FaultKind aFault, const char* aName)
{
  const FaultResult faultResult = MeasureFault<Scheme>(aFault);
  std::printf("%-14s %-7s ran twice %4llu, refused as not run %4llu\n",
              std::string(Scheme::kName).c_str(),
              aName,
              static_cast<unsigned long long>(faultResult.doubleRuns),
              static_cast<unsigned long long>(faultResult.unavailable));
}

template<ClaimScheme Scheme>
Load
PrintLoad(double aBookings)
{
  const Load load = MeasureLoad<Scheme>(aBookings);
  std::printf("%-14s %5.1f bookings/s: %7.1f writes/s, %8.1f KB/s of values, "
              "p50 %5.1f ms, p99 %5.1f ms, largest value %zu B\n",
              std::string(Scheme::kName).c_str(),
              aBookings,
              load.writes,
              load.bytes / 1000,
              load.p50,
              load.p99,
              load.largestValue);
  return load;
}

template<ClaimScheme Scheme>
Load
PrintAll()
{
  PrintLoad<Scheme>(kTodayBookingsPerSecond);
  const Load target = PrintLoad<Scheme>(kTargetBookingsPerSecond);
  PrintFault<Scheme>(FaultKind::Crash, "crash");
  PrintFault<Scheme>(FaultKind::Pause, "pause");
  PrintFault<Scheme>(FaultKind::Outage, "outage");
  return target;
}

bool
CheckBound(const char* aMetric, double aValue, double aBound)
{
  const bool isWithin = aValue <= aBound;
  std::printf("%s %s: %.1f, bound %.1f\n",
              isWithin ? "ok  " : "FAIL",
              aMetric,
              aValue,
              aBound);
  return isWithin;
}

bool
CheckBounds(const Load& aTarget)
{
  const double calls = aTarget.writes / kClaimShards;
  const double shardBytes = aTarget.bytes / kClaimShards * kBase64Expansion +
                            calls * kFramingBytesPerCall;
  bool passed =
    CheckBound("writes a second", aTarget.writes, kMaxWritesPerSecond);
  passed &= CheckBound("bytes of the largest segment",
                       double(aTarget.largestValue),
                       double(kMaxStoredSegmentBytes));
  passed &= CheckBound("bytes a second of an owner of two shards, with framing",
                       2 * shardBytes,
                       kMaxControlBytesPerSecond);
  for (const FaultKind fault :
       { FaultKind::Crash, FaultKind::Pause, FaultKind::Outage }) {
    const FaultResult faultResult = MeasureFault<LogScheme>(fault);
    passed &=
      CheckBound("bookings that ran twice", double(faultResult.doubleRuns), 0);
    if (fault == FaultKind::Outage) {
      passed &= CheckBound("ms until the last refusal in the outage",
                           ToSeconds(faultResult.slowestUnavailable) * 1000,
                           ToSeconds(kMaxRefusalDelay) * 1000);
    }
  }
  return passed;
}

} // namespace

int
main()
{
  std::printf("seed %llu\n", static_cast<unsigned long long>(kSeed));
  PrintAll<OneKeyScheme>();
  const Load target = PrintAll<LogScheme>();
  PrintAll<LeaseScheme>();
  return CheckBounds(target) ? 0 : 1;
}
