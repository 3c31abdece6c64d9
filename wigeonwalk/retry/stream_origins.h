// Remembers which software version began each stream, for callers that take a
// stream up again after it has broken off.
//
//   origins.Record({ key, origin }, runner, now);
//   if (auto origin = origins.Find(key)) { ... }
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/stream_origin.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Identifies the stream that an attempt began: the caller's id of the attempt,
// its organisation, and the host and content of the request. Whoever doesn't
// repeat all of these doesn't find the stream. Only the lower 64 bits are used,
// as records lie in the registry.
Hash128
StreamKey(const RequestId& aAttempt,
          const OrganisationId& aOrganisation,
          std::string_view aHost,
          const Hash128& aContent);

// Keeps the streams that began last, at this daemon and at others that have
// told it. Not thread-safe.
class StreamOrigins
{
public:
  static constexpr Duration kRetention = std::chrono::minutes(10);
  static constexpr std::size_t kMaxStreams = 65'536;
  static constexpr std::size_t kMaxUnwritten = 4'096;
  // How far the clocks of hosts and runners may differ.
  static constexpr Duration kMaxClockDifference = std::chrono::seconds(2);

  // Records where a stream began, or that it went on there. An attempt may have
  // been sent twice: if its origins differ, none is known from then on.
  // `aRunner` is empty if another daemon sent the request.
  void Record(const StreamRecord& aRecord,
              const UpstreamId& aRunner,
              TimePoint aNow);

  // Returns where the stream began, unknown if that is contradictory, or
  // nothing if the stream was never recorded.
  std::optional<StreamOrigin> Find(const Hash128& aKey) const;

  // Records that another start of a runner, with another version, has run since
  // a time, by the runner's clock: streams that this daemon began there after
  // it have an unknown origin.
  void NoteOtherVersion(const UpstreamId& aRunner, TimePoint aSince);

  // Returns the streams whose origin has become unknown and other daemons have
  // not been told.
  std::vector<StreamRecord> TakeChanged();

  // Returns the streams that were recorded since the last call, or whose origin
  // has become unknown; at most the last kMaxUnwritten.
  std::vector<StreamRecord> TakeUnwritten();

  // Records that what was written of the streams recorded since a time is lost:
  // TakeUnwritten returns them again.
  void MarkUnwritten(TimePoint aSince);

  std::size_t Size() const { return this->rows.size(); }

private:
  struct Row
  {
    StreamOrigin origin;
    UpstreamId runner;
    TimePoint recordedAt;
  };

  void Expire(TimePoint aNow);
  void NoteUnwritten(const StreamRecord& aRecord);

  std::unordered_map<Hash128, Row> rows;
  // In the order of their first records.
  std::deque<std::pair<TimePoint, Hash128>> order;
  std::vector<StreamRecord> changed;
  std::deque<StreamRecord> unwritten;
};

} // namespace wigeonwalk
