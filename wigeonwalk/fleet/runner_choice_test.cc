#include "wigeonwalk/fleet/runner_choice.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 24h };
const ModelName kModel("m");

std::shared_ptr<Runner>
MakeRunner(const std::string& aId,
           const std::string& aZone,
           WeightNumber aVersion = 1)
{
  auto runner = std::make_shared<Runner>();
  runner->entry.id = UpstreamId(aId);
  runner->entry.address = "10.0.0.1:" + std::to_string(8000 + aId.back());
  runner->entry.zone = AvailabilityZone(aZone);
  runner->entry.slots = 64;
  runner->entry.models = { { kModel, aVersion } };
  return runner;
}

CacheHolder
StoreHolder(const std::string& aId, const std::string& aZone)
{
  return { UpstreamId(aId),
           HolderKind::Store,
           aId,
           AvailabilityZone(aZone),
           45'000,
           1ms,
           100'000 };
}

// A long prompt with a shared part, and the inputs for its placement.
struct Setting
{
  Prompt prompt{ kModel, 17'000, 100, { { "s", 12'800 }, { "own", 4'200 } } };
  PartIndex index;
  std::vector<CacheHolder> holders;
  std::vector<std::shared_ptr<Runner>> runners;
  std::string cacheDomain;
  WeightNumber newest = 1;
  WeightNumber oldestUsable = 0;
  std::size_t bodyBytes = 34'000;
  RoomRule room = RoomRule::Ignored;
  std::string zone = "north";
  bool knowsAllZones = true;

  std::optional<EngineChoice> Choose() const
  {
    const EngineQuery query{ .prompt = this->prompt,
                             .cacheDomain = this->cacheDomain,
                             .zone = AvailabilityZone(this->zone),
                             .bodyBytes = this->bodyBytes,
                             .runnerTokens = 65'000,
                             .bytesPerToken = 18'432,
                             .newest = this->newest,
                             .oldestUsable = this->oldestUsable,
                             .knowsAllZones = this->knowsAllZones,
                             .room = this->room,
                             .costs = {} };
    return ChooseEngine(query, this->runners, this->index, this->holders, kNow);
  }

  PartKey SharedKey(WeightNumber aVersion,
                    const std::string& aCacheDomain = {}) const
  {
    return KeyOfPart(CacheSalt(kModel, aVersion, aCacheDomain), "s");
  }
};

} // namespace

// Guards against KV cache of other weights: all unknown versions have the same
// salt.
SCENARIO("a runner whose weights are unknown takes no parts from others")
{
  Setting setting;
  setting.runners = { MakeRunner("r-1", "north", 0) };
  setting.holders = { StoreHolder("s-north", "north") };
  setting.index.Set(UpstreamId("s-north"), setting.SharedKey(0), 12'800);

  THEN("nor does it give any, once weights were published")
  {
    const auto choice = setting.Choose();
    REQUIRE(choice.has_value());
    CHECK(choice->fetchedTokens == 0);
    CHECK_FALSE(choice->fetchFrom[0].has_value());
    CHECK_FALSE(choice->saveTo[0].has_value());
  }

  THEN("it does if there is only one version")
  {
    setting.newest = 0;
    const auto choice = setting.Choose();
    REQUIRE(choice.has_value());
    CHECK(choice->fetchedTokens == 12'800);
  }
}

// Guards against recomputing parts that a runner or store has cached.
SCENARIO("a prompt is placed where its parts are cached")
{
  Setting setting;
  setting.runners = { MakeRunner("r-1", "north"),
                      MakeRunner("r-2", "north"),
                      MakeRunner("r-3", "south") };

  GIVEN("a runner of the zone that holds the shared part")
  {
    setting.index.Set(UpstreamId("r-2"), setting.SharedKey(1), 12'800);

    THEN("it gets the request and computes only the rest")
    {
      const auto choice = setting.Choose();
      REQUIRE(choice.has_value());
      CHECK(choice->runner->entry.id == UpstreamId("r-2"));
      CHECK(choice->cachedTokens == 12'800);
      CHECK(choice->prefillTokens == 4'200);
    }

    THEN("another runner gets it if the holder has a long queue")
    {
      setting.runners[1]->NoteOthersPrefill(5s, kNow);
      CHECK(setting.Choose()->runner->entry.id != UpstreamId("r-2"));
    }

    THEN("another runner gets it if the holder keeps failing")
    {
      for (int i = 0; i < 200; ++i) {
        setting.runners[1]->health.NoteFailedAnswer(kNow);
      }
      setting.prompt.parts[0].tokens = 300;
      setting.prompt.inputTokens = 4'500;
      CHECK(setting.Choose()->runner->entry.id != UpstreamId("r-2"));
    }
  }

  GIVEN("a part of which a runner holds only some tokens")
  {
    setting.index.Set(UpstreamId("r-2"), setting.SharedKey(1), 12'784);

    THEN("the whole part counts as computed")
    {
      CHECK(setting.Choose()->prefillTokens == 17'000);
    }
  }

  GIVEN("stores that hold the shared part")
  {
    setting.holders = { StoreHolder("s-south", "south"),
                        StoreHolder("s-north", "north") };
    setting.index.Set(UpstreamId("s-south"), setting.SharedKey(1), 12'800);

    THEN("it is fetched from a store and not saved again")
    {
      const auto choice = setting.Choose();
      CHECK(choice->fetchFrom ==
            std::vector<std::optional<std::string>>{ "s-south", {} });
      CHECK(choice->saveTo ==
            std::vector<std::optional<std::string>>{ {}, {} });
      CHECK(choice->fetchedTokens == 12'800);
    }

    THEN("the store of the zone is preferred")
    {
      setting.index.Set(UpstreamId("s-north"), setting.SharedKey(1), 12'800);
      CHECK(setting.Choose()->fetchFrom[0] == "s-north");
    }

    THEN("a store that does not answer is not fetched from")
    {
      setting.holders.erase(setting.holders.begin());
      CHECK_FALSE(setting.Choose()->fetchFrom[0].has_value());
    }
  }

  GIVEN("no holder of the part, one store with free space and one without")
  {
    setting.holders = { StoreHolder("s-1", "north"),
                        StoreHolder("s-2", "north") };
    setting.index.Set(UpstreamId("s-1"), KeyOfPart("x", "y"), 99'000);

    THEN("the shared part is saved to the free store, the last part to none")
    {
      CHECK(setting.Choose()->saveTo ==
            std::vector<std::optional<std::string>>{ "s-2", {} });
    }
  }
}

// Guards against use of the cache of other weights or of an isolated
// organisation.
SCENARIO("cache is never shared across weights or cache domains")
{
  Setting setting;
  setting.runners = { MakeRunner("r-1", "north", 2) };

  THEN("cache of older weights does not count")
  {
    setting.index.Set(UpstreamId("r-1"), setting.SharedKey(1), 12'800);
    CHECK(setting.Choose()->cachedTokens == 0);
    CHECK(setting.Choose()->version == 2);
  }

  THEN("an isolated organisation uses only its own cache, and others never do")
  {
    setting.index.Set(UpstreamId("r-1"), setting.SharedKey(2), 12'800);
    setting.cacheDomain = "lace";
    CHECK(setting.Choose()->cachedTokens == 0);
    setting.index.Set(UpstreamId("r-1"), setting.SharedKey(2, "lace"), 12'800);
    CHECK(setting.Choose()->cachedTokens == 12'800);
    setting.cacheDomain = "tofu";
    CHECK(setting.Choose()->cachedTokens == 0);
  }

  THEN("salts differ if model, weights or cache domain differ")
  {
    const std::set<std::string> salts{
      CacheSalt(ModelName("m"), 1, ""),  CacheSalt(ModelName("m"), 2, ""),
      CacheSalt(ModelName("n"), 1, ""),  CacheSalt(ModelName("m"), 1, "a"),
      CacheSalt(ModelName("m"), 11, ""), CacheSalt(ModelName("m"), 1, "b"),
    };
    CHECK(salts.size() == 6);
    CHECK(CacheSalt(ModelName("a.b"), 1, "c") !=
          CacheSalt(ModelName("a"), 1, "b.c"));
  }
}

// Guards against freeing cache of weights that are still in use, because a salt
// is attributed to the wrong version.
TEST_CASE("the model, version and domain of a salt can be parsed")
{
  const std::string domain = GENERATE("", "=lace", "/0af3", "wall.x");
  const SaltOwner owner{ ModelName("a.b/c"), 12, domain };
  CHECK(ParseCacheSalt(CacheSalt(owner.model, 12, domain)) == owner);
  const std::string foreign =
    GENERATE("", "1", "1.", "1.3", "1.3.ab", "1.3.abcd", "x.1.a.", "s1");
  CHECK_FALSE(ParseCacheSalt(foreign).has_value());
}

// Guards against requests on old weights after the time limit for new ones.
SCENARIO("new weights replace old ones")
{
  Setting setting;
  setting.runners = { MakeRunner("r-1", "north", 1),
                      MakeRunner("r-2", "north", 2) };
  setting.newest = 2;

  THEN("a runner with new weights is preferred")
  {
    CHECK(setting.Choose()->version == 2);
  }

  THEN("one with old weights is used if those with new ones are busy")
  {
    setting.runners[1]->NoteOthersPrefill(3s, kNow);
    CHECK(setting.Choose()->version == 1);
  }

  THEN("old weights are never used once only new ones are allowed")
  {
    setting.runners[1]->NoteOthersPrefill(3s, kNow);
    setting.oldestUsable = 2;
    CHECK(setting.Choose()->version == 2);
    setting.runners.pop_back();
    CHECK_FALSE(setting.Choose().has_value());
  }
}

// Guards against daemons that together spread a short prompt over all runners,
// and against long bodies that cross zones unnecessarily.
SCENARIO("daemons agree on the preferred runner for a prompt")
{
  Setting setting;
  for (int i = 0; i < 8; ++i) {
    setting.runners.push_back(
      MakeRunner("r-" + std::to_string(i), i % 2 == 0 ? "north" : "south"));
  }

  WHEN("the body is short")
  {
    setting.bodyBytes = 700;
    setting.prompt = { kModel, 330, 50, { { "g", 250 }, { "own", 80 } } };

    THEN("the choice does not depend on the order of the runners")
    {
      const UpstreamId chosen = setting.Choose()->runner->entry.id;
      std::reverse(setting.runners.begin(), setting.runners.end());
      CHECK(setting.Choose()->runner->entry.id == chosen);
    }

    THEN("every runner of every zone is preferred for some part")
    {
      std::map<std::string, int> counts;
      for (int i = 0; i < 400; ++i) {
        setting.prompt.parts[0].id = "g" + std::to_string(i);
        ++counts[setting.Choose()->runner->entry.id.Text()];
      }
      CHECK(counts.size() == 8);
    }
  }

  WHEN("the body is long")
  {
    THEN("the request stays in the zone")
    {
      for (int i = 0; i < 50; ++i) {
        setting.prompt.parts[0].id = "s" + std::to_string(i);
        CHECK(setting.Choose()->runner->entry.zone ==
              AvailabilityZone("north"));
      }
    }

    THEN("the request leaves the zone if the zone's runners are full")
    {
      for (const auto& runner : setting.runners) {
        if (runner->entry.zone == AvailabilityZone("north")) {
          runner->tokensInFlight = 60'000;
        }
      }
      CHECK(setting.Choose()->runner->entry.zone == AvailabilityZone("south"));
    }
  }
}

// Guards against plain calls that queue at one runner, or cross zones
// unnecessarily.
SCENARIO("a plain call goes to the runner with the lowest expected latency")
{
  const std::vector<std::shared_ptr<Runner>> runners{
    MakeRunner("r-1", "north"), MakeRunner("r-2", "south")
  };
  for (const auto& runner : runners) {
    runner->entry.slots = 2;
    runner->health.NoteSuccess(15ms, kNow);
  }
  const PlainQuery query{ AvailabilityZone("north"), 600, {} };

  THEN("to one of the zone, while it has free slots")
  {
    CHECK(ChoosePlain(query, runners, kNow) == runners[0]);
  }

  THEN("to one of another zone, if it would have to wait")
  {
    runners[0]->inFlight = 6;
    CHECK(ChoosePlain(query, runners, kNow) == runners[1]);
  }

  THEN("to one of another zone, if the zone's runner keeps failing")
  {
    for (int i = 0; i < 5; ++i) {
      runners[0]->health.NoteFailedAnswer(kNow);
    }
    CHECK(ChoosePlain(query, runners, kNow) == runners[1]);
  }

  THEN("to none, if there are no runners")
  {
    CHECK(ChoosePlain(query, {}, kNow) == nullptr);
  }
}

// Guards against long prompts that delay short ones of the same rank.
TEST_CASE("priorities order by rank, then by prefill length")
{
  CHECK(EnginePriority(0, 100) < EnginePriority(0, 10'000));
  CHECK(EnginePriority(0, 10'000) < EnginePriority(1, 100));
}

// Guards against runs that an engine preempts because its memory is overbooked,
// and against large prompts that leave no memory for small ones.
SCENARIO("a runner is chosen only if it has room, where that is required")
{
  Setting setting;
  setting.room = RoomRule::Required;
  setting.runners = { MakeRunner("r-1", "north"), MakeRunner("r-2", "north") };
  Runner& first = *setting.runners[0];
  Runner& second = *setting.runners[1];
  const auto fill =
    [](Runner& aRunner, std::uint64_t aOwn, std::uint64_t aOthers) {
      aRunner.inFlight = 2;
      aRunner.tokensInFlight = aOwn;
      aRunner.othersTokensInFlight = aOthers;
    };

  GIVEN("one runner with memory for the prompt")
  {
    fill(first, 30'000, 15'000);
    fill(second, 10'000, 15'000);
    THEN("it is chosen")
    {
      CHECK(setting.Choose()->runner->entry.id == UpstreamId("r-2"));
    }
  }

  GIVEN("runners that are full with the requests of all daemons")
  {
    fill(first, 30'000, 15'000);
    fill(second, 0, 45'000);
    THEN("none is chosen")
    {
      CHECK_FALSE(setting.Choose());
    }
    THEN("one is chosen if room is not required")
    {
      setting.room = RoomRule::Ignored;
      CHECK(setting.Choose());
    }
    THEN("a small prompt still has room")
    {
      setting.prompt = { kModel, 300, 100, { { "own", 300 } } };
      fill(first, 30'000, 28'000);
      fill(second, 30'000, 28'000);
      CHECK(setting.Choose());
    }
  }

  GIVEN("runners without a free slot")
  {
    fill(first, 100, 0);
    fill(second, 100, 0);
    first.othersInFlight = 62;
    second.othersInFlight = 62;
    THEN("none is chosen")
    {
      CHECK_FALSE(setting.Choose());
    }
  }

  GIVEN("a prompt that is larger than a runner's memory")
  {
    setting.prompt.inputTokens = 80'000;
    THEN("an empty runner has room for it")
    {
      CHECK(setting.Choose());
    }
  }
}

// Guards against a long part that is computed once in every zone of a large
// fleet, because no daemon knows what the other zones have cached.
SCENARIO("daemons of all zones choose the same runner for an unknown long part")
{
  Setting setting;
  setting.bodyBytes = 17'000;
  setting.knowsAllZones = false;
  const std::vector<std::string> zones{ "north", "south", "east" };
  for (int i = 0; i < 30; ++i) {
    setting.runners.push_back(
      MakeRunner("r-" + std::to_string(i), zones[i % zones.size()]));
  }
  const auto chosen = [&setting, &zones] {
    std::set<std::string> ids;
    for (const std::string& zone : zones) {
      setting.zone = zone;
      ids.insert(setting.Choose()->runner->entry.id.Text());
    }
    return ids;
  };

  THEN("it is the same in each zone")
  {
    CHECK(chosen().size() == 1);
  }

  THEN("if it is full, all agree on the next one")
  {
    setting.room = RoomRule::Required;
    const std::string first = *chosen().begin();
    for (const auto& runner : setting.runners) {
      if (runner->entry.id.Text() == first) {
        runner->inFlight = 3;
        runner->othersTokensInFlight = 60'000;
      }
    }
    const auto next = chosen();
    CHECK(next.size() == 1);
    CHECK_FALSE(next.contains(first));
  }

  THEN("a runner of the zone that has the part is preferred")
  {
    for (int i = 0; i < 3; ++i) {
      setting.index.Set(
        UpstreamId("r-" + std::to_string(i)), setting.SharedKey(1), 12'800);
    }
    CHECK(chosen().size() == 3);
  }

  THEN("a short part stays in the zone")
  {
    setting.prompt = { kModel, 400, 20, { { "s", 300 }, { "own", 100 } } };
    CHECK(chosen().size() == 3);
  }
}
