// Time of one placement decision, by number of runners.

#include "wigeonwalk/fleet/runner_choice.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

constexpr int kZones = 9;
constexpr int kStores = 6;
constexpr int kSharedParts = 100;
const TimePoint kNow{ std::chrono::hours(24) };
const ModelName kModel("m");

// A fleet in which one runner and one store hold each shared part.
struct Setting
{
  explicit Setting(int aRunners)
  {
    for (int i = 0; i < aRunners; ++i) {
      auto runner = std::make_shared<Runner>();
      runner->entry.id = UpstreamId("runner-" + std::to_string(i));
      runner->entry.address = "10.0.0.1:" + std::to_string(8'000 + i);
      runner->entry.zone = ZoneOf(i);
      runner->entry.slots = 64;
      runner->entry.models = { { kModel, 1 } };
      this->runners.push_back(std::move(runner));
    }
    for (int i = 0; i < kStores; ++i) {
      const std::string address = "172.20.0.2:" + std::to_string(i);
      this->holders.push_back({ UpstreamId(address),
                                HolderKind::Store,
                                address,
                                ZoneOf(i),
                                45'000,
                                std::chrono::milliseconds(1),
                                500'000 });
    }
    const std::string salt = CacheSalt(kModel, 1, "");
    for (int i = 0; i < kSharedParts; ++i) {
      const PartKey key = KeyOfPart(salt, "s" + std::to_string(i));
      this->index.Set(
        this->runners[static_cast<std::size_t>(i % aRunners)]->entry.id,
        key,
        12'800);
      this->index.Set(
        this->holders[static_cast<std::size_t>(i % kStores)].id, key, 12'800);
    }
  }

  static AvailabilityZone ZoneOf(int aIndex)
  {
    return AvailabilityZone("zone-" + std::to_string(aIndex % kZones));
  }

  std::vector<std::shared_ptr<Runner>> runners;
  std::vector<CacheHolder> holders;
  PartIndex index;
};

void
ChooseAmong(benchmark::State& aState)
{
  const Setting setting(static_cast<int>(aState.range(0)));
  int request = 0;
  for (auto _ : aState) {
    const std::string part = "s" + std::to_string(request++ % kSharedParts);
    const Prompt prompt{
      kModel, 17'000, 100, { { part, 12'800 }, { "own", 4'200 } }
    };
    const EngineQuery query{ .prompt = prompt,
                             .cacheDomain = {},
                             .zone = AvailabilityZone("zone-1"),
                             .bodyBytes = 34'000,
                             .runnerTokens = 65'000,
                             .bytesPerToken = 18'432,
                             .newest = 1,
                             .costs = {} };
    benchmark::DoNotOptimize(ChooseEngine(
      query, setting.runners, setting.index, setting.holders, kNow));
  }
}
BENCHMARK(ChooseAmong)->Arg(18)->Arg(60)->Arg(890);

} // namespace

BENCHMARK_MAIN();
