// A log for tests that don't look at it.
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
