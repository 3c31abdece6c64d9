#include "propagation/scenarios.h"

#include <cmath>
#include <ctime>
#include <malloc.h>

namespace wigeonwalk::experiments {
namespace {

using namespace std::chrono_literals;

// Bounds of section 1.6 of the design page: seconds until a change is in force,
// and control traffic of a member in bytes per second.
constexpr double kMaxInForceSeconds = 6;
constexpr double kMaxBytesPerSecond = 22'000;

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double index = aShare * static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(std::ceil(index))];
}

void
AddQuantiles(std::vector<Measurement>& aMeasurements,
             const std::string& aName,
             const std::vector<double>& aSeconds,
             std::optional<double> aBound)
{
  aMeasurements.push_back({ aName + "_p50_s", Quantile(aSeconds, 0.5), {} });
  aMeasurements.push_back({ aName + "_p99_s", Quantile(aSeconds, 0.99), {} });
  aMeasurements.push_back({ aName + "_max_s", Quantile(aSeconds, 1), aBound });
}

// Measures traffic and CPU time from its construction until Add is called.
template<typename F>
class UsageMeter
{
public:
  explicit UsageMeter(const F& aFleet)
    : fleet(aFleet)
    , startedAt(aFleet.time.Now())
    , cpuSecondsAtStart(ProcessCpuSeconds())
    , calls(aFleet.service.CountAll())
  {
    for (const auto& node : aFleet.nodes) {
      this->bytes.push_back(Bytes(*node));
    }
    this->messages = this->Messages();
  }

  void Add(std::vector<Measurement>& aMeasurements) const
  {
    const double seconds = ToSeconds(this->fleet.time.Now() - this->startedAt);
    const auto members = static_cast<double>(this->fleet.nodes.size());
    const double cpuSeconds = ProcessCpuSeconds() - this->cpuSecondsAtStart;
    double sum = 0;
    double highest = 0;
    for (std::size_t i = 0; i < this->bytes.size(); ++i) {
      const auto used =
        static_cast<double>(Bytes(*this->fleet.nodes[i]) - this->bytes[i]);
      sum += used / seconds;
      highest = std::max(highest, used / seconds);
    }
    const auto sent = static_cast<double>(this->Messages() - this->messages);
    const auto keyValueCalls =
      static_cast<double>(this->fleet.service.CountAll() - this->calls);
    aMeasurements.push_back(
      { "bytes_per_s", sum / members, kMaxBytesPerSecond });
    aMeasurements.push_back(
      { "bytes_per_s_busiest", highest, kMaxBytesPerSecond });
    aMeasurements.push_back({ "messages_per_s", sent / members / seconds, {} });
    aMeasurements.push_back(
      { "key_value_calls_per_s", keyValueCalls / seconds, {} });
    aMeasurements.push_back(
      { "core_share_percent", 100 * cpuSeconds / members / seconds, {} });
  }

private:
  template<typename N>
  static std::uint64_t Bytes(const N& aNode)
  {
    return aNode.endpoint.sent.bytes + aNode.endpoint.received.bytes;
  }

  std::uint64_t Messages() const
  {
    return this->fleet.Sum([](const auto& aNode) {
      return aNode.endpoint.sent.datagrams + aNode.endpoint.sent.calls;
    });
  }

  const F& fleet;
  TimePoint startedAt;
  double cpuSecondsAtStart;
  std::uint64_t calls;
  std::uint64_t messages = 0;
  std::vector<std::uint64_t> bytes;
};

template<typename F>
std::uint64_t
Suspicions(const F& aFleet)
{
  return aFleet.Sum(
    [](const auto& aNode) { return aNode.detector.Counters().suspicions; });
}

template<typename F>
std::uint64_t
LostNotices(const F& aFleet)
{
  return aFleet.Sum([](const auto& aNode) { return aNode.piggyback.lost; });
}

// Runs until a condition holds, for up to 10 minutes. Returns the seconds that
// this took, or 3600 if the condition never held.
template<typename F, typename C>
double
RunUntil(F& aFleet, C aDone)
{
  const TimePoint startedAt = aFleet.time.Now();
  while (aFleet.time.Now() < startedAt + 10min) {
    if (aDone()) {
      return ToSeconds(aFleet.time.Now() - startedAt);
    }
    aFleet.Run(100ms);
  }
  return 3600;
}

// Makes twenty changes, one every 15 s, which is 3.6 times the rate of the
// target.
template<typename F>
void
MeasureChanges(F& aFleet, std::vector<Measurement>& aMeasurements)
{
  std::vector<double> seconds;
  const UsageMeter usage(aFleet);
  for (std::size_t i = 0; i < 20; ++i) {
    const TimePoint written = aFleet.Write(i);
    aFleet.Run(15s);
    const auto each = aFleet.InForceSeconds(i, written);
    seconds.insert(seconds.end(), each.begin(), each.end());
  }
  AddQuantiles(aMeasurements, "in_force", seconds, kMaxInForceSeconds);
  usage.Add(aMeasurements);
  aMeasurements.push_back(
    { "lost_members", static_cast<double>(LostNotices(aFleet)), 0.0 });
}

template<typename F>
void
MeasureDeadWatchers(F& aFleet, std::vector<Measurement>& aMeasurements)
{
  std::vector<bool> zoneDone(kZones, false);
  for (std::size_t i = 0; i < aFleet.nodes.size(); ++i) {
    const std::size_t zone = aFleet.ZoneOf(i);
    const bool watcher = !zoneDone[zone] && aFleet.IsWatcher(i);
    if (watcher || i % 10 == 7) {
      aFleet.nodes[i]->endpoint.alive = false;
    }
    zoneDone[zone] = zoneDone[zone] || watcher;
  }
  std::vector<double> seconds;
  for (std::size_t i = 0; i < 3; ++i) {
    const TimePoint written = aFleet.Write(i);
    aFleet.Run(10s);
    const auto each = aFleet.InForceSeconds(i, written);
    seconds.insert(seconds.end(), each.begin(), each.end());
  }
  AddQuantiles(aMeasurements, "in_force", seconds, kMaxInForceSeconds);
}

template<typename F>
void
MeasureDetection(F& aFleet, std::vector<Measurement>& aMeasurements)
{
  std::vector<double> seconds;
  const std::size_t failing = std::min<std::size_t>(8, aFleet.nodes.size() / 3);
  for (std::size_t i = 0; i < failing; ++i) {
    aFleet.nodes[i]->endpoint.alive = false;
    const std::size_t remaining = aFleet.nodes.size() - i - 1;
    seconds.push_back(
      RunUntil(aFleet, [&] { return aFleet.AllLive(remaining); }));
  }
  AddQuantiles(aMeasurements, "detected_by_all", seconds, {});
}

template<typename F>
void
MeasureLossy(F& aFleet, std::vector<Measurement>& aMeasurements)
{
  const std::uint64_t before = Suspicions(aFleet);
  const UsageMeter usage(aFleet);
  std::vector<double> seconds;
  for (std::size_t i = 0; i < 30; ++i) {
    const TimePoint written = aFleet.Write(i);
    aFleet.Run(20s);
    const auto each = aFleet.InForceSeconds(i, written);
    seconds.insert(seconds.end(), each.begin(), each.end());
  }
  AddQuantiles(aMeasurements, "in_force", seconds, kMaxInForceSeconds);
  usage.Add(aMeasurements);
  aMeasurements.push_back(
    { "false_suspicions_per_hour",
      6.0 * static_cast<double>(Suspicions(aFleet) - before),
      {} });
  aMeasurements.push_back(
    { "lost_members", static_cast<double>(LostNotices(aFleet)), 0.0 });
}

// Partitions some zones from the others, changes a document meanwhile, and
// heals the partition.
template<typename F, typename I>
void
MeasurePartition(F& aFleet,
                 I aInside,
                 Duration aTime,
                 std::vector<Measurement>& aMeasurements)
{
  aFleet.Isolate(aInside, aTime);
  // By then, watches that began before the partition have ended.
  aFleet.Run(30s);
  const TimePoint written = aFleet.Write(0);
  aFleet.Run(10s);
  const std::vector<double> seconds = aFleet.InForceSeconds(
    0, written, [&](std::size_t aZone) { return !aInside(aZone); });
  AddQuantiles(aMeasurements, "in_force_outside", seconds, kMaxInForceSeconds);
  aFleet.Run(aTime - 40s);
  aFleet.SetCut(aInside, false);
  const UsageMeter usage(aFleet);
  const double inForce = RunUntil(aFleet, [&] { return aFleet.AllInForce(); });
  const std::size_t members = aFleet.nodes.size();
  const double live =
    inForce + RunUntil(aFleet, [&] { return aFleet.AllLive(members); });
  aMeasurements.push_back({ "healed_in_force_s", inForce, {} });
  aMeasurements.push_back({ "healed_all_live_s", live, {} });
  usage.Add(aMeasurements);
  const std::uint64_t lost = LostNotices(aFleet);
  aFleet.Run(2min);
  aMeasurements.push_back({ "lost_after_healing",
                            static_cast<double>(LostNotices(aFleet) - lost),
                            0.0 });
}

template<typename F>
void
MeasurePaused(F& aFleet, std::vector<Measurement>& aMeasurements)
{
  auto& paused = *aFleet.nodes[1];
  const std::uint64_t suspicions = paused.detector.Counters().suspicions;
  paused.endpoint.pausedUntil = aFleet.time.Now() + 10min;
  aFleet.Run(5min);
  aFleet.Write(0);
  aFleet.Run(5min - 1ms);
  double served = 0;
  const double seconds = RunUntil(aFleet, [&] {
    const bool behind = paused.Revision("service-0") != aFleet.revisions[0];
    const bool awake = paused.endpoint.pausedUntil < aFleet.time.Now();
    const bool serves = MayServe(paused.propagation.CurrentFreshness());
    served += behind && awake && serves ? 1 : 0;
    return !behind && serves;
  });
  aMeasurements.push_back({ "serves_again_s", seconds, kMaxInForceSeconds });
  aMeasurements.push_back({ "served_while_behind", served, 0.0 });
  aMeasurements.push_back(
    { "its_suspicions",
      static_cast<double>(paused.detector.Counters().suspicions - suspicions),
      0.0 });
  const std::size_t members = aFleet.nodes.size();
  aMeasurements.push_back(
    { "live_everywhere_s",
      RunUntil(aFleet, [&] { return aFleet.AllLive(members); }),
      {} });
}

template<PushTargets P>
std::vector<Measurement>
MeasureWith(Scenario aScenario, FleetSettings aSettings)
{
  if (aScenario == Scenario::Lossy) {
    aSettings.loss = 0.05;
  }
  const double before = AllocatedBytes();
  Fleet<P> fleet(aSettings);
  fleet.Run(60s);
  std::vector<Measurement> measurements;
  measurements.push_back(
    { "heap_bytes_per_member",
      (AllocatedBytes() - before) / static_cast<double>(aSettings.members),
      {} });
  switch (aScenario) {
    case Scenario::Changes:
      MeasureChanges(fleet, measurements);
      break;
    case Scenario::DeadWatchers:
      MeasureDeadWatchers(fleet, measurements);
      break;
    case Scenario::Detection:
      MeasureDetection(fleet, measurements);
      break;
    case Scenario::Lossy:
      MeasureLossy(fleet, measurements);
      break;
    case Scenario::ZoneCut:
      MeasurePartition(
        fleet,
        [](std::size_t aZone) { return aZone == 0; },
        10min,
        measurements);
      break;
    case Scenario::RegionCut:
      MeasurePartition(
        fleet,
        [](std::size_t aZone) { return aZone < kZonesPerRegion; },
        1h,
        measurements);
      break;
    case Scenario::Paused:
      MeasurePaused(fleet, measurements);
      break;
  }
  measurements.push_back(
    { "older_revisions", fleet.AnyRevisionRegressed() ? 1.0 : 0.0, 0.0 });
  return measurements;
}

} // namespace

double
ProcessCpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double
AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::vector<Measurement>
Measure(Scenario aScenario,
        DisseminationStrategy aStrategy,
        FleetSettings aSettings)
{
  switch (aStrategy) {
    case DisseminationStrategy::ZoneFanOut:
      return MeasureWith<ZoneFanOut>(aScenario, aSettings);
    case DisseminationStrategy::RandomFanOut:
      return MeasureWith<RandomFanOut>(aScenario, aSettings);
    case DisseminationStrategy::RelayTree:
      return MeasureWith<RelayTree>(aScenario, aSettings);
    case DisseminationStrategy::DigestOnly:
      return MeasureWith<NoPush>(aScenario, aSettings);
    case DisseminationStrategy::ZoneFanOutWithoutDigest:
      aSettings.propagation.antiEntropy = false;
      return MeasureWith<ZoneFanOut>(aScenario, aSettings);
    case DisseminationStrategy::RelayTreeWithoutDigest:
      aSettings.propagation.antiEntropy = false;
      return MeasureWith<RelayTree>(aScenario, aSettings);
  }
  return {};
}

} // namespace wigeonwalk::experiments
