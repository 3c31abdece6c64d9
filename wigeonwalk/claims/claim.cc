#include "wigeonwalk/claims/claim.h"

#include <openssl/sha.h>

#include <array>
#include <charconv>
#include <string>

namespace wigeonwalk {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest
Sha256(std::string_view aText)
{
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return digest;
}

std::uint64_t
ReadBigEndian(const Digest& aDigest, std::size_t aFrom, std::size_t aBytes)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    value = value << 8 | aDigest[aFrom + i];
  }
  return value;
}

void
AppendWithLength(std::string& aText, std::string_view aPart)
{
  aText += std::to_string(aPart.size());
  aText += ':';
  aText += aPart;
}

} // namespace

ClaimKey
ClaimKeyOf(const OrganisationId& aOrganisation,
           const ServiceName& aService,
           std::string_view aIdempotencyKey)
{
  std::string text;
  AppendWithLength(text, aOrganisation.Text());
  AppendWithLength(text, aService.Text());
  AppendWithLength(text, aIdempotencyKey);
  const Digest digest = Sha256(text);
  return { ReadBigEndian(digest, 0, 8), ReadBigEndian(digest, 8, 8) };
}

BodyFingerprint
BodyFingerprintOf(std::string_view aBody)
{
  return ReadBigEndian(Sha256(aBody), 0, 6);
}

std::optional<TimePoint>
CreationTimeOfUuid(std::string_view aText)
{
  constexpr std::string_view kPattern = "hhhhhhhh-hhhh-7hhh-vhhh-hhhhhhhhhhhh";
  constexpr std::string_view kHex = "0123456789abcdefABCDEF";
  constexpr std::string_view kVariant = "89abAB";
  if (aText.size() != kPattern.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < kPattern.size(); ++i) {
    const bool matches = kPattern[i] == 'h' ? kHex.find(aText[i]) != kHex.npos
                         : kPattern[i] == 'v'
                           ? kVariant.find(aText[i]) != kVariant.npos
                           : aText[i] == kPattern[i];
    if (!matches) {
      return std::nullopt;
    }
  }
  // The first 48 bits are milliseconds since the Unix epoch (RFC 9562).
  std::string digits(aText.substr(0, 8));
  digits += aText.substr(9, 4);
  std::uint64_t milliseconds = 0;
  std::from_chars(
    digits.data(), digits.data() + digits.size(), milliseconds, 16);
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

} // namespace wigeonwalk
