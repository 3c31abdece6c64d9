// Port for the log of decisions.
//
//   log.Write(now, LogLevel::Info, "runner left", {},
//             { { LogKey::Upstream, id } });
#pragma once

#include "wigeonwalk/ports/log_field.h"

#include <concepts>
#include <initializer_list>

namespace wigeonwalk {

// Takes one line for each decision. Writing never blocks and never fails; the
// request may be empty.
template<typename T>
concept DecisionLog = requires(T& aLog,
                               TimePoint aNow,
                               LogLevel aLevel,
                               LiteralText aEvent,
                               const RequestId& aRequest,
                               std::initializer_list<LogField> aFields)
{
  aLog.Write(aNow, aLevel, aEvent, aRequest, aFields);
};

} // namespace wigeonwalk
