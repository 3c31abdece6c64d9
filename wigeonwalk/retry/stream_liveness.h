// Liveness of streams and age of pooled connections.
//
//   StreamLiveness liveness(settings, firstTokenWait, now);
//   liveness.RecordToken(now);
//   // No token by liveness.ProbeAt(): probe on a new connection.
//   LivenessAction action = liveness.ActOn(ProbeResult::Answered, idempotent);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <cstdint>

namespace wigeonwalk {

// What a probe on a new connection to the same upstream showed.
enum class ProbeResult
{
  // It answers, and nothing explains the silence on the old connection.
  Answered,
  // It answers and its load report explains the silence: work is queued ahead.
  AnsweredBusy,
  // It answers but has another incarnation: the run died with the old one.
  Restarted,
  // The connection was refused.
  Refused,
  // No answer by the probe's deadline.
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

// What to do with a silent stream.
enum class LivenessAction
{
  // Wait on; ProbeAt() has moved.
  WaitOn,
  // Close the connection and resume on the same upstream by a new one.
  ResumeSameUpstream,
  // Close the connection and go on at another upstream.
  MoveElsewhere,
  // End the request with its verdict (SilentConnection: may have run).
  Settle,
};

template<>
struct EnumNames<LivenessAction>
{
  static constexpr std::array<EnumName<LivenessAction>, 4> kTable{ {
    { LivenessAction::WaitOn, "wait-on" },
    { LivenessAction::ResumeSameUpstream, "resume-same-upstream" },
    { LivenessAction::MoveElsewhere, "move-elsewhere" },
    { LivenessAction::Settle, "settle" },
  } };
};
static_assert(HasCompleteTable<LivenessAction>());

// Bounds on the expected time to the next token.
struct LivenessSettings
{
  // Several times the target's 42 ms between tokens, above network jitter.
  Duration shortest = std::chrono::milliseconds(250);
  // The service document's tokenTimeout.
  Duration longest = std::chrono::seconds(2);
  // The first token may take this multiple of what placement expected.
  std::uint32_t firstTokenFactor = 2;
  // Deviations above the mean gap that still count as ordinary.
  std::uint32_t deviations = 4;
  // Multiple of the largest recent gap that still counts as ordinary. Engines
  // that batch prefills show rare long gaps that mean and deviation forget.
  std::uint32_t largestGapFactor = 2;
  // Longest wait for a probe's answer.
  Duration probeTimeout = std::chrono::milliseconds(500);
  // Times that a busy upstream extends the wait before the stream is moved.
  std::uint32_t extensions = 2;
};

// Follows the gaps between the tokens of one stream. One thread only.
class StreamLiveness
{
public:
  // `aFirstTokenWait` is placement's expected time to the first token.
  StreamLiveness(LivenessSettings aSettings,
                 Duration aFirstTokenWait,
                 TimePoint aNow);

  // Records a token; earlier extensions are forgotten.
  void RecordToken(TimePoint aNow);

  // Returns when the stream counts as silent unless a token arrives.
  TimePoint ProbeAt() const { return this->probeAt; }

  // Decides after a probe. A call that is not idempotent is never moved.
  LivenessAction ActOn(ProbeResult aResult, bool aIdempotent, TimePoint aNow);

private:
  Duration ExpectedGap() const;

  LivenessSettings settings;
  TimePoint lastAt;
  TimePoint probeAt;
  // Mean gap and mean deviation in microseconds, as for TCP's round-trip time.
  double meanGap = 0;
  double deviation = 0;
  // Largest gap, which decays with each token.
  double largestGap = 0;
  bool hasToken = false;
  bool hasGap = false;
  std::uint32_t extended = 0;
};

// What is known of a pooled connection.
struct PooledConnection
{
  TimePoint lastUsedAt;
  bool sawCancel = false;
  bool sawTimeout = false;
  bool sawLeftoverByte = false;
};

// Longest idle time of a pooled connection that is used again. A call that must
// not be repeated needs a fresher one, because a connection that went silent
// while idle would leave its verdict open.
inline constexpr Duration kMaxIdle = std::chrono::seconds(30);
inline constexpr Duration kMaxIdleNotRepeatable = std::chrono::seconds(2);

// Returns true where the connection may carry another request.
bool
MayReuse(const PooledConnection& aConnection, bool aIdempotent, TimePoint aNow);

} // namespace wigeonwalk
