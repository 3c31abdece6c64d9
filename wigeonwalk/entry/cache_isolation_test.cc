#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kShared = 12'800;
constexpr std::uint32_t kOwn = 400;

const std::string kLace = "key";
const std::string kTofu = "key of tofu";

// A daemon with a service of engines and two organisations that share cache.
struct IsolatingEntry : TestEntry
{
  IsolatingEntry()
    : configuration(this->state.Routes()->Configuration())
  {
    EngineTraits engine;
    engine.slots = 4;
    engine.cacheTokens = 65'000;
    engine.bytesPerToken = 18'432;
    engine.linkMegabits = 45'000;
    engine.models = { ModelName("m") };
    this->configuration.services[0].engine = engine;
    ServiceConfiguration store;
    store.name = ServiceName("memory");
    store.cacheStore = CacheStoreTraits{ .address = "store:1",
                                         .zone = AvailabilityZone("north"),
                                         .cacheTokens = 500'000,
                                         .linkMegabits = 45'000,
                                         .eventCalls = 12 };
    this->configuration.services.push_back(store);
    this->configuration.organisations = {
      { OrganisationId("lace"), { kLace }, std::nullopt, false },
      { OrganisationId("tofu"), { kTofu }, std::nullopt, false }
    };
    this->prompt = Prompt{
      ModelName("m"), kShared + kOwn, 20, { { "s", kShared }, { "o", kOwn } }
    };
    this->Configure(false);
  }

  // Applies a new version of the configuration.
  void Configure(bool aIsLaceIsolated)
  {
    ++this->configuration.version;
    this->configuration.organisations[0].isolated = aIsLaceIsolated;
    this->state.Apply(this->configuration, this->time.Now());
  }

  // Sends a request. Returns the attempt that it ended with.
  AttemptSpec Serve(const std::string& aKey)
  {
    REQUIRE(this->Send("stream", aKey).status == 200);
    return this->runners.attempts.back();
  }

  // Reports that all runners and the store hold the shared part under a salt.
  void Hold(const std::string& aSalt)
  {
    for (const char* holder : { "r-1", "r-2", "r-3", "store:1" }) {
      this->state.parts.Set(UpstreamId(holder), KeyOfPart(aSalt, "s"), kShared);
    }
    CacheHolder store{ .id = UpstreamId("store:1"), .address = "store:1" };
    store.zone = AvailabilityZone("north");
    store.linkMegabits = 45'000;
    this->state.holders[store.id] = { store, 1, 1, this->time.Now() };
  }

  RoutingConfiguration configuration;
};

bool
FetchesNothing(const AttemptSpec& aAttempt)
{
  return std::none_of(aAttempt.fetchFrom.begin(),
                      aAttempt.fetchFrom.end(),
                      [](const auto& aSource) { return aSource.has_value(); });
}

} // namespace

// Guards against KV cache that an organisation made before it became isolated,
// and that others go on using, or it theirs.
SCENARIO("cache from before an isolation is used by nobody after it")
{
  IsolatingEntry entry;
  const std::string before = entry.Serve(kLace).cacheSalt;
  REQUIRE(entry.Serve(kTofu).cacheSalt == before);
  entry.Hold(before);

  WHEN("the organisation becomes isolated")
  {
    entry.Configure(true);
    const AttemptSpec tofu = entry.Serve(kTofu);
    const AttemptSpec lace = entry.Serve(kLace);
    THEN("neither side uses what runners and stores hold, or the other's")
    {
      CHECK(tofu.cacheSalt != before);
      CHECK(lace.cacheSalt != before);
      CHECK(tofu.cacheSalt != lace.cacheSalt);
      CHECK(FetchesNothing(tofu));
      CHECK(FetchesNothing(lace));
    }

    THEN("a daemon that starts then uses the same salts")
    {
      IsolatingEntry other;
      other.Configure(true);
      CHECK(other.Serve(kTofu).cacheSalt == tofu.cacheSalt);
      CHECK(other.Serve(kLace).cacheSalt == lace.cacheSalt);
    }

    THEN("later changes beside it keep the salts")
    {
      entry.configuration.organisations[1].apiKeys.push_back("another key");
      entry.Configure(true);
      CHECK(entry.Serve(kTofu).cacheSalt == tofu.cacheSalt);
    }

    AND_WHEN("it is opened and isolated again")
    {
      entry.Configure(false);
      entry.Hold(entry.Serve(kLace).cacheSalt);
      entry.Configure(true);
      THEN("what it made in between is not used either")
      {
        CHECK(entry.Serve(kTofu).cacheSalt == tofu.cacheSalt);
        CHECK(FetchesNothing(entry.Serve(kTofu)));
      }
    }
  }

  WHEN("it becomes isolated while a request connects to its runner")
  {
    const std::string key = GENERATE_COPY(kLace, kTofu);
    entry.runners.connectTime = 100ms;
    const auto change = [&entry]() -> Task<void> {
      co_await entry.time.WaitUntil(entry.time.Now() + 50ms);
      entry.Configure(true);
    };
    entry.time.Spawn(change());
    const AttemptSpec attempt = entry.Serve(key);
    THEN("the request is placed again, under the new salt")
    {
      CHECK(attempt.cacheSalt != before);
      CHECK(attempt.cacheSalt == entry.Serve(key).cacheSalt);
      CHECK(entry.runners.attempts.size() == 4);
    }
  }

  WHEN("it becomes isolated while a request is at a runner that turns it away")
  {
    entry.runners.scripts = { Script::RefuseWithoutRunning, Script::Answer };
    const auto change = [&entry]() -> Task<void> {
      co_await entry.time.WaitUntil(entry.time.Now() + 5ms);
      entry.Configure(true);
    };
    entry.time.Spawn(change());
    const AttemptSpec attempt = entry.Serve(kTofu);
    THEN("the next runner gets the new salt")
    {
      CHECK(attempt.cacheSalt != before);
      CHECK(attempt.cacheSalt == entry.Serve(kTofu).cacheSalt);
    }
  }
}
