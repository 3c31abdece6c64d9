// Authenticated frames around the messages between daemons.
//
//   std::string frame = SealFrame(key, FrameKind::Call, payload);
//   FrameFault fault;
//   auto payload = OpenFrame(key, FrameKind::Call, frame, fault);
//
// A frame is: "WW", version, kind, length of the payload (four bytes, big
// endian), payload, and the first 16 bytes of an HMAC-SHA256 over all before
// it.
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// What a frame carries.
enum class FrameKind : std::uint8_t
{
  Datagram,
  Call,
  Answer,
};

template<>
struct EnumNames<FrameKind>
{
  static constexpr std::array<EnumName<FrameKind>, 3> kTable{ {
    { FrameKind::Datagram, "datagram" },
    { FrameKind::Call, "call" },
    { FrameKind::Answer, "answer" },
  } };
};
static_assert(HasCompleteTable<FrameKind>());

// Why a frame was dropped.
enum class FrameFault
{
  NotAFrame,
  UnknownVersion,
  WrongKind,
  TooLarge,
  WrongLength,
  // Sealed under another key, such as that of another cluster, or damaged.
  Unauthenticated,
  // Authentic, but the payload is no message of this kind.
  Malformed,
};

template<>
struct EnumNames<FrameFault>
{
  static constexpr std::array<EnumName<FrameFault>, 7> kTable{ {
    { FrameFault::NotAFrame, "not-a-frame" },
    { FrameFault::UnknownVersion, "unknown-version" },
    { FrameFault::WrongKind, "wrong-kind" },
    { FrameFault::TooLarge, "too-large" },
    { FrameFault::WrongLength, "wrong-length" },
    { FrameFault::Unauthenticated, "unauthenticated" },
    { FrameFault::Malformed, "malformed" },
  } };
};
static_assert(HasCompleteTable<FrameFault>());

inline constexpr std::uint8_t kFrameVersion = 1;
inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::size_t kFrameTagBytes = 16;

// A datagram must fit the smallest usual path without fragments.
inline constexpr std::size_t kMaxDatagramBytes = 1'200;

// A document of 1 MB fits with room for its envelope.
inline constexpr std::size_t kMaxCallBytes = 4 * 1024 * 1024;

// The key shared by the cluster's daemons.
class ClusterKey
{
public:
  static constexpr std::size_t kMinBytes = 16;

  // Returns the key of a file's content without surrounding white space, or
  // nothing where it is shorter than kMinBytes.
  static std::optional<ClusterKey> FromText(std::string_view aText,
                                            FailureReason& aReason);

  const std::string& Bytes() const { return this->bytes; }

private:
  std::string bytes;
};

// Returns the whole frame.
std::string
SealFrame(const ClusterKey& aKey, FrameKind aKind, std::string_view aPayload);

// Returns the length of the payload that a header announces, or nothing and the
// fault. Reads only the first kFrameHeaderBytes bytes.
std::optional<std::size_t>
ReadFrameHeader(FrameKind aKind, std::string_view aFrame, FrameFault& aFault);

// Returns the payload of a whole frame, a part of aFrame, or nothing and the
// fault.
std::optional<std::string_view>
OpenFrame(const ClusterKey& aKey,
          FrameKind aKind,
          std::string_view aFrame,
          FrameFault& aFault);

} // namespace wigeonwalk
