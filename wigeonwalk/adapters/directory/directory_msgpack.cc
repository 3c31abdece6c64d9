#include "wigeonwalk/adapters/directory/directory_msgpack.h"

#include "wigeonwalk/adapters/msgpack/msgpack.h"

#include <stdexcept>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

Json
HashToJson(const Hash128& aHash)
{
  return Json::array({ aHash.high, aHash.low });
}

Hash128
HashFromJson(const Json& aJson)
{
  return { aJson.at(0).get<std::uint64_t>(), aJson.at(1).get<std::uint64_t>() };
}

// Rows are encoded as arrays, because field names would double their size.
Json
PieceToJson(const SealedPiece& aPiece)
{
  return Json::array({ aPiece.store.Text(),
                       HashToJson(aPiece.piece),
                       aPiece.generation,
                       aPiece.bytes,
                       aPiece.checksum,
                       static_cast<unsigned>(aPiece.tier),
                       HashToJson(aPiece.root),
                       aPiece.index });
}

SealedPiece
PieceFromJson(const Json& aJson)
{
  const auto tier = aJson.at(5).get<unsigned>();
  if (tier >= EnumNames<StoreTier>::kTable.size()) {
    throw std::out_of_range("unknown tier");
  }
  return { UpstreamId(aJson.at(0).get<std::string>()),
           HashFromJson(aJson.at(1)),
           aJson.at(2).get<std::uint64_t>(),
           aJson.at(3).get<std::uint64_t>(),
           aJson.at(4).get<std::uint64_t>(),
           static_cast<StoreTier>(tier),
           HashFromJson(aJson.at(6)),
           aJson.at(7).get<std::uint32_t>() };
}

void
CheckPieceList(const Json& aList)
{
  if (!aList.is_array() || aList.size() > kMaxChainPieces) {
    throw std::length_error("not an array, or too many pieces");
  }
}

std::vector<SealedPiece>
PiecesFromJson(const Json& aList)
{
  CheckPieceList(aList);
  std::vector<SealedPiece> pieces;
  for (const Json& row : aList) {
    pieces.push_back(PieceFromJson(row));
  }
  return pieces;
}

Json
PiecesToJson(const std::vector<SealedPiece>& aPieces)
{
  Json list = Json::array();
  for (const SealedPiece& piece : aPieces) {
    list.push_back(PieceToJson(piece));
  }
  return list;
}

} // namespace

std::string
DirectoryMsgpack::EncodeChain(const std::vector<PieceKey>& aChain) const
{
  Json list = Json::array();
  for (const PieceKey& key : aChain) {
    list.push_back(HashToJson(key));
  }
  return PackMessage(list);
}

std::optional<std::vector<PieceKey>>
DirectoryMsgpack::DecodeChain(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    CheckPieceList(aJson);
    std::vector<PieceKey> chain;
    for (const Json& key : aJson) {
      chain.push_back(HashFromJson(key));
    }
    return chain;
  });
}

std::string
DirectoryMsgpack::EncodeCopies(const ChainCopies& aCopies) const
{
  Json list = Json::array();
  for (const std::vector<PieceCopy>& copies : aCopies) {
    Json row = Json::array();
    for (const PieceCopy& copy : copies) {
      row.push_back(Json::array({ PieceToJson(copy.piece), copy.weight }));
    }
    list.push_back(std::move(row));
  }
  return PackMessage(list);
}

std::optional<ChainCopies>
DirectoryMsgpack::DecodeCopies(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    CheckPieceList(aJson);
    ChainCopies chain;
    for (const Json& row : aJson) {
      std::vector<PieceCopy>& copies = chain.emplace_back();
      for (const Json& copy : row) {
        copies.push_back(
          { PieceFromJson(copy.at(0)), copy.at(1).get<double>() });
      }
    }
    return chain;
  });
}

std::string
DirectoryMsgpack::EncodeUpdate(const DirectoryUpdate& aUpdate) const
{
  return PackMessage(Json::array(
    { PiecesToJson(aUpdate.added), PiecesToJson(aUpdate.removed) }));
}

std::optional<DirectoryUpdate>
DirectoryMsgpack::DecodeUpdate(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return DirectoryUpdate{ PiecesFromJson(aJson.at(0)),
                            PiecesFromJson(aJson.at(1)) };
  });
}

} // namespace wigeonwalk
