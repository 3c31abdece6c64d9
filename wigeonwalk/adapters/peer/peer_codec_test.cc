#include "wigeonwalk/adapters/peer/internal/message_fields.h"
#include "wigeonwalk/adapters/peer/peer_codec.h"
#include "wigeonwalk/adapters/peer/peer_frame.h"

#include <catch2/catch.hpp>

#include <random>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

const std::string kKeyText = "a key of the cluster, 32 bytes..";

ClusterKey
Key(const std::string& aText = kKeyText)
{
  FailureReason reason;
  return *ClusterKey::FromText(aText, reason);
}

MemberUpdate
Update(int aNumber, MemberState aState = MemberState::Alive)
{
  return { HostId("entry-" + std::to_string(aNumber)),
           "10.20.30.40:7000",
           AvailabilityZone("south-1"),
           "south",
           1'700'000'000'000'000ULL + static_cast<std::uint64_t>(aNumber),
           aState };
}

PeerDatagram
FullDatagram(int aUpdates)
{
  PeerDatagram datagram;
  datagram.kind = DatagramKind::ProbeRequest;
  datagram.sender = Update(1);
  datagram.sentAt = { TimePoint(100h), 7 };
  datagram.sequence = 42;
  datagram.target = HostId("entry-9");
  datagram.targetAddress = "10.20.30.41:7000";
  datagram.documents = { 12, 0xFFFF'FFFF'FFFF'FFFF, 3s };
  for (int i = 0; i < aUpdates; ++i) {
    datagram.updates.push_back(Update(i, MemberState::Suspect));
  }
  datagram.notices = { { NoticeKind::Leaving, std::string("\0\xFF", 2) } };
  return datagram;
}

std::vector<PeerCall>
AllCalls()
{
  const HostId from("entry-1");
  const HybridTime at{ TimePoint(100h), 3 };
  const DocumentCopy copy{ ServiceName("orders"), 4, "e4", "{\n}\xC3" };
  return { { from, at, MemberSync{ Update(1) } },
           { from, at, DocumentFetch{ { { ServiceName("orders"), 3 } } } },
           { from, at, DocumentPush{ copy } },
           { from, at, ForwardedCall{ ForwardedKind::DemandReport, "x" } } };
}

std::vector<PeerAnswer>
AllAnswers()
{
  const HostId from("entry-1");
  const HybridTime at{ TimePoint(100h), 3 };
  const DocumentCopy copy{ ServiceName("orders"), 4, "e4", "text" };
  return { { from, at, MemberList{ { Update(1), Update(2) } } },
           { from, at, DocumentBundle{ { copy }, { 4, 99, 2s } } },
           { from, at, DocumentPushAnswer{ true } },
           { from, at, ForwardedAnswer{ ForwardedKind::ClaimAppend, "y" } } };
}

} // namespace

TEMPLATE_TEST_CASE("every name in the frame enum tables parses back",
                   "[enum]",
                   FrameKind,
                   FrameFault)
{
  for (const auto& row : EnumNames<TestType>::kTable) {
    CHECK(ParseName<TestType>(row.name) == row.value);
  }
}

// Guards against fields that are lost or changed by encoding and decoding.
SCENARIO("every message round-trips through its encoding", "[peer]")
{
  const PeerDatagram datagram = FullDatagram(5);
  CHECK(DecodeDatagram(EncodeDatagram(datagram, 1'200)) == datagram);

  PeerDatagram unconfirmed;
  CHECK(DecodeDatagram(EncodeDatagram(unconfirmed, 1'200)) == unconfirmed);
  for (const PeerCall& call : AllCalls()) {
    CHECK(DecodeCall(EncodeCall(call)) == call);
  }
  for (const PeerAnswer& answer : AllAnswers()) {
    CHECK(DecodeAnswer(EncodeAnswer(answer)) == answer);
  }
}

// Guards against datagrams that exceed the size limit.
SCENARIO("a datagram omits updates that do not fit", "[peer]")
{
  const PeerDatagram datagram = FullDatagram(40);
  const std::string payload = EncodeDatagram(datagram, 1'176);
  CHECK(payload.size() <= 1'176);
  const auto decoded = DecodeDatagram(payload);
  REQUIRE(decoded);
  CHECK(decoded->updates.size() >= 10);
  CHECK(decoded->sequence == datagram.sequence);
}

// Guards against long notices that the encoder sends but the decoder rejects.
SCENARIO("a notice may fill its datagram", "[peer]")
{
  PeerDatagram datagram;
  datagram.kind = DatagramKind::Notice;
  datagram.sender.host = HostId("entry-1");
  datagram.notices = { { NoticeKind::RunnerLoads, std::string(1'000, 'x') } };
  const std::string payload = EncodeDatagram(datagram, 1'176);
  const auto decoded = DecodeDatagram(payload);
  REQUIRE(decoded);
  REQUIRE(decoded->notices.size() == 1);
  CHECK(decoded->notices == datagram.notices);
}

// Guards against incompatibility between two releases in one cluster.
SCENARIO("a decoder ignores fields and kinds added by a later release",
         "[peer]")
{
  using peer_internal::Json;
  const PeerDatagram datagram = FullDatagram(2);
  Json map = Json::from_msgpack(EncodeDatagram(datagram, 1'200));
  map["new"] = { 1, 2, 3 };
  map["u"][0]["new"] = "text";
  CHECK(DecodeDatagram(peer_internal::EncodePayload(map)) == datagram);

  map["n"].push_back({ { "k", 99 }, { "p", Json::binary({ 1 }) } });
  Json update = map["u"][0];
  update["s"] = 99;
  map["u"].push_back(update);
  THEN("elements of an unknown kind are skipped")
  {
    CHECK(DecodeDatagram(peer_internal::EncodePayload(map)) == datagram);
  }
  THEN("a missing field makes the message malformed")
  {
    map["u"][0].erase("h");
    CHECK_FALSE(DecodeDatagram(peer_internal::EncodePayload(map)));
  }
}

// Guards against accepting frames that are damaged or not authentic.
SCENARIO("an invalid frame is rejected with its fault", "[peer]")
{
  using Change = std::string (*)(std::string);
  struct Case
  {
    const char* name;
    Change change;
    FrameFault fault;
  };
  const auto row = GENERATE(values<Case>({
    { "empty",
      [](std::string) { return std::string(); },
      FrameFault::NotAFrame },
    { "of another protocol",
      [](std::string) { return std::string("GET / HTTP/1.1\r\n\r\n"); },
      FrameFault::NotAFrame },
    { "of a later version",
      [](std::string f) {
        f[2] = 2;
        return f;
      },
      FrameFault::UnknownVersion },
    { "of another kind",
      [](std::string f) {
        f[3] = 2;
        return f;
      },
      FrameFault::WrongKind },
    { "too large",
      [](std::string f) {
        f[4] = 1;
        return f;
      },
      FrameFault::TooLarge },
    { "truncated",
      [](std::string f) {
        f.pop_back();
        return f;
      },
      FrameFault::WrongLength },
    { "extended",
      [](std::string f) { return f + 'x'; },
      FrameFault::WrongLength },
    { "with a changed payload",
      [](std::string f) {
        f[9] ^= 1;
        return f;
      },
      FrameFault::Unauthenticated },
    { "with a changed tag",
      [](std::string f) {
        f.back() ^= 1;
        return f;
      },
      FrameFault::Unauthenticated },
    { "of another cluster",
      [](std::string) {
        return SealFrame(
          Key("the key of another cluster"), FrameKind::Datagram, "payload");
      },
      FrameFault::Unauthenticated },
  }));
  CAPTURE(row.name);
  const std::string frame = SealFrame(Key(), FrameKind::Datagram, "payload");
  FrameFault fault = FrameFault::Malformed;
  CHECK(OpenFrame(Key(), FrameKind::Datagram, frame, fault) == "payload");
  CHECK_FALSE(OpenFrame(Key(), FrameKind::Datagram, row.change(frame), fault));
  CHECK(NameOf(fault) == NameOf(row.fault));
}

TEST_CASE("a cluster key that is too short is rejected", "[peer]")
{
  FailureReason reason;
  CHECK_FALSE(ClusterKey::FromText("  short\n", reason));
  CHECK(ClusterKey::FromText(kKeyText + "\n", reason)->Bytes() == kKeyText);
}

// Guards against input that crashes the decoder. Meant to run with sanitizers.
TEST_CASE("no input crashes the decoder", "[peer][fuzz]")
{
  constexpr std::uint32_t kSeed = 20261204;
  CAPTURE(kSeed);
  std::mt19937 random(kSeed);
  std::vector<std::string> payloads{ EncodeDatagram(FullDatagram(5), 1'200) };
  for (const PeerCall& call : AllCalls()) {
    payloads.push_back(EncodeCall(call));
  }
  for (const PeerAnswer& answer : AllAnswers()) {
    payloads.push_back(EncodeAnswer(answer));
  }
  payloads.push_back(std::string(100'000, '\x91'));
  payloads.push_back(std::string("\xDD\xFF\xFF\xFF\xFF", 5));
  std::size_t decoded = 0;
  for (int i = 0; i < 20'000; ++i) {
    const std::size_t chosen = random() % payloads.size();
    std::string bytes = payloads[chosen];
    if (random() % 3 == 0) {
      bytes.resize(random() % (bytes.size() + 1));
    }
    for (auto flips = random() % 4; flips > 0 && !bytes.empty(); --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    for (auto more = random() % 3; more > 0; --more) {
      bytes += static_cast<char>(random());
    }
    decoded += DecodeDatagram(bytes).has_value() ? 1 : 0;
    decoded += DecodeCall(bytes).has_value() ? 1 : 0;
    decoded += DecodeAnswer(bytes).has_value() ? 1 : 0;
    FrameFault fault = FrameFault::NotAFrame;
    CHECK_FALSE(OpenFrame(Key(), FrameKind::Call, bytes, fault));
  }
  // Some mutations leave a valid message, but only a minority may.
  CHECK(decoded < 8'000);
}
