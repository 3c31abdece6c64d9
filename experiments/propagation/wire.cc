#include "propagation/wire.h"

#include "wigeonwalk/adapters/peer/peer_codec.h"
#include "wigeonwalk/adapters/peer/peer_frame.h"

#include <stdexcept>

namespace wigeonwalk::experiments {
namespace {

constexpr std::uint64_t kUdpIpBytes = 28;
// A frame of a call is sent in TCP segments of up to 1,448 bytes. Each adds its
// headers, and every second one an acknowledgement.
constexpr std::uint64_t kSegmentBytes = 1'448;
constexpr std::uint64_t kSegmentOverhead = 52 + 26;

const ClusterKey&
Key()
{
  static const ClusterKey kKey = [] {
    FailureReason reason;
    return *ClusterKey::FromText("key of the measured cluster", reason);
  }();
  return kKey;
}

// Seals, opens and decodes a payload. Returns the message, and adds the bytes
// that its frame takes on the wire to `aBytes`.
template<typename T, typename F>
T
RoundTrip(FrameKind aKind,
          const std::string& aPayload,
          std::uint64_t& aBytes,
          F aDecode)
{
  const std::string frame = SealFrame(Key(), aKind, aPayload);
  const std::uint64_t segments = frame.size() / kSegmentBytes + 1;
  aBytes +=
    frame.size() +
    (aKind == FrameKind::Datagram ? kUdpIpBytes : segments * kSegmentOverhead);
  FrameFault fault = FrameFault::NotAFrame;
  const auto payload = OpenFrame(Key(), aKind, frame, fault);
  auto message = payload ? aDecode(*payload) : std::nullopt;
  if (!message) {
    throw std::runtime_error("peer message could not be opened and decoded "
                             "after it was encoded and sealed");
  }
  return std::move(*message);
}

} // namespace

void
UseWireCodec(PeerNetwork& aNetwork)
{
  constexpr std::size_t kMaxPayloadBytes =
    kMaxDatagramBytes - kFrameHeaderBytes - kFrameTagBytes;
  aNetwork.transcodeDatagram = [](const PeerDatagram& aDatagram,
                                  std::uint64_t& aBytes) {
    return RoundTrip<PeerDatagram>(FrameKind::Datagram,
                                   EncodeDatagram(aDatagram, kMaxPayloadBytes),
                                   aBytes,
                                   DecodeDatagram);
  };
  aNetwork.transcodeCall = [](const PeerCall& aCall, std::uint64_t& aBytes) {
    return RoundTrip<PeerCall>(
      FrameKind::Call, EncodeCall(aCall), aBytes, DecodeCall);
  };
  aNetwork.transcodeAnswer = [](const PeerAnswer& aAnswer,
                                std::uint64_t& aBytes) {
    return RoundTrip<PeerAnswer>(
      FrameKind::Answer, EncodeAnswer(aAnswer), aBytes, DecodeAnswer);
  };
}

} // namespace wigeonwalk::experiments
