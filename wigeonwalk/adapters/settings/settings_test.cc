#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/fault_table.h"
#include "wigeonwalk/adapters/settings/internal/checked_json.h"
#include "wigeonwalk/adapters/settings/internal/formats.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace wigeonwalk::settings_internal;
using namespace std::chrono_literals;

namespace {

Json
ValidDaemonSettings()
{
  return Json::parse(R"({ "host": "isar-1", "zone": "Isar",
    "entryAddress": "127.0.0.1:8000", "peerAddress": "127.0.0.1:8001",
    "clusterKeyFile": "cluster.key",
    "peers": [ { "host": "lech-1", "zone": "Lech",
                 "address": "127.0.0.1:8101" } ],
    "callerLimits": { "readTimeout": "300ms" } })");
}

const std::vector<Fault> kSettingsFaults{
  { "unknown key",
    R"([{"op":"add","path":"/entryAdress","value":"127.0.0.1:1"}])",
    ReasonCode::UnknownKey,
    "/entryAdress",
    "did you mean 'entryAddress'?" },
  { "unknown nested key",
    R"([{"op":"add","path":"/peers/0/zoen","value":"x"}])",
    ReasonCode::UnknownKey,
    "/peers/0/zoen",
    "did you mean 'zone'?" },
  { "key similar to no known key",
    R"([{"op":"add","path":"/qqqqqqqqqqqq","value":1}])",
    ReasonCode::UnknownKey,
    "/qqqqqqqqqqqq",
    "unknown key" },
  { "missing key",
    R"([{"op":"remove","path":"/host"}])",
    kInvalid,
    "",
    "Missing required property 'host'" },
  { "wrong type",
    R"([{"op":"add","path":"/workerThreads","value":"4"}])",
    kInvalid,
    "/workerThreads",
    "expected integer" },
  { "number out of range",
    R"([{"op":"add","path":"/timelineEvents","value":4000000000}])",
    kInvalid,
    "/timelineEvents",
    "1048576" },
  { "negative number",
    R"([{"op":"add","path":"/workerThreads","value":-1}])",
    kInvalid,
    "/workerThreads",
    "0" },
  { "number beyond 63 bits",
    R"([{"op":"add","path":"/workerThreads","value":18446744073709551615}])",
    kInvalid,
    "/workerThreads",
    "" },
  { "value outside the enumeration",
    R"([{"op":"add","path":"/logLevel","value":"loud"}])",
    kInvalid,
    "/logLevel",
    "\"warning\"" },
  { "duration without a unit",
    R"([{"op":"add","path":"/stop","value":{"drainTimeout":"10"}}])",
    kInvalid,
    "/stop/drainTimeout",
    "\"300ms\"" },
  { "duration out of range",
    R"([{"op":"add","path":"/stop","value":{"balancerDelay":"6m"}}])",
    kInvalid,
    "/stop/balancerDelay",
    "expected 0s to 5m, got 6m" },
  { "address without a port",
    R"([{"op":"replace","path":"/peers/0/address","value":"127.0.0.1"}])",
    kInvalid,
    "/peers/0/address",
    "IP:port" },
  { "peer at port 0",
    R"([{"op":"replace","path":"/peers/0/address","value":"127.0.0.1:0"}])",
    kInvalid,
    "/peers/0/address",
    "IP:port" },
  { "host name instead of an IP address",
    R"([{"op":"replace","path":"/entryAddress","value":"localhost:80"}])",
    kInvalid,
    "/entryAddress",
    "IP:port" },
  { "peer that is this daemon",
    R"([{"op":"replace","path":"/peers/0/host","value":"isar-1"}])",
    kDuplicate,
    "/peers/0/host",
    "this daemon" },
  { "two listeners on one port",
    R"([{"op":"add","path":"/operatorAddress","value":"127.0.0.1:8000"}])",
    kDuplicate,
    "/operatorAddress",
    "127.0.0.1:8000" },
  { "peers without a cluster key",
    R"([{"op":"remove","path":"/clusterKeyFile"}])",
    kInvalid,
    "/clusterKeyFile",
    "set clusterKeyFile" },
};

// Texts that are not JSON objects within the limits of a file.
struct InvalidText
{
  const char* name;
  std::string text;
  ReasonCode code;
  const char* detail;
};

const std::vector<InvalidText> kInvalidTexts{
  { "empty", "", kInvalid, "not valid JSON" },
  { "truncated", R"({"host": "a")", kInvalid, "not valid JSON" },
  { "invalid UTF-8", "{\"host\": \"\xC3\x28\"}", kInvalid, "UTF-8" },
  { "not an object", "[]", kInvalid, "expected object" },
  { "deep nesting", std::string(100'000, '['), kInvalid, "nested deeper" },
  { "duplicate key",
    R"({"host": "a", "zone": "b", "host": "c"})",
    kInvalid,
    "'host' occurs twice" },
  { "number beyond a double", R"({"host": 1e999})", kInvalid, "out of range" },
  { "too large",
    "\"" + std::string(kMaxFileBytes, 'x') + "\"",
    ReasonCode::TooLarge,
    "at most 1000000" },
};

} // namespace

// Guards against a daemon that starts with settings other than those intended,
// and against errors that do not name the key to correct.
SCENARIO("a daemon reads its settings", "[settings]")
{
  std::vector<FailureReason> reasons;
  GIVEN("a valid file")
  {
    const auto settings =
      ParseDaemonSettings(ValidDaemonSettings().dump(), reasons);
    THEN("its keys are read and the rest has defaults")
    {
      INFO(PrintReasons(reasons));
      REQUIRE(settings.has_value());
      CHECK(settings->host == HostId("isar-1"));
      CHECK(settings->peers.at(0).address == "127.0.0.1:8101");
      CHECK(settings->callerLimits.readTimeout == 300ms);
      CHECK(settings->callerLimits.connections == 20'000);
      CHECK(settings->stop.drainTimeout == 10min);
    }
  }
  GIVEN("a file with one error")
  {
    for (const auto& fault : kSettingsFaults) {
      DYNAMIC_SECTION(fault.name)
      {
        const Json file = ValidDaemonSettings().patch(Json::parse(fault.patch));
        CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
        INFO(PrintReasons(reasons));
        CHECK(ReportsFault(reasons, fault));
      }
    }
  }
  GIVEN("a text that is not a settings file")
  {
    for (const auto& bad : kInvalidTexts) {
      DYNAMIC_SECTION(bad.name)
      {
        CHECK_FALSE(ParseDaemonSettings(bad.text, reasons).has_value());
        INFO(PrintReasons(reasons));
        REQUIRE_FALSE(reasons.empty());
        CHECK(reasons.front().code == bad.code);
        CHECK_THAT(reasons.front().detail, Catch::Contains(bad.detail));
      }
    }
  }
  GIVEN("a file with three errors")
  {
    Json file = ValidDaemonSettings();
    file["zoen"] = "x";
    file["workerThreads"] = 300;
    file["peers"][0]["address"] = "here";
    THEN("all three are listed, each once")
    {
      CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
      INFO(PrintReasons(reasons));
      CHECK(reasons.size() == 3);
    }
  }
  GIVEN("a file with more errors than are listed")
  {
    Json file = ValidDaemonSettings();
    for (int i = 0; i < 5'000; ++i) {
      file["key" + std::to_string(i)] = i;
    }
    THEN("the list is truncated and states how many were omitted")
    {
      CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
      CHECK(reasons.size() == kMaxReasons + 1);
      CHECK(reasons.back().detail == "4900 more errors");
    }
  }
}

// Guards against durations that change when they are printed and parsed.
TEST_CASE("durations print in the largest exact unit", "[settings]")
{
  const std::vector<std::pair<Duration, std::string>> rows{
    { 0s, "0s" },     { 300ms, "300ms" }, { 5s, "5s" },         { 90s, "90s" },
    { 10min, "10m" }, { 24h, "24h" },     { 1500us, "1500us" },
  };
  for (const auto& [duration, text] : rows) {
    CHECK(PrintDuration(duration) == text);
    CHECK(ParseDuration(text) == duration);
  }
  for (const char* bad : { "",
                           "5",
                           "s",
                           "-5s",
                           "5 s",
                           "1.5s",
                           "1234567890s",
                           "5S",
                           "99999999999999999999h" }) {
    CHECK_FALSE(ParseDuration(bad).has_value());
  }
}
