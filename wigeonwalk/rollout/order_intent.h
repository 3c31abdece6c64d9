// Intents, which prevent orders of two lease holders from overlapping on
// engines that do not check fencing numbers.
//
//   if (DecideOnIntent(present, fencing, now) == IntentAction::Write) { ... }
//   OrderIntent intent = MakeIntent(runner, fencing, number, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// Maximum time from sending an order to its effect. Loading takes about a
// second, or a few if many engines load at once; an engine that takes longer is
// considered failed.
inline constexpr Duration kMaxOrderDuration = std::chrono::seconds(20);

// Maximum time from writing an intent to sending its order.
inline constexpr Duration kSendWindow = std::chrono::seconds(2);

// Allowance for the difference between the clocks of two daemons.
inline constexpr Duration kOrderClockMargin = std::chrono::seconds(2);

// An intent to order a runner. Written to the key-value service by
// compare-and-swap before the order is sent; the order may take effect until
// `expiresAt`.
struct OrderIntent
{
  UpstreamId runner;
  std::uint64_t fencingNumber = 0;
  // Sequence number of the holder, so that no two intents are equal.
  std::uint64_t number = 0;
  TimePoint expiresAt;

  bool operator==(const OrderIntent&) const = default;
};

inline OrderIntent
MakeIntent(const UpstreamId& aRunner,
           std::uint64_t aFencingNumber,
           std::uint64_t aNumber,
           TimePoint aNow)
{
  return {
    aRunner, aFencingNumber, aNumber, aNow + kSendWindow + kMaxOrderDuration
  };
}

// Returns the time by which the order of an intent must have been sent.
inline TimePoint
SendBy(const OrderIntent& aIntent)
{
  return aIntent.expiresAt - kMaxOrderDuration;
}

// What a lease holder does, given the present intent of a runner.
enum class IntentAction
{
  // Write its own intent.
  Write,
  // Wait, because the order of an earlier holder may still take effect.
  Wait,
  // Stop, because a later holder wrote the intent: this one has lost its lease.
  StepDown,
};

template<>
struct EnumNames<IntentAction>
{
  static constexpr std::array<EnumName<IntentAction>, 3> kTable{ {
    { IntentAction::Write, "write" },
    { IntentAction::Wait, "wait" },
    { IntentAction::StepDown, "give-way" },
  } };
};
static_assert(HasCompleteTable<IntentAction>());

// Decides from the present intent of the runner, if there is one.
inline IntentAction
DecideOnIntent(const std::optional<OrderIntent>& aPresent,
               std::uint64_t aFencingNumber,
               TimePoint aNow)
{
  if (!aPresent || aPresent->fencingNumber == aFencingNumber) {
    return IntentAction::Write;
  }
  if (aPresent->fencingNumber > aFencingNumber) {
    return IntentAction::StepDown;
  }
  return aNow < aPresent->expiresAt + kOrderClockMargin ? IntentAction::Wait
                                                        : IntentAction::Write;
}

} // namespace wigeonwalk
