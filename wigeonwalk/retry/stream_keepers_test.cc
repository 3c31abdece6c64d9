#include "wigeonwalk/retry/stream_keepers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace wigeonwalk;

namespace {

std::vector<HostId>
Hosts(std::size_t aCount)
{
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.emplace_back("front-" + std::to_string(i));
  }
  return hosts;
}

} // namespace

// Guards against messages that grow with the fleet, and against records that no
// daemon or several write.
SCENARIO("a few daemons know where a stream began")
{
  GIVEN("fleets of different sizes")
  {
    const std::size_t others = GENERATE(0, 1, 11, 12, 349);
    const std::size_t expected = others < 12 ? others : kOriginKeepers;
    CHECK(StreamKeepers({ 0, 7 }, Hosts(others)).size() == expected);
  }

  GIVEN("the daemons in any order")
  {
    std::vector<HostId> hosts = Hosts(30);
    const auto recorders = StreamRecorders(hosts);
    const auto keepers = StreamKeepers({ 0, 7 }, hosts);
    std::reverse(hosts.begin(), hosts.end());
    CHECK(StreamRecorders(hosts) == recorders);
    CHECK(StreamKeepers({ 0, 7 }, hosts) == keepers);
  }

  GIVEN("the daemons that write records")
  {
    const auto recorders = StreamRecorders(Hosts(30));
    REQUIRE(recorders.size() == kStreamRecorders);
    CHECK(RecorderOf(recorders, { 0, 6 }) == recorders[0]);
    CHECK(RecorderOf(recorders, { 0, 7 }) == recorders[1]);
  }

  GIVEN("no daemon that is known")
  {
    CHECK(RecorderOf(StreamRecorders({}), { 0, 7 }) == HostId());
  }
}
