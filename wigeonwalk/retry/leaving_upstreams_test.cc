#include "wigeonwalk/retry/leaving_upstreams.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

namespace {

ListedHost
MakeHost(const char* aName, std::uint64_t aIncarnation, HostStatus aStatus)
{
  ListedHost host;
  host.name = aName;
  host.incarnation = aIncarnation;
  host.status = aStatus;
  return host;
}

} // namespace

// Guards I7: a leaving upstream gets new requests again because an out-of-date
// host list still shows it as live.
SCENARIO("a leaving mark is permanent for its incarnation", "[leaving]")
{
  LeavingUpstreams leaving;
  const UpstreamId upstream("runner-7");

  GIVEN("the list says that incarnation 3 is leaving")
  {
    CHECK(leaving.MergeHostList(
            { MakeHost("runner-7", 3, HostStatus::Leaving),
              MakeHost("runner-8", 1, HostStatus::Live) }) == 1);

    WHEN("an older list shows it live again")
    {
      CHECK(leaving.MergeHostList(
              { MakeHost("runner-7", 3, HostStatus::Live) }) == 0);
      THEN("it is still leaving")
      {
        CHECK(leaving.IsLeaving(upstream, 3));
      }
    }
    WHEN("another daemon reports an earlier incarnation as leaving")
    {
      CHECK_FALSE(leaving.MergeNotice({ upstream, 2 }));
      THEN("the later mark stays")
      {
        CHECK(leaving.IsLeaving(upstream, 3));
        CHECK(leaving.IsLeaving(upstream, 2));
      }
    }
    THEN("a new incarnation is not leaving, nor is another upstream")
    {
      CHECK_FALSE(leaving.IsLeaving(upstream, 4));
      CHECK_FALSE(leaving.IsLeaving(UpstreamId("runner-8"), 1));
    }
    THEN("a second daemon takes its notice once")
    {
      LeavingUpstreams other;
      const auto notices = leaving.TakeNotices(8);
      REQUIRE(notices.size() == 1);
      CHECK(other.MergeNotice(notices.front()));
      CHECK_FALSE(other.MergeNotice(notices.front()));
      CHECK(other.IsLeaving(upstream, 3));
    }
    THEN("its notice is sent a bounded number of times")
    {
      std::size_t sends = 0;
      while (!leaving.TakeNotices(1).empty()) {
        ++sends;
      }
      CHECK(sends == NoticeQueue<LeavingNotice>::kMaxSends);
    }
  }
}
