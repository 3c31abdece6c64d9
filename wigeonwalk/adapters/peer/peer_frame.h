// Authenticated framing of the messages between daemons.
//
//   std::string frame = SealFrame(key, FrameKind::Call, payload);
//   FrameFault fault;
//   auto payload = OpenFrame(key, FrameKind::Call, frame, fault);
//
// Layout of a frame: magic "WW", version (one byte), kind (one byte), payload
// length (four bytes, big-endian), payload, and an authentication tag: the
// first 16 bytes of an HMAC-SHA256 over everything before it.
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

// The kind of message in a frame. The numeric value is the kind byte.
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
  // The tag does not match: the frame was sealed with another key, such as that
  // of another cluster, or was corrupted.
  Unauthenticated,
  // The tag matches, but the payload does not decode as a message of this kind.
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

// Fits the smallest common path MTU without IP fragmentation.
inline constexpr std::size_t kMaxDatagramBytes = 1'200;

// Fits a document of 1 MB with room for its envelope.
inline constexpr std::size_t kMaxCallBytes = 4 * 1024 * 1024;

// The secret key that all daemons of a cluster share.
class ClusterKey
{
public:
  static constexpr std::size_t kMinBytes = 16;

  // Returns the key from the content of a key file, with surrounding white
  // space removed, or nothing with InvalidArgument if it is shorter than
  // kMinBytes.
  static std::optional<ClusterKey> FromText(std::string_view aText,
                                            FailureReason& aReason);

  // Returns the text of a new random key, in hexadecimal.
  static std::string NewText();

  const std::string& Bytes() const { return this->bytes; }

private:
  std::string bytes;
};

// Returns the complete frame: header, payload and tag.
std::string
SealFrame(const ClusterKey& aKey, FrameKind aKind, std::string_view aPayload);

// Returns the payload length in bytes given in the header, or nothing and the
// fault. Reads only the first kFrameHeaderBytes bytes.
std::optional<std::size_t>
ReadFrameHeader(FrameKind aKind, std::string_view aFrame, FrameFault& aFault);

// Verifies a complete frame and returns its payload as a view into aFrame, or
// nothing and the fault.
std::optional<std::string_view>
OpenFrame(const ClusterKey& aKey,
          FrameKind aKind,
          std::string_view aFrame,
          FrameFault& aFault);

} // namespace wigeonwalk
