#include "wigeonwalk/adapters/ctl/ctl.h"

#include "wigeonwalk/adapters/jsonrpc/operator_server.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace wigeonwalk;
using nlohmann::json;

namespace {

std::string
Document(int aMinimumServing = 1)
{
  ServiceDocument document;
  document.name = ServiceName("order");
  document.kind = ServiceKind::Plain;
  document.zones = { AvailabilityZone("Isar") };
  document.runners = { { .id = UpstreamId("r1"),
                         .zone = AvailabilityZone("Isar"),
                         .address = "127.0.0.1:9001" } };
  document.organisations = { { .id = OrganisationId("o1"),
                               .keyDigests = { std::string(64, 'a') } } };
  document.routes = { { .method = "GET", .path = "/orders" } };
  document.minimumServing = static_cast<std::uint32_t>(aMinimumServing);
  return PrintServiceDocument(document);
}

// Answers the operator calls, with one document at revision 4.
class FakeDaemon
{
public:
  explicit FakeDaemon(const std::string& aHost)
    : server(this->context.get_executor())
  {
    using Result = std::optional<std::string>;
    const auto add = [this](const char* aMethod, auto aAnswer) {
      this->server.Register(
        aMethod,
        [aAnswer](std::string aParams, FailureReason& aReason) -> Task<Result> {
          co_return aAnswer(json::parse(aParams), aReason);
        });
    };
    add("status", [aHost](const json&, FailureReason&) -> Result {
      return json{
        { "host", aHost },
        { "zone", "Concepción" },
        { "state", "serving" },
        { "members", { { { "host", "a" } }, { { "host", "b" } } } },
        { "documents", { { { "service", "order" }, { "revision", 4 } } } }
      }.dump();
    });
    add("documents.get",
        [](const json& aParams, FailureReason& aReason) -> Result {
          if (aParams["service"] != "order") {
            return Fail(aReason, ReasonCode::NotFound, "no such service");
          }
          return json{
            { "service", "order" },
            { "revision", aParams.value("revision", 4) },
            { "text", Document(aParams.value("revision", 4) == 3 ? 0 : 1) }
          }.dump();
        });
    add("documents.apply",
        [this](const json& aParams, FailureReason& aReason) -> Result {
          this->applied = aParams["text"];
          if (aParams["baseRevision"] != 4) {
            return Fail(aReason, ReasonCode::Conflict, "revision is 4");
          }
          return R"({"outcome":"accepted","revision":5})";
        });
    add("documents.history", [](const json&, FailureReason&) -> Result {
      return R"({"entries":[{"revision":4,"editId":"e4","acceptedAt":7}]})";
    });
    add("documents.status", [](const json&, FailureReason&) -> Result {
      return R"({"services":[{"service":"order","daemons":[
        {"host":"isar-1","revision":4,"confirmed":"3s"}]}]})";
    });
    add("timeline", [aHost](const json& aParams, FailureReason&) -> Result {
      const std::string stamp = aHost == "isar-1" ? "1000.0" : "1000.1";
      return json{
        { "events",
          { { { "stamp", stamp },
              { "host", aHost },
              { "kind", "first-token" },
              { "request", aParams.value("request", "any") } } } }
      }.dump();
    });
    add("explain", [](const json& aParams, FailureReason&) -> Result {
      return json{
        { "request", aParams["request"] },
        { "lines", { "r1 cost 0.2\x1b[2J", "r2 cost 0.4" } }
      }.dump();
    });
    add("drain", [](const json& aParams, FailureReason&) -> Result {
      return json{ { "requestsOpen", 2 }, { "params", aParams } }.dump();
    });
    FailureReason reason;
    REQUIRE(this->server.Listen("127.0.0.1:0", reason));
    this->address = this->server.Address();
    boost::asio::co_spawn(
      this->context, this->server.Run(), boost::asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~FakeDaemon()
  {
    boost::asio::post(this->context, [this] { this->server.Stop(); });
    this->thread.join();
  }

  boost::asio::io_context context;
  OperatorServer server;
  std::string address;
  std::string applied;
  std::thread thread;
};

struct Outcome
{
  int code = 0;
  std::string out;
  std::string err;
};

Outcome
Ctl(std::vector<std::string> aWords)
{
  aWords.insert(aWords.begin(), "wigeonwalkctl");
  std::vector<const char*> arguments;
  for (const auto& word : aWords) {
    arguments.push_back(word.c_str());
  }
  std::ostringstream out;
  std::ostringstream err;
  const int code =
    RunCtl(static_cast<int>(arguments.size()), arguments.data(), out, err);
  return { code, out.str(), err.str() };
}

// A temporary file that the destructor removes.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aContent)
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "ctl-test-XXXXXX").string();
    const int descriptor = ::mkstemp(name.data());
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    this->path = name;
    std::ofstream(this->path) << aContent;
  }

  ~TemporaryFile() { std::filesystem::remove(this->path); }

  std::string Content() const
  {
    std::ostringstream text;
    text << std::ifstream(this->path).rdbuf();
    return text.str();
  }

  std::string path;
};

} // namespace

// Guards against commands that print the state of the wrong daemon, or that
// report an edit as accepted although it was refused.
SCENARIO("an operator works with two daemons", "[ctl][concurrent]")
{
  FakeDaemon isar("isar-1");
  FakeDaemon lech("lech-1");
  const std::string both = isar.address + "," + lech.address;
  const auto run = [&](std::vector<std::string> aWords) {
    aWords.insert(aWords.end(), { "--daemon", both });
    return Ctl(std::move(aWords));
  };
  struct Row
  {
    std::vector<std::string> words;
    int code;
    std::string out;
    std::string err;
  };
  TemporaryFile valid(Document());
  TemporaryFile invalid(Document(2));
  const std::vector<Row> rows{
    { { "status" }, 0, "lech-1  Concepción  serving", "" },
    { { "status", "--json" }, 0, R"("host":"isar-1")", "" },
    { { "doc", "get", "order" }, 0, Document(), "" },
    { { "doc", "get", "orders" }, 1, "", "remedy: check the name" },
    { { "doc", "history", "order" }, 0, "4         e4    -       7", "" },
    { { "doc", "status" }, 0, "order    isar-1  4         3s", "" },
    { { "doc", "diff", "order", "--from", "3" },
      0,
      "~ /minimumServing: 0 -> 1",
      "" },
    { { "doc", "diff", "order", valid.path }, 0, "no difference", "" },
    { { "doc", "apply", valid.path, "--base", "4" }, 0, "revision 5", "" },
    { { "doc", "apply", valid.path }, 1, "", "remedy: another edit" },
    { { "doc", "apply", invalid.path }, 1, "", "/minimumServing: must not" },
    { { "doc", "edit", "order", "--set", "/minimumServing=0" },
      0,
      "accepted order revision 5",
      "" },
    { { "doc", "edit", "order", "--set", "minimumServing=0" },
      1,
      "",
      "POINTER=JSON" },
    { { "timeline", "--request", "r7" },
      0,
      "1000.0  isar-1  r7  first-token\n1000.1  lech-1  r7  first-token\n",
      "" },
    { { "explain", "r7" },
      0,
      "request r7\nr1 cost 0.2?[2J\nr2 cost 0.4\n",
      "" },
    { { "drain" }, 1, "", "one daemon at a time" },
  };
  for (const auto& row : rows) {
    std::string name;
    for (const auto& word : row.words) {
      name += word.find("ctl-test") == std::string::npos ? word + " " : "FILE ";
    }
    DYNAMIC_SECTION(name)
    {
      const Outcome outcome = run(row.words);
      INFO(outcome.out << outcome.err);
      CHECK(outcome.code == row.code);
      CHECK(outcome.out.find(row.out) != std::string::npos);
      CHECK(outcome.err.find(row.err) != std::string::npos);
      CHECK(outcome.err.empty() == row.err.empty());
    }
  }
  WHEN("an edit sets a value")
  {
    run({ "doc", "edit", "order", "--set", "/requestTimeout=30s" });
    THEN("the daemon gets the changed document")
    {
      CHECK(json::parse(isar.applied)["requestTimeout"] == "30s");
    }
  }
  WHEN("a document is written for an editor and a trace for a viewer")
  {
    TemporaryFile file("");
    CHECK(run({ "doc", "edit", "order", file.path }).code == 0);
    CHECK(file.Content() == Document());
    CHECK(run({ "timeline", "--chrome", file.path }).code == 0);
    CHECK(json::parse(file.Content()).contains("traceEvents"));
  }
  WHEN("one daemon is drained")
  {
    const Outcome outcome = Ctl(
      { "drain", "--drain-timeout", "1m", "--json", "--daemon", isar.address });
    CHECK(outcome.code == 0);
    CHECK(outcome.out.find(R"("timeout":"1m")") != std::string::npos);
  }
  WHEN("the first of several daemons is gone")
  {
    const std::string words = "127.0.0.1:1," + lech.address;
    THEN("document calls go to the next, and status reports the missing daemon")
    {
      CHECK(Ctl({ "doc", "get", "order", "--daemon", words }).code == 0);
      // The option before the service must not consume the service as an
      // address.
      CHECK(Ctl({ "doc", "get", "--daemon", words, "order" }).code == 0);
      const Outcome status = Ctl({ "status", "--daemon", words });
      CHECK(status.code == 0);
      CHECK(status.out.find("lech-1") != std::string::npos);
      CHECK(status.err.find("127.0.0.1:1") != std::string::npos);
    }
  }
}

// Guards against exit codes that let a script take a failure for success, or
// one kind of failure for another.
SCENARIO("commands end with the exit code of their outcome", "[ctl]")
{
  TemporaryFile broken("{\"host\": \"a\", \"zoen\": \"b\"}");
  TemporaryFile good(R"({ "host": "isar-1", "zone": "Isar" })");
  struct Row
  {
    const char* name;
    std::vector<std::string> words;
    CtlExit code;
    std::string err;
  };
  const std::vector<Row> rows{
    { "no command", {}, CtlExit::Usage, "subcommand" },
    { "unknown command", { "stats" }, CtlExit::Usage, "stats" },
    { "no daemon", { "status" }, CtlExit::Usage, "WIGEONWALK_DAEMONS" },
    { "missing argument", { "doc", "get" }, CtlExit::Usage, "service" },
    { "nothing to edit",
      { "doc", "edit", "order", "--daemon", "127.0.0.1:1" },
      CtlExit::Usage,
      "--set" },
    { "nothing to compare",
      { "doc", "diff", "order", "--daemon", "127.0.0.1:1" },
      CtlExit::Usage,
      "--from" },
    { "help", { "--help" }, CtlExit::Success, "" },
    { "unreachable daemon",
      { "doc", "get", "order", "--daemon", "127.0.0.1:1" },
      CtlExit::Unreachable,
      "connect-refused at 127.0.0.1:1" },
    { "all daemons unreachable",
      { "status", "--daemon", "127.0.0.1:1" },
      CtlExit::Unreachable,
      "remedy: check --daemon" },
    { "invalid address",
      { "status", "--daemon", "isar-1" },
      CtlExit::Refused,
      "IP:port" },
    { "missing file",
      { "settings", "check", "/no/such/file" },
      CtlExit::Refused,
      "/no/such/file: cannot read" },
    { "invalid settings",
      { "settings", "check", broken.path },
      CtlExit::Refused,
      "/zoen: unknown key; did you mean 'zone'?" },
    { "valid settings",
      { "settings", "check", good.path },
      CtlExit::Success,
      "" },
    { "reference page", { "settings", "reference" }, CtlExit::Success, "" },
    { "settings for a document",
      { "doc", "check", good.path },
      CtlExit::Refused,
      "Missing required property 'name'" },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name)
    {
      const Outcome outcome = Ctl(row.words);
      INFO(outcome.out << outcome.err);
      CHECK(outcome.code == static_cast<int>(row.code));
      CHECK(outcome.err.find(row.err) != std::string::npos);
    }
  }
}
