// The log lines of one request; docs/OPERATIONS.md explains them.
//
//   LogPlaced(log, now, request, pick, sentAttempts);
//   LogEnd(log, now, request.id, admitted, end);
#pragma once

#include "wigeonwalk/entry/admission.h"
#include "wigeonwalk/entry/runner_pick.h"
#include "wigeonwalk/ports/structured_log.h"
#include "wigeonwalk/retry/stream_take_up.h"
#include "wigeonwalk/retry/verdict_rules.h"

#include <cstdint>
#include <vector>

namespace wigeonwalk {

// How one attempt ended.
enum class AttemptEnd
{
  // The caller has received the whole response.
  Delivered,
  CallerGone,
  // The runner or the connection to it failed.
  Failed,
  // Nothing was sent, because the runner takes no new requests any more.
  NotSent,
};

template<>
struct EnumNames<AttemptEnd>
{
  static constexpr std::array<EnumName<AttemptEnd>, 4> kTable{ {
    { AttemptEnd::Delivered, "delivered" },
    { AttemptEnd::CallerGone, "caller-gone" },
    { AttemptEnd::Failed, "failed" },
    { AttemptEnd::NotSent, "not-sent" },
  } };
};
static_assert(HasCompleteTable<AttemptEnd>());

// How a request ended.
struct RequestEnd
{
  AttemptEnd end = AttemptEnd::Failed;
  UpstreamId lastRunner;
  // Status of the last runner's response; zero if there was none.
  unsigned status = 0;
  Verdict verdict = Verdict::NotRun;
  FailureReason failure;
  // Attempts that may have reached a runner.
  std::uint32_t sentAttempts = 0;
  TimePoint arrivedAt;
  // When the first bytes of a runner's response were relayed; the epoch if none
  // were.
  TimePoint firstByteAt;
};

// Logs that a runner was chosen for a prompt.
template<StructuredLog L>
void
LogPlaced(L& aLog,
          TimePoint aNow,
          const EntryRequest& aRequest,
          const RunnerPick& aPick,
          std::uint32_t aSentAttempts)
{
  if (!aRequest.prompt) {
    return;
  }
  aLog.Write(aNow,
             LogLevel::Info,
             "request placed",
             aRequest.id,
             { { LogKey::Upstream, aPick.runner->entry.id },
               { LogKey::Zone, aPick.runner->entry.zone },
               { LogKey::Version, aPick.spec.version },
               { LogKey::Age, aPick.replacedFor },
               { LogKey::Limit, aPick.spec.timeLeft },
               { LogKey::CachedTokens, aPick.cachedTokens },
               { LogKey::FetchedTokens, aPick.fetchedTokens },
               { LogKey::ReadTokens, aPick.prefillTokens },
               { LogKey::Cost, aPick.cost },
               { LogKey::Count, aSentAttempts } });
}

// Logs that a caller takes a stream up again, and whether its origin is known.
template<StructuredLog L>
void
LogTakeUp(L& aLog,
          TimePoint aNow,
          const EntryRequest& aRequest,
          const TakeUp& aFound)
{
  aLog.Write(aNow,
             LogLevel::Info,
             "stream taken up",
             aRequest.id,
             { { LogKey::Attempt, aRequest.firstAttempt },
               { LogKey::Source, aFound.source },
               { LogKey::Service, aFound.origin.service },
               LogField::Name(LogKey::Version, aFound.origin.version) });
}

// Logs that an attempt at a runner failed.
template<StructuredLog L>
void
LogFailed(L& aLog,
          TimePoint aNow,
          const RequestId& aRequest,
          const Runner& aRunner,
          const FailureReason& aFailure,
          std::uint32_t aSentAttempts)
{
  aLog.Write(aNow,
             LogLevel::Info,
             "attempt failed",
             aRequest,
             { { LogKey::Upstream, aRunner.entry.id },
               LogField(aFailure),
               { LogKey::Verdict, VerdictOf(aFailure.code) },
               { LogKey::Count, aSentAttempts } });
}

// Logs the parts of a prompt whose request was lost with its runner before it
// was answered.
template<StructuredLog L>
void
LogPartsLost(L& aLog,
             TimePoint aNow,
             const RequestId& aRequest,
             const UpstreamId& aRunner,
             const std::vector<SharedPart>& aParts)
{
  for (const SharedPart& part : aParts) {
    aLog.Write(aNow,
               LogLevel::Info,
               "prompt part lost with a runner",
               aRequest,
               { LogField::Name(LogKey::Part, part.hash.ToHex()),
                 { LogKey::Upstream, aRunner } });
  }
}

// Logs the end of a request: its response is complete, or the caller has left.
template<StructuredLog L>
void
LogEnd(L& aLog,
       TimePoint aNow,
       const RequestId& aRequest,
       const AdmittedRequest& aAdmitted,
       const RequestEnd& aEnd)
{
  const Duration firstByte = aEnd.firstByteAt == TimePoint()
                               ? Duration(0)
                               : aEnd.firstByteAt - aEnd.arrivedAt;
  const Route* route = aAdmitted.route;
  const std::uint64_t configuration =
    aAdmitted.routes ? aAdmitted.routes->Configuration().version : 0;
  aLog.Write(aNow,
             LogLevel::Info,
             "request finished",
             aRequest,
             { LogField::Name(LogKey::Route, route ? route->name : ""),
               { LogKey::Organisation, aAdmitted.Scope().organisation },
               { LogKey::Upstream, aEnd.lastRunner },
               { LogKey::Outcome, aEnd.end },
               { LogKey::Status, aEnd.status },
               { LogKey::Verdict, aEnd.verdict },
               LogField(aEnd.failure),
               { LogKey::Configuration, configuration },
               { LogKey::Count, aEnd.sentAttempts },
               { LogKey::FirstByte, firstByte },
               { LogKey::Elapsed, aNow - aEnd.arrivedAt } });
}

} // namespace wigeonwalk
