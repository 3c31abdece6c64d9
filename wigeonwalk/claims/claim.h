// Claims: durable records that reserve an idempotency key for one run.
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

// Shards of the claim log.
inline constexpr std::uint32_t kClaimShards = 48;

// Time from a key's creation in which it may be claimed.
inline constexpr Duration kClaimWindow = std::chrono::minutes(10);

// Largest difference between a daemon's clock and true time that is allowed
// for. Keys are refused this much before the window's end and forgotten this
// much after it, so clocks may differ by twice the margin.
inline constexpr Duration kClockMargin = std::chrono::seconds(30);

// Digest of organisation, service and idempotency key.
using ClaimKey = Hash128;

// Returns the first 128 bits of SHA-256 over the three texts with their
// lengths, so that no caller can make its key meet another organisation's.
ClaimKey
ClaimKeyOf(const OrganisationId& aOrganisation,
           const ServiceName& aService,
           std::string_view aIdempotencyKey);

// Tells bodies under one key apart: 48 bits of SHA-256.
using BodyFingerprint = std::uint64_t;

BodyFingerprint
BodyFingerprintOf(std::string_view aBody);

// Returns the shard that holds a key.
constexpr std::uint32_t
ShardOf(const ClaimKey& aKey)
{
  return static_cast<std::uint32_t>(aKey.high % kClaimShards);
}

// Returns the creation time inside a UUID of version 7 in its text form, or
// nothing for any other text.
std::optional<TimePoint>
CreationTimeOfUuid(std::string_view aText);

// Whether a key's creation time lies within the window.
enum class KeyAge
{
  Valid,
  TooOld,
  // Further in the future than clocks may differ.
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
  if (aCreatedAt < aNow - aWindow + kClockMargin) {
    return KeyAge::TooOld;
  }
  return aCreatedAt > aNow + kClockMargin ? KeyAge::TooNew : KeyAge::Valid;
}

// Returns true where every daemon refuses the key as too old, so that its claim
// may be forgotten.
constexpr bool
MayForget(TimePoint aCreatedAt, TimePoint aNow, Duration aWindow)
{
  return aCreatedAt < aNow - aWindow - kClockMargin;
}

// Identifies one claim: the batch that made it and its place in the batch.
// Batch ids are never used twice, so a late release of an earlier claim cannot
// touch a later claim of the same key.
struct ClaimRef
{
  std::uint64_t batch = 0;
  std::uint16_t position = 0;

  bool operator==(const ClaimRef&) const = default;
};

// Entry: a key is claimed.
struct ClaimMade
{
  ClaimKey key;
  BodyFingerprint body = 0;
  // In whole seconds.
  TimePoint createdAt;

  bool operator==(const ClaimMade&) const = default;
};

// Entry: the claimed call was proven not to have run; the key is free again.
struct ClaimReleased
{
  ClaimRef claim;

  bool operator==(const ClaimReleased&) const = default;
};

// Entry: the claimed call ended with an outcome.
struct ClaimFinished
{
  ClaimRef claim;
  Verdict verdict = Verdict::MayHaveRun;
  // HTTP status of the answer, zero for none.
  std::uint16_t status = 0;

  bool operator==(const ClaimFinished&) const = default;
};

using ClaimEntry = std::variant<ClaimMade, ClaimReleased, ClaimFinished>;

// Entries that were appended by one write. Positions count from zero.
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
