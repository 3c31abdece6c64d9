// Claims: durable records that reserve an idempotency key for one execution.
//
//   const ClaimKey key = ClaimKeyOf(organisation, service, "order-17");
//   if (CheckKeyAge(createdAt, now, kClaimWindow) != KeyAge::Valid) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace wigeonwalk {

// Number of shards of the claim log.
inline constexpr std::uint32_t kClaimShards = 48;

// How long after its creation a key may be claimed.
inline constexpr Duration kClaimWindow = std::chrono::minutes(10);

// Maximum tolerated offset of a daemon's clock from true time. Keys are refused
// this long before the end of the window and forgotten this long after it, so
// two clocks may differ by up to twice the margin.
inline constexpr Duration kClaimClockMargin = std::chrono::seconds(30);

// Digest of organisation, service and idempotency key.
using ClaimKey = Hash128;

// Returns the first 128 bits of SHA-256 over the three length-prefixed strings.
// The lengths prevent a caller from choosing a key that collides with one of
// another organisation.
ClaimKey
ClaimKeyOf(const OrganisationId& aOrganisation,
           const ServiceName& aService,
           std::string_view aIdempotencyKey);

// Distinguishes request bodies sent under one key: 48 bits of SHA-256.
using BodyFingerprint = std::uint64_t;

BodyFingerprint
BodyFingerprintOf(std::string_view aBody);

// Returns the shard that holds a key.
constexpr std::uint32_t
ShardOf(const ClaimKey& aKey)
{
  return static_cast<std::uint32_t>(aKey.high % kClaimShards);
}

// Returns the creation time encoded in the text form of a version 7 UUID, or
// nullopt for any other text.
std::optional<TimePoint>
CreationTimeOfUuid(std::string_view aText);

// Result of checking a key's creation time against the window.
enum class KeyAge
{
  Valid,
  TooOld,
  // Further in the future than the clock margin allows.
  TooNew,
};

template<>
struct EnumNames<KeyAge>
{
  static constexpr std::array<EnumName<KeyAge>, 3> kTable{ {
    { KeyAge::Valid, "valid" },
    { KeyAge::TooOld, "too-old" },
    { KeyAge::TooNew, "too-new" },
  } };
};
static_assert(HasCompleteTable<KeyAge>());

constexpr KeyAge
CheckKeyAge(TimePoint aCreatedAt, TimePoint aNow, Duration aWindow)
{
  if (aCreatedAt < aNow - aWindow + kClaimClockMargin) {
    return KeyAge::TooOld;
  }
  return aCreatedAt > aNow + kClaimClockMargin ? KeyAge::TooNew : KeyAge::Valid;
}

// Returns true if every daemon refuses the key as too old, whatever its clock
// offset within the margin, so that the claim may be forgotten.
constexpr bool
MayForget(TimePoint aCreatedAt, TimePoint aNow, Duration aWindow)
{
  return aCreatedAt < aNow - aWindow - kClaimClockMargin;
}

// Identifies one claim: the batch that contains it and its position in that
// batch. Batch ids are never reused, so a delayed release of an earlier claim
// cannot affect a later claim of the same key.
struct ClaimRef
{
  std::uint64_t batch = 0;
  std::uint16_t position = 0;

  bool operator==(const ClaimRef&) const = default;
};

// Log entry: a key was claimed.
struct ClaimMade
{
  ClaimKey key;
  BodyFingerprint body = 0;
  // In whole seconds.
  TimePoint createdAt;

  bool operator==(const ClaimMade&) const = default;
};

// Log entry: the claimed call was proven not to have run; the key is free
// again.
struct ClaimReleased
{
  ClaimRef claim;

  bool operator==(const ClaimReleased&) const = default;
};

// Log entry: the outcome of the claimed call.
struct ClaimFinished
{
  ClaimRef claim;
  Verdict verdict = Verdict::MayHaveRun;
  // HTTP status of the answer, or zero if there was none.
  std::uint16_t status = 0;

  bool operator==(const ClaimFinished&) const = default;
};

using ClaimEntry = std::variant<ClaimMade, ClaimReleased, ClaimFinished>;

// Entries appended by one write. Positions count from zero.
struct ClaimBatch
{
  std::uint64_t id = 0;
  std::vector<ClaimEntry> entries;

  bool operator==(const ClaimBatch&) const = default;
};

} // namespace wigeonwalk

template<>
struct std::hash<wigeonwalk::ClaimRef>
{
  std::size_t operator()(const wigeonwalk::ClaimRef& aRef) const noexcept
  {
    return aRef.batch ^ (aRef.position * 0x9E3779B97F4A7C15ULL);
  }
};
