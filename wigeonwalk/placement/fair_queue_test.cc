#include "wigeonwalk/placement/fair_queue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const OrganisationId kLarge("large");
const OrganisationId kSmall("small");
const TimePoint kNow{ 1h };

} // namespace

SCENARIO("organisations share a service by weight", "[fair_queue]")
{
  FairQueue<int> queue({ .capacity = 100 });
  GIVEN("a large organisation that floods and a small one")
  {
    queue.SetWeight(kLarge, 3);
    for (int i = 0; i < 400; ++i) {
      queue.Push(kLarge, RequestClass::Interactive, 10, i, kNow);
    }
    // Guards against idle capacity while requests wait.
    WHEN("it is alone")
    {
      while (queue.Pop(kNow)) {
      }
      THEN("it uses the capacity")
      {
        CHECK(queue.InFlight() == 100);
      }
    }
    // Guards against one organisation's flood of requests starving another
    // organisation.
    WHEN("the small one waits too")
    {
      std::map<std::string, int> served;
      for (int i = 0; i < 200; ++i) {
        queue.Push(kSmall, RequestClass::Interactive, 10, i, kNow);
      }
      for (int i = 0; i < 200; ++i) {
        const auto next = queue.Pop(kNow);
        REQUIRE(next);
        served[next->organisation.Text()] += 1;
        queue.Finish(*next);
      }
      THEN("both get their share")
      {
        CHECK(served["large"] == Approx(150).margin(4));
        CHECK(served["small"] == Approx(50).margin(4));
      }
    }
    WHEN("it has borrowed capacity before the small one arrives")
    {
      queue.SetWeight(kLarge, 1);
      queue.Push(kSmall, RequestClass::Interactive, 10, 0, kNow);
      const auto first = queue.Pop(kNow);
      REQUIRE(first);
      while (queue.Pop(kNow)) {
      }
      THEN("requests above its share leave the reserve to the small one")
      {
        CHECK(queue.InFlight() == 90);
        queue.Push(kSmall, RequestClass::Interactive, 10, 1, kNow);
        const auto next = queue.Pop(kNow);
        REQUIRE(next);
        CHECK(next->organisation == kSmall);
      }
    }
  }
}

SCENARIO("interactive requests do not wait behind long prefills",
         "[fair_queue]")
{
  FairQueue<int> queue({ .capacity = 100 });
  for (int i = 0; i < 10; ++i) {
    queue.Push(kLarge, RequestClass::Background, 20, i, kNow);
  }
  while (queue.Pop(kNow)) {
  }
  // Guards against background requests that hold the whole capacity.
  THEN("background requests hold only their fraction")
  {
    CHECK(queue.InFlight() == 40);
  }
  WHEN("an interactive request of the same organisation arrives")
  {
    queue.Push(kLarge, RequestClass::Interactive, 10, 99, kNow);
    CHECK(queue.Pop(kNow)->item == 99);
  }
  // Guards against background requests starving behind a stream of interactive
  // ones.
  WHEN("a background request has waited for long and its class has room")
  {
    queue.Finish({ kLarge, RequestClass::Background, 20, kNow, 0 });
    queue.Push(kLarge, RequestClass::Interactive, 10, 99, kNow + 19s);
    queue.Push(kSmall, RequestClass::Standard, 10, 98, kNow + 19s);
    CHECK(queue.Pop(kNow + 19s)->item == 99);
    CHECK(queue.Pop(kNow + 20s)->item != 98);
  }
  WHEN("a request is larger than its class may hold")
  {
    FairQueue<int> small({ .capacity = 10 });
    small.Push(kSmall, RequestClass::Background, 50, 1, kNow);
    THEN("it runs alone rather than never")
    {
      CHECK(small.Pop(kNow));
    }
  }
}
