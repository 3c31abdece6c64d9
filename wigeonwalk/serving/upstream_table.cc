#include "wigeonwalk/serving/upstream_table.h"

#include <algorithm>

namespace wigeonwalk {

const UpstreamTable::Status*
UpstreamTable::Find(const UpstreamId& aUpstream) const
{
  const auto found = this->upstreams.find(aUpstream);
  return found == this->upstreams.end() ? nullptr : &found->second;
}

bool
UpstreamTable::ReportLoad(const UpstreamId& aUpstream,
                          const LoadReport& aReport,
                          double aPrefillTokensPerSecond)
{
  Status& status = this->upstreams[aUpstream];
  const bool restarted =
    status.incarnation != 0 && aReport.incarnation != status.incarnation;
  status.incarnation = aReport.incarnation;
  status.reported = aReport.running + aReport.waiting;
  status.load.Report(static_cast<double>(aReport.waitingTokens) /
                       std::max(aPrefillTokensPerSecond, 1.0),
                     aReport.measuredAt);
  return restarted;
}

void
UpstreamTable::ReportState(const UpstreamId& aUpstream,
                           const EngineState& aState)
{
  Status& status = this->upstreams[aUpstream];
  status.version = aState.version;
  if (aState.role == "draining") {
    this->leaving.Mark(aUpstream, aState.incarnation);
  }
}

void
UpstreamTable::NoteFailure(const UpstreamId& aUpstream, TimePoint aNow)
{
  Status& status = this->upstreams[aUpstream];
  Duration avoidance = kFirstAvoidance;
  for (std::uint32_t i = 0;
       i < status.failures && avoidance < kLongestAvoidance;
       ++i) {
    avoidance *= 2;
  }
  ++status.failures;
  status.avoidUntil = aNow + std::min(avoidance, kLongestAvoidance);
}

void
UpstreamTable::NoteSuccess(const UpstreamId& aUpstream)
{
  Status& status = this->upstreams[aUpstream];
  status.failures = 0;
  status.avoidUntil = TimePoint();
}

void
UpstreamTable::NoteSent(const UpstreamId& aUpstream,
                        double aSeconds,
                        TimePoint aNow)
{
  this->upstreams[aUpstream].load.NoteSent(aSeconds, aNow);
}

UpstreamTable::InFlightGuard
UpstreamTable::TrackInFlight(const UpstreamId& aUpstream)
{
  Status& status = this->upstreams[aUpstream];
  ++status.inFlight;
  return InFlightGuard(&status.inFlight);
}

bool
UpstreamTable::Usable(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const Status* status = this->Find(aUpstream);
  const bool avoided = status != nullptr && aNow < status->avoidUntil;
  return !avoided && !this->IsLeaving(aUpstream);
}

bool
UpstreamTable::IsLeaving(const UpstreamId& aUpstream) const
{
  return this->leaving.IsLeaving(aUpstream, this->Incarnation(aUpstream));
}

bool
UpstreamTable::IsIdle(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const Status* status = this->Find(aUpstream);
  return status != nullptr && status->reported == 0 &&
         status->load.Waiting(aNow) <= 0;
}

double
UpstreamTable::WaitSeconds(const UpstreamId& aUpstream, TimePoint aNow) const
{
  const Status* status = this->Find(aUpstream);
  return status == nullptr ? 0 : status->load.Waiting(aNow);
}

std::uint32_t
UpstreamTable::InFlight(const UpstreamId& aUpstream) const
{
  const Status* status = this->Find(aUpstream);
  return status == nullptr ? 0 : status->inFlight;
}

std::uint64_t
UpstreamTable::Incarnation(const UpstreamId& aUpstream) const
{
  const Status* status = this->Find(aUpstream);
  return status == nullptr ? 0 : status->incarnation;
}

WeightVersion
UpstreamTable::Version(const UpstreamId& aUpstream) const
{
  const Status* status = this->Find(aUpstream);
  return status == nullptr ? WeightVersion() : status->version;
}

} // namespace wigeonwalk
