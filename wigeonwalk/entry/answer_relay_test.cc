#include "wigeonwalk/entry/test_entry.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

// Guards against events that are missing, come twice, or look complete though
// the stream broke off.
SCENARIO("a stream reaches its caller whole or visibly broken")
{
  TestEntry entry;

  WHEN("nothing fails")
  {
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    CHECK(entry.runners.finished == 1);
  }

  WHEN("a stream that can't be resumed breaks off")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;");
    CHECK_FALSE(caller.complete);
    CHECK(caller.aborted);
    CHECK(entry.runners.orders.size() == 1);
  }

  WHEN("a resumable stream breaks off")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::Answer };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    REQUIRE(entry.runners.orders.size() == 2);
    CHECK(entry.runners.orders[1].resumeAfter == 2);
  }

  WHEN("a resumed stream is refused")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo, Script::FailOnce };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK_FALSE(caller.complete);
  }

  WHEN("a resumed stream is answered by something that is no stream")
  {
    entry.runners.scripts = { Script::BreakStreamAfterTwo,
                              Script::AnswerWhole };
    const FakeCaller caller = entry.Send("resumable");
    CHECK(caller.body == "1;2;");
    CHECK(caller.aborted);
    CHECK_FALSE(caller.complete);
  }

  WHEN("a request with a prompt is streamed by a service without engines")
  {
    entry.prompt = Prompt{ ModelName("m"), 16, 4, { { "p-1", 16 } } };
    const FakeCaller caller = entry.Send("stream");
    CHECK(caller.body == "1;2;3;4;");
    CHECK(caller.complete);
    // No memory of the runners is known to hold parts.
    CHECK(entry.state.parts.Parts() == 0);
  }
}
