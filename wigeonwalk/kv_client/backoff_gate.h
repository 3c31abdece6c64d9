// Circuit breaker for a service: blocks calls while the service does not
// answer, and admits single probe calls to detect its recovery.
//
//   if (gate.Admit(now) == GateAdmission::Closed) { ... not sent ... }
//   gate.RecordFailure(now);   // or gate.RecordSuccess(now)
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <cstdint>
#include <random>

namespace wigeonwalk {

// The gate's decision on a call. As with a gate, and unlike in the usual terms
// for circuit breakers, calls pass while it is open.
enum class GateAdmission
{
  // The service answers.
  Open,
  // The service has not answered; this one call is admitted as a probe.
  Probe,
  // The call must not be sent now.
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

// Exponential backoff with jitter. Daemons use different seeds, so that their
// probes are spread over the whole backoff interval when the service recovers.
// Not thread-safe.
class BackoffGate
{
public:
  // Consecutive failures that close the gate. A single one may be due to one
  // broken connection.
  static constexpr std::uint32_t kFailuresToClose = 3;
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
  // 350 daemons that each probe every 4 to 8 s send about 60 calls a second.
  static constexpr Duration kMaxBackoff = std::chrono::seconds(8);
  // A probe without a result after this time is considered lost.
  static constexpr Duration kProbeTimeout = std::chrono::seconds(2);

  explicit BackoffGate(std::uint64_t aSeed);

  GateAdmission Admit(TimePoint aNow);

  // Record the result of a call. Return true if it opened or closed the gate.
  bool RecordSuccess(TimePoint aNow);
  bool RecordFailure(TimePoint aNow);

  bool IsClosed() const { return this->closed; }
  // While the gate is closed, the earliest time of the next probe.
  TimePoint RetryAt() const { return this->retryAt; }

private:
  std::mt19937_64 random;
  bool closed = false;
  bool isProbeInFlight = false;
  std::uint32_t failures = 0;
  Duration backoff = kInitialBackoff;
  TimePoint retryAt;
};

} // namespace wigeonwalk
