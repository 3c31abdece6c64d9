#include "wigeonwalk/adapters/peer/peer_frame.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <random>
#include <stdexcept>

namespace wigeonwalk {
namespace {

constexpr std::string_view kMagic = "WW";

std::size_t
MaxFrameBytes(FrameKind aKind)
{
  return aKind == FrameKind::Datagram ? kMaxDatagramBytes : kMaxCallBytes;
}

std::string
ComputeTag(const ClusterKey& aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  const auto* data = reinterpret_cast<const unsigned char*>(aBytes.data());
  if (!HMAC(EVP_sha256(),
            aKey.Bytes().data(),
            static_cast<int>(aKey.Bytes().size()),
            data,
            aBytes.size(),
            digest.data(),
            &length)) {
    throw std::runtime_error("HMAC-SHA256 is not available");
  }
  return { reinterpret_cast<const char*>(digest.data()), kFrameTagBytes };
}

} // namespace

std::string
ClusterKey::NewText()
{
  constexpr int kWords = 8;
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitsOfWord = 8;
  std::random_device source;
  std::string key;
  for (int i = 0; i < kWords; ++i) {
    std::uint32_t word = source();
    for (int digit = 0; digit < kDigitsOfWord; ++digit) {
      key += kDigits[word & 0xF];
      word >>= 4;
    }
  }
  return key;
}

std::optional<ClusterKey>
ClusterKey::FromText(std::string_view aText, FailureReason& aReason)
{
  constexpr std::string_view kSpace = " \t\r\n";
  const std::size_t first = aText.find_first_not_of(kSpace);
  ClusterKey key;
  if (first != std::string_view::npos) {
    const std::size_t last = aText.find_last_not_of(kSpace);
    key.bytes = std::string(aText.substr(first, last - first + 1));
  }
  if (key.bytes.size() < kMinBytes) {
    return Fail(aReason,
                ReasonCode::InvalidArgument,
                "the cluster key has " + std::to_string(key.bytes.size()) +
                  " bytes; required are at least " + std::to_string(kMinBytes));
  }
  return key;
}

std::string
SealFrame(const ClusterKey& aKey, FrameKind aKind, std::string_view aPayload)
{
  std::string frame(kMagic);
  frame.reserve(kFrameHeaderBytes + aPayload.size() + kFrameTagBytes);
  frame += static_cast<char>(kFrameVersion);
  frame += static_cast<char>(aKind);
  for (const int shift : { 24, 16, 8, 0 }) {
    frame += static_cast<char>((aPayload.size() >> shift) & 0xFF);
  }
  frame += aPayload;
  frame += ComputeTag(aKey, frame);
  return frame;
}

std::optional<std::size_t>
ReadFrameHeader(FrameKind aKind, std::string_view aFrame, FrameFault& aFault)
{
  if (aFrame.size() < kFrameHeaderBytes || !aFrame.starts_with(kMagic)) {
    aFault = FrameFault::NotAFrame;
    return std::nullopt;
  }
  if (static_cast<std::uint8_t>(aFrame[2]) != kFrameVersion) {
    aFault = FrameFault::UnknownVersion;
    return std::nullopt;
  }
  if (static_cast<std::uint8_t>(aFrame[3]) !=
      static_cast<std::uint8_t>(aKind)) {
    aFault = FrameFault::WrongKind;
    return std::nullopt;
  }
  std::size_t length = 0;
  for (std::size_t i = 4; i < kFrameHeaderBytes; ++i) {
    length = length << 8 | static_cast<std::uint8_t>(aFrame[i]);
  }
  if (length + kFrameHeaderBytes + kFrameTagBytes > MaxFrameBytes(aKind)) {
    aFault = FrameFault::TooLarge;
    return std::nullopt;
  }
  return length;
}

std::optional<std::string_view>
OpenFrame(const ClusterKey& aKey,
          FrameKind aKind,
          std::string_view aFrame,
          FrameFault& aFault)
{
  const auto length = ReadFrameHeader(aKind, aFrame, aFault);
  if (!length) {
    return std::nullopt;
  }
  if (aFrame.size() != kFrameHeaderBytes + *length + kFrameTagBytes) {
    aFault = FrameFault::WrongLength;
    return std::nullopt;
  }
  const std::string_view sealed = aFrame.substr(0, kFrameHeaderBytes + *length);
  const std::string_view tag = aFrame.substr(sealed.size());
  if (CRYPTO_memcmp(
        ComputeTag(aKey, sealed).data(), tag.data(), kFrameTagBytes) != 0) {
    aFault = FrameFault::Unauthenticated;
    return std::nullopt;
  }
  return aFrame.substr(kFrameHeaderBytes, *length);
}

} // namespace wigeonwalk
