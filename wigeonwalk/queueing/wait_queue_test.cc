#include "wigeonwalk/queueing/wait_queue.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace wigeonwalk;

namespace {

const OrganisationId kBusy("busy");
const OrganisationId kQuiet("quiet");

// Serves all waiting requests in order.
std::vector<WaitQueue::Ticket>
Drain(WaitQueue& aQueue, std::vector<WaitQueue::Ticket> aTickets)
{
  std::vector<WaitQueue::Ticket> served;
  while (aQueue.Size() > 0) {
    for (const WaitQueue::Ticket ticket : aTickets) {
      if (aQueue.IsFirst(ticket)) {
        served.push_back(ticket);
        aQueue.Leave(ticket);
        break;
      }
    }
  }
  return served;
}

} // namespace

// Guards against an organisation that sends many requests and takes all places
// that become free, and against urgent requests that wait behind others.
SCENARIO("waiting requests are served by rank and fairly among organisations")
{
  WaitQueue queue;

  GIVEN("an organisation with many requests, and one that comes later with one")
  {
    const auto first = queue.Enter({ 1, kBusy, 12'000 });
    const auto second = queue.Enter({ 1, kBusy, 12'000 });
    const auto third = queue.Enter({ 1, kBusy, 12'000 });
    const auto quiet = queue.Enter({ 1, kQuiet, 12'000 });

    THEN("the later one waits for one request of the other at most")
    {
      CHECK(Drain(queue, { first, second, third, quiet }) ==
            std::vector{ first, quiet, second, third });
    }

    THEN("an urgent request precedes all of them")
    {
      CHECK_FALSE(queue.HasWaiting(0));
      const auto urgent = queue.Enter({ 0, kBusy, 2'000 });
      CHECK(queue.HasWaiting(0));
      CHECK(queue.IsFirst(urgent));
      CHECK(queue.TokensUpTo(urgent) == 2'000);
      CHECK(queue.TokensUpTo(first) == 14'000);
      CHECK(queue.TokensUpTo(third) == 50'000);
    }

    WHEN("a request gives up")
    {
      queue.Leave(first);

      THEN("those behind it move up")
      {
        CHECK(queue.IsFirst(quiet));
        CHECK(queue.TokensUpTo(quiet) == 12'000);
        CHECK(queue.TokensUpTo(first) == 0);
      }
    }
  }

  GIVEN("an organisation that has been idle while another was served")
  {
    for (int i = 0; i < 100; ++i) {
      queue.Leave(queue.Enter({ 1, kBusy, 12'000 }));
    }
    const auto busy = queue.Enter({ 1, kBusy, 12'000 });
    const auto quiet = queue.Enter({ 1, kQuiet, 13'000 });

    THEN("it gets no credit for its idle time")
    {
      CHECK(queue.IsFirst(busy));
      CHECK(Drain(queue, { busy, quiet }) == std::vector{ busy, quiet });
    }
  }

  GIVEN("requests of the same organisation and size")
  {
    const auto first = queue.Enter({ 1, kBusy, 0 });
    const auto second = queue.Enter({ 1, kBusy, 0 });
    THEN("they are served in order of arrival")
    {
      CHECK(Drain(queue, { first, second }) == std::vector{ first, second });
    }
  }
}
