// Intents that keep orders of two holders apart where engines ignore fencing
// numbers.
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

// Longest time from sending an order to its effect. Loading takes about a
// second, and a few when many load at once; an engine that takes longer is
// taken for failed.
inline constexpr Duration kLongestOrder = std::chrono::seconds(20);

// Time within which an order must be sent after its intent was written.
inline constexpr Duration kSendWindow = std::chrono::seconds(2);

// Allowance for clocks of two daemons that differ.
inline constexpr Duration kClockMargin = std::chrono::seconds(2);

// Written by compare-and-swap before an order is sent. Until `expiresAt` the
// order may take effect.
struct OrderIntent
{
  UpstreamId runner;
  std::uint64_t fencingNumber = 0;
  // Number of the intent by this holder; no two values are alike.
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
    aRunner, aFencingNumber, aNumber, aNow + kSendWindow + kLongestOrder
  };
}

// The time until which an order must have been sent.
inline TimePoint
SendBy(const OrderIntent& aIntent)
{
  return aIntent.expiresAt - kLongestOrder;
}

// What a holder does about the present intent of a runner.
enum class IntentAction
{
  // Write the own intent.
  Write,
  // Another holder's order may still take effect.
  Wait,
  // A later holder has been here; this one has lost its lease.
  GiveWay,
};

template<>
struct EnumNames<IntentAction>
{
  static constexpr std::array<EnumName<IntentAction>, 3> kTable{ {
    { IntentAction::Write, "write" },
    { IntentAction::Wait, "wait" },
    { IntentAction::GiveWay, "give-way" },
  } };
};
static_assert(HasCompleteTable<IntentAction>());

// Decides by the present intent, if any.
inline IntentAction
DecideOnIntent(const std::optional<OrderIntent>& aPresent,
               std::uint64_t aFencingNumber,
               TimePoint aNow)
{
  if (!aPresent || aPresent->fencingNumber == aFencingNumber) {
    return IntentAction::Write;
  }
  if (aPresent->fencingNumber > aFencingNumber) {
    return IntentAction::GiveWay;
  }
  return aNow < aPresent->expiresAt + kClockMargin ? IntentAction::Wait
                                                   : IntentAction::Write;
}

} // namespace wigeonwalk
