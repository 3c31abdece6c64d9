#include "wigeonwalk/adapters/entry_notices/entry_msgpack.h"

#include "wigeonwalk/adapters/msgpack/msgpack.h"
#include "wigeonwalk/adapters/notices/notice_codec.h"

#include <algorithm>
#include <cstdint>

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

// Rows of reports are packed into 8 bytes each: a reader sends many of them.
constexpr std::size_t kReportRowBytes = 8;

// Appends the lowest bytes of a value, the least significant first; a larger
// value is encoded as the largest one.
void
AppendBytes(std::string& aBytes, std::uint64_t aValue, std::size_t aCount)
{
  const std::uint64_t largest = (std::uint64_t(1) << (8 * aCount)) - 1;
  const std::uint64_t value = std::min(aValue, largest);
  for (std::size_t i = 0; i < aCount; ++i) {
    aBytes += static_cast<char>((value >> (8 * i)) & 0xFF);
  }
}

std::uint64_t
ReadBytes(const std::string& aBytes, std::size_t aFirst, std::size_t aCount)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    value |= std::uint64_t(static_cast<unsigned char>(aBytes.at(aFirst + i)))
             << (8 * i);
  }
  return value;
}

Json
PackReports(const RunnerReports& aReports)
{
  std::string bytes;
  for (const RunnerReportRow& row : aReports.rows) {
    AppendBytes(bytes, row.runner, 4);
    AppendBytes(bytes, row.tokens / kReportTokens, 2);
    AppendBytes(bytes, row.requests, 1);
    AppendBytes(bytes, static_cast<std::uint64_t>(row.age / kReportAge), 1);
  }
  return Binary(bytes);
}

RunnerReports
UnpackReports(const Json& aJson)
{
  const std::string bytes = BytesOf(aJson);
  RunnerReports reports;
  for (std::size_t at = 0; at < bytes.size(); at += kReportRowBytes) {
    const auto age = static_cast<Duration::rep>(ReadBytes(bytes, at + 7, 1));
    reports.rows.push_back(
      { static_cast<RunnerKey>(ReadBytes(bytes, at, 4)),
        ReadBytes(bytes, at + 4, 2) * kReportTokens,
        static_cast<std::uint32_t>(ReadBytes(bytes, at + 6, 1)),
        age * kReportAge });
  }
  return reports;
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
  return PackMessage(
    Json::array({ aWork.runner.Text(), aWork.tokensToPrefill }));
}

std::optional<RunnerWork>
EntryMsgpack::DecodeWork(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return RunnerWork{ UpstreamId(aJson.at(0).get<std::string>()),
                       aJson.at(1).get<std::uint32_t>() };
  });
}

std::string
EntryMsgpack::EncodeReports(const RunnerReports& aReports) const
{
  return PackMessage(PackReports(aReports));
}

std::optional<RunnerReports>
EntryMsgpack::DecodeReports(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, UnpackReports);
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

std::string
EntryMsgpack::EncodeQuery(const RegistryQuery& aQuery) const
{
  return PackMessage(Json::array({ aQuery.revision }));
}

std::optional<RegistryQuery>
EntryMsgpack::DecodeQuery(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return RegistryQuery{ aJson.at(0).get<std::int64_t>() };
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
  return PackMessage(Json::array({ aChanges.revision,
                                   aChanges.full,
                                   std::move(rows),
                                   aChanges.age.count(),
                                   PackReports(aChanges.reports) }));
}

std::optional<RegistryChanges>
EntryMsgpack::DecodeChanges(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    RegistryChanges changes;
    changes.revision = aJson.at(0).get<std::int64_t>();
    changes.full = aJson.at(1).get<bool>();
    changes.age = Duration(aJson.at(3).get<std::int64_t>());
    changes.reports = UnpackReports(aJson.at(4));
    for (const Json& row : aJson.at(2)) {
      WatchEvent change;
      change.deleted = row.at(0).get<bool>();
      change.entry.key = row.at(1).get<std::string>();
      change.entry.value = BytesOf(row.at(2));
      change.entry.createRevision = row.at(3).get<std::int64_t>();
      change.entry.modRevision = row.at(4).get<std::int64_t>();
      changes.changes.push_back(std::move(change));
    }
    return changes;
  });
}

} // namespace wigeonwalk
