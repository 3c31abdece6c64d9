#include "wigeonwalk/retry/stream_origins.h"

#include <string>

namespace wigeonwalk {

Hash128
StreamKey(const RequestId& aAttempt,
          const OrganisationId& aOrganisation,
          std::string_view aHost,
          const Hash128& aContent)
{
  // Header values contain no line breaks.
  std::string text = aAttempt.Text() + '\n' + aOrganisation.Text() + '\n';
  text += aHost;
  text += '\n' + aContent.ToHex();
  return { 0, HashBytes(text, 0).low };
}

void
StreamOrigins::Record(const StreamRecord& aRecord,
                      const UpstreamId& aRunner,
                      TimePoint aNow)
{
  this->Expire(aNow);
  const auto [found, isNew] = this->rows.try_emplace(aRecord.key);
  Row& row = found->second;
  if (isNew) {
    row = { aRecord.origin, aRunner, aNow };
    this->order.emplace_back(aNow, aRecord.key);
    this->NoteUnwritten(aRecord);
    return;
  }
  if (row.origin.IsKnown() && row.origin != aRecord.origin) {
    row.origin.version.clear();
    this->NoteUnwritten({ aRecord.key, row.origin });
  }
  row.runner = aRunner;
  row.recordedAt = aNow;
}

std::optional<StreamOrigin>
StreamOrigins::Find(const Hash128& aKey) const
{
  const auto found = this->rows.find(aKey);
  return found == this->rows.end() ? std::nullopt
                                   : std::optional(found->second.origin);
}

void
StreamOrigins::NoteOtherVersion(const UpstreamId& aRunner, TimePoint aSince)
{
  for (auto& [key, row] : this->rows) {
    if (row.runner == aRunner && row.origin.IsKnown() &&
        row.recordedAt >= aSince - kMaxClockDifference) {
      row.origin.version.clear();
      this->changed.push_back({ key, row.origin });
      this->NoteUnwritten({ key, row.origin });
    }
  }
}

std::vector<StreamRecord>
StreamOrigins::TakeChanged()
{
  return std::exchange(this->changed, {});
}

std::vector<StreamRecord>
StreamOrigins::TakeUnwritten()
{
  const std::vector<StreamRecord> taken(this->unwritten.begin(),
                                        this->unwritten.end());
  this->unwritten.clear();
  return taken;
}

void
StreamOrigins::MarkUnwritten(TimePoint aSince)
{
  for (const auto& [recordedAt, key] : this->order) {
    const Row& row = this->rows.at(key);
    if (row.recordedAt >= aSince) {
      this->NoteUnwritten({ key, row.origin });
    }
  }
}

void
StreamOrigins::NoteUnwritten(const StreamRecord& aRecord)
{
  this->unwritten.push_back(aRecord);
  if (this->unwritten.size() > kMaxUnwritten) {
    this->unwritten.pop_front();
  }
}

void
StreamOrigins::Expire(TimePoint aNow)
{
  while (!this->order.empty()) {
    const auto [recordedAt, key] = this->order.front();
    const auto row = this->rows.find(key);
    const bool isRecent = row->second.recordedAt > recordedAt;
    if (aNow - recordedAt < kRetention && this->rows.size() < kMaxStreams) {
      break;
    }
    this->order.pop_front();
    if (isRecent) {
      this->order.emplace_back(row->second.recordedAt, key);
    } else {
      this->rows.erase(row);
    }
  }
}

} // namespace wigeonwalk
