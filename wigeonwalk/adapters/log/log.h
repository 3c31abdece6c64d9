// The daemon's log: one JSON object per line.
//
//   Log log(settings.host, LogLevel::Info, std::cerr);
//   log.Write(now, LogLevel::Warning, "upstream lost", request,
//             { { LogKey::Upstream, id }, { LogKey::Count, 3 } });
//   // {"time":"2026-12-04T08:00:00.000000Z","level":"warning","host":"isar-1",
//   //  "event":"upstream lost","request":"r-1","upstream":"u2","count":3}
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/log_field.h"

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>

namespace wigeonwalk {

// Upper bound on the text of one field, in bytes; longer texts are truncated.
inline constexpr std::size_t kMaxLogText = 256;

// Capacity in lines of the queue to the output. If a slow output lets it fill
// up, the oldest lines are dropped.
inline constexpr std::size_t kLogQueueLines = 8192;

// Writes lines on its own thread, so that a slow output never blocks the I/O
// thread. Thread-safe. The destructor writes the queued lines.
class Log
{
public:
  // The output must outlive the log.
  Log(HostId aHost, LogLevel aThreshold, std::ostream& aOutput);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // Writes one line; the request may be empty.
  void Write(TimePoint aNow,
             LogLevel aLevel,
             StringLiteral aEvent,
             const RequestId& aRequest,
             std::initializer_list<LogField> aFields = {});

  // Writes the queued lines and returns. Later lines are dropped.
  void Flush();

  // Returns how many lines were dropped because the output was slow.
  std::uint64_t Dropped() const;

private:
  struct Output;

  HostId host;
  LogLevel threshold;
  std::unique_ptr<Output> output;
};

} // namespace wigeonwalk
