// Ports for a model engine: token streams, cache events, load reports and
// orders. Export and import of KV cache are in store_host.h.
//
//   auto stream = co_await engine.Open(request, deadline, reason);
//   while (auto chunk = co_await stream->Next(deadline, reason)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Key of one piece of KV cache; see cache/piece_key.h.
using PieceKey = Hash128;

// Scheduling class of a request in an engine's queue. Lower values are served
// first.
enum class RequestClass
{
  Interactive,
  Standard,
  Background,
};

template<>
struct EnumNames<RequestClass>
{
  static constexpr std::array<EnumName<RequestClass>, 3> kTable{ {
    { RequestClass::Interactive, "interactive" },
    { RequestClass::Standard, "standard" },
    { RequestClass::Background, "background" },
  } };
};
static_assert(HasCompleteTable<RequestClass>());

// One generation request to one engine.
struct EngineRequest
{
  AttemptId attempt;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;
  // Isolates organisations from each other in the engine's prefix cache.
  std::string cacheSalt;
  std::string prompt;
  std::uint32_t maxTokens = 0;
  double temperature = 1.0;
  std::optional<std::int64_t> seed;
  RequestClass requestClass = RequestClass::Standard;
  // Number of tokens already delivered to the caller; the engine continues
  // after them.
  std::uint32_t resumeAt = 0;
  // The attempt whose generation to resume, if resumeAt is above zero.
  std::optional<AttemptId> resumes;
  // Keys of the prompt's complete pieces in order. The engine uses the same
  // keys in its cache events and imports.
  std::vector<PieceKey> pieces;
};

// One token of an answer.
struct AnswerChunk
{
  AttemptId attempt;
  // Position of this token in the answer, from zero.
  std::uint32_t index = 0;
  std::string text;
  // Set on the last chunk, to "stop" or "length".
  std::string finishReason;
  // Set on the last chunk: number of prompt tokens, and how many of them were
  // found in a cache.
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;

  bool IsLast() const { return !this->finishReason.empty(); }
};

// Load that an engine reports. Reports may be out of date.
struct LoadReport
{
  std::uint64_t incarnation = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  // Prompt tokens waiting for prefill.
  std::uint64_t waitingTokens = 0;
  // Free prefix-cache memory, in tokens.
  std::uint64_t freeCacheTokens = 0;
  TimePoint measuredAt;
};

// What happened to a piece in an engine's memory.
enum class CacheEventKind
{
  Stored,
  Evicted,
  Cleared,
};

template<>
struct EnumNames<CacheEventKind>
{
  static constexpr std::array<EnumName<CacheEventKind>, 3> kTable{ {
    { CacheEventKind::Stored, "stored" },
    { CacheEventKind::Evicted, "evicted" },
    { CacheEventKind::Cleared, "cleared" },
  } };
};
static_assert(HasCompleteTable<CacheEventKind>());

// One cache event. Sequence numbers increase by one within an engine's
// incarnation. Events may arrive late and with gaps.
struct CacheEvent
{
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::Stored;
  PieceKey piece;
};

// Cache events since a sequence number, with the engine's incarnation.
struct CacheEventBatch
{
  std::uint64_t incarnation = 0;
  std::vector<CacheEvent> events;
};

// Type of an order.
enum class OrderKind
{
  LoadVersion,
  LoadAdapter,
  ChangeRole,
  Drain,
};

template<>
struct EnumNames<OrderKind>
{
  static constexpr std::array<EnumName<OrderKind>, 4> kTable{ {
    { OrderKind::LoadVersion, "load-version" },
    { OrderKind::LoadAdapter, "load-adapter" },
    { OrderKind::ChangeRole, "change-role" },
    { OrderKind::Drain, "drain" },
  } };
};
static_assert(HasCompleteTable<OrderKind>());

// One order. It states the desired end state, so that a duplicate that arrives
// late is detected.
struct EngineOrder
{
  std::string orderId;
  std::uint64_t fencingNumber = 0;
  OrderKind kind = OrderKind::LoadVersion;
  ModelName model;
  // Version, adapter or role, depending on the kind.
  std::string target;
};

// How an engine answered an order.
enum class OrderAnswer
{
  Done,
  RefusedOldFencingNumber,
  Failed,
};

template<>
struct EnumNames<OrderAnswer>
{
  static constexpr std::array<EnumName<OrderAnswer>, 3> kTable{ {
    { OrderAnswer::Done, "done" },
    { OrderAnswer::RefusedOldFencingNumber, "refused-old-fencing-number" },
    { OrderAnswer::Failed, "failed" },
  } };
};
static_assert(HasCompleteTable<OrderAnswer>());

// What an engine is running.
struct EngineState
{
  std::uint64_t incarnation = 0;
  ModelName model;
  WeightVersion version;
  std::vector<AdapterName> adapters;
  std::string role;
  std::uint64_t lastFencingNumber = 0;
};

// An open stream of tokens. Next returns nullopt at the end of the stream (the
// reason stays None) or on failure (the reason tells how far the request got).
// After ResponseTimeout the stream is still open and Next may be called again.
template<typename T>
concept EngineStream = requires(T& aStream,
                                TimePoint aDeadline,
                                FailureReason& aReason)
{
  {
    aStream.Next(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<AnswerChunk>>>;
  {
    aStream.Cancel()
    } -> std::same_as<Task<void>>;
};

// Opens streams on one engine.
template<typename T>
concept StreamingEngine = EngineStream<typename T::Stream> &&
  requires(T& aEngine,
           const EngineRequest& aRequest,
           TimePoint aDeadline,
           FailureReason& aReason)
{
  {
    aEngine.Open(aRequest, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<typename T::Stream>>>;
};

// An engine that executes orders and reports its state.
template<typename T>
concept ControllableEngine = requires(T& aEngine,
                                      const EngineOrder& aOrder,
                                      TimePoint aDeadline,
                                      FailureReason& aReason)
{
  {
    aEngine.Order(aOrder, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<OrderAnswer>>>;
  {
    aEngine.State(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<EngineState>>>;
};

// An engine that reports load and cache events. Probe is Load on a new
// connection, because an existing one may be dead without having been closed,
// or belong to an earlier incarnation.
template<typename T>
concept ObservableEngine = requires(T& aEngine,
                                    std::uint64_t aSequence,
                                    TimePoint aDeadline,
                                    FailureReason& aReason)
{
  {
    aEngine.Load(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<LoadReport>>>;
  {
    aEngine.Probe(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<LoadReport>>>;
  {
    aEngine.CacheEvents(aSequence, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<CacheEventBatch>>>;
};

} // namespace wigeonwalk
