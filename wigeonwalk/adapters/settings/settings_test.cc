#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/internal/checked_json.h"
#include "wigeonwalk/adapters/settings/internal/daemon_settings_schema.h"
#include "wigeonwalk/adapters/settings/internal/formats.h"
#include "wigeonwalk/adapters/settings/internal/service_document_schema.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace wigeonwalk::settings_internal;
using namespace std::chrono_literals;

namespace {

const std::string kDigest(64, 'a');

Json
PlainSettings()
{
  return Json::parse(R"({ "host": "isar-1", "zone": "Isar",
    "entryAddress": "127.0.0.1:8000", "peerAddress": "127.0.0.1:8001",
    "clusterKeyFile": "cluster.key",
    "peers": [ { "host": "lech-1", "zone": "Lech",
                 "address": "127.0.0.1:8101" } ],
    "callerLimits": { "readTimeout": "300ms" } })");
}

Json
SmallDocument()
{
  Json document = Json::parse(R"({ "name": "pattern-advice", "kind": "engine",
    "weighs": "share-recomputed", "zones": [ "Isar", "Lech" ],
    "model": { "name": "lace", "version": "v3", "cacheBytesPerToken": 131072,
               "prefillTokensPerSecond": 9000.5 },
    "runners": [
      { "id": "r1", "zone": "Isar", "address": "127.0.0.1:9001" },
      { "id": "r2", "zone": "Lech", "address": "[::1]:9002" } ],
    "stores": [ { "id": "s1", "zone": "Isar", "address": "127.0.0.1:9003",
      "memoryBytes": 1000000, "diskBytes": 2000000,
      "memoryLinkRate": 5000, "diskLinkRate": 4000 } ],
    "organisations": [ { "id": "o1", "keyDigests": [],
      "limits": { "requestsPerSecond": 0.5 } } ],
    "routes": [ { "method": "POST", "path": "/orders", "idempotent": false,
      "keySource": "header", "keyName": "Idempotency-Key" } ],
    "minimumServing": 2, "tokenTimeout": "1500ms" })");
  document["organisations"][0]["keyDigests"].push_back(kDigest);
  return document;
}

// One change to a valid file and the error that it must cause.
struct Fault
{
  const char* name;
  // JSON patch operations (RFC 6902).
  const char* patch;
  ReasonCode code;
  const char* place;
  const char* detail;
};

bool
Names(const std::vector<LastReason>& aReasons, const Fault& aFault)
{
  for (const auto& reason : aReasons) {
    if (reason.code == aFault.code && reason.place == aFault.place &&
        reason.detail.find(aFault.detail) != std::string::npos) {
      return true;
    }
  }
  return false;
}

std::string
AllOf(const std::vector<LastReason>& aReasons)
{
  std::string text;
  for (const auto& reason : aReasons) {
    text += reason.ToString() + "\n";
  }
  return text;
}

constexpr auto kInvalid = ReasonCode::InvalidArgument;
constexpr auto kTwice = ReasonCode::AlreadyExists;

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
  { "key unlike any",
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
  { "name outside the list",
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
  { "host name for an address",
    R"([{"op":"replace","path":"/entryAddress","value":"localhost:80"}])",
    kInvalid,
    "/entryAddress",
    "IP:port" },
  { "peer that is this daemon",
    R"([{"op":"replace","path":"/peers/0/host","value":"isar-1"}])",
    kTwice,
    "/peers/0/host",
    "this daemon" },
  { "two listeners on one port",
    R"([{"op":"add","path":"/operatorAddress","value":"127.0.0.1:8000"}])",
    kTwice,
    "/operatorAddress",
    "127.0.0.1:8000" },
  { "peers without the cluster's key",
    R"([{"op":"remove","path":"/clusterKeyFile"}])",
    kInvalid,
    "/clusterKeyFile",
    "set clusterKeyFile" },
};

const std::vector<Fault> kDocumentFaults{
  { "unknown zone",
    R"([{"op":"replace","path":"/runners/1/zone","value":"Lehc"}])",
    ReasonCode::NotFound,
    "/runners/1/zone",
    "did you mean 'Lech'?" },
  { "runner id twice",
    R"([{"op":"replace","path":"/runners/1/id","value":"r1"}])",
    kTwice,
    "/runners/1/id",
    "'r1'" },
  { "store with a runner's id",
    R"([{"op":"replace","path":"/stores/0/id","value":"r2"}])",
    kTwice,
    "/stores/0/id",
    "'r2'" },
  { "address twice",
    R"([{"op":"replace","path":"/stores/0/address","value":"127.0.0.1:9001"}])",
    kTwice,
    "/stores/0/address",
    "9001" },
  { "too many runners kept serving",
    R"([{"op":"replace","path":"/minimumServing","value":3}])",
    kInvalid,
    "/minimumServing",
    "number of runners, 2" },
  { "non-idempotent call without a key",
    R"([{"op":"remove","path":"/routes/0/keyName"}])",
    kInvalid,
    "/routes/0/keyName",
    "set keyName" },
  { "body field that is no pointer",
    R"([{"op":"replace","path":"/routes/0/keySource","value":"body-field"}])",
    kInvalid,
    "/routes/0/keyName",
    "JSON pointer" },
  { "non-idempotent GET",
    R"([{"op":"replace","path":"/routes/0/method","value":"GET"}])",
    kInvalid,
    "/routes/0/idempotent",
    "POST" },
  { "engine without a model",
    R"([{"op":"remove","path":"/model"}])",
    kInvalid,
    "/model",
    "needs a model" },
  { "plain service with a store",
    R"([{"op":"replace","path":"/kind","value":"plain"},
        {"op":"remove","path":"/model"}])",
    kInvalid,
    "/stores",
    "no cache store" },
  { "plain service without calls",
    R"([{"op":"replace","path":"/kind","value":"plain"},
        {"op":"remove","path":"/routes"}])",
    kInvalid,
    "/routes",
    "needs its calls" },
  { "one key for two organisations",
    R"([{"op":"copy","from":"/organisations/0","path":"/organisations/1"},
        {"op":"replace","path":"/organisations/1/id","value":"o2"}])",
    kTwice,
    "/organisations/1/keyDigests/0",
    "more than once" },
  { "digest in capitals",
    R"([{"op":"replace","path":"/organisations/0/keyDigests/0","value":"AB"}])",
    kInvalid,
    "/organisations/0/keyDigests/0",
    "SHA-256" },
  { "rate of zero",
    R"([{"op":"replace","path":"/stores/0/diskLinkRate","value":0}])",
    kInvalid,
    "/stores/0/diskLinkRate",
    "1000" },
  { "weight of zero",
    R"([{"op":"add","path":"/organisations/0/weight","value":0}])",
    kInvalid,
    "/organisations/0/weight",
    "0.001" },
  { "token timeout above the request's",
    R"([{"op":"add","path":"/requestTimeout","value":"1s"}])",
    kInvalid,
    "/tokenTimeout",
    "requestTimeout" },
  { "id with a path separator",
    R"([{"op":"replace","path":"/runners/0/id","value":"a/b"}])",
    kInvalid,
    "/runners/0/id",
    "letters" },
};

// Texts that are no JSON value of the schema at all.
struct BadText
{
  const char* name;
  std::string text;
  ReasonCode code;
  const char* detail;
};

const std::vector<BadText> kBadTexts{
  { "empty", "", kInvalid, "not valid JSON" },
  { "cut off", R"({"host": "a")", kInvalid, "not valid JSON" },
  { "invalid UTF-8", "{\"host\": \"\xC3\x28\"}", kInvalid, "UTF-8" },
  { "not an object", "[]", kInvalid, "expected object" },
  { "deep nesting", std::string(100'000, '['), kInvalid, "nested deeper" },
  { "key twice",
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

// Guards against a daemon that starts with settings other than the ones meant,
// and against errors that do not say which key to mend.
SCENARIO("a daemon reads its settings", "[settings]")
{
  std::vector<LastReason> reasons;
  GIVEN("a valid file")
  {
    const auto settings = ParseDaemonSettings(PlainSettings().dump(), reasons);
    THEN("its keys are read and the rest has defaults")
    {
      INFO(AllOf(reasons));
      REQUIRE(settings.has_value());
      CHECK(settings->host == HostId("isar-1"));
      CHECK(settings->peers.at(0).address == "127.0.0.1:8101");
      CHECK(settings->callerLimits.readTimeout == 300ms);
      CHECK(settings->callerLimits.connections == 20'000);
      CHECK(settings->stop.drainTimeout == 10min);
    }
  }
  GIVEN("a file with one fault")
  {
    for (const auto& fault : kSettingsFaults) {
      DYNAMIC_SECTION(fault.name)
      {
        const Json file = PlainSettings().patch(Json::parse(fault.patch));
        CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
        INFO(AllOf(reasons));
        CHECK(Names(reasons, fault));
      }
    }
  }
  GIVEN("a text that is no settings file")
  {
    for (const auto& bad : kBadTexts) {
      DYNAMIC_SECTION(bad.name)
      {
        CHECK_FALSE(ParseDaemonSettings(bad.text, reasons).has_value());
        INFO(AllOf(reasons));
        REQUIRE_FALSE(reasons.empty());
        CHECK(reasons.front().code == bad.code);
        CHECK_THAT(reasons.front().detail, Catch::Contains(bad.detail));
      }
    }
  }
  GIVEN("a file with three faults")
  {
    Json file = PlainSettings();
    file["zoen"] = "x";
    file["workerThreads"] = 300;
    file["peers"][0]["address"] = "here";
    THEN("all three are listed, each once")
    {
      CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
      INFO(AllOf(reasons));
      CHECK(reasons.size() == 3);
    }
  }
  GIVEN("a file with more faults than a person reads")
  {
    Json file = PlainSettings();
    for (int i = 0; i < 5'000; ++i) {
      file["key" + std::to_string(i)] = i;
    }
    THEN("the list is cut and says so")
    {
      CHECK_FALSE(ParseDaemonSettings(file.dump(), reasons).has_value());
      CHECK(reasons.size() == kMaxReasons + 1);
      CHECK(reasons.back().detail == "4900 more errors");
    }
  }
}

// Guards against a document that is accepted and cannot be served, and against
// fields lost between a team's edit and the daemons.
SCENARIO("a team's document is parsed and printed", "[documents]")
{
  std::vector<LastReason> reasons;
  GIVEN("a valid document")
  {
    const auto document = ParseServiceDocument(SmallDocument().dump(), reasons);
    INFO(AllOf(reasons));
    REQUIRE(document.has_value());
    CHECK(document->weighing == Weighing::ShareRecomputed);
    CHECK(document->model.prefillTokensPerSecond == 9000.5);
    CHECK(document->organisations[0].limits.requestsPerSecond == 0.5);
    CHECK_FALSE(document->organisations[0].limits.tokensPerSecond.has_value());
    CHECK(document->tokenTimeout == 1500ms);
    THEN("its printed form parses to the same document")
    {
      const auto again =
        ParseServiceDocument(PrintServiceDocument(*document), reasons);
      INFO(AllOf(reasons));
      CHECK(again == document);
    }
  }
  GIVEN("a document with one fault")
  {
    for (const auto& fault : kDocumentFaults) {
      DYNAMIC_SECTION(fault.name)
      {
        const Json file = SmallDocument().patch(Json::parse(fault.patch));
        CHECK_FALSE(ParseServiceDocument(file.dump(), reasons).has_value());
        INFO(AllOf(reasons));
        CHECK(Names(reasons, fault));
      }
    }
  }
}

// Guards against durations that change between writing and reading.
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
