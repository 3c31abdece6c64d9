#include "wigeonwalk/retry/poison_tracker.h"
#include "wigeonwalk/retry/stream_liveness.h"
#include "wigeonwalk/retry/stream_resume.h"

#include <catch2/catch.hpp>

#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

struct ProbeCase
{
  ProbeResult result;
  LivenessAction idempotent;
  LivenessAction booking;
};

constexpr ProbeCase kProbes[] = {
  { ProbeResult::Answered,
    LivenessAction::ResumeSameUpstream,
    LivenessAction::EndRequest },
  { ProbeResult::AnsweredBusy,
    LivenessAction::KeepWaiting,
    LivenessAction::KeepWaiting },
  { ProbeResult::Restarted,
    LivenessAction::MoveToOtherUpstream,
    LivenessAction::EndRequest },
  { ProbeResult::Refused,
    LivenessAction::MoveToOtherUpstream,
    LivenessAction::EndRequest },
  { ProbeResult::NoAnswer,
    LivenessAction::MoveToOtherUpstream,
    LivenessAction::EndRequest },
};

struct ReuseCase
{
  const char* story;
  PooledConnection connection;
  Duration idle;
  bool idempotentMay;
  bool bookingMay;
};

const ReuseCase kReuses[] = {
  { "a fresh connection", {}, 1s, true, true },
  { "one that was idle for a while", {}, 5s, true, false },
  { "one that was idle for long", {}, 31s, false, false },
  { "one that saw a cancel", { .sawCancel = true }, 0s, false, false },
  { "one that saw a timeout", { .sawTimeout = true }, 0s, false, false },
  { "one with a leftover byte", { .sawLeftoverByte = true }, 0s, false, false },
};

} // namespace

// Guards against streams that hang on a dead connection, and against ending
// slow but healthy streams.
SCENARIO("a silent stream is probed and settled", "[liveness]")
{
  const TimePoint start(24h);
  TimePoint now = start;

  GIVEN("a stream with a long prefill")
  {
    StreamLiveness liveness({}, 3s, start);
    THEN("it is not probed before twice the predicted wait")
    {
      CHECK(liveness.ProbeAt() == start + 6s);
    }
  }
  GIVEN("a stream of tokens every 40 ms")
  {
    StreamLiveness liveness({}, 500ms, start);
    for (int i = 0; i < 50; ++i) {
      now += 40ms;
      liveness.RecordToken(now);
    }
    THEN("it is probed soon after its last token")
    {
      CHECK(liveness.ProbeAt() == now + 250ms);
    }
    for (const ProbeCase& probe : kProbes) {
      WHEN("the probe ends with " + std::string(NameOf(probe.result)))
      {
        now = liveness.ProbeAt();
        THEN("idempotent work is " + std::string(NameOf(probe.idempotent)))
        {
          CHECK(liveness.DecideAfterProbe(probe.result, true, now) ==
                probe.idempotent);
        }
        THEN("a booking is " + std::string(NameOf(probe.booking)))
        {
          CHECK(liveness.DecideAfterProbe(probe.result, false, now) ==
                probe.booking);
        }
      }
    }
    WHEN("every probe reports a busy upstream")
    {
      int waits = 0;
      while (liveness.DecideAfterProbe(ProbeResult::AnsweredBusy, true, now) ==
             LivenessAction::KeepWaiting) {
        now = liveness.ProbeAt();
        ++waits;
      }
      THEN("the wait ends")
      {
        CHECK(waits == 2);
      }
    }
  }
  GIVEN("a stream whose gaps vary between 20 and 400 ms")
  {
    StreamLiveness liveness({}, 500ms, start);
    bool probed = false;
    for (int i = 0; i < 200; ++i) {
      now += i % 8 == 7 ? 400ms : 20ms;
      probed = probed || (i > 16 && now > liveness.ProbeAt());
      liveness.RecordToken(now);
    }
    THEN("its usual gaps cause no probe")
    {
      CHECK_FALSE(probed);
    }
  }
}

// Guards against sending a non-idempotent call on a pooled connection that
// failed while idle, and against reading the answer of an earlier request from
// a reused connection.
SCENARIO("pooled connections age out", "[liveness]")
{
  const TimePoint now(24h);
  for (const ReuseCase& row : kReuses) {
    GIVEN(row.story)
    {
      PooledConnection connection = row.connection;
      connection.lastUsedAt = now - row.idle;
      CHECK(MayReuse(connection, true, now) == row.idempotentMay);
      CHECK(MayReuse(connection, false, now) == row.bookingMay);
    }
  }
}

// Guards against an enum value whose printed name parses to another value.
TEMPLATE_TEST_CASE("every name in a table of retry parses back",
                   "[enum]",
                   ProbeResult,
                   LivenessAction,
                   ChunkDecision,
                   ResumePlan,
                   PoisonAdmission,
                   RunKind,
                   PoisonEvidence)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}
