#include "wigeonwalk/adapters/store/http_store.h"

#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <utility>

namespace wigeonwalk {

namespace {

// Maps the error status of a store host to a failure reason.
std::nullopt_t
FailStatus(FailureReason& aReason,
           unsigned aStatus,
           const std::string& aAddress)
{
  const std::string detail =
    "store host answered with status " + std::to_string(aStatus);
  switch (aStatus) {
    case 404:
      return Fail(aReason, ReasonCode::NotFound, detail, aAddress);
    case 409:
      return Fail(aReason, ReasonCode::Conflict, detail, aAddress);
    case 507:
      return Fail(aReason, ReasonCode::Overloaded, detail, aAddress);
    default:
      return Fail(aReason, ReasonCode::StatusServerError, detail, aAddress);
  }
}

} // namespace

HttpStore::HttpStore(HttpPool& aPool, std::string aAddress)
  : pool(aPool)
  , address(std::move(aAddress))
{
}

Task<std::optional<std::string>>
HttpStore::Call(std::string aTarget,
                std::string aBody,
                TimePoint aDeadline,
                FailureReason& aReason)
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  auto response = co_await this->pool.Exchange(
    this->address, request, Reuse::Allowed, aDeadline, aReason);
  if (!response) {
    co_return std::nullopt;
  }
  if (response->status != 200) {
    co_return FailStatus(aReason, response->status, this->address);
  }
  co_return std::move(response->body);
}

Task<std::optional<WriteReservation>>
HttpStore::Reserve(const PieceKey& aPiece,
                   std::uint64_t aBytes,
                   StoreTier aTier,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string target("/v1/store/reserve");
  std::string body = EncodeReservationRequest({ aPiece, aBytes, aTier });
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  auto ticket =
    answer ? DecodeWriteReservation(*answer, aReason) : std::nullopt;
  if (ticket) {
    ticket->address = this->address;
  }
  co_return ticket;
}

Task<bool>
HttpStore::Seal(const SealedPiece& aSealed,
                TimePoint aDeadline,
                FailureReason& aReason)
{
  std::string target("/v1/store/seal");
  std::string body = EncodeSealedPiece(aSealed);
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  co_return answer.has_value();
}

Task<std::optional<ReadLease>>
HttpStore::Acquire(const SealedPiece& aSealed,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string target("/v1/store/acquire");
  std::string body = EncodeSealedPiece(aSealed);
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  auto lease = answer ? DecodeLease(*answer, aReason) : std::nullopt;
  if (lease) {
    lease->address = this->address;
  }
  co_return lease;
}

Task<bool>
HttpStore::Release(const ReadLease& aLease,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string target("/v1/store/release");
  std::string body = EncodeLease(aLease);
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  co_return answer.has_value();
}

Task<bool>
HttpStore::Free(const SealedPiece& aSealed,
                TimePoint aDeadline,
                FailureReason& aReason)
{
  std::string target("/v1/store/free");
  std::string body = EncodeSealedPiece(aSealed);
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  co_return answer.has_value();
}

Task<std::optional<std::vector<SealedPiece>>>
HttpStore::List(TimePoint aDeadline, FailureReason& aReason)
{
  std::string target("/v1/store/list");
  std::string body;
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  co_return answer ? DecodeSealedPieces(*answer, aReason) : std::nullopt;
}

static_assert(StoreHost<HttpStore>);

} // namespace wigeonwalk
