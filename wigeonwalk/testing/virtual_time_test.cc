#include "wigeonwalk/testing/virtual_time.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

Task<void>
Append(VirtualTime& aTime, TimePoint aWhen, char aMark, std::string& aLog)
{
  co_await aTime.WaitUntil(aWhen);
  aLog += aMark;
}

Task<void>
Throw(VirtualTime& aTime)
{
  co_await aTime.WaitUntil(aTime.Now() + 1s);
  throw std::runtime_error("expected");
}

} // namespace

// Guards against tests whose outcome depends on the speed of the machine.
SCENARIO("virtual time resumes coroutines in the order of their deadlines",
         "[time]")
{
  GIVEN("three coroutines that wait for different times")
  {
    VirtualTime time;
    const TimePoint start = time.Now();
    std::string log;
    time.Spawn(Append(time, start + 3h, 'c', log));
    time.Spawn(Append(time, start + 1h, 'a', log));
    time.Spawn(Append(time, start + 1h, 'b', log));

    WHEN("time stops before the first deadline")
    {
      time.RunUntil(start + 59min);
      THEN("none has resumed")
      {
        CHECK(log.empty());
      }
    }
    WHEN("time runs until no coroutine waits")
    {
      time.RunUntilIdle(start + 24h);
      THEN("each has resumed at its deadline, ties in the order of their waits")
      {
        CHECK(log == "abc");
        CHECK(time.Now() == start + 3h);
      }
    }
  }
  GIVEN("a coroutine that throws")
  {
    VirtualTime time;
    time.Spawn(Throw(time));
    THEN("RunUntil rethrows the exception")
    {
      CHECK_THROWS_AS(time.RunUntil(time.Now() + 2s), std::runtime_error);
    }
  }
}
