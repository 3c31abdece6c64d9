// Port for the structured log in which a daemon records its decisions.
//
//   log.Write(now, LogLevel::Info, "runner left", {},
//             { { LogKey::Upstream, id } });
#pragma once

#include "wigeonwalk/ports/log_field.h"

#include <concepts>
#include <initializer_list>

namespace wigeonwalk {

// Writes one line for each decision. Writing never blocks and never fails.
// `aRequest` is empty for a line that belongs to no request.
template<typename T>
concept StructuredLog = requires(T& aLog,
                                 TimePoint aNow,
                                 LogLevel aLevel,
                                 StringLiteral aEvent,
                                 const RequestId& aRequest,
                                 std::initializer_list<LogField> aFields)
{
  aLog.Write(aNow, aLevel, aEvent, aRequest, aFields);
};

} // namespace wigeonwalk
