#include "wigeonwalk/adapters/settings/fault_table.h"
#include "wigeonwalk/adapters/settings/internal/checked_json.h"
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

const std::vector<Fault> kDocumentFaults{
  { "unknown zone",
    R"([{"op":"replace","path":"/runners/1/zone","value":"Lehc"}])",
    ReasonCode::NotFound,
    "/runners/1/zone",
    "did you mean 'Lech'?" },
  { "duplicate runner id",
    R"([{"op":"replace","path":"/runners/1/id","value":"r1"}])",
    kDuplicate,
    "/runners/1/id",
    "'r1'" },
  { "store with a runner's id",
    R"([{"op":"replace","path":"/stores/0/id","value":"r2"}])",
    kDuplicate,
    "/stores/0/id",
    "'r2'" },
  { "duplicate address",
    R"([{"op":"replace","path":"/stores/0/address","value":"127.0.0.1:9001"}])",
    kDuplicate,
    "/stores/0/address",
    "9001" },
  { "minimum of serving runners above their number",
    R"([{"op":"replace","path":"/minimumServing","value":3}])",
    kInvalid,
    "/minimumServing",
    "number of runners, 2" },
  { "non-idempotent call without a key",
    R"([{"op":"remove","path":"/routes/0/keyName"}])",
    kInvalid,
    "/routes/0/keyName",
    "set keyName" },
  { "body field that is not a JSON pointer",
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
  { "plain service without routes",
    R"([{"op":"replace","path":"/kind","value":"plain"},
        {"op":"remove","path":"/routes"}])",
    kInvalid,
    "/routes",
    "needs at least one route" },
  { "one key for two organisations",
    R"([{"op":"copy","from":"/organisations/0","path":"/organisations/1"},
        {"op":"replace","path":"/organisations/1/id","value":"o2"}])",
    kDuplicate,
    "/organisations/1/keyDigests/0",
    "more than once" },
  { "digest in upper case",
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
  { "token timeout above the request timeout",
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

} // namespace

// Guards against accepting a document that cannot be served, and against losing
// fields when a document is printed and parsed between a team's edit and the
// daemons.
SCENARIO("a service document is parsed and printed", "[documents]")
{
  std::vector<FailureReason> reasons;
  GIVEN("a valid document")
  {
    const auto document = ParseServiceDocument(SmallDocument().dump(), reasons);
    INFO(PrintReasons(reasons));
    REQUIRE(document.has_value());
    CHECK(document->placementGoal == PlacementGoal::ShareRecomputed);
    CHECK(document->model.prefillTokensPerSecond == 9000.5);
    CHECK(document->organisations[0].limits.requestsPerSecond == 0.5);
    CHECK_FALSE(document->organisations[0].limits.tokensPerSecond.has_value());
    CHECK(document->tokenTimeout == 1500ms);
    THEN("its printed form parses to the same document")
    {
      const auto reparsed =
        ParseServiceDocument(PrintServiceDocument(*document), reasons);
      INFO(PrintReasons(reasons));
      CHECK(reparsed == document);
    }
  }
  GIVEN("a document with one error")
  {
    for (const auto& fault : kDocumentFaults) {
      DYNAMIC_SECTION(fault.name)
      {
        const Json file = SmallDocument().patch(Json::parse(fault.patch));
        CHECK_FALSE(ParseServiceDocument(file.dump(), reasons).has_value());
        INFO(PrintReasons(reasons));
        CHECK(ReportsFault(reasons, fault));
      }
    }
  }
}
