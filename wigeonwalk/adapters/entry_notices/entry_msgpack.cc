#include "wigeonwalk/adapters/entry_notices/entry_msgpack.h"

#include "wigeonwalk/adapters/msgpack/msgpack.h"
#include "wigeonwalk/adapters/notices/notice_codec.h"

#include <cstdint>
#include <stdexcept>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

// Values may hold arbitrary bytes, so they are encoded as binary, not as text.
Json
Binary(const std::string& aBytes)
{
  return Json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
BytesOf(const Json& aJson)
{
  const auto& bytes = aJson.get_binary();
  return { bytes.begin(), bytes.end() };
}

Json
WeightAgesToJson(const std::vector<WeightsAge>& aWeights)
{
  Json rows = Json::array();
  for (const WeightsAge& row : aWeights) {
    rows.push_back(Json::array({ row.model.Text(),
                                 row.version,
                                 row.revision,
                                 row.age.count(),
                                 row.mayBeOlder }));
  }
  return rows;
}

// Throws for an element that is malformed.
std::vector<WeightsAge>
WeightAgesFromJson(const Json& aJson)
{
  std::vector<WeightsAge> weights;
  if (!aJson.is_array() || aJson.size() > kMaxWeightAges) {
    throw std::runtime_error("not a list of ages of weights, or too long");
  }
  for (const Json& row : aJson) {
    if (!row.at(1).is_number_unsigned() || !row.at(3).is_number_unsigned()) {
      throw std::runtime_error("negative version or age");
    }
    weights.push_back({ ModelName(row.at(0).get<std::string>()),
                        row.at(1).get<WeightNumber>(),
                        row.at(2).get<std::int64_t>(),
                        Duration(row.at(3).get<std::int64_t>()),
                        row.at(4).get<bool>() });
  }
  return weights;
}

} // namespace

std::string
EntryMsgpack::EncodePause(const RunnerPause& aPause) const
{
  return PackMessage(Json::array({ aPause.runner.Text(),
                                   aPause.model.Text(),
                                   aPause.loaded,
                                   aPause.pause.count() }));
}

std::optional<RunnerPause>
EntryMsgpack::DecodePause(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return RunnerPause{ UpstreamId(aJson.at(0).get<std::string>()),
                        ModelName(aJson.at(1).get<std::string>()),
                        aJson.at(2).get<WeightNumber>(),
                        Duration(aJson.at(3).get<std::int64_t>()) };
  });
}

std::string
EntryMsgpack::EncodeLoads(const RunnerLoads& aLoads) const
{
  Json rows = Json::array();
  for (const RunnerLoadRow& row : aLoads.rows) {
    rows.push_back(
      Json::array({ row.runner.Text(), row.inFlight, row.tokensInFlight }));
  }
  return PackMessage(rows);
}

std::optional<RunnerLoads>
EntryMsgpack::DecodeLoads(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    RunnerLoads loads;
    for (const Json& row : aJson) {
      loads.rows.push_back({ UpstreamId(row.at(0).get<std::string>()),
                             row.at(1).get<std::uint32_t>(),
                             row.at(2).get<std::uint64_t>() });
    }
    return loads;
  });
}

std::string
EntryMsgpack::EncodeWork(const RunnerWork& aWork) const
{
  return PackMessage(Json::array({ aWork.runner.Text(),
                                   aWork.tokensToPrefill,
                                   aWork.memoryTokens,
                                   aWork.expectedRun.count(),
                                   aWork.atRunner.count,
                                   aWork.atRunner.tokens }));
}

std::optional<RunnerWork>
EntryMsgpack::DecodeWork(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    RunnerWork work{ UpstreamId(aJson.at(0).get<std::string>()),
                     aJson.at(1).get<std::uint32_t>() };
    // Earlier releases send two or four fields.
    constexpr std::size_t kFieldsWithMemory = 4;
    constexpr std::size_t kFieldsWithAll = 6;
    if (aJson.size() >= kFieldsWithMemory) {
      work.memoryTokens = aJson.at(2).get<std::uint64_t>();
      work.expectedRun = Duration(aJson.at(3).get<std::int64_t>());
      work.atRunner = { 1, work.memoryTokens };
    }
    if (aJson.size() >= kFieldsWithAll) {
      work.atRunner = { aJson.at(4).get<std::uint32_t>(),
                        aJson.at(5).get<std::uint64_t>() };
    }
    return work;
  });
}

std::string
EntryMsgpack::EncodeParts(const HeldParts& aParts) const
{
  Json rows = Json::array();
  for (const HeldPart& row : aParts.changes) {
    rows.push_back(Json::array({ row.part.high, row.part.low, row.tokens }));
  }
  return PackMessage(
    Json::array({ aParts.holder.Text(), aParts.epoch, std::move(rows) }));
}

std::optional<HeldParts>
EntryMsgpack::DecodeParts(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    HeldParts parts;
    parts.holder = UpstreamId(aJson.at(0).get<std::string>());
    parts.epoch = aJson.at(1).get<std::int64_t>();
    for (const Json& row : aJson.at(2)) {
      parts.changes.push_back(
        { { row.at(0).get<std::uint64_t>(), row.at(1).get<std::uint64_t>() },
          row.at(2).get<std::uint32_t>() });
    }
    return parts;
  });
}

PeerNotice
EntryMsgpack::EncodePoison(const PoisonNotice& aNotice) const
{
  return EncodeNotice(aNotice);
}

std::optional<PoisonNotice>
EntryMsgpack::DecodePoison(const PeerNotice& aNotice) const
{
  return DecodePoisonNotice(aNotice);
}

PeerNotice
EntryMsgpack::EncodeLeaving(const LeavingNotice& aNotice) const
{
  return EncodeNotice(aNotice);
}

std::optional<LeavingNotice>
EntryMsgpack::DecodeLeaving(const PeerNotice& aNotice) const
{
  return DecodeLeavingNotice(aNotice);
}

std::string
EntryMsgpack::EncodePartEvidence(const PartNotice& aNotice) const
{
  return PackMessage(Json::array({ aNotice.part.hash.high,
                                   aNotice.part.hash.low,
                                   aNotice.part.partsAfter,
                                   aNotice.crashId,
                                   aNotice.content,
                                   aNotice.sentAge.count(),
                                   aNotice.age.count() }));
}

std::optional<PartNotice>
EntryMsgpack::DecodePartEvidence(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return PartNotice{ { { aJson.at(0).get<std::uint64_t>(),
                           aJson.at(1).get<std::uint64_t>() },
                         aJson.at(2).get<std::uint32_t>() },
                       aJson.at(3).get<std::uint64_t>(),
                       aJson.at(4).get<std::uint64_t>(),
                       Duration(aJson.at(5).get<std::int64_t>()),
                       Duration(aJson.at(6).get<std::int64_t>()) };
  });
}

std::string
EntryMsgpack::EncodeStream(const StreamRecord& aRecord) const
{
  return PackMessage(Json::array({ aRecord.key.high,
                                   aRecord.key.low,
                                   aRecord.origin.service.Text(),
                                   aRecord.origin.version }));
}

std::optional<StreamRecord>
EntryMsgpack::DecodeStream(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return StreamRecord{ { aJson.at(0).get<std::uint64_t>(),
                           aJson.at(1).get<std::uint64_t>() },
                         { ServiceName(aJson.at(2).get<std::string>()),
                           aJson.at(3).get<std::string>() } };
  });
}

std::string
EntryMsgpack::EncodeQuery(const RegistryQuery& aQuery) const
{
  Json fields = Json::array({ aQuery.revision });
  if (aQuery.wantsWeightAges) {
    fields.push_back(true);
  }
  return PackMessage(fields);
}

std::optional<RegistryQuery>
EntryMsgpack::DecodeQuery(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return RegistryQuery{ aJson.at(0).get<std::int64_t>(),
                          aJson.size() > 1 && aJson.at(1).get<bool>() };
  });
}

std::string
EntryMsgpack::EncodeChanges(const RegistryChanges& aChanges) const
{
  Json rows = Json::array();
  for (const WatchEvent& change : aChanges.changes) {
    rows.push_back(Json::array({ change.deleted,
                                 change.entry.key,
                                 Binary(change.entry.value),
                                 change.entry.createRevision,
                                 change.entry.modRevision }));
  }
  Json fields = Json::array({ aChanges.revision,
                              aChanges.full,
                              std::move(rows),
                              aChanges.age.count() });
  if (!aChanges.weights.empty()) {
    fields.push_back(WeightAgesToJson(aChanges.weights));
  }
  return PackMessage(fields);
}

std::optional<RegistryChanges>
EntryMsgpack::DecodeChanges(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    RegistryChanges changes;
    changes.revision = aJson.at(0).get<std::int64_t>();
    changes.full = aJson.at(1).get<bool>();
    changes.age = Duration(aJson.at(3).get<std::int64_t>());
    for (const Json& row : aJson.at(2)) {
      WatchEvent change;
      change.deleted = row.at(0).get<bool>();
      change.entry.key = row.at(1).get<std::string>();
      change.entry.value = BytesOf(row.at(2));
      change.entry.createRevision = row.at(3).get<std::int64_t>();
      change.entry.modRevision = row.at(4).get<std::int64_t>();
      changes.changes.push_back(std::move(change));
    }
    // Daemons of earlier releases send no ages.
    if (aJson.size() > 4) {
      changes.weights = WeightAgesFromJson(aJson.at(4));
    }
    return changes;
  });
}

} // namespace wigeonwalk
