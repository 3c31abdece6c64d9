#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <nlohmann/json.hpp>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

// Parses JSON and applies a decoder, which may throw a JSON exception, for
// example for a missing field or a wrong type.
template<typename Decode>
auto
DecodeJson(std::string_view aBody, FailureReason& aReason, Decode aDecode)
  -> std::optional<decltype(aDecode(Json()))>
{
  try {
    return aDecode(Json::parse(aBody));
  } catch (const Json::exception& error) {
    return Fail(aReason, ReasonCode::MalformedResponse, error.what());
  }
}

Hash128
GetHash(const Json& aJson)
{
  const auto hash = ParseHash128(aJson.get<std::string>());
  if (!hash) {
    throw Json::other_error::create(501, "not a 128-bit hash", &aJson);
  }
  return *hash;
}

// Returns the enumerator with the name in its table.
template<NamedEnum E>
E
GetEnum(const Json& aJson)
{
  const auto value = ParseName<E>(aJson.get<std::string>());
  if (!value) {
    throw Json::other_error::create(501, "unknown enumeration name", &aJson);
  }
  return *value;
}

template<NamedEnum E>
std::string
NameString(E aValue)
{
  return std::string(NameOf(aValue));
}

AttemptId
GetAttempt(const Json& aJson)
{
  const auto attempt = ParseAttemptId(aJson.get<std::string>());
  if (!attempt) {
    throw Json::other_error::create(501, "not an attempt id", &aJson);
  }
  return *attempt;
}

Json
SealedToJson(const SealedPiece& aPiece)
{
  return {
    { "store", aPiece.store.Text() },    { "piece", aPiece.piece.ToHex() },
    { "generation", aPiece.generation }, { "bytes", aPiece.bytes },
    { "checksum", aPiece.checksum },     { "tier", NameString(aPiece.tier) },
    { "root", aPiece.root.ToHex() },     { "index", aPiece.index }
  };
}

SealedPiece
SealedFromJson(const Json& aJson)
{
  return { UpstreamId(aJson.at("store").get<std::string>()),
           GetHash(aJson.at("piece")),
           aJson.at("generation").get<std::uint64_t>(),
           aJson.at("bytes").get<std::uint64_t>(),
           aJson.at("checksum").get<std::uint64_t>(),
           GetEnum<StoreTier>(aJson.at("tier")),
           GetHash(aJson.at("root")),
           aJson.at("index").get<std::uint32_t>() };
}

} // namespace

std::string
EncodeCompletion(const EngineRequest& aRequest)
{
  Json json{ { "model", aRequest.model.Text() },
             { "prompt", aRequest.prompt },
             { "max_tokens", aRequest.maxTokens },
             { "temperature", aRequest.temperature },
             { "stream", true },
             { "priority", NameString(aRequest.requestClass) },
             { "cache_salt", aRequest.cacheSalt },
             { "weight_version", aRequest.version.Text() },
             { "adapter", aRequest.adapter.Text() },
             { "attempt", aRequest.attempt.ToString() },
             { "resume_at", aRequest.resumeAt } };
  if (aRequest.seed) {
    json["seed"] = *aRequest.seed;
  }
  if (aRequest.resumes) {
    json["resumes"] = aRequest.resumes->ToString();
  }
  Json pieces = Json::array();
  for (const PieceKey& piece : aRequest.pieces) {
    pieces.push_back(piece.ToHex());
  }
  json["pieces"] = std::move(pieces);
  return json.dump();
}

std::optional<EngineRequest>
DecodeCompletion(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    EngineRequest request;
    request.model = ModelName(aJson.at("model").get<std::string>());
    request.prompt = aJson.at("prompt").get<std::string>();
    request.maxTokens = aJson.at("max_tokens").get<std::uint32_t>();
    request.temperature = aJson.at("temperature").get<double>();
    request.requestClass = GetEnum<RequestClass>(aJson.at("priority"));
    request.cacheSalt = aJson.at("cache_salt").get<std::string>();
    request.version =
      WeightVersion(aJson.at("weight_version").get<std::string>());
    request.adapter = AdapterName(aJson.at("adapter").get<std::string>());
    request.attempt = GetAttempt(aJson.at("attempt"));
    request.resumeAt = aJson.at("resume_at").get<std::uint32_t>();
    if (aJson.contains("seed")) {
      request.seed = aJson.at("seed").get<std::int64_t>();
    }
    if (aJson.contains("resumes")) {
      request.resumes = GetAttempt(aJson.at("resumes"));
    }
    for (const Json& piece : aJson.at("pieces")) {
      request.pieces.push_back(GetHash(piece));
    }
    return request;
  });
}

std::string
EncodeChunk(const AnswerChunk& aChunk)
{
  Json choice{ { "index", 0 }, { "text", aChunk.text } };
  choice["finish_reason"] =
    aChunk.IsLast() ? Json(aChunk.finishReason) : Json(nullptr);
  Json json{ { "attempt", aChunk.attempt.ToString() },
             { "token_index", aChunk.index },
             { "choices", Json::array({ choice }) } };
  if (aChunk.IsLast()) {
    json["usage"] = { { "prompt_tokens", aChunk.promptTokens },
                      { "cached_tokens", aChunk.cachedTokens } };
  }
  return json.dump();
}

std::optional<AnswerChunk>
DecodeChunk(std::string_view aData, FailureReason& aReason)
{
  return DecodeJson(aData, aReason, [](const Json& aJson) {
    AnswerChunk chunk;
    const Json& choice = aJson.at("choices").at(0);
    chunk.attempt = GetAttempt(aJson.at("attempt"));
    chunk.index = aJson.at("token_index").get<std::uint32_t>();
    chunk.text = choice.at("text").get<std::string>();
    if (!choice.at("finish_reason").is_null()) {
      chunk.finishReason = choice.at("finish_reason").get<std::string>();
    }
    if (aJson.contains("usage")) {
      const Json& usage = aJson.at("usage");
      chunk.promptTokens = usage.at("prompt_tokens").get<std::uint32_t>();
      chunk.cachedTokens = usage.at("cached_tokens").get<std::uint32_t>();
    }
    return chunk;
  });
}

std::string
EncodeLoad(const LoadReport& aReport)
{
  return Json{
    { "incarnation", aReport.incarnation },
    { "running", aReport.running },
    { "waiting", aReport.waiting },
    { "waiting_tokens", aReport.waitingTokens },
    { "free_cache_tokens", aReport.freeCacheTokens },
    { "measured_at_us", aReport.measuredAt.time_since_epoch().count() }
  }.dump();
}

std::optional<LoadReport>
DecodeLoad(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    LoadReport report;
    report.incarnation = aJson.at("incarnation").get<std::uint64_t>();
    report.running = aJson.at("running").get<std::uint32_t>();
    report.waiting = aJson.at("waiting").get<std::uint32_t>();
    report.waitingTokens = aJson.at("waiting_tokens").get<std::uint64_t>();
    report.freeCacheTokens = aJson.at("free_cache_tokens").get<std::uint64_t>();
    report.measuredAt =
      TimePoint(Duration(aJson.at("measured_at_us").get<std::int64_t>()));
    return report;
  });
}

std::string
EncodeCacheEvents(const CacheEventBatch& aBatch)
{
  Json events = Json::array();
  for (const CacheEvent& event : aBatch.events) {
    events.push_back({ { "sequence", event.sequence },
                       { "kind", NameString(event.kind) },
                       { "piece", event.piece.ToHex() } });
  }
  return Json{
    { "incarnation", aBatch.incarnation }, { "events", std::move(events) }
  }.dump();
}

std::optional<CacheEventBatch>
DecodeCacheEvents(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    CacheEventBatch batch;
    batch.incarnation = aJson.at("incarnation").get<std::uint64_t>();
    for (const Json& event : aJson.at("events")) {
      batch.events.push_back({ event.at("sequence").get<std::uint64_t>(),
                               GetEnum<CacheEventKind>(event.at("kind")),
                               GetHash(event.at("piece")) });
    }
    return batch;
  });
}

std::string
EncodeWriteReservation(const WriteReservation& aWriteReservation)
{
  return Json{
    { "store", aWriteReservation.store.Text() },
    { "piece", aWriteReservation.piece.ToHex() },
    { "generation", aWriteReservation.generation },
    { "tier", NameString(aWriteReservation.tier) },
    { "address", aWriteReservation.address }
  }.dump();
}

std::optional<WriteReservation>
DecodeWriteReservation(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return WriteReservation{ UpstreamId(aJson.at("store").get<std::string>()),
                             GetHash(aJson.at("piece")),
                             aJson.at("generation").get<std::uint64_t>(),
                             GetEnum<StoreTier>(aJson.at("tier")),
                             aJson.at("address").get<std::string>() };
  });
}

std::string
EncodeSealedPiece(const SealedPiece& aPiece)
{
  return SealedToJson(aPiece).dump();
}

std::optional<SealedPiece>
DecodeSealedPiece(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, SealedFromJson);
}

std::string
EncodeSealedPieces(const std::vector<SealedPiece>& aPieces)
{
  Json list = Json::array();
  for (const SealedPiece& piece : aPieces) {
    list.push_back(SealedToJson(piece));
  }
  return Json{ { "pieces", std::move(list) } }.dump();
}

std::optional<std::vector<SealedPiece>>
DecodeSealedPieces(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    std::vector<SealedPiece> pieces;
    for (const Json& piece : aJson.at("pieces")) {
      pieces.push_back(SealedFromJson(piece));
    }
    return pieces;
  });
}

std::string
EncodeReservationRequest(const ReservationRequest& aReservation)
{
  return Json{
    { "piece", aReservation.piece.ToHex() },
    { "bytes", aReservation.bytes },
    { "tier", NameString(aReservation.tier) }
  }.dump();
}

std::optional<ReservationRequest>
DecodeReservationRequest(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return ReservationRequest{ GetHash(aJson.at("piece")),
                               aJson.at("bytes").get<std::uint64_t>(),
                               GetEnum<StoreTier>(aJson.at("tier")) };
  });
}

std::string
EncodeLease(const ReadLease& aLease)
{
  return Json{
    { "lease", aLease.lease },
    { "piece", SealedToJson(aLease.piece) },
    { "expires_at_us", aLease.expiresAt.time_since_epoch().count() },
    { "address", aLease.address }
  }.dump();
}

std::optional<ReadLease>
DecodeLease(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return ReadLease{ aJson.at("lease").get<std::uint64_t>(),
                      SealedFromJson(aJson.at("piece")),
                      TimePoint(Duration(
                        aJson.at("expires_at_us").get<std::int64_t>())),
                      aJson.at("address").get<std::string>() };
  });
}

std::string
EncodeOrder(const EngineOrder& aOrder)
{
  return Json{
    { "order_id", aOrder.orderId },
    { "fencing_number", aOrder.fencingNumber },
    { "kind", NameString(aOrder.kind) },
    { "model", aOrder.model.Text() },
    { "target", aOrder.target }
  }.dump();
}

std::optional<EngineOrder>
DecodeOrder(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return EngineOrder{ aJson.at("order_id").get<std::string>(),
                        aJson.at("fencing_number").get<std::uint64_t>(),
                        GetEnum<OrderKind>(aJson.at("kind")),
                        ModelName(aJson.at("model").get<std::string>()),
                        aJson.at("target").get<std::string>() };
  });
}

std::string
EncodeOrderAnswer(OrderAnswer aAnswer)
{
  return Json{ { "answer", NameString(aAnswer) } }.dump();
}

std::optional<OrderAnswer>
DecodeOrderAnswer(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    return GetEnum<OrderAnswer>(aJson.at("answer"));
  });
}

std::string
EncodeState(const EngineState& aState)
{
  Json adapters = Json::array();
  for (const AdapterName& adapter : aState.adapters) {
    adapters.push_back(adapter.Text());
  }
  return Json{
    { "incarnation", aState.incarnation },
    { "model", aState.model.Text() },
    { "weight_version", aState.version.Text() },
    { "adapters", std::move(adapters) },
    { "role", aState.role },
    { "last_fencing_number", aState.lastFencingNumber }
  }.dump();
}

std::optional<EngineState>
DecodeState(std::string_view aBody, FailureReason& aReason)
{
  return DecodeJson(aBody, aReason, [](const Json& aJson) {
    EngineState state;
    state.incarnation = aJson.at("incarnation").get<std::uint64_t>();
    state.model = ModelName(aJson.at("model").get<std::string>());
    state.version =
      WeightVersion(aJson.at("weight_version").get<std::string>());
    for (const Json& adapter : aJson.at("adapters")) {
      state.adapters.emplace_back(adapter.get<std::string>());
    }
    state.role = aJson.at("role").get<std::string>();
    state.lastFencingNumber =
      aJson.at("last_fencing_number").get<std::uint64_t>();
    return state;
  });
}

} // namespace wigeonwalk
