#include "wigeonwalk/documents/document_store.h"
#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/documents/line_difference.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

DocumentCopy
Copy(const std::string& aService, std::uint64_t aRevision)
{
  return { ServiceName(aService), aRevision, "edit", "text" };
}

} // namespace

// Guards against a daemon that serves although it may have missed an edit, and
// against one that refuses although its documents are known to be current.
SCENARIO("freshness follows from the last contact", "[freshness]")
{
  struct Case
  {
    const char* name;
    bool peers;
    bool keyValue;
    bool loaded;
    Duration keyValueSilence;
    Duration peerSilence;
    Duration unconfirmed;
    Freshness expected;
  };
  using enum Freshness;
  const auto row = GENERATE(values<Case>({
    { "all reachable", true, true, true, 1s, 1s, 1min, Serve },
    { "nothing read yet", true, true, false, 1s, 1s, 1s, RefuseNotLoaded },
    { "key-value service down", true, true, true, 3h, 1s, 3h, Serve },
    { "peers unreachable", true, true, true, 1s, 3h, 1s, Serve },
    { "alone, not yet 6 s", true, true, true, 9s, 5999ms, 9s, Serve },
    { "alone for 6 s", true, true, true, 9s, 6s, 9s, FailHealthCheck },
    { "alone for 30 s", true, true, true, 30s, 31s, 40s, RefuseIsolated },
    { "resumed after an hour", true, true, true, 1h, 1h, 1h, RefuseIsolated },
    { "no peers configured", false, true, true, 3h, 5h, 3h, Serve },
    { "unconfirmed for 4 h", true, true, true, 4h, 1s, 4h, RefuseStale },
    { "unconfirmed, no peers", false, true, true, 4h, 4h, 4h, RefuseStale },
    { "documents from files", false, false, true, 9h, 9h, 9h, Serve },
  }));
  CAPTURE(row.name);
  const TimePoint now(48h);
  const FreshnessState state{ row.peers,
                              row.keyValue,
                              row.loaded,
                              now - row.keyValueSilence,
                              now - row.peerSilence,
                              now - row.unconfirmed };
  CHECK(NameOf(EvaluateFreshness(state, now)) == NameOf(row.expected));
  CHECK(MayServe(row.expected) == (row.expected < RefuseIsolated));
}

// Guards I9: a document returns to an older revision because copies arrive
// late.
SCENARIO("a store only moves to a higher revision", "[documents]")
{
  DocumentStore store;
  const ServiceName orders("orders");
  REQUIRE(store.Offer(Copy("orders", 5), ServiceDocument{}));

  THEN("the same and older revisions are rejected")
  {
    CHECK_FALSE(store.Offer(Copy("orders", 5), ServiceDocument{}));
    CHECK_FALSE(store.Offer(Copy("orders", 4), ServiceDocument{}));
    CHECK(store.InForce(orders)->revision == 5);
  }
  WHEN("a newer text is not valid in this release")
  {
    CHECK(store.Offer(Copy("orders", 6), std::nullopt));
    THEN("the last valid one stays in force, and the new text is passed on")
    {
      CHECK(store.InForce(orders)->revision == 5);
      CHECK(store.Rejected().at(0).revision == 6);
      CHECK(store.NewerThan({ { orders, 5 } }, 9).at(0).revision == 6);
    }
  }
  WHEN("two stores get the same documents in different order")
  {
    DocumentStore other;
    other.Offer(Copy("advice", 2), ServiceDocument{});
    other.Offer(Copy("orders", 4), ServiceDocument{});
    CHECK(other.Digest({}).hash != store.Digest({}).hash);
    other.Offer(Copy("orders", 5), ServiceDocument{});
    store.Offer(Copy("advice", 2), ServiceDocument{});
    THEN("their digests are equal")
    {
      CHECK(other.Digest({}) == store.Digest({}));
      CHECK(store.Digest({}).revisionSum == 7);
    }
  }
  WHEN("a peer asks for more than fits into one answer")
  {
    store.Offer(Copy("advice", 2), ServiceDocument{});
    CHECK(store.NewerThan({}, 5).size() == 1);
    CHECK(store.NewerThan({}, 8).size() == 2);
    CHECK(store.NewerThan(store.Versions(), 8).empty());
  }
}

// Guards against a conflict report that lists unchanged lines.
TEST_CASE("a difference lists the changed lines only", "[documents]")
{
  CHECK(LineDifference("a\nb\nc\n", "a\nb\nc\n").empty());
  CHECK(LineDifference("a\nb\nc\n", "a\nx\nc\n") == "- b\n+ x\n");
  CHECK(LineDifference("a\nb\nc\nd", "b\nc\ne\nd") == "- a\n+ e\n");
  CHECK(LineDifference("", "a\n") == "+ a\n");
  CHECK(LineDifference("a\n", "") == "- a\n");
}
