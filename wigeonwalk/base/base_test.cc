#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

// Guards against an enum value that is printed under one name and parsed under
// another, or that has no name at all.
TEMPLATE_TEST_CASE("every name in a table parses back to its value",
                   "[enum]",
                   Verdict,
                   ReasonCode)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(NameOf(row.value) == row.name);
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
  CHECK_FALSE(ParseName<TestType>("no such name").has_value());
}

// Guards against the verdict "not run" for a request whose first attempt may
// have run. Seen when the first runner crashed and the second one then refused
// the connection.
TEST_CASE("a later attempt does not weaken the verdict on an earlier one",
          "[verdict]")
{
  CHECK(CombineVerdicts(Verdict::MayHaveRun, Verdict::NotRun) ==
        Verdict::MayHaveRun);
  CHECK(CombineVerdicts(Verdict::NotRun, Verdict::MayHaveRun) ==
        Verdict::MayHaveRun);
  CHECK(CombineVerdicts(Verdict::Ran, Verdict::NotRun) == Verdict::Ran);
  CHECK(CombineVerdicts(Verdict::NotRun, Verdict::NotRun) == Verdict::NotRun);
}

// Guards against error messages that lose the location of the error.
SCENARIO("a failure reports its reason", "[reason]")
{
  GIVEN("a reason that was never set")
  {
    FailureReason reason;
    THEN("it prints as \"none\"")
    {
      CHECK(reason.ToString() == "none");
    }

    WHEN("a function fails")
    {
      const std::optional<int> result =
        Fail(reason, ReasonCode::UnknownKey, "did you mean zone?", "/zoen");
      THEN("nullopt is returned and the reason has code, place and detail")
      {
        CHECK_FALSE(result.has_value());
        CHECK(reason.ToString() == "unknown-key at /zoen: did you mean zone?");
      }
    }
  }
}

// Guards against hashes that change when they are printed and parsed.
SCENARIO("a 128-bit hash is unchanged after printing and parsing", "[hash]")
{
  const Hash128 hash = HashBytes("prompt", 7);
  CHECK(ParseHash128(hash.ToHex()) == hash);
  CHECK(HashBytes("prompt", 8) != hash);
  CHECK_FALSE(ParseHash128("12").has_value());
  CHECK_FALSE(ParseHash128(std::string(32, 'g')).has_value());
}

TEST_CASE("an attempt id is printed with all its parts and parsed", "[ids]")
{
  const AttemptId attempt{ HostId("isar-1"), 3, 12, 40 };
  CHECK(attempt.ToString() == "isar-1.3.12.40");
  CHECK(ParseAttemptId(attempt.ToString()) == attempt);
  CHECK_FALSE(ParseAttemptId("isar-1.3.12").has_value());
  CHECK_FALSE(ParseAttemptId("isar-1.3.x.40").has_value());
}
