// How far one request of a caller has got.
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/request_log.h"
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
  // Attempts of which a runner may have got something.
  std::uint32_t sends = 0;
  int connects = 0;
  Verdict verdict = Verdict::NotRun;
  LastReason failure;
  AttemptEnd end = AttemptEnd::Failed;
  // The caller has its final answer or is gone.
  bool done = false;
  bool streamBegun = false;
  std::optional<std::uint64_t> lastEventId;
  // The epoch where the caller got nothing of a runner.
  TimePoint firstByteAt;
  // A failed answer of a runner, which is passed on where no other attempt
  // succeeds.
  std::unique_ptr<Attempt> failedAnswer;
  std::string failedBody;
  // Of the last runner's answer; zero without one.
  unsigned status = 0;
};

} // namespace wigeonwalk
