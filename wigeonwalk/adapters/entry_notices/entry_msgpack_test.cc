#include "wigeonwalk/adapters/entry_notices/entry_msgpack.h"
#include "wigeonwalk/adapters/msgpack/msgpack.h"
#include "wigeonwalk/adapters/peer/peer_codec.h"
#include "wigeonwalk/adapters/peer/peer_frame.h"
#include "wigeonwalk/entry/notice_limits.h"
#include "wigeonwalk/entry/part_relay.h"
#include "wigeonwalk/entry/registry_readers.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/retry/part_crash_tracker.h"
#include "wigeonwalk/retry/stream_keepers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace wigeonwalk;
using namespace std::chrono_literals;

// Guards against messages that overflow the stack.
TEST_CASE("messages between entry daemons that are nested deeply are rejected")
{
  const EntryMsgpack codec;
  const std::string nested(1'000'000, '\x91');
  CHECK_FALSE(codec.DecodeChanges(nested).has_value());
  CHECK_FALSE(codec.DecodeQuery(nested).has_value());
  CHECK_FALSE(codec.DecodeLoads(nested).has_value());
  CHECK_FALSE(codec.DecodePause(nested).has_value());
  CHECK_FALSE(codec.DecodeParts(nested).has_value());
}

TEST_CASE("notices between entry daemons are decoded as they were encoded")
{
  const EntryMsgpack codec;

  SECTION("for a runner that loads weights")
  {
    const RunnerPause pause{ UpstreamId("r-1"), ModelName("m"), 3, 2s };
    CHECK(codec.DecodePause(codec.EncodePause(pause)) == pause);
  }

  SECTION("for a runner that leaves")
  {
    const LeavingNotice notice{ UpstreamId("r-1"), 1'790'000'000'000 };
    CHECK(codec.DecodeLeaving(codec.EncodeLeaving(notice)) == notice);
    CHECK_FALSE(codec.DecodeLeaving({ NoticeKind::Leaving, "soon" }));
  }

  SECTION("for the load and the work of runners")
  {
    const RunnerLoads loads{ { { UpstreamId("r-1"), 2, 17'000 },
                               { UpstreamId("r-2"), 0, 0 } } };
    CHECK(codec.DecodeLoads(codec.EncodeLoads(loads)) == loads);
    const RunnerWork work{
      UpstreamId("r-1"), 12'800, 17'060, 1'300ms, { 2, 34'120 }
    };
    CHECK(codec.DecodeWork(codec.EncodeWork(work)) == work);
    CHECK_FALSE(codec.DecodeWork("soon"));
  }

  SECTION("for the parts that a holder has")
  {
    const HeldParts parts{ UpstreamId("172.20.0.2:8006"),
                           77,
                           { { { 1, ~0ULL }, 12'800 }, { { 2, 3 }, 0 } } };
    CHECK(codec.DecodeParts(codec.EncodeParts(parts)) == parts);
  }

  SECTION("for evidence against parts of prompts")
  {
    const PartNotice crash{ { { ~0ULL, 3 }, 2 }, ~0ULL, 7, 900ms, Duration(1) };
    CHECK(codec.DecodePartEvidence(codec.EncodePartEvidence(crash)) == crash);
    const PartNotice answer{ { { 1, 2 }, 0 }, 0, 0, 3min, 3min };
    CHECK(codec.DecodePartEvidence(codec.EncodePartEvidence(answer)) == answer);

    const StreamRecord stream{ { 1, 2 }, { ServiceName("s"), "v1.2" } };
    CHECK(codec.DecodeStream(codec.EncodeStream(stream)) == stream);
  }

  SECTION("for the registry, with values of arbitrary bytes")
  {
    RegistryChanges changes{ 12, 700ms, true, {} };
    WatchEvent put{ false, { "a/b", std::string("\0\xFF{", 3), 4, 9, 0 } };
    WatchEvent removal{ true, { "a/c", "", 0, 11, 0 } };
    changes.changes = { put, removal };
    const auto decoded = codec.DecodeChanges(codec.EncodeChanges(changes));
    REQUIRE(decoded.has_value());
    CHECK(decoded->revision == 12);
    CHECK(decoded->age == changes.age);
    CHECK(decoded->full);
    REQUIRE(decoded->changes.size() == 2);
    CHECK(decoded->changes[0].entry == put.entry);
    CHECK(decoded->changes[1].deleted);
    CHECK(codec.DecodeQuery(codec.EncodeQuery({ 7 })) == RegistryQuery{ 7 });
  }

  SECTION("for the ages of weights")
  {
    RegistryChanges changes;
    changes.weights = { { ModelName("m"), 2, 71, 8'500ms, true },
                        { ModelName("n"), 9, 0, 0ms, false } };
    const auto decoded = codec.DecodeChanges(codec.EncodeChanges(changes));
    REQUIRE(decoded.has_value());
    CHECK(decoded->weights == changes.weights);
    const RegistryQuery query{ 7, true };
    CHECK(codec.DecodeQuery(codec.EncodeQuery(query)) == query);
  }

  SECTION("and messages of an earlier release without the ages of weights")
  {
    using Json = nlohmann::json;
    const auto query = codec.DecodeQuery(PackMessage(Json::array({ 7 })));
    CHECK(query == RegistryQuery{ 7, false });
    const auto decoded = codec.DecodeChanges(
      PackMessage(Json::array({ 12, false, Json::array(), 700 })));
    REQUIRE(decoded.has_value());
    CHECK(decoded->revision == 12);
    CHECK(decoded->weights.empty());
  }

  SECTION("and malformed ages of weights are rejected")
  {
    using Json = nlohmann::json;
    const Json row = Json::array({ "m", 2, 71, 8'500, true });
    const auto decode = [&codec](const Json& aRows) {
      return codec.DecodeChanges(
        PackMessage(Json::array({ 12, false, Json::array(), 700, aRows })));
    };
    CHECK(decode(Json::array({ row })).has_value());
    const Json broken =
      GENERATE(Json("text"),
               Json(7),
               Json::object({ { "m", 2 } }),
               Json::array({ 7 }),
               Json::array({ Json::array({ "m", 2, 71 }) }),
               Json::array({ Json::array({ "m", -2, 71, 8'500, true }) }),
               Json::array({ Json::array({ "m", 2, 71, -1, true }) }),
               Json::array({ Json::array({ "m", 2, 71, 1.5, true }) }),
               Json::array({ Json::array({ "m", 2, 71, 8'500, 1 }) }),
               Json::array({ Json::array({ 4, 2, 71, 8'500, true }) }));
    CAPTURE(broken.dump());
    CHECK_FALSE(decode(broken).has_value());
    CHECK_FALSE(decode(Json(kMaxWeightAges + 1, row)).has_value());
    CHECK_FALSE(
      codec.DecodeQuery(PackMessage(Json::array({ 7, "all" }))).has_value());
  }

  SECTION("and malformed payloads are rejected")
  {
    const std::string broken =
      GENERATE(std::string(), std::string("\xC1"), std::string("\x91\xA1x"));
    CHECK_FALSE(codec.DecodePause(broken).has_value());
    CHECK_FALSE(codec.DecodeQuery(broken).has_value());
    CHECK_FALSE(codec.DecodeChanges(broken).has_value());
    CHECK_FALSE(codec.DecodePartEvidence(broken).has_value());
    CHECK_FALSE(codec.DecodeStream(broken).has_value());
  }
}

namespace {

// Returns the size of one datagram on the wire, including UDP and IP headers.
std::size_t
WireBytes(std::vector<PeerNotice> aNotices)
{
  constexpr std::size_t kUdpIpHeaderBytes = 28;
  constexpr std::size_t kFrameBytes = kFrameHeaderBytes + kFrameTagBytes;
  PeerDatagram datagram;
  datagram.kind = DatagramKind::Notice;
  datagram.sender.host = HostId("front-123");
  datagram.notices = std::move(aNotices);
  const std::size_t room = kMaxDatagramBytes - kFrameBytes;
  const std::string payload = EncodeDatagram(datagram, room);
  // No notice was dropped for lack of space.
  CHECK(DecodeDatagram(payload)->notices.size() == datagram.notices.size());
  return payload.size() + kFrameBytes + kUdpIpHeaderBytes;
}

UpstreamId
RunnerName(std::size_t aNumber)
{
  return UpstreamId("i-" + std::to_string(1'000'000'000 + aNumber));
}

} // namespace

// Guards against control traffic above the bound of 22 KB/s per daemon at the
// target's size: 350 daemons and 890 runners in nine zones, 17.7 requests/s per
// daemon, one in ten of them with a long prompt.
TEST_CASE("control traffic at the target's size")
{
  constexpr std::size_t kDaemons = 39;
  constexpr std::size_t kRunners = 99;
  constexpr double kLongPromptsPerSecond = 1.77;
  const EntryMsgpack codec;
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    hosts.emplace_back("front-" + std::to_string(i));
  }

  // A runner prefills 0.7 long prompts per second, caches the new parts of each
  // and evicts as many: about one change per message.
  std::map<HostId, std::map<HostId, std::vector<HeldParts>>> partsBySender;
  for (std::size_t i = 0; i < kRunners; ++i) {
    const HolderFollowers followers{
      RankOwners(RunnerName(i).Text(), hosts, hosts.size()), 10
    };
    for (const HostId& host : hosts) {
      if (followers.IsFollower(host)) {
        for (const HostId& other : followers.ReceiversOf(host)) {
          partsBySender[host][other].push_back(
            { RunnerName(i), 1'790'000'000'000, { { { i, ~i }, 4'260 } } });
        }
      }
    }
  }
  double mostParts = 0;
  for (const auto& [host, partsByReceiver] : partsBySender) {
    double bytes = 0;
    for (const auto& [other, parts] : partsByReceiver) {
      for (const auto& message : PartRelay::SplitIntoDatagrams(parts)) {
        std::vector<PeerNotice> notices;
        for (const HeldParts& one : message) {
          notices.push_back({ NoticeKind::HeldParts, codec.EncodeParts(one) });
        }
        bytes += static_cast<double>(WireBytes(std::move(notices)));
      }
    }
    mostParts = std::max(mostParts, bytes / ToSeconds(kPartReportInterval));
  }

  RunnerLoads loads;
  for (std::size_t i = 0; i < kMaxLoadRows; ++i) {
    loads.rows.push_back({ RunnerName(i), 2, 34'000 });
  }
  const double loadBytes =
    static_cast<double>(
      WireBytes({ { NoticeKind::RunnerLoads, codec.EncodeLoads(loads) } })) *
    kMaxLoadPeers / ToSeconds(kLoadReportInterval);

  // A reader answers the calls of the daemons that rely on it; mostly nothing
  // has changed.
  constexpr std::size_t kTcpIpHeaderBytes = 52;
  constexpr double kCallsPerSecond = 2;
  RegistryChanges changes;
  changes.revision = 100'000'000;
  const std::size_t answer =
    codec.EncodeChanges(changes).size() + kFrameHeaderBytes + kFrameTagBytes;
  // The answer's segment and the acknowledgement of the query.
  const double relayBytes =
    static_cast<double>((answer + 2 * kTcpIpHeaderBytes) * kDaemonsPerReader) *
    kCallsPerSecond;
  const double workBytes =
    static_cast<double>(WireBytes(
      { { NoticeKind::RunnerWork,
          codec.EncodeWork(
            { RunnerName(1), 4'260, 17'060, 1'300ms, { 1, 17'060 } }) } })) *
    kMaxWorkPeers * kLongPromptsPerSecond;
  CAPTURE(mostParts, loadBytes, relayBytes, workBytes);
  CHECK(mostParts + loadBytes + relayBytes + workBytes <= 22'000);
}

// Guards against messages about streams that take up the bound of 22 KB/s per
// daemon at the target's size: one request in ten streams and can be resumed.
TEST_CASE("messages about the origins of streams at the target's size")
{
  constexpr double kStreamsPerSecond = 1.77;
  constexpr std::size_t kTold = kOriginKeepers + 1;
  const EntryMsgpack codec;
  const StreamRecord record{ { 0, ~0ULL },
                             { ServiceName("service-123"), "v1.12" } };
  const std::size_t message =
    WireBytes({ { NoticeKind::StreamOrigin, codec.EncodeStream(record) } });
  const double sent = static_cast<double>(message * kTold) * kStreamsPerSecond;
  CAPTURE(message, sent);
  CHECK(sent <= 22'000);
}

// Guards against messages above the bound of 22 KB/s per daemon when all
// daemons are restarted at once while all 31 models get new weights: each is
// asked as often as it asks others.
TEST_CASE("the ages of weights after a restart of all daemons")
{
  constexpr int kModels = 31;
  constexpr int kVersions = 3;
  constexpr double kCallsPerSecond = 4;
  RegistryChanges changes;
  changes.revision = 100'000'000;
  for (int i = 0; i < kModels * kVersions; ++i) {
    changes.weights.push_back(
      { ModelName("model-with-a-name-" + std::to_string(i / kVersions)),
        100U + i,
        100'000'000,
        11s,
        true });
  }
  REQUIRE(changes.weights.size() <= kMaxWeightAges);
  const auto bytes =
    static_cast<double>(EntryMsgpack().EncodeChanges(changes).size());
  CAPTURE(bytes);
  CHECK(bytes * kCallsPerSecond <= 22'000);
}

// Guards against control traffic above the bound of 22 KB/s per daemon while
// all 350 daemons are told of a part of prompts that crashes runners.
TEST_CASE("evidence against a part of prompts at the target's size")
{
  constexpr std::size_t kDaemons = 350;
  const EntryMsgpack codec;
  PartCrashTracker collector;
  const TimePoint start(24h);
  TimePoint now = start;

  SECTION("without evidence nothing is sent")
  {
    collector.RecordAnswer({ { { 1, 2 }, 1 } }, now);
    CHECK(collector.TakeReports(now + 1min).empty());
  }

  SECTION("reports on a refused part stay within the bound on average")
  {
    for (std::uint64_t i = 0; i < PartCrashTracker::kMaxPartCrashes; ++i) {
      now += 1s;
      collector.Merge(
        { { { ~i, ~0ULL }, 1 }, ~i, ~0ULL, 400ms, 4ms }, true, now);
      collector.Merge(
        { { { 1, ~0ULL }, 1 }, ~i, ~0ULL - i, 400ms, 4ms }, true, now);
    }
    std::size_t bytes = 0;
    for (TimePoint end = now + 85s; now < end; now += 100ms) {
      std::vector<PeerNotice> notices;
      for (const PartReport& report : collector.TakeReports(now)) {
        CHECK(report.audience == PartAudience::All);
        notices.push_back({ NoticeKind::PartEvidence,
                            codec.EncodePartEvidence(report.notice) });
      }
      if (!notices.empty()) {
        bytes += WireBytes(std::move(notices)) * (kDaemons - 1);
      }
    }
    CAPTURE(bytes);
    CHECK(bytes > 0);
    CHECK(static_cast<double>(bytes) / ToSeconds(now - start) <= 22'000);
  }
}
