// Stops calls to a service that does not answer, and lets one through now and
// then to find out whether it is back.
//
//   if (gate.Admit(now) == GateAdmission::Closed) { ... not sent ... }
//   gate.Failed(now);   // or gate.Succeeded(now)
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <cstdint>
#include <random>

namespace wigeonwalk {

// What the gate says to a call.
enum class GateAdmission
{
  // The service answers.
  Open,
  // The service did not answer; this one call tries again.
  Probe,
  // The call is not to be made now.
  Closed,
};

template<>
struct EnumNames<GateAdmission>
{
  static constexpr std::array<EnumName<GateAdmission>, 3> kTable{ {
    { GateAdmission::Open, "open" },
    { GateAdmission::Probe, "probe" },
    { GateAdmission::Closed, "closed" },
  } };
};
static_assert(HasCompleteTable<GateAdmission>());

// Exponential backoff with jitter. Daemons have different seeds, so that their
// probes are spread over the whole backoff when the service returns. One
// thread.
class BackoffGate
{
public:
  // Failures in a row that close the gate. One alone may be one connection.
  static constexpr std::uint32_t kFailuresToClose = 3;
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
  // 350 daemons that probe every 4 to 8 s make about 60 calls a second.
  static constexpr Duration kLongestBackoff = std::chrono::seconds(8);
  // A probe without a result for this long is taken for lost.
  static constexpr Duration kProbeTimeout = std::chrono::seconds(2);

  explicit BackoffGate(std::uint64_t aSeed);

  GateAdmission Admit(TimePoint aNow);

  // Records the end of a call. Returns true where it opened or closed the gate.
  bool Succeeded(TimePoint aNow);
  bool Failed(TimePoint aNow);

  bool IsClosed() const { return this->closed; }
  // The earliest time of the next probe, while closed.
  TimePoint RetryAt() const { return this->retryAt; }

private:
  std::mt19937_64 random;
  bool closed = false;
  bool probing = false;
  std::uint32_t failures = 0;
  Duration backoff = kFirstBackoff;
  TimePoint retryAt;
};

} // namespace wigeonwalk
