#include "wigeonwalk/retry/verdict_rules.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

namespace {

struct FailureCase
{
  ReasonCode code;
  // Expected values, stated independently of the table under test.
  bool upstreamCanHaveActed;
  bool anotherAttemptHelps;
};

constexpr FailureCase kFailures[] = {
  { ReasonCode::ConnectRefused, false, true },
  { ReasonCode::ConnectTimeout, false, true },
  { ReasonCode::WriteFailedPartWay, true, true },
  { ReasonCode::ConnectionLostAfterWrite, true, true },
  { ReasonCode::ResponseTimeout, true, true },
  { ReasonCode::SilentConnection, true, true },
  { ReasonCode::StatusClientError, true, false },
  { ReasonCode::StatusServerError, true, true },
  { ReasonCode::RefusedBeforeRun, false, true },
  { ReasonCode::MalformedResponse, true, true },
  { ReasonCode::Cancelled, true, false },
  { ReasonCode::DaemonStopping, true, false },
  { ReasonCode::ClaimUnknown, true, false },
};

struct StatusCase
{
  std::uint32_t status;
  bool refusedBeforeRun;
  ReasonCode code;
};

constexpr StatusCase kStatuses[] = {
  { 200, false, ReasonCode::None },
  { 204, false, ReasonCode::None },
  { 302, false, ReasonCode::MalformedResponse },
  { 400, false, ReasonCode::StatusClientError },
  { 409, true, ReasonCode::StatusClientError },
  { 429, false, ReasonCode::StatusClientError },
  { 429, true, ReasonCode::RefusedBeforeRun },
  { 500, true, ReasonCode::StatusServerError },
  { 503, false, ReasonCode::StatusServerError },
  { 503, true, ReasonCode::RefusedBeforeRun },
  { 0, true, ReasonCode::MalformedResponse },
};

} // namespace

// Guards I5 and I6: if a failure is reported as "not run" although an upstream
// may have acted, the retry makes a second booking.
SCENARIO("each failure has one verdict", "[verdict]")
{
  static_assert(std::size(kFailures) == kVerdictRules.size());
  for (const FailureCase& failure : kFailures) {
    GIVEN("a request that failed with " + std::string(NameOf(failure.code)))
    {
      const Verdict expected =
        failure.upstreamCanHaveActed ? Verdict::MayHaveRun : Verdict::NotRun;
      CHECK(VerdictOf(failure.code) == expected);

      WHEN("it is a booking")
      {
        THEN("it is retried only if it cannot have run")
        {
          CHECK(MayRetry(failure.code, RequestProgress::ByteSent, false) ==
                (!failure.upstreamCanHaveActed && failure.anotherAttemptHelps));
        }
      }
      WHEN("it is idempotent")
      {
        THEN("it is retried if another attempt can help")
        {
          CHECK(MayRetry(failure.code, RequestProgress::ByteSent, true) ==
                failure.anotherAttemptHelps);
        }
      }
    }
  }
  GIVEN("a request of which no byte was sent")
  {
    THEN("it did not run, whatever the failure")
    {
      CHECK(VerdictOf(ReasonCode::Cancelled, RequestProgress::NothingSent) ==
            Verdict::NotRun);
      CHECK(VerdictOf(ReasonCode::Overloaded, RequestProgress::NothingSent) ==
            Verdict::NotRun);
    }
    THEN("a duplicate still carries the verdict on the earlier call")
    {
      CHECK(VerdictOf(ReasonCode::ClaimUnknown, RequestProgress::NothingSent) ==
            Verdict::MayHaveRun);
    }
  }
  GIVEN("a code that does not tell whether the request ran")
  {
    THEN("it counts as may have run")
    {
      CHECK(VerdictOf(ReasonCode::Unavailable) == Verdict::MayHaveRun);
    }
  }
}

// Guards against treating any 503 as a refusal before the run.
SCENARIO("only an explicit refusal counts as not run", "[verdict]")
{
  for (const StatusCase& row : kStatuses) {
    CAPTURE(row.status, row.refusedBeforeRun);
    CHECK(ReasonOfStatus(row.status, row.refusedBeforeRun) == row.code);
  }
}

TEST_CASE("the progress names parse back", "[verdict]")
{
  for (const auto& row : EnumNames<RequestProgress>::kTable) {
    CHECK(ParseName<RequestProgress>(row.name) == row.value);
  }
}
