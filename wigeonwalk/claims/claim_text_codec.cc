#include "wigeonwalk/claims/claim_text_codec.h"

#include <utility>

namespace wigeonwalk {

namespace {

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t kUint64Digits = 11;
constexpr std::size_t kBodyDigits = 8;
constexpr std::size_t kSecondsDigits = 6;
constexpr std::size_t kPositionDigits = 2;
constexpr std::size_t kVerdictDigits = 1;
constexpr std::size_t kStatusDigits = 2;

void
WriteNumber(std::string& aOut, std::uint64_t aValue, std::size_t aDigits)
{
  for (std::size_t i = aDigits; i > 0; --i) {
    const std::size_t shift = 6 * (i - 1);
    aOut += kDigits[aValue >> shift & 63];
  }
}

// Parses records from the front of a value. `valid` becomes false at the first
// malformed one.
struct Reader
{
  std::string_view remaining;
  bool valid = true;

  char ReadChar()
  {
    if (this->remaining.empty()) {
      this->valid = false;
      return 0;
    }
    const char next = this->remaining.front();
    this->remaining.remove_prefix(1);
    return next;
  }

  std::uint64_t ReadNumber(std::size_t aDigits)
  {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < aDigits; ++i) {
      const std::size_t digit = kDigits.find(this->ReadChar());
      if (!this->valid || digit == kDigits.npos) {
        this->valid = false;
        return 0;
      }
      value = value << 6 | digit;
    }
    return value;
  }

  ClaimRef ReadRef()
  {
    const std::uint64_t batch = this->ReadNumber(kUint64Digits);
    const auto position =
      static_cast<std::uint16_t>(this->ReadNumber(kPositionDigits));
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
    WriteNumber(this->out, aEntry.key.high, kUint64Digits);
    WriteNumber(this->out, aEntry.key.low, kUint64Digits);
    WriteNumber(this->out, aEntry.body, kBodyDigits);
    WriteNumber(this->out,
                static_cast<std::uint64_t>(seconds.time_since_epoch().count()),
                kSecondsDigits);
  }
  void operator()(const ClaimReleased& aEntry) const
  {
    this->out += 'r';
    this->WriteRef(aEntry.claim);
  }
  void operator()(const ClaimFinished& aEntry) const
  {
    this->out += 'f';
    this->WriteRef(aEntry.claim);
    WriteNumber(
      this->out, static_cast<std::uint64_t>(aEntry.verdict), kVerdictDigits);
    WriteNumber(this->out, aEntry.status, kStatusDigits);
  }
  void WriteRef(const ClaimRef& aRef) const
  {
    WriteNumber(this->out, aRef.batch, kUint64Digits);
    WriteNumber(this->out, aRef.position, kPositionDigits);
  }
};

ClaimEntry
ReadClaimed(Reader& aReader)
{
  ClaimMade entry;
  entry.key.high = aReader.ReadNumber(kUint64Digits);
  entry.key.low = aReader.ReadNumber(kUint64Digits);
  entry.body = aReader.ReadNumber(kBodyDigits);
  entry.createdAt =
    TimePoint(std::chrono::seconds(aReader.ReadNumber(kSecondsDigits)));
  return entry;
}

ClaimEntry
ReadFinished(Reader& aReader)
{
  ClaimFinished entry;
  entry.claim = aReader.ReadRef();
  const std::uint64_t verdict = aReader.ReadNumber(kVerdictDigits);
  if (verdict >= EnumNames<Verdict>::kTable.size()) {
    aReader.valid = false;
  }
  entry.verdict = static_cast<Verdict>(verdict);
  entry.status = static_cast<std::uint16_t>(aReader.ReadNumber(kStatusDigits));
  return entry;
}

void
ReadRecord(Reader& aReader, ClaimSegment& aSegment)
{
  const char tag = aReader.ReadChar();
  if (tag == 'b') {
    aSegment.batches.push_back({ aReader.ReadNumber(kUint64Digits), {} });
    return;
  }
  if (aSegment.batches.empty()) {
    aReader.valid = false;
    return;
  }
  std::vector<ClaimEntry>& entries = aSegment.batches.back().entries;
  switch (tag) {
    case 'c':
      entries.push_back(ReadClaimed(aReader));
      break;
    case 'r':
      entries.push_back(ClaimReleased{ aReader.ReadRef() });
      break;
    case 'f':
      entries.push_back(ReadFinished(aReader));
      break;
    default:
      aReader.valid = false;
  }
}

} // namespace

std::string
ClaimTextCodec::Encode(const ClaimSegment& aSegment)
{
  std::string value = aSegment.sealed ? "1s" : "1o";
  for (const ClaimBatch& batch : aSegment.batches) {
    value += 'b';
    WriteNumber(value, batch.id, kUint64Digits);
    for (const ClaimEntry& entry : batch.entries) {
      std::visit(EntryWriter{ value }, entry);
    }
  }
  return value;
}

std::optional<ClaimSegment>
ClaimTextCodec::Decode(std::string_view aValue, FailureReason& aReason)
{
  Reader reader{ aValue };
  ClaimSegment segment;
  const char version = reader.ReadChar();
  const char state = reader.ReadChar();
  if (version != '1' || (state != 'o' && state != 's')) {
    return Fail(aReason, ReasonCode::Corrupt, "unknown claim segment format");
  }
  segment.sealed = state == 's';
  while (reader.valid && !reader.remaining.empty()) {
    ReadRecord(reader, segment);
  }
  if (!reader.valid) {
    return Fail(aReason,
                ReasonCode::Corrupt,
                "claim segment is corrupt " +
                  std::to_string(reader.remaining.size()) +
                  " bytes before its end");
  }
  return segment;
}

std::size_t
ClaimTextCodec::SizeOf(const ClaimEntry& aEntry)
{
  constexpr std::size_t kRefBytes = kUint64Digits + kPositionDigits;
  constexpr std::size_t kSizes[] = {
    1 + 2 * kUint64Digits + kBodyDigits + kSecondsDigits,
    1 + kRefBytes,
    1 + kRefBytes + kVerdictDigits + kStatusDigits,
  };
  static_assert(std::size(kSizes) == std::variant_size_v<ClaimEntry>);
  return kSizes[aEntry.index()];
}

} // namespace wigeonwalk
