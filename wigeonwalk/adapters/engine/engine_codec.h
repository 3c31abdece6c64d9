// JSON encoding of the messages between daemons, engines and store hosts.
// Shared by the adapters and the stand-ins.
//
//   std::string body = EncodeCompletion(request);
//   auto chunk = DecodeChunk(data, reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/ports/store_host.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Header of an engine's error response which indicates that the request was
// refused before execution.
inline constexpr std::string_view kNotRunHeader = "X-Request-Not-Run";

// The decoders return nothing with the reason MalformedResponse if the text is
// not JSON, a field is missing or its value is invalid.

std::string
EncodeCompletion(const EngineRequest& aRequest);
std::optional<EngineRequest>
DecodeCompletion(std::string_view aBody, FailureReason& aReason);

// The data of one server-sent event, without the "data: " prefix.
std::string
EncodeChunk(const AnswerChunk& aChunk);
std::optional<AnswerChunk>
DecodeChunk(std::string_view aData, FailureReason& aReason);

std::string
EncodeLoad(const LoadReport& aReport);
std::optional<LoadReport>
DecodeLoad(std::string_view aBody, FailureReason& aReason);

std::string
EncodeCacheEvents(const CacheEventBatch& aBatch);
std::optional<CacheEventBatch>
DecodeCacheEvents(std::string_view aBody, FailureReason& aReason);

std::string
EncodeWriteReservation(const WriteReservation& aWriteReservation);
std::optional<WriteReservation>
DecodeWriteReservation(std::string_view aBody, FailureReason& aReason);

std::string
EncodeSealedPiece(const SealedPiece& aPiece);
std::optional<SealedPiece>
DecodeSealedPiece(std::string_view aBody, FailureReason& aReason);

std::string
EncodeSealedPieces(const std::vector<SealedPiece>& aPieces);
std::optional<std::vector<SealedPiece>>
DecodeSealedPieces(std::string_view aBody, FailureReason& aReason);

// A daemon's request to a store host to reserve space before an export.
struct ReservationRequest
{
  PieceKey piece;
  std::uint64_t bytes = 0;
  StoreTier tier = StoreTier::Memory;
};

std::string
EncodeReservationRequest(const ReservationRequest& aReservation);
std::optional<ReservationRequest>
DecodeReservationRequest(std::string_view aBody, FailureReason& aReason);

std::string
EncodeLease(const ReadLease& aLease);
std::optional<ReadLease>
DecodeLease(std::string_view aBody, FailureReason& aReason);

std::string
EncodeOrder(const EngineOrder& aOrder);
std::optional<EngineOrder>
DecodeOrder(std::string_view aBody, FailureReason& aReason);

std::string
EncodeOrderAnswer(OrderAnswer aAnswer);
std::optional<OrderAnswer>
DecodeOrderAnswer(std::string_view aBody, FailureReason& aReason);

std::string
EncodeState(const EngineState& aState);
std::optional<EngineState>
DecodeState(std::string_view aBody, FailureReason& aReason);

} // namespace wigeonwalk
