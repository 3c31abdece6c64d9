#include "wigeonwalk/adapters/log/log.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace wigeonwalk {

namespace {

using OrderedJson = nlohmann::ordered_json;

// Returns the time as RFC 3339 in UTC with microseconds.
std::string
PrintTime(TimePoint aTime)
{
  const auto day = std::chrono::floor<std::chrono::days>(aTime);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(aTime - day);
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()),
                static_cast<int>(clock.subseconds().count()));
  return text.data();
}

OrderedJson
ToJson(const LogField::Value& aValue)
{
  return std::visit(
    [](const auto& aAlternative) -> OrderedJson {
      using Alternative = std::decay_t<decltype(aAlternative)>;
      if constexpr (std::is_same_v<Alternative, std::string>) {
        return aAlternative.substr(0, kMaxLogText);
      } else {
        return aAlternative;
      }
    },
    aValue);
}

} // namespace

struct Log::Output
{
  explicit Output(std::ostream& aStream)
    : pool(std::make_shared<spdlog::details::thread_pool>(kLogQueueLines, 1))
    , logger(std::make_shared<spdlog::async_logger>(
        "wigeonwalk",
        std::make_shared<spdlog::sinks::ostream_sink_mt>(aStream, true),
        this->pool,
        spdlog::async_overflow_policy::overrun_oldest))
  {
    this->logger->set_pattern("%v");
    this->logger->set_level(spdlog::level::trace);
  }

  // Destroys the pool first: its destructor writes the queued lines and joins
  // its thread, so that the last reference to the logger is released on this
  // thread and not on the pool's.
  ~Output() { this->pool.reset(); }

  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

Log::Log(HostId aHost, LogLevel aThreshold, std::ostream& aOutput)
  : host(std::move(aHost))
  , threshold(aThreshold)
  , output(std::make_unique<Output>(aOutput))
{
}

Log::~Log() = default;

void
Log::Write(TimePoint aNow,
           LogLevel aLevel,
           StringLiteral aEvent,
           const RequestId& aRequest,
           std::initializer_list<LogField> aFields)
{
  if (aLevel < this->threshold || aLevel == LogLevel::Off) {
    return;
  }
  OrderedJson line;
  line["time"] = PrintTime(aNow);
  line["level"] = std::string(NameOf(aLevel));
  line["host"] = this->host.Text();
  line["event"] = std::string(aEvent.Text());
  if (!aRequest.Empty()) {
    line["request"] = aRequest.Text().substr(0, kMaxLogText);
  }
  for (const auto& field : aFields) {
    line[std::string(NameOf(field.Key()))] = ToJson(field.Get());
  }
  // Ids from callers may hold arbitrary bytes; invalid UTF-8 is replaced.
  const std::string text =
    line.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
  this->output->logger->log(spdlog::level::info, "{}", text);
}

void
Log::Flush()
{
  this->threshold = LogLevel::Off;
  this->output->pool.reset();
}

std::uint64_t
Log::Dropped() const
{
  return this->output->pool ? this->output->pool->overrun_counter() : 0;
}

} // namespace wigeonwalk
