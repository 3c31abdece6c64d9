// A model engine over HTTP: the OpenAI completions protocol as published, and
// extension calls for load, cache events, cache moves and orders. The wire
// format is described in docs/engine-api.md.
//
//   HttpEngine engine(pool, "127.0.0.1:9000");
//   auto stream = co_await engine.Open(request, deadline, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_client.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/ports/store_host.h"

#include <memory>
#include <string>

namespace wigeonwalk {

// One engine at one address. Not thread-safe. The pool must outlive it.
class HttpEngine
{
public:
  // An open stream of tokens. Destroying it before its end closes the
  // connection, which the engine takes as a cancel.
  class Stream
  {
  public:
    struct State;

    explicit Stream(std::unique_ptr<State> aState);
    Stream(Stream&&) noexcept;
    Stream& operator=(Stream&&) noexcept;
    ~Stream();

    Task<std::optional<AnswerChunk>> Next(TimePoint aDeadline,
                                          FailureReason& aReason);

    // Closes the connection and tells the engine on another one, because the
    // first may have gone silent.
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
  Task<std::optional<LoadReport>> Probe(TimePoint aDeadline,
                                        FailureReason& aReason);
  Task<std::optional<CacheEventBatch>> CacheEvents(std::uint64_t aSequence,
                                                   TimePoint aDeadline,
                                                   FailureReason& aReason);
  Task<std::optional<SealedPiece>> Export(const WriteReservation& aTicket,
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
