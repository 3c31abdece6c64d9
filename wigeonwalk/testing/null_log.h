// A log that discards its lines, for tests that do not check them.
//
//   NullLog log;
//   log.Write(time.Now(), LogLevel::Info, "started", RequestId());
#pragma once

#include "wigeonwalk/ports/structured_log.h"

namespace wigeonwalk {

struct NullLog
{
  void Write(TimePoint,
             LogLevel,
             StringLiteral,
             const RequestId&,
             std::initializer_list<LogField> = {})
  {
  }
};

static_assert(StructuredLog<NullLog>);

} // namespace wigeonwalk
