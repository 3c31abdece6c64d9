#include "wigeonwalk/adapters/http/http_listener.h"
#include "wigeonwalk/adapters/key_value/etcd_gateway.h"
#include "wigeonwalk/standins/key_value_standin.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Generous, so that tests pass on a loaded machine. No check depends on this
// timeout being reached, except those that wait for one on purpose.
constexpr Duration kCallTimeout = 20s;

// The key-value stand-in on a free port, and the adapter connected to it.
struct Fixture
{
  Fixture()
    : timer(context.get_executor())
    , pool(timer, context.get_executor(), 5s)
    , address(FreeAddress(context))
    , standin(address, timer, context.get_executor())
    , service(pool, { address })
  {
    boost::asio::co_spawn(
      context, standin.Run(serverReason), boost::asio::detached);
  }

  static std::string FreeAddress(boost::asio::io_context& aContext)
  {
    FailureReason reason;
    const auto probe =
      HttpListener::Open(aContext.get_executor(), "127.0.0.1:0", {}, reason);
    return "127.0.0.1:" + std::to_string(probe->Port());
  }

  // Runs one call to completion.
  template<typename T>
  T Run(Task<T> aTask)
  {
    std::optional<T> result;
    boost::asio::co_spawn(
      context, std::move(aTask), [&](std::exception_ptr aError, T aValue) {
        if (aError) {
          std::rethrow_exception(aError);
        }
        result = std::move(aValue);
      });
    context.restart();
    while (!result) {
      context.run_one();
    }
    return std::move(*result);
  }

  void SetFault(KeyValueStandinFault aFault)
  {
    HttpRequest command;
    command.method = "POST";
    command.target = "/standin/fault";
    command.body = std::string(NameOf(aFault));
    REQUIRE(
      Run(pool.Exchange(address, command, Reuse::FreshOnly, Deadline(), reason))
        .has_value());
  }

  TimePoint Deadline() const { return timer.Now() + kCallTimeout; }

  boost::asio::io_context context{ 1 };
  SystemTimer timer;
  HttpPool pool;
  std::string address;
  KeyValueStandin standin;
  EtcdGateway service;
  FailureReason serverReason;
  FailureReason reason;
};

// A fault, the expected outcome of a write during it, and whether the write is
// applied.
struct FaultRow
{
  KeyValueStandinFault fault;
  WriteOutcome outcome;
  bool written;
};

const std::vector<FaultRow> kFaults{
  { KeyValueStandinFault::None, WriteOutcome::Applied, true },
  // The connection is accepted and closed, so the client cannot know whether
  // the write was applied.
  { KeyValueStandinFault::Down, WriteOutcome::Unknown, false },
  { KeyValueStandinFault::LoseAnswers, WriteOutcome::Unknown, true },
};

} // namespace

// Guards against a compare-and-swap that overwrites a concurrent write, and
// against a definite outcome being reported when the answer was lost.
SCENARIO("the key-value adapter fulfils the contract of its port", "[contract]")
{
  Fixture fixture;
  auto& service = fixture.service;
  GIVEN("a key that was created")
  {
    const WriteResult created = fixture.Run(service.Put(
      { "documents/a", "one", 0, 0 }, fixture.Deadline(), fixture.reason));
    REQUIRE(created.outcome == WriteOutcome::Applied);

    THEN("creating it again is a conflict that returns the current entry")
    {
      const WriteResult repeated = fixture.Run(service.Put(
        { "documents/a", "two", 0, 0 }, fixture.Deadline(), fixture.reason));
      CHECK(repeated.outcome == WriteOutcome::Conflict);
      REQUIRE(repeated.current.has_value());
      CHECK(repeated.current->value == "one");
    }
    WHEN("two writers expect the same revision")
    {
      const WriteResult first =
        fixture.Run(service.Put({ "documents/a", "two", created.revision, 0 },
                                fixture.Deadline(),
                                fixture.reason));
      const WriteResult second =
        fixture.Run(service.Put({ "documents/a", "three", created.revision, 0 },
                                fixture.Deadline(),
                                fixture.reason));
      THEN("the first is applied and the other refused as a conflict")
      {
        CHECK(first.outcome == WriteOutcome::Applied);
        CHECK(second.outcome == WriteOutcome::Conflict);
        const auto read = fixture.Run(
          service.Get("documents/a", fixture.Deadline(), fixture.reason));
        REQUIRE((read && read->entry));
        CHECK(read->entry->value == "two");
        CHECK(read->entry->modRevision == first.revision);
      }
    }
    WHEN("it is deleted with its revision expected")
    {
      const WriteResult deletion = fixture.Run(service.Delete(
        "documents/a", created.revision, fixture.Deadline(), fixture.reason));
      THEN("it is no longer listed")
      {
        CHECK(deletion.outcome == WriteOutcome::Applied);
        const auto list = fixture.Run(
          service.List("documents/", fixture.Deadline(), fixture.reason));
        REQUIRE(list.has_value());
        CHECK(list->empty());
      }
    }
    WHEN("a watch starts at its revision")
    {
      const auto batch = fixture.Run(service.Watch(
        "documents/", created.revision, fixture.Deadline(), fixture.reason));
      THEN("it reports the change and the revision to continue from")
      {
        REQUIRE(batch.has_value());
        REQUIRE(batch->events.size() == 1);
        CHECK(batch->events[0].entry.value == "one");
        CHECK(batch->nextRevision == created.revision + 1);
      }
    }
  }
  GIVEN("a lease")
  {
    const auto lease =
      fixture.Run(service.GrantLease(60s, fixture.Deadline(), fixture.reason));
    REQUIRE(lease.has_value());
    THEN("it can be kept alive, and a lease never granted cannot")
    {
      CHECK(
        fixture
          .Run(service.KeepAlive(*lease, fixture.Deadline(), fixture.reason))
          .has_value());
      CHECK_FALSE(fixture
                    .Run(service.KeepAlive(
                      *lease + 1, fixture.Deadline(), fixture.reason))
                    .has_value());
      CHECK(fixture.reason.code == ReasonCode::Expired);
    }
  }
  GIVEN("an address where no process listens")
  {
    EtcdGateway unreachable(fixture.pool,
                            { Fixture::FreeAddress(fixture.context) });
    THEN("a write is reported as not sent")
    {
      CHECK(fixture
              .Run(unreachable.Put(
                { "a", "b", 0, 0 }, fixture.Deadline(), fixture.reason))
              .outcome == WriteOutcome::NotSent);
    }
  }
  GIVEN("each fault of the key-value service")
  {
    for (const FaultRow& row : kFaults) {
      const std::string key = "fault/" + std::string(NameOf(row.fault));
      fixture.SetFault(row.fault);
      const WriteResult result = fixture.Run(
        service.Put({ key, "x", 0, 0 }, fixture.Deadline(), fixture.reason));
      fixture.SetFault(KeyValueStandinFault::None);
      const auto read =
        fixture.Run(service.Get(key, fixture.Deadline(), fixture.reason));
      INFO(key);
      CHECK(result.outcome == row.outcome);
      REQUIRE(read.has_value());
      CHECK(read->entry.has_value() == row.written);
    }
  }
}
