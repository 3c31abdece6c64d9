#include "wigeonwalk/claims/claim_text_codec.h"

#include <utility>

namespace wigeonwalk {

namespace {

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kWordDigits = 11;
constexpr std::size_t kBodyDigits = 8;
constexpr std::size_t kSecondsDigits = 6;
constexpr std::size_t kPositionDigits = 2;
constexpr std::size_t kVerdictDigits = 1;
constexpr std::size_t kStatusDigits = 2;

void
Write(std::string& aOut, std::uint64_t aValue, std::size_t aDigits)
{
  for (std::size_t i = aDigits; i > 0; --i) {
    const std::size_t shift = 6 * (i - 1);
    aOut += kDigits[aValue >> shift & 63];
  }
}

// Parses records from the front of a value. `good` becomes false at the first
// malformed one.
struct Reader
{
  std::string_view rest;
  bool good = true;

  char Letter()
  {
    if (this->rest.empty()) {
      this->good = false;
      return 0;
    }
    const char letter = this->rest.front();
    this->rest.remove_prefix(1);
    return letter;
  }

  std::uint64_t Number(std::size_t aDigits)
  {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < aDigits; ++i) {
      const std::size_t digit = kDigits.find(this->Letter());
      if (!this->good || digit == kDigits.npos) {
        this->good = false;
        return 0;
      }
      value = value << 6 | digit;
    }
    return value;
  }

  ClaimRef Ref()
  {
    const std::uint64_t batch = this->Number(kWordDigits);
    const auto position =
      static_cast<std::uint16_t>(this->Number(kPositionDigits));
    return { batch, position };
  }
};

struct EntryWriter
{
  std::string& out;

  void operator()(const ClaimMade& aEntry) const
  {
    const auto seconds =
      std::chrono::floor<std::chrono::seconds>(aEntry.createdAt);
    this->out += 'c';
    Write(this->out, aEntry.key.high, kWordDigits);
    Write(this->out, aEntry.key.low, kWordDigits);
    Write(this->out, aEntry.body, kBodyDigits);
    Write(this->out,
          static_cast<std::uint64_t>(seconds.time_since_epoch().count()),
          kSecondsDigits);
  }
  void operator()(const ClaimReleased& aEntry) const
  {
    this->out += 'r';
    this->Ref(aEntry.claim);
  }
  void operator()(const ClaimFinished& aEntry) const
  {
    this->out += 'f';
    this->Ref(aEntry.claim);
    Write(
      this->out, static_cast<std::uint64_t>(aEntry.verdict), kVerdictDigits);
    Write(this->out, aEntry.status, kStatusDigits);
  }
  void Ref(const ClaimRef& aRef) const
  {
    Write(this->out, aRef.batch, kWordDigits);
    Write(this->out, aRef.position, kPositionDigits);
  }
};

ClaimEntry
ReadClaimed(Reader& aReader)
{
  ClaimMade entry;
  entry.key.high = aReader.Number(kWordDigits);
  entry.key.low = aReader.Number(kWordDigits);
  entry.body = aReader.Number(kBodyDigits);
  entry.createdAt =
    TimePoint(std::chrono::seconds(aReader.Number(kSecondsDigits)));
  return entry;
}

ClaimEntry
ReadFinished(Reader& aReader)
{
  ClaimFinished entry;
  entry.claim = aReader.Ref();
  const std::uint64_t verdict = aReader.Number(kVerdictDigits);
  if (verdict >= EnumNames<Verdict>::kTable.size()) {
    aReader.good = false;
  }
  entry.verdict = static_cast<Verdict>(verdict);
  entry.status = static_cast<std::uint16_t>(aReader.Number(kStatusDigits));
  return entry;
}

void
ReadRecord(Reader& aReader, ClaimSegment& aSegment)
{
  const char letter = aReader.Letter();
  if (letter == 'b') {
    aSegment.batches.push_back({ aReader.Number(kWordDigits), {} });
    return;
  }
  if (aSegment.batches.empty()) {
    aReader.good = false;
    return;
  }
  std::vector<ClaimEntry>& entries = aSegment.batches.back().entries;
  switch (letter) {
    case 'c':
      entries.push_back(ReadClaimed(aReader));
      break;
    case 'r':
      entries.push_back(ClaimReleased{ aReader.Ref() });
      break;
    case 'f':
      entries.push_back(ReadFinished(aReader));
      break;
    default:
      aReader.good = false;
  }
}

} // namespace

std::string
ClaimTextCodec::Encode(const ClaimSegment& aSegment)
{
  std::string value = aSegment.sealed ? "1s" : "1o";
  for (const ClaimBatch& batch : aSegment.batches) {
    value += 'b';
    Write(value, batch.id, kWordDigits);
    for (const ClaimEntry& entry : batch.entries) {
      std::visit(EntryWriter{ value }, entry);
    }
  }
  return value;
}

std::optional<ClaimSegment>
ClaimTextCodec::Decode(std::string_view aValue, LastReason& aReason)
{
  Reader reader{ aValue };
  ClaimSegment segment;
  const char version = reader.Letter();
  const char state = reader.Letter();
  if (version != '1' || (state != 'o' && state != 's')) {
    return Fail(aReason, ReasonCode::Corrupt, "unknown claim segment format");
  }
  segment.sealed = state == 's';
  while (reader.good && !reader.rest.empty()) {
    ReadRecord(reader, segment);
  }
  if (!reader.good) {
    return Fail(aReason,
                ReasonCode::Corrupt,
                "claim segment is corrupt " +
                  std::to_string(reader.rest.size()) + " bytes before its end");
  }
  return segment;
}

std::size_t
ClaimTextCodec::SizeOf(const ClaimEntry& aEntry)
{
  constexpr std::size_t kRefBytes = kWordDigits + kPositionDigits;
  constexpr std::size_t kSizes[] = {
    1 + 2 * kWordDigits + kBodyDigits + kSecondsDigits,
    1 + kRefBytes,
    1 + kRefBytes + kVerdictDigits + kStatusDigits,
  };
  static_assert(std::size(kSizes) == std::variant_size_v<ClaimEntry>);
  return kSizes[aEntry.index()];
}

} // namespace wigeonwalk
