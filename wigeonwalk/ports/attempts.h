// Ports of the entry's request path: attempts at runners, and the exchange with
// the caller.
//
//   auto attempt = co_await upstreams.Open(request, order, by, until, reason);
//   co_await exchange.Answer(*attempt, body);
#pragma once

#include "wigeonwalk/entry/entry_request.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <optional>
#include <string>

namespace wigeonwalk {

// One request that was sent to a runner. Reads return nothing with a reason on
// failure; an empty text is the end of the body. Dropping an attempt that is
// not finished makes the runner stop.
template<typename T>
concept RunnerExchange = requires(T& aAttempt,
                                  const T& aConst,
                                  TimePoint aDeadline,
                                  LastReason& aReason)
{
  {
    aAttempt.ReadHead(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<AnswerFacts>>>;
  {
    aAttempt.ReadBody(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::string>>>;
  {
    aAttempt.ReadEvents(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::string>>>;
  {
    aConst.LastEventId()
    } -> std::same_as<std::optional<std::uint64_t>>;
  {
    aAttempt.Finish()
    } -> std::same_as<void>;
};

// Opens attempts. `Request` is a caller's request with its decoded `facts`.
template<typename T>
concept AttemptOpener = RunnerExchange<typename T::Attempt> &&
  requires(T& aOpener,
           const typename T::Request& aRequest,
           const AttemptOrder& aOrder,
           TimePoint aConnectBy,
           TimePoint aDeadline,
           LastReason& aReason)
{
  {
    aOpener.Open(aRequest, aOrder, aConnectBy, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<typename T::Attempt>>>;
  {
    aRequest.facts
    } -> std::same_as<const EntryRequest&>;
};

// The caller's side of one request. Each call returns false where the caller
// is gone.
template<typename T, typename Attempt>
concept CallerExchange = requires(T& aExchange,
                                  const Attempt& aAttempt,
                                  std::string aBytes,
                                  const Refusal& aRefusal)
{
  // The runner's whole answer.
  {
    aExchange.Answer(aAttempt, aBytes)
    } -> std::same_as<Task<bool>>;
  // The head of the runner's stream with its first events, more events, and
  // the end.
  {
    aExchange.BeginStream(aAttempt, aBytes)
    } -> std::same_as<Task<bool>>;
  {
    aExchange.WriteEvents(aBytes)
    } -> std::same_as<Task<bool>>;
  {
    aExchange.EndStream()
    } -> std::same_as<Task<bool>>;
  // An answer of this system's own.
  {
    aExchange.Refuse(aRefusal)
    } -> std::same_as<Task<bool>>;
  // Closes the connection within an answer, so that it can't look complete.
  {
    aExchange.Abort()
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
