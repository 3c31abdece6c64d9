// HTTP client of a store host. docs/engine-api.md describes the wire format.
//
//   HttpStore store(pool, spec.address);
//   auto lease = co_await store.Acquire(sealed, deadline, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/ports/store_host.h"

#include <string>

namespace wigeonwalk {

// Client of one store host. Not thread-safe. The pool must outlive it.
class HttpStore
{
public:
  HttpStore(HttpPool& aPool, std::string aAddress);

  Task<std::optional<WriteReservation>> Reserve(const PieceKey& aPiece,
                                                std::uint64_t aBytes,
                                                StoreTier aTier,
                                                TimePoint aDeadline,
                                                FailureReason& aReason);
  Task<bool> Seal(const SealedPiece& aSealed,
                  TimePoint aDeadline,
                  FailureReason& aReason);
  Task<std::optional<ReadLease>> Acquire(const SealedPiece& aSealed,
                                         TimePoint aDeadline,
                                         FailureReason& aReason);
  Task<bool> Release(const ReadLease& aLease,
                     TimePoint aDeadline,
                     FailureReason& aReason);
  Task<bool> Free(const SealedPiece& aSealed,
                  TimePoint aDeadline,
                  FailureReason& aReason);
  Task<std::optional<std::vector<SealedPiece>>> List(TimePoint aDeadline,
                                                     FailureReason& aReason);

private:
  Task<std::optional<std::string>> Call(std::string aTarget,
                                        std::string aBody,
                                        TimePoint aDeadline,
                                        FailureReason& aReason);

  HttpPool& pool;
  std::string address;
};

} // namespace wigeonwalk
