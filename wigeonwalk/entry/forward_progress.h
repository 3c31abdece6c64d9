// Progress of one caller's request through its attempts.
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/request_log.h"
#include "wigeonwalk/fleet/stream_origin.h"
#include "wigeonwalk/ports/attempts.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

template<RunnerExchange Attempt>
struct ForwardProgress
{
  TimePoint arrivedAt;
  AdmittedRequest admitted;
  std::vector<UpstreamId> tried;
  UpstreamId lastRunner;
  // Attempts that may have reached a runner.
  std::uint32_t sentAttempts = 0;
  int connectAttempts = 0;
  Verdict verdict = Verdict::NotRun;
  FailureReason failure;
  // Delay until a retry if the request is refused; zero for the default.
  Duration retryAfter{ 0 };
  AttemptEnd end = AttemptEnd::Failed;
  // The caller has got its final response or has left.
  bool done = false;
  bool streamStarted = false;
  // The answer of the present attempt has begun and gone on.
  bool answerGoesOn = false;
  std::optional<std::uint64_t> lastEventId;
  // Which runners may continue the caller's stream, once it has begun.
  StreamOrigin origin;
  // The caller has events of it from an earlier attempt.
  bool isTakeUp = false;
  // Identifies the stream if it may be taken up again.
  std::optional<Hash128> streamKey;

  // The origin that runners must have; null if any may begin the stream.
  const StreamOrigin* Resumed() const
  {
    return this->streamStarted || this->isTakeUp ? &this->origin : nullptr;
  }
  // When the first bytes of a runner's response were relayed; the epoch if none
  // were.
  TimePoint firstByteAt;
  // A runner's error response, relayed to the caller if no other attempt
  // succeeds.
  std::unique_ptr<Attempt> failedAnswer;
  std::string failedBody;
  // Status of the last runner's response; zero if there was none.
  unsigned status = 0;
};

} // namespace wigeonwalk
