#include "wigeonwalk/adapters/log/log.h"

#include "wigeonwalk/base/verdict.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against prompt text, response text or keys in the log: a string that
// is only known at run time must not compile as a field or an event.
static_assert(!std::is_constructible_v<LogField, LogKey, std::string>);
static_assert(!std::is_constructible_v<LogField, LogKey, std::string_view>);
static_assert(!std::is_constructible_v<LogField, LogKey, const char*>);
static_assert(!std::is_constructible_v<StringLiteral, std::string>);

namespace {

std::vector<nlohmann::json>
Lines(const std::ostringstream& aOutput)
{
  std::vector<nlohmann::json> lines;
  std::istringstream input(aOutput.str());
  for (std::string line; std::getline(input, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

} // namespace

// Guards against lines that a log collector cannot parse or attribute to a
// request.
SCENARIO("a daemon writes its log", "[log]")
{
  std::ostringstream output;
  const TimePoint now =
    TimePoint(std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)) + 8h +
    5us;
  GIVEN("a log at level info")
  {
    auto log = std::make_unique<Log>(HostId("isar-1"), LogLevel::Info, output);
    WHEN("a line has fields of each type")
    {
      const FailureReason reason{ ReasonCode::NotFound,
                                  "no runner",
                                  "/runners" };
      log->Write(now,
                 LogLevel::Warning,
                 "request refused",
                 RequestId("r-1"),
                 { { LogKey::Service, ServiceName("pattern-advice") },
                   { LogKey::Verdict, Verdict::NotRun },
                   { LogKey::Elapsed, Duration(12ms) },
                   { LogKey::Tokens, 2'048U },
                   { LogKey::Count, 0.5 },
                   { LogKey::Status, true },
                   { LogKey::Step, "placement" },
                   LogField(reason) });
      log.reset();
      THEN("it is one JSON object with typed values")
      {
        const auto lines = Lines(output);
        REQUIRE(lines.size() == 1);
        CHECK(lines[0] == nlohmann::json::parse(R"({
          "time": "2026-12-04T08:00:00.000005Z", "level": "warning",
          "host": "isar-1", "event": "request refused", "request": "r-1",
          "service": "pattern-advice", "verdict": "not-run",
          "elapsed_us": 12000, "tokens": 2048, "count": 0.5, "status": true,
          "step": "placement",
          "reason": "not-found at /runners: no runner" })"));
      }
    }
    WHEN("a line is below the threshold")
    {
      log->Write(now, LogLevel::Debug, "probe sent", {});
      log.reset();
      THEN("nothing is written")
      {
        CHECK(output.str().empty());
      }
    }
    WHEN("a caller's request id holds quotes, line ends and invalid UTF-8")
    {
      log->Write(now, LogLevel::Info, "request", RequestId("a\"\n\xC3\x28"));
      log.reset();
      THEN("the line is still one JSON object")
      {
        CHECK(Lines(output).size() == 1);
      }
    }
    WHEN("an id is far too long")
    {
      const UpstreamId upstream(std::string(100'000, 'x'));
      log->Write(now, LogLevel::Info, "r", {}, { { LogKey::Peer, upstream } });
      log.reset();
      THEN("it is truncated")
      {
        CHECK(output.str().size() < 2 * kMaxLogText);
      }
    }
  }
}

// Guards against interleaved lines when several threads log at the same time.
TEST_CASE("several threads write whole lines", "[log][concurrent]")
{
  constexpr int kThreads = 4;
  constexpr int kLines = 200;
  std::ostringstream output;
  {
    Log log(HostId("lech-1"), LogLevel::Trace, output);
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&log] {
        for (int j = 0; j < kLines; ++j) {
          log.Write(TimePoint(1s), LogLevel::Info, "line", {});
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    CHECK(log.Dropped() == 0);
  }
  CHECK(Lines(output).size() == kThreads * kLines);
}
