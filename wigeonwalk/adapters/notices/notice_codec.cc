#include "wigeonwalk/adapters/notices/notice_codec.h"

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

namespace {

constexpr char kSeparator = ' ';

std::vector<std::string_view>
SplitFields(std::string_view aText)
{
  std::vector<std::string_view> fields;
  std::size_t start = 0;
  while (start <= aText.size()) {
    const std::size_t end =
      std::min(aText.find(kSeparator, start), aText.size());
    fields.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return fields;
}

template<typename Number>
std::optional<Number>
ReadNumber(std::string_view aText)
{
  Number number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

PeerNotice
EncodeNotice(const PoisonNotice& aNotice)
{
  std::string payload = aNotice.fingerprint.ToHex();
  payload += kSeparator + std::to_string(aNotice.crashId);
  payload += kSeparator;
  payload += std::to_string(aNotice.at.time_since_epoch().count());
  payload += kSeparator;
  payload += NameOf(aNotice.evidence);
  return { NoticeKind::Poison, std::move(payload) };
}

PeerNotice
EncodeNotice(const LeavingNotice& aNotice)
{
  std::string payload = std::to_string(aNotice.incarnation);
  payload += kSeparator;
  payload += aNotice.upstream.Text();
  return { NoticeKind::Leaving, std::move(payload) };
}

std::optional<PoisonNotice>
DecodePoisonNotice(const PeerNotice& aNotice)
{
  const auto fields = SplitFields(aNotice.payload);
  if (aNotice.kind != NoticeKind::Poison || fields.size() != 4) {
    return std::nullopt;
  }
  const auto fingerprint = ParseHash128(fields[0]);
  const auto crashId = ReadNumber<std::uint64_t>(fields[1]);
  const auto at = ReadNumber<std::int64_t>(fields[2]);
  const auto evidence = ParseName<PoisonEvidence>(fields[3]);
  if (!fingerprint || !crashId || !at || !evidence) {
    return std::nullopt;
  }
  return PoisonNotice{
    *fingerprint, *crashId, TimePoint(Duration(*at)), *evidence
  };
}

std::optional<LeavingNotice>
DecodeLeavingNotice(const PeerNotice& aNotice)
{
  const std::size_t separator = aNotice.payload.find(kSeparator);
  if (aNotice.kind != NoticeKind::Leaving || separator == std::string::npos) {
    return std::nullopt;
  }
  const auto incarnation = ReadNumber<std::uint64_t>(
    std::string_view(aNotice.payload).substr(0, separator));
  if (!incarnation) {
    return std::nullopt;
  }
  return LeavingNotice{ UpstreamId(aNotice.payload.substr(separator + 1)),
                        *incarnation };
}

} // namespace wigeonwalk
