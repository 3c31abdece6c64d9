// Applies what runners say of themselves in their answers, and logs it.
//
//   ApplyAdvice(state, log, runner, head.advice, now);
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/fleet/runner_advice.h"
#include "wigeonwalk/ports/structured_log.h"

#include <memory>

namespace wigeonwalk {

// Logs that a runner gets no new requests, and for how long it is expected to
// serve its open ones.
template<StructuredLog L>
void
LogLeaving(L& aLog,
           const EntryState& aState,
           const RunnerEntry& aRunner,
           LeavingCause aCause,
           TimePoint aNow)
{
  aLog.Write(aNow,
             LogLevel::Info,
             "runner leaves",
             {},
             { { LogKey::Upstream, aRunner.id },
               { LogKey::Service, aRunner.service },
               { LogKey::Start, aRunner.startedAt },
               { LogKey::Cause, aCause },
               { LogKey::Limit, aState.Settings().bounds.drain } });
}

// Logs that a runner asked for no requests, and for how much longer it gets
// none.
template<StructuredLog L>
void
LogPause(L& aLog, const Runner& aRunner, TimePoint aNow)
{
  aLog.Write(aNow,
             LogLevel::Info,
             "runner asks for a pause",
             {},
             { { LogKey::Upstream, aRunner.entry.id },
               { LogKey::Service, aRunner.entry.service },
               { LogKey::Start, aRunner.entry.startedAt },
               { LogKey::Cause, LeavingCause::Answer },
               { LogKey::Limit, aRunner.requestedPause.AdmitsFrom() - aNow } });
}

// Applies the advice in an answer of a runner. `aRunner` is the start of the
// runner to which the call was made; it may have ended since. Null stands for a
// holder that is no runner.
template<StructuredLog L>
void
ApplyAdvice(EntryState& aState,
            L& aLog,
            const std::shared_ptr<Runner>& aRunner,
            const RunnerAdvice& aAdvice,
            TimePoint aNow)
{
  if (aRunner == nullptr) {
    return;
  }
  if (aAdvice.isLeaving && aState.MarkLeaving(*aRunner, LeavingCause::Answer)) {
    LogLeaving(aLog, aState, aRunner->entry, LeavingCause::Answer, aNow);
  }
  if (aAdvice.coldRemaining) {
    aRunner->coldStart.Extend(aNow + *aAdvice.coldRemaining);
  }
  if (aAdvice.pause && aState.Pause(*aRunner, *aAdvice.pause, aNow)) {
    LogPause(aLog, *aRunner, aNow);
  }
}

// As above, for an answer that gives the start of its sender; zero if it does
// not. An answer of another start says nothing of this one.
template<StructuredLog L>
void
ApplyAdvice(EntryState& aState,
            L& aLog,
            const std::shared_ptr<Runner>& aRunner,
            std::int64_t aStartedAt,
            const RunnerAdvice& aAdvice,
            TimePoint aNow)
{
  if (aRunner != nullptr && aRunner->IsSameStart(aStartedAt)) {
    ApplyAdvice(aState, aLog, aRunner, aAdvice, aNow);
  }
}

} // namespace wigeonwalk
