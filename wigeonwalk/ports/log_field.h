// Typed fields of a log line.
//
//   LogField(LogKey::Service, document.name)
//   LogField(LogKey::Elapsed, std::chrono::milliseconds(12))
//
// A field holds a number, an id, the name of an enum value or a string literal.
// No constructor takes arbitrary text, so that prompt text, answer text and API
// keys can't be logged by accident.
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace wigeonwalk {

// Severity of a log line. Off is used only as a threshold.
enum class LogLevel
{
  Trace,
  Debug,
  Info,
  Warning,
  Error,
  Critical,
  Off,
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr std::array<EnumName<LogLevel>, 7> kTable{ {
    { LogLevel::Trace, "trace" },
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
    { LogLevel::Critical, "critical" },
    { LogLevel::Off, "off" },
  } };
};
static_assert(HasCompleteTable<LogLevel>());

// Keys of the fields.
enum class LogKey
{
  Organisation,
  Service,
  Model,
  Version,
  Zone,
  Peer,
  Upstream,
  Attempt,
  Step,
  Verdict,
  Reason,
  Place,
  Detail,
  Status,
  Method,
  Revision,
  Tokens,
  Bytes,
  Count,
  Elapsed,
  Limit,
  Route,
  Address,
  Age,
  CachedTokens,
  FetchedTokens,
  ReadTokens,
  Cost,
  FirstByte,
  Outcome,
  Start,
  Cause,
  Part,
  Expected,
  Source,
  Configuration,
};

template<>
struct EnumNames<LogKey>
{
  static constexpr std::array<EnumName<LogKey>, 36> kTable{ {
    { LogKey::Organisation, "organisation" },
    { LogKey::Service, "service" },
    { LogKey::Model, "model" },
    { LogKey::Version, "version" },
    { LogKey::Zone, "zone" },
    { LogKey::Peer, "peer" },
    { LogKey::Upstream, "upstream" },
    { LogKey::Attempt, "attempt" },
    { LogKey::Step, "step" },
    { LogKey::Verdict, "verdict" },
    { LogKey::Reason, "reason" },
    { LogKey::Place, "place" },
    { LogKey::Detail, "detail" },
    { LogKey::Status, "status" },
    { LogKey::Method, "method" },
    { LogKey::Revision, "revision" },
    { LogKey::Tokens, "tokens" },
    { LogKey::Bytes, "bytes" },
    { LogKey::Count, "count" },
    { LogKey::Elapsed, "elapsed_us" },
    { LogKey::Limit, "limit_us" },
    { LogKey::Route, "route" },
    { LogKey::Address, "address" },
    { LogKey::Age, "age_us" },
    { LogKey::CachedTokens, "cached_tokens" },
    { LogKey::FetchedTokens, "fetched_tokens" },
    { LogKey::ReadTokens, "read_tokens" },
    { LogKey::Cost, "cost_ms" },
    { LogKey::FirstByte, "first_byte_us" },
    { LogKey::Outcome, "outcome" },
    { LogKey::Start, "start" },
    { LogKey::Cause, "cause" },
    { LogKey::Part, "part" },
    { LogKey::Expected, "expected" },
    { LogKey::Source, "source" },
    { LogKey::Configuration, "configuration" },
  } };
};
static_assert(HasCompleteTable<LogKey>());

// A string literal. Constructing it from any other string does not compile.
class StringLiteral
{
public:
  template<std::size_t Size>
  consteval StringLiteral(const char (&aText)[Size])
    : text(aText, Size - 1)
  {
  }

  constexpr std::string_view Text() const { return this->text; }

private:
  std::string_view text;
};

// One field: a key and its typed value. Strings longer than kMaxLogText bytes
// are truncated.
class LogField
{
public:
  using Value = std::variant<std::int64_t, double, bool, std::string>;

  template<std::integral T>
  LogField(LogKey aKey, T aNumber)
    : key(aKey)
    , value(Convert(aNumber))
  {
  }

  LogField(LogKey aKey, double aNumber)
    : key(aKey)
    , value(aNumber)
  {
  }

  LogField(LogKey aKey, Duration aDuration)
    : key(aKey)
    , value(std::int64_t(aDuration.count()))
  {
  }

  LogField(LogKey aKey, StringLiteral aText)
    : key(aKey)
    , value(std::string(aText.Text()))
  {
  }

  template<typename Tag>
  LogField(LogKey aKey, const Id<Tag>& aId)
    : key(aKey)
    , value(aId.Text())
  {
  }

  LogField(LogKey aKey, const AttemptId& aAttempt)
    : key(aKey)
    , value(aAttempt.ToString())
  {
  }

  // Returns a field whose value is an address or a name that comes from the
  // configuration, such as that of a route.
  static LogField Name(LogKey aKey, std::string aName)
  {
    LogField field(aKey, false);
    field.value = std::move(aName);
    return field;
  }

  template<NamedEnum E>
  LogField(LogKey aKey, E aValue)
    : key(aKey)
    , value(std::string(NameOf(aValue)))
  {
  }

  // Logs the code, place and detail of a failure. Functions never put request
  // content or API keys into a reason.
  explicit LogField(const FailureReason& aReason)
    : key(LogKey::Reason)
    , value(aReason.ToString())
  {
  }

  LogKey Key() const { return this->key; }
  const Value& Get() const { return this->value; }

private:
  template<std::integral T>
  static Value Convert(T aNumber)
  {
    if constexpr (std::same_as<T, bool>) {
      return aNumber;
    } else {
      return static_cast<std::int64_t>(aNumber);
    }
  }

  LogKey key;
  Value value;
};

} // namespace wigeonwalk
