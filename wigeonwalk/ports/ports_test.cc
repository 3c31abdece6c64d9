#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/ports/peer_channel.h"
#include "wigeonwalk/ports/store_host.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

// Guards against an enum value that is printed under one name and parsed under
// another, or that has no name at all.
TEMPLATE_TEST_CASE("every name in a port's table parses back to its value",
                   "[enum]",
                   WriteOutcome,
                   RequestClass,
                   CacheEventKind,
                   OrderKind,
                   OrderAnswer,
                   StoreTier,
                   HostStatus,
                   EventKind,
                   MemberState,
                   NoticeKind,
                   DatagramKind,
                   ForwardedKind)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(NameOf(row.value) == row.name);
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}
