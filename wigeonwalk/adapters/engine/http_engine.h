// Client of a model engine over HTTP: the published OpenAI completions
// protocol, and extensions for load reports, cache events, cache transfer and
// orders. The wire format is described in docs/engine-api.md.
//
//   HttpEngine engine(pool, "127.0.0.1:9000");
//   auto stream = co_await engine.Open(request, deadline, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/ports/store_host.h"

#include <memory>
#include <string>

namespace wigeonwalk {

// One engine at one address. A failed call returns nothing (Import: false) with
// the reason. Not thread-safe. The pool must outlive this object.
class HttpEngine
{
public:
  // An open stream of tokens. Destroying it before its end closes the
  // connection, which the engine treats as a cancellation.
  class Stream
  {
  public:
    struct State;

    explicit Stream(std::unique_ptr<State> aState);
    Stream(Stream&&) noexcept;
    Stream& operator=(Stream&&) noexcept;
    ~Stream();

    // Returns the next chunk, or nothing at the end of the stream. On a
    // failure, returns nothing with the reason.
    Task<std::optional<AnswerChunk>> Next(TimePoint aDeadline,
                                          FailureReason& aReason);

    // Closes the connection and sends a cancel request on a new one, because
    // the engine may not notice the close of an unresponsive connection.
    Task<void> Cancel();

  private:
    std::unique_ptr<State> state;
  };

  HttpEngine(HttpPool& aPool, std::string aAddress);

  Task<std::optional<Stream>> Open(const EngineRequest& aRequest,
                                   TimePoint aDeadline,
                                   FailureReason& aReason);
  Task<std::optional<LoadReport>> Load(TimePoint aDeadline,
                                       FailureReason& aReason);
  // Reads the load over a new connection, to check that the engine is
  // reachable.
  Task<std::optional<LoadReport>> Probe(TimePoint aDeadline,
                                        FailureReason& aReason);
  Task<std::optional<CacheEventBatch>> CacheEvents(std::uint64_t aSequence,
                                                   TimePoint aDeadline,
                                                   FailureReason& aReason);
  Task<std::optional<SealedPiece>> Export(
    const WriteReservation& aWriteReservation,
    TimePoint aDeadline,
    FailureReason& aReason);
  Task<bool> Import(const ReadLease& aLease,
                    TimePoint aDeadline,
                    FailureReason& aReason);
  Task<std::optional<OrderAnswer>> Order(const EngineOrder& aOrder,
                                         TimePoint aDeadline,
                                         FailureReason& aReason);
  Task<std::optional<EngineState>> State(TimePoint aDeadline,
                                         FailureReason& aReason);

private:
  Task<std::optional<std::string>> Call(std::string aMethod,
                                        std::string aTarget,
                                        std::string aBody,
                                        Reuse aReuse,
                                        TimePoint aDeadline,
                                        FailureReason& aReason);

  HttpPool& pool;
  std::string address;
};

} // namespace wigeonwalk
