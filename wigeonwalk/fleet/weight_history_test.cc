#include "wigeonwalk/fleet/weight_history.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 24h };

} // namespace

// Guards against a later publication that extends the use of older weights.
SCENARIO("each version of the weights has its own time")
{
  WeightHistory history;
  CHECK(history.Newest().version == 0);
  CHECK_FALSE(history.ReplacedAt(1));

  GIVEN("two publications, 8 s apart")
  {
    history.Record({ 2, kStart, 20 });
    history.Record({ 3, kStart + 8s, 30 });

    THEN("the first weights are replaced since the first one")
    {
      CHECK(history.ReplacedAt(1) == kStart);
      CHECK(history.ReplacedAt(2) == kStart + 8s);
      CHECK_FALSE(history.ReplacedAt(3));
      CHECK(history.Newest() == PublishedWeights{ 3, kStart + 8s, 30 });
    }

    THEN("the newest version at a time is the one published last before it")
    {
      CHECK(history.NewestKnownAt(kStart - 1ms) == 0);
      CHECK(history.NewestKnownAt(kStart) == 2);
      CHECK(history.NewestKnownAt(kStart + 8s) == 3);
    }

    WHEN("the first one is reported again")
    {
      THEN("a later time changes nothing, and an earlier one counts")
      {
        CHECK_FALSE(history.Record({ 2, kStart + 9s, 20 }));
        CHECK(history.ReplacedAt(1) == kStart);
        CHECK(history.Record({ 2, kStart - 1s, 20 }));
        CHECK(history.ReplacedAt(1) == kStart - 1s);
        CHECK(history.ReplacedAt(2) == kStart + 8s);
      }
    }
  }

  GIVEN("a daemon that learns of an older version after a newer one")
  {
    history.Record({ 3, kStart, 30 });
    history.Record({ 2, kStart + 1s, 20 });
    THEN("the older one was published no later than the newer one")
    {
      CHECK(history.ReplacedAt(1) == kStart);
      CHECK(history.ReplacedAt(2) == kStart);
    }
  }

  GIVEN("more versions than are kept")
  {
    for (WeightNumber i = 0; i <= WeightHistory::kMaxVersions; ++i) {
      history.Record({ 2 + i, kStart + i * 1s, 0 });
    }
    THEN("the first replacement still counts for the first weights")
    {
      CHECK(history.Versions().size() == WeightHistory::kMaxVersions);
      CHECK(history.ReplacedAt(1) == kStart);
    }
  }
}

// Guards against a time of learning that is taken for the time of publication.
SCENARIO("weights that were learnt late may be older than known")
{
  const auto since = [](WeightNumber aVersion, TimePoint aTime) {
    return PublishedWeights{ aVersion, aTime, 0, false };
  };
  WeightHistory history;
  CHECK(history.IsExactSince(kStart));
  CHECK(history.NeededSince(kStart).empty());
  history.Record(since(1, kStart));
  history.Record({ 3, kStart + 20s, 30, true });
  CHECK_FALSE(history.IsExactSince(kStart + 8s));

  THEN("that does not matter once it is long ago")
  {
    CHECK(history.IsExactSince(kStart + 20s));
  }

  THEN("the versions since a time need the newest one before it as well")
  {
    CHECK(history.NeededSince(kStart + 20s).size() == 1);
    CHECK(history.NeededSince(kStart + 8s).size() == 2);
    CHECK(history.NeededSince(kStart - 1s).size() == 2);
  }

  WHEN("another daemon has observed the publication")
  {
    CHECK(history.Record(since(3, kStart + 15s)));
    THEN("its time counts")
    {
      CHECK(history.IsExactSince(kStart));
      CHECK(history.ReplacedAt(1) == kStart + 15s);
    }
  }

  WHEN("it reports a time that is later because the message took long")
  {
    CHECK_FALSE(history.Record(since(3, kStart + 21s)));
    THEN("the time stays, and is known to be that of the publication")
    {
      CHECK(history.IsExactSince(kStart));
      CHECK(history.ReplacedAt(1) == kStart + 20s);
    }
  }

  WHEN("the operator writes the same version again, and that is observed")
  {
    CHECK_FALSE(history.Record({ 3, kStart + 25s, 40, false }));
    THEN("it may still be older than the first write that was found")
    {
      CHECK(history.ReplacedAt(1) == kStart + 20s);
      CHECK_FALSE(history.IsExactSince(kStart + 8s));
    }
  }

  WHEN("another daemon has learnt late of the version between")
  {
    CHECK(history.Record(since(3, kStart + 15s)));
    CHECK(history.Record({ 2, kStart + 12s, 20, true }));
    THEN("that one may be older")
    {
      CHECK(history.ReplacedAt(1) == kStart + 12s);
      CHECK_FALSE(history.IsExactSince(kStart));
    }
  }
}
