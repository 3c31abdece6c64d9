#include "wigeonwalk/adapters/operator_api/operator_calls.h"

#include "wigeonwalk/adapters/jsonrpc/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

// A daemon with one document that records the edit and the drain it is asked
// for.
struct FakeDaemon
{
  StatusReport Status()
  {
    StatusReport status;
    status.host = HostId("isar-1");
    status.zone = AvailabilityZone("Isar");
    status.incarnation = 7;
    status.state = ServingState::Isolated;
    status.members = { { .host = HostId("lech-1") } };
    status.documents = { { ServiceName("order"), 4, 3s },
                         { ServiceName("pattern-advice"), 1, std::nullopt } };
    return status;
  }

  std::optional<DocumentCopy> Document(const ServiceName& aService,
                                       std::uint64_t aRevision,
                                       FailureReason& aReason)
  {
    if (aRevision > 0) {
      return Fail(aReason, ReasonCode::NotFound, "no longer kept");
    }
    return DocumentCopy{ aService, 4, "e4", "{\n\"a\": 1}" };
  }

  Task<EditResult> Apply(DocumentEdit aEdit)
  {
    this->edit = aEdit;
    EditResult result;
    result.outcome = static_cast<EditOutcome>(aEdit.baseRevision % 3);
    result.revision = 5;
    if (result.outcome == EditOutcome::Refused) {
      result.reasons = { { ReasonCode::Conflict, "revision is 4", "/revision" },
                         { ReasonCode::UnknownKey, "unknown", "/b" } };
      result.difference = "- x\n+ y\n";
    }
    co_return result;
  }

  Task<std::optional<std::vector<EditRecord>>> History(const ServiceName&,
                                                       FailureReason&)
  {
    co_return std::vector<EditRecord>{ { 3, "e3", "ana", TimePoint(1us) },
                                       { 4, "e4", "eva", TimePoint(2us) } };
  }

  std::vector<StampedEvent> Events(const RequestId& aRequest)
  {
    return {
      { { TimePoint(1s), 0 }, HostId("isar-1"), { .request = aRequest } }
    };
  }

  std::uint64_t DroppedEvents() { return 9; }

  std::vector<std::string> Explain(const RequestId& aRequest)
  {
    return aRequest == RequestId("r1") ? std::vector<std::string>{ "u1 0.2 s" }
                                       : std::vector<std::string>{};
  }

  std::uint64_t Drain(std::optional<Duration> aTimeout)
  {
    this->drainTimeout = aTimeout;
    return 3;
  }

  DocumentEdit edit;
  std::optional<Duration> drainTimeout;
};

static_assert(OperatedDaemon<FakeDaemon>);

} // namespace

// Guards against results that differ from docs/operator-api.md, and against
// invalid parameters that reach the daemon.
SCENARIO("a daemon answers operator calls", "[operator]")
{
  struct Row
  {
    const char* method;
    const char* params;
    // The expected result; empty if the call fails with the code and place
    // below.
    std::string result;
    ReasonCode code = ReasonCode::None;
    std::string place = {};
  };
  constexpr auto kInvalid = ReasonCode::InvalidArgument;
  const std::vector<Row> rows{
    { "status",
      "{}",
      R"({"host":"isar-1","zone":"Isar","region":"","incarnation":7,
          "state":"isolated","keyValue":"unavailable","requestsOpen":0,
          "members":[{"host":"lech-1","zone":"","state":"alive"}],
          "documents":[{"service":"order","revision":4,"confirmed":"3s"},
                       {"service":"pattern-advice","revision":1}]})" },
    { "documents.get",
      R"({"service":"order"})",
      R"({"service":"order","revision":4,"editId":"e4",
          "text":"{\n\"a\": 1}"})" },
    { "documents.get",
      R"({"service":"order","revision":2})",
      "",
      ReasonCode::NotFound,
      "" },
    { "documents.get", "{}", "", kInvalid, "/params/service" },
    { "documents.get", R"({"service":7})", "", kInvalid, "/params/service" },
    { "documents.get",
      R"({"service":"a","revision":-1})",
      "",
      kInvalid,
      "/params/revision" },
    { "documents.apply",
      R"({"service":"order","editId":"e5","baseRevision":0,"text":"{}"})",
      R"({"outcome":"accepted","revision":5})" },
    { "documents.apply",
      R"({"service":"order","editId":"e5","baseRevision":2,"text":"{}"})",
      R"({"outcome":"not-yet-known","revision":5})" },
    { "documents.apply",
      R"({"service":"order","editId":"e5","baseRevision":1,"text":"{}"})",
      "",
      ReasonCode::Conflict,
      "/revision" },
    { "documents.apply",
      R"({"service":"order","editId":"","baseRevision":0,"text":"{}"})",
      "",
      kInvalid,
      "/params/editId" },
    { "documents.apply",
      R"({"service":"order","editId":"e5","text":"{}"})",
      "",
      kInvalid,
      "/params/baseRevision" },
    { "documents.history",
      R"({"service":"order"})",
      R"({"service":"order","entries":[
        {"revision":4,"editId":"e4","author":"eva","acceptedAt":2},
        {"revision":3,"editId":"e3","author":"ana","acceptedAt":1}]})" },
    { "documents.status",
      R"({"service":"order"})",
      R"({"services":[{"service":"order","daemons":[
        {"revision":4,"confirmed":"3s","host":"isar-1"}]}]})" },
    { "timeline",
      R"({"request":"r1"})",
      R"({"events":[{"stamp":"1000000.0","host":"isar-1",
          "kind":"request-received","at":0,"request":"r1"}],"dropped":9})" },
    { "explain",
      R"({"request":"r1"})",
      R"({"request":"r1","lines":["u1 0.2 s"]})" },
    { "explain",
      R"({"request":"r2"})",
      "",
      ReasonCode::NotFound,
      "/params/request" },
    { "drain", R"({"timeout":"1m"})", R"({"requestsOpen":3})" },
    { "drain", R"({"timeout":"soon"})", "", kInvalid, "/params/timeout" },
  };
  FakeDaemon daemon;
  boost::asio::io_context context;
  OperatorServer server(context.get_executor());
  RegisterOperatorCalls(server, daemon);
  FailureReason reason;
  REQUIRE(server.Listen("127.0.0.1:0", reason));
  boost::asio::co_spawn(context, server.Run(), boost::asio::detached);
  std::thread thread([&context] { context.run(); });
  OperatorClient client(server.Address(), 20s);
  for (const auto& row : rows) {
    INFO(row.method << " " << row.params);
    reason = {};
    const auto result = client.Call(row.method, row.params, reason);
    INFO(result.value_or("") << reason.ToString());
    CHECK(reason.code == row.code);
    CHECK(reason.place == row.place);
    CHECK(result.has_value() == !row.result.empty());
    if (result && !row.result.empty()) {
      CHECK(json::parse(*result) == json::parse(row.result));
    }
    if (row.code == ReasonCode::Conflict) {
      CHECK(reason.detail ==
            "revision is 4\nunknown-key at /b: unknown\n- x\n+ y\n");
    }
  }
  boost::asio::post(context, [&server] { server.Stop(); });
  thread.join();
  CHECK(daemon.edit.editId == "e5");
  CHECK(daemon.drainTimeout == 1min);
}
