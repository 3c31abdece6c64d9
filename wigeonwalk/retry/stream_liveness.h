// Detection of stalled streams, and reuse rules for pooled connections.
//
//   StreamLiveness liveness(settings, firstTokenWait, now);
//   liveness.RecordToken(now);
//   // No token by liveness.ProbeAt(): probe on a new connection.
//   LivenessAction action = liveness.DecideAfterProbe(ProbeResult::Answered,
//   idempotent);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// Result of a probe on a new connection to the same upstream.
enum class ProbeResult
{
  // The upstream answered, and nothing explains the stalled old connection.
  Answered,
  // The upstream answered, and its load report explains the stall: other work
  // is queued ahead.
  AnsweredBusy,
  // The upstream answered with another incarnation: it has restarted, and the
  // run is lost.
  Restarted,
  // The connection was refused.
  Refused,
  // No answer within the probe timeout.
  NoAnswer,
};

template<>
struct EnumNames<ProbeResult>
{
  static constexpr std::array<EnumName<ProbeResult>, 5> kTable{ {
    { ProbeResult::Answered, "answered" },
    { ProbeResult::AnsweredBusy, "answered-busy" },
    { ProbeResult::Restarted, "restarted" },
    { ProbeResult::Refused, "refused" },
    { ProbeResult::NoAnswer, "no-answer" },
  } };
};
static_assert(HasCompleteTable<ProbeResult>());

// What to do with a stalled stream.
enum class LivenessAction
{
  // Keep waiting; ProbeAt() returns a later time.
  KeepWaiting,
  // Close the connection and resume on a new one to the same upstream.
  ResumeSameUpstream,
  // Close the connection and continue on another upstream.
  MoveToOtherUpstream,
  // End the request with the verdict of SilentConnection (MayHaveRun).
  EndRequest,
};

template<>
struct EnumNames<LivenessAction>
{
  static constexpr std::array<EnumName<LivenessAction>, 4> kTable{ {
    { LivenessAction::KeepWaiting, "wait-on" },
    { LivenessAction::ResumeSameUpstream, "resume-same-upstream" },
    { LivenessAction::MoveToOtherUpstream, "move-elsewhere" },
    { LivenessAction::EndRequest, "settle" },
  } };
};
static_assert(HasCompleteTable<LivenessAction>());

// Parameters of the token timeout, which adapts to the gaps seen so far.
struct LivenessSettings
{
  // Several times the 42 ms between tokens of the target load, so that network
  // jitter causes no probe.
  Duration minTimeout = std::chrono::milliseconds(250);
  // The service document's tokenTimeout.
  Duration maxTimeout = std::chrono::seconds(2);
  // Timeout of the first token, as a multiple of the time that placement
  // predicted; at least `maxTimeout`.
  std::uint32_t firstTokenFactor = 2;
  // The timeout is at least the mean gap plus this many mean deviations.
  std::uint32_t deviationFactor = 4;
  // The timeout is at least this multiple of the largest recent gap. Engines
  // that batch prefills have rare long gaps, which no longer show in mean and
  // deviation by the time the next one comes.
  std::uint32_t largestGapFactor = 2;
  Duration probeTimeout = std::chrono::milliseconds(500);
  // Number of times that an AnsweredBusy probe extends the wait before the
  // stream is moved.
  std::uint32_t maxExtensions = 2;
};

// Tracks the gaps between the tokens of one stream. Not thread-safe.
class StreamLiveness
{
public:
  // `aFirstTokenWait` is the time to the first token that placement predicted.
  StreamLiveness(LivenessSettings aSettings,
                 Duration aFirstTokenWait,
                 TimePoint aNow);

  // Records a token and resets the number of extensions.
  void RecordToken(TimePoint aNow);

  // Returns the time at which the stream counts as stalled and must be probed,
  // unless a token arrives earlier.
  TimePoint ProbeAt() const { return this->probeAt; }

  // Decides on the stream after a probe. A non-idempotent call is never moved
  // to another upstream.
  LivenessAction DecideAfterProbe(ProbeResult aResult,
                                  bool aIdempotent,
                                  TimePoint aNow);

private:
  Duration ExpectedGap() const;

  LivenessSettings settings;
  TimePoint lastTokenAt;
  TimePoint probeAt;
  // Smoothed mean and mean deviation of the gaps in microseconds, computed as
  // for TCP's round-trip time (RFC 6298).
  double meanGap = 0;
  double deviation = 0;
  // Largest gap in microseconds; decays with each token.
  double largestGap = 0;
  bool hasToken = false;
  bool hasGap = false;
  std::uint32_t extensionsUsed = 0;
};

// State of a pooled connection.
struct PooledConnection
{
  TimePoint lastUsedAt;
  bool sawCancel = false;
  bool sawTimeout = false;
  bool sawLeftoverByte = false;
};

// Maximum idle time of a pooled connection that is reused. A non-idempotent
// call needs a more recently used one: if the connection failed silently while
// idle, it would be unknown whether the call ran.
inline constexpr Duration kMaxIdle = std::chrono::seconds(30);
inline constexpr Duration kMaxIdleNonIdempotent = std::chrono::seconds(2);

// Returns true if the connection may carry another request.
bool
MayReuse(const PooledConnection& aConnection, bool aIdempotent, TimePoint aNow);

} // namespace wigeonwalk
