#include "wigeonwalk/adapters/engine/engine_codec.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

const PieceKey kPiece{ 0x0123456789abcdefULL, 42 };

SealedPiece
Sealed()
{
  return { UpstreamId("s1"), kPiece,           7, 4096, 99,
           StoreTier::Disk,  PieceKey{ 1, 2 }, 3 };
}

// A decoder, wrapped in a function that returns whether it accepted the text.
struct Decoder
{
  std::string name;
  std::string valid;
  std::function<bool(std::string_view)> accepts;
};

template<typename Function>
Decoder
MakeDecoder(std::string aName, std::string aValid, Function aDecode)
{
  return { std::move(aName), std::move(aValid), [aDecode](auto aText) {
            FailureReason reason;
            return aDecode(aText, reason).has_value();
          } };
}

std::vector<Decoder>
AllDecoders()
{
  EngineRequest request;
  request.attempt = { HostId("isar-1"), 1, 2, 3 };
  AnswerChunk chunk;
  chunk.attempt = request.attempt;
  return {
    MakeDecoder("completion", EncodeCompletion(request), DecodeCompletion),
    MakeDecoder("chunk", EncodeChunk(chunk), DecodeChunk),
    MakeDecoder("load", EncodeLoad({}), DecodeLoad),
    MakeDecoder("cache events",
                EncodeCacheEvents({ 1, { { 2, {}, kPiece } } }),
                DecodeCacheEvents),
    MakeDecoder("write reservation",
                EncodeWriteReservation(
                  { UpstreamId("s1"), kPiece, 7, {}, "127.0.0.1:1" }),
                DecodeWriteReservation),
    MakeDecoder("sealed", EncodeSealedPiece(Sealed()), DecodeSealedPiece),
    MakeDecoder(
      "sealed list", EncodeSealedPieces({ Sealed() }), DecodeSealedPieces),
    MakeDecoder("reservation",
                EncodeReservationRequest({ kPiece, 1, {} }),
                DecodeReservationRequest),
    MakeDecoder(
      "lease", EncodeLease({ 5, Sealed(), {}, "127.0.0.1:1" }), DecodeLease),
    MakeDecoder("order", EncodeOrder({}), DecodeOrder),
    MakeDecoder("order answer", EncodeOrderAnswer({}), DecodeOrderAnswer),
    MakeDecoder("state", EncodeState({}), DecodeState),
  };
}

} // namespace

// Guards against a field that only one side of the protocol encodes or decodes.
// The store address was once missing from write reservations, so that no piece
// was ever exported.
SCENARIO("messages of daemons, engines and store hosts round-trip", "[codec]")
{
  FailureReason reason;
  GIVEN("a request that resumes a stream")
  {
    EngineRequest request;
    request.attempt = { HostId("isar.1"), 9, 8, 7 };
    request.resumes = AttemptId{ HostId("isar.1"), 9, 8, 6 };
    request.resumeAt = 12;
    request.model = ModelName("lace");
    request.version = WeightVersion("v3");
    request.prompt = "tulle";
    request.maxTokens = 20;
    request.temperature = 0;
    request.seed = -4;
    request.pieces = { kPiece };
    THEN("every field round-trips")
    {
      const auto got = DecodeCompletion(EncodeCompletion(request), reason);
      REQUIRE(got.has_value());
      CHECK(got->attempt == request.attempt);
      CHECK(got->resumes == request.resumes);
      CHECK(got->resumeAt == 12);
      CHECK(got->seed == -4);
      CHECK(got->temperature == 0);
      CHECK(got->pieces == request.pieces);
      CHECK(got->version == request.version);
    }
  }
  GIVEN("the messages of a cache transfer")
  {
    const WriteReservation reservation{
      UpstreamId("s1"), kPiece, 7, StoreTier::Disk, "127.0.0.1:9000"
    };
    const ReadLease lease{
      5, Sealed(), TimePoint(Duration(11)), "127.0.0.1:1"
    };
    THEN("reservation, sealed piece and lease keep identity, checksum and "
         "address")
    {
      const auto gotReservation =
        DecodeWriteReservation(EncodeWriteReservation(reservation), reason);
      REQUIRE(gotReservation.has_value());
      CHECK(gotReservation->address == reservation.address);
      CHECK(gotReservation->generation == 7);
      CHECK(gotReservation->tier == StoreTier::Disk);
      CHECK(DecodeSealedPiece(EncodeSealedPiece(Sealed()), reason) == Sealed());
      const auto gotLease = DecodeLease(EncodeLease(lease), reason);
      REQUIRE(gotLease.has_value());
      CHECK(gotLease->piece == Sealed());
      CHECK(gotLease->address == lease.address);
      CHECK(gotLease->expiresAt == lease.expiresAt);
    }
  }
  GIVEN("every decoder")
  {
    THEN("it accepts its own encoding and rejects damaged ones")
    {
      for (const Decoder& decoder : AllDecoders()) {
        INFO(decoder.name);
        CHECK(decoder.accepts(decoder.valid));
        CHECK_FALSE(decoder.accepts(""));
        CHECK_FALSE(decoder.accepts("[1]"));
        CHECK_FALSE(decoder.accepts("{}"));
        for (std::size_t cut = 0; cut + 1 < decoder.valid.size(); cut += 3) {
          CHECK_FALSE(decoder.accepts(decoder.valid.substr(0, cut + 1)));
        }
      }
    }
  }
}
