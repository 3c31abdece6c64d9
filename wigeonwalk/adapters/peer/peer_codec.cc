#include "wigeonwalk/adapters/peer/peer_codec.h"

#include "wigeonwalk/adapters/peer/internal/message_fields.h"
#include "wigeonwalk/adapters/peer/peer_frame.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wigeonwalk {

using peer_internal::EncodePayload;
using peer_internal::Fields;
using peer_internal::Json;
using peer_internal::ParsePayload;

namespace {

// Limits on decoded messages, far above what daemons send.
constexpr std::size_t kMaxNameBytes = 256;
// One notice may fill a datagram.
constexpr std::size_t kMaxNoticeBytes = kMaxDatagramBytes;
constexpr std::size_t kMaxTextBytes = 2 * 1024 * 1024;
constexpr std::size_t kMaxPiggybacked = 64;
constexpr std::size_t kMaxListItems = 10'000;
// Limit on times and ages, about 146,000 years, so that arithmetic on them does
// not overflow.
constexpr std::uint64_t kMaxMicroseconds = std::uint64_t(1) << 62;

Json
Binary(const std::string& aBytes)
{
  return Json::binary({ aBytes.begin(), aBytes.end() });
}

template<typename E>
Json
EnumNumber(E aValue)
{
  return static_cast<std::uint64_t>(aValue);
}

template<typename T, typename F>
Json
EncodeList(const std::vector<T>& aItems, F aEncode)
{
  Json list = Json::array();
  for (const T& item : aItems) {
    list.push_back(aEncode(item));
  }
  return list;
}

// Decodes an array. Returns false if it is missing or an element is invalid.
// Elements that are valid but for which aDecode returns nothing are of a kind
// unknown to this release and are skipped.
template<typename T, typename F>
bool
DecodeList(const Json* aList, std::vector<T>& aItems, F aDecode)
{
  if (!aList) {
    return false;
  }
  for (const Json& element : *aList) {
    Fields fields(element);
    std::optional<T> item = aDecode(fields);
    if (!fields.Valid()) {
      return false;
    }
    if (item) {
      aItems.push_back(std::move(*item));
    }
  }
  return true;
}

Json
EncodeUpdate(const MemberUpdate& aUpdate)
{
  return { { "h", aUpdate.host.Text() }, { "a", aUpdate.address },
           { "z", aUpdate.zone.Text() }, { "r", aUpdate.region },
           { "i", aUpdate.incarnation }, { "s", EnumNumber(aUpdate.state) } };
}

std::optional<MemberUpdate>
DecodeUpdate(Fields& aFields)
{
  MemberUpdate update;
  update.host = HostId(aFields.Text("h", kMaxNameBytes));
  update.address = aFields.Text("a", kMaxNameBytes);
  update.zone = AvailabilityZone(aFields.Text("z", kMaxNameBytes));
  update.region = aFields.Text("r", kMaxNameBytes);
  update.incarnation = aFields.Number("i");
  const auto state = aFields.Value<MemberState>("s");
  if (!state) {
    return std::nullopt;
  }
  update.state = *state;
  return update;
}

std::uint64_t
Microseconds(Duration aDuration)
{
  const auto count =
    static_cast<std::uint64_t>(std::max<Duration::rep>(0, aDuration.count()));
  return std::min(count, kMaxMicroseconds);
}

void
EncodeTime(Json& aMap, const HybridTime& aTime)
{
  aMap["t"] = Microseconds(aTime.physical.time_since_epoch());
  aMap["c"] = aTime.counter;
}

HybridTime
DecodeTime(Fields& aFields)
{
  const std::uint64_t physical = aFields.Number("t", kMaxMicroseconds);
  const std::uint64_t counter =
    aFields.Number("c", std::numeric_limits<std::uint32_t>::max());
  return { TimePoint(Duration(physical)), static_cast<std::uint32_t>(counter) };
}

Json
EncodeVersion(const DocumentVersion& aVersion)
{
  return { { "n", aVersion.service.Text() }, { "v", aVersion.revision } };
}

std::optional<DocumentVersion>
DecodeVersion(Fields& aFields)
{
  DocumentVersion version;
  version.service = ServiceName(aFields.Text("n", kMaxNameBytes));
  version.revision = aFields.Number("v");
  return version;
}

Json
EncodeCopy(const DocumentCopy& aCopy)
{
  return { { "n", aCopy.service.Text() },
           { "v", aCopy.revision },
           { "e", aCopy.editId },
           { "x", Binary(aCopy.text) } };
}

std::optional<DocumentCopy>
DecodeCopy(Fields& aFields)
{
  DocumentCopy copy;
  copy.service = ServiceName(aFields.Text("n", kMaxNameBytes));
  copy.revision = aFields.Number("v");
  copy.editId = aFields.Text("e", kMaxNameBytes);
  copy.text = aFields.Bytes("x", kMaxTextBytes);
  return copy;
}

Json
EncodeNotice(const PeerNotice& aNotice)
{
  return { { "k", EnumNumber(aNotice.kind) },
           { "p", Binary(aNotice.payload) } };
}

std::optional<PeerNotice>
DecodeNotice(Fields& aFields)
{
  const auto kind = aFields.Value<NoticeKind>("k");
  std::string payload = aFields.Bytes("p", kMaxNoticeBytes);
  if (!kind) {
    return std::nullopt;
  }
  return PeerNotice{ *kind, std::move(payload) };
}

Json
EncodeDigest(const DocumentDigest& aDigest)
{
  return { { "s", aDigest.revisionSum },
           { "h", aDigest.hash },
           { "a", Microseconds(aDigest.confirmedAge) } };
}

Json
DatagramMap(const PeerDatagram& aDatagram)
{
  Json map = {
    { "k", EnumNumber(aDatagram.kind) },
    { "f", EncodeUpdate(aDatagram.sender) },
    { "q", aDatagram.sequence },
    { "d", EncodeDigest(aDatagram.documents) },
    { "u", EncodeList(aDatagram.updates, EncodeUpdate) },
    { "n", EncodeList(aDatagram.notices, EncodeNotice) },
  };
  EncodeTime(map, aDatagram.sentAt);
  if (!aDatagram.target.Empty()) {
    map["g"] = aDatagram.target.Text();
    map["ga"] = aDatagram.targetAddress;
  }
  return map;
}

std::optional<DocumentDigest>
DecodeDigest(const Json* aMap)
{
  if (!aMap) {
    return std::nullopt;
  }
  Fields fields(*aMap);
  DocumentDigest digest;
  digest.revisionSum = fields.Number("s");
  digest.hash = fields.Number("h");
  const std::uint64_t age = fields.Number("a", kMaxMicroseconds);
  digest.confirmedAge =
    age == kMaxMicroseconds ? Duration::max() : Duration(age);
  return fields.Valid() ? std::optional(digest) : std::nullopt;
}

std::optional<MemberUpdate>
DecodeSender(const Json* aMap)
{
  if (!aMap) {
    return std::nullopt;
  }
  Fields fields(*aMap);
  std::optional<MemberUpdate> sender = DecodeUpdate(fields);
  return fields.Valid() ? sender : std::nullopt;
}

Json
CallBody(const PeerCall& aCall)
{
  if (const auto* sync = std::get_if<MemberSync>(&aCall.body)) {
    return { { "f", EncodeUpdate(sync->sender) } };
  }
  if (const auto* fetch = std::get_if<DocumentFetch>(&aCall.body)) {
    return { { "l", EncodeList(fetch->known, EncodeVersion) } };
  }
  if (const auto* push = std::get_if<DocumentPush>(&aCall.body)) {
    return EncodeCopy(push->document);
  }
  const auto& call = std::get<ForwardedCall>(aCall.body);
  return { { "k", EnumNumber(call.kind) }, { "p", Binary(call.payload) } };
}

Json
AnswerBody(const PeerAnswer& aAnswer)
{
  if (const auto* list = std::get_if<MemberList>(&aAnswer.body)) {
    return { { "l", EncodeList(list->members, EncodeUpdate) } };
  }
  if (const auto* bundle = std::get_if<DocumentBundle>(&aAnswer.body)) {
    return { { "l", EncodeList(bundle->documents, EncodeCopy) },
             { "d", EncodeDigest(bundle->digest) } };
  }
  if (const auto* push = std::get_if<DocumentPushAnswer>(&aAnswer.body)) {
    return { { "w", push->wasNew } };
  }
  const auto& answer = std::get<ForwardedAnswer>(aAnswer.body);
  return { { "k", EnumNumber(answer.kind) }, { "p", Binary(answer.payload) } };
}

// Decodes a forwarded call or answer.
template<typename T>
bool
DecodeForwarded(Fields& aFields, T& aMessage)
{
  const auto kind = aFields.Value<ForwardedKind>("k");
  aMessage.payload = aFields.Bytes("p", kMaxTextBytes);
  aMessage.kind = kind.value_or(ForwardedKind::ClaimAppend);
  return kind.has_value();
}

bool
DecodeCallBody(std::uint64_t aType, Fields& aFields, PeerCall& aCall)
{
  switch (aType) {
    case 0: {
      const auto sender = DecodeSender(aFields.Map("f"));
      aCall.body = MemberSync{ sender.value_or(MemberUpdate{}) };
      return sender.has_value();
    }
    case 1: {
      auto& fetch = aCall.body.emplace<DocumentFetch>();
      return DecodeList(
        aFields.Array("l", kMaxListItems), fetch.known, DecodeVersion);
    }
    case 2:
      aCall.body = DocumentPush{ *DecodeCopy(aFields) };
      return true;
    case 3:
      return DecodeForwarded(aFields, aCall.body.emplace<ForwardedCall>());
    default:
      return false;
  }
}

bool
DecodeAnswerBody(std::uint64_t aType, Fields& aFields, PeerAnswer& aAnswer)
{
  switch (aType) {
    case 0: {
      auto& list = aAnswer.body.emplace<MemberList>();
      return DecodeList(
        aFields.Array("l", kMaxListItems), list.members, DecodeUpdate);
    }
    case 1: {
      auto& bundle = aAnswer.body.emplace<DocumentBundle>();
      // Earlier releases send no digest.
      bundle.digest = DecodeDigest(aFields.Map("d")).value_or(DocumentDigest());
      return DecodeList(
        aFields.Array("l", kMaxListItems), bundle.documents, DecodeCopy);
    }
    case 2:
      aAnswer.body = DocumentPushAnswer{ aFields.Flag("w") };
      return true;
    case 3:
      return DecodeForwarded(aFields, aAnswer.body.emplace<ForwardedAnswer>());
    default:
      return false;
  }
}

// Encodes the fields that calls and answers have in common, and the body.
template<typename T>
std::string
EncodeEnvelope(const T& aMessage, Json aBody)
{
  Json map = { { "h", aMessage.from.Text() },
               { "y", aMessage.body.index() },
               { "b", std::move(aBody) } };
  EncodeTime(map, aMessage.sentAt);
  return EncodePayload(map);
}

template<typename T, typename F>
std::optional<T>
DecodeEnvelope(std::string_view aPayload, F aDecodeBody)
{
  const std::optional<Json> map = ParsePayload(aPayload);
  if (!map) {
    return std::nullopt;
  }
  Fields fields(*map);
  T message;
  message.from = HostId(fields.Text("h", kMaxNameBytes));
  message.sentAt = DecodeTime(fields);
  const std::uint64_t type = fields.Number("y");
  const Json* body = fields.Map("b");
  if (!fields.Valid()) {
    return std::nullopt;
  }
  Fields bodyFields(*body);
  if (!aDecodeBody(type, bodyFields, message) || !bodyFields.Valid()) {
    return std::nullopt;
  }
  return message;
}

} // namespace

std::string
EncodeDatagram(const PeerDatagram& aDatagram, std::size_t aMaxBytes)
{
  Json map = DatagramMap(aDatagram);
  std::string payload = EncodePayload(map);
  while (payload.size() > aMaxBytes &&
         (!map["u"].empty() || !map["n"].empty())) {
    Json& list = map["u"].empty() ? map["n"] : map["u"];
    list.erase(list.size() - 1);
    payload = EncodePayload(map);
  }
  return payload;
}

std::string
EncodeCall(const PeerCall& aCall)
{
  return EncodeEnvelope(aCall, CallBody(aCall));
}

std::string
EncodeAnswer(const PeerAnswer& aAnswer)
{
  return EncodeEnvelope(aAnswer, AnswerBody(aAnswer));
}

std::optional<PeerDatagram>
DecodeDatagram(std::string_view aPayload)
{
  const std::optional<Json> map = ParsePayload(aPayload);
  if (!map) {
    return std::nullopt;
  }
  Fields fields(*map);
  PeerDatagram datagram;
  const auto kind = fields.Value<DatagramKind>("k");
  const auto sender = DecodeSender(fields.Map("f"));
  const auto digest = DecodeDigest(fields.Map("d"));
  datagram.sentAt = DecodeTime(fields);
  datagram.sequence = fields.Number("q");
  if (map->contains("g")) {
    datagram.target = HostId(fields.Text("g", kMaxNameBytes));
    datagram.targetAddress = fields.Text("ga", kMaxNameBytes);
  }
  const bool listsValid =
    DecodeList(
      fields.Array("u", kMaxPiggybacked), datagram.updates, DecodeUpdate) &&
    DecodeList(
      fields.Array("n", kMaxPiggybacked), datagram.notices, DecodeNotice);
  if (!fields.Valid() || !kind || !sender || !digest || !listsValid) {
    return std::nullopt;
  }
  datagram.kind = *kind;
  datagram.sender = *sender;
  datagram.documents = *digest;
  return datagram;
}

std::optional<PeerCall>
DecodeCall(std::string_view aPayload)
{
  return DecodeEnvelope<PeerCall>(aPayload, DecodeCallBody);
}

std::optional<PeerAnswer>
DecodeAnswer(std::string_view aPayload)
{
  return DecodeEnvelope<PeerAnswer>(aPayload, DecodeAnswerBody);
}

} // namespace wigeonwalk
