#include "wigeonwalk/cache/return_model.h"

#include <algorithm>
#include <cmath>

namespace wigeonwalk {

namespace {

constexpr double kFirstBucketSeconds = 15;

// Weight of the more general estimate as a prior, in observations.
constexpr double kPriorObservations = 20;

// Assumed chance that a prompt of a service without observations ever returns.
constexpr double kPriorReturnChance = 0.5;

// Counts are halved at this many observations, so that the model adapts to a
// changed workload within that number of requests.
constexpr double kMaxObservations = 50'000;

double
BucketStart(std::size_t aBucket)
{
  return aBucket == 0 ? 0 : kFirstBucketSeconds * std::exp2(aBucket - 1.0);
}

double
BucketEnd(std::size_t aBucket)
{
  return kFirstBucketSeconds * std::exp2(static_cast<double>(aBucket));
}

} // namespace

void
ReturnModel::GapHistogram::AddReturn(Duration aGap)
{
  const double ratio = ToSeconds(aGap) / kFirstBucketSeconds;
  const double bucket = ratio < 1 ? 0 : std::floor(std::log2(ratio)) + 1;
  this->counts[std::min<std::size_t>(static_cast<std::size_t>(bucket),
                                     kGapBucketCount - 1)] += 1;
  this->returned += 1;
}

void
ReturnModel::GapHistogram::Decay()
{
  if (this->served < kMaxObservations) {
    return;
  }
  this->served /= 2;
  this->returned /= 2;
  for (double& count : this->counts) {
    count /= 2;
  }
}

// Returns the number of returns with a gap above `aSeconds`. Gaps within a
// bucket are assumed to be evenly distributed.
double
ReturnModel::GapHistogram::ReturnsAfter(double aSeconds) const
{
  double after = 0;
  for (std::size_t i = 0; i < kGapBucketCount; ++i) {
    const double start = BucketStart(i);
    const double end = BucketEnd(i);
    const double part = (end - std::max(start, aSeconds)) / (end - start);
    after += this->counts[i] * std::clamp(part, 0.0, 1.0);
  }
  return after;
}

// Returns the fraction of the prompts that had not returned by the gap that
// returned within the horizon after it. `aPrior` counts as kPriorObservations
// further observations.
double
ReturnModel::GapHistogram::ChanceWithin(double aGap,
                                        double aHorizon,
                                        double aPrior) const
{
  const double after = this->ReturnsAfter(aGap);
  const double within = after - this->ReturnsAfter(aGap + aHorizon);
  const double never = std::max(0.0, this->served - this->returned);
  return std::clamp((within + aPrior * kPriorObservations) /
                      (after + never + kPriorObservations),
                    0.0,
                    1.0);
}

void
ReturnModel::NoteServed(const ServiceName& aService,
                        const OrganisationId& aOrganisation)
{
  Service& service = this->services[aService];
  for (GapHistogram* histogram :
       { &service.all, &service.organisations[aOrganisation] }) {
    histogram->Decay();
    histogram->served += 1;
  }
}

void
ReturnModel::NoteReturn(const ServiceName& aService,
                        const OrganisationId& aOrganisation,
                        Duration aGap)
{
  Service& service = this->services[aService];
  service.all.AddReturn(aGap);
  service.organisations[aOrganisation].AddReturn(aGap);
}

double
ReturnModel::ChanceWithin(const ServiceName& aService,
                          const OrganisationId& aOrganisation,
                          Duration aGap,
                          Duration aHorizon) const
{
  const double gap = ToSeconds(aGap);
  const double horizon = ToSeconds(aHorizon);
  // Without observations, a return is assumed to be equally likely in each
  // doubling of the gap.
  const double doublings = std::log2((gap + horizon + kFirstBucketSeconds) /
                                     (gap + kFirstBucketSeconds));
  double chance =
    kPriorReturnChance * std::min(1.0, doublings / kGapBucketCount);
  const auto service = this->services.find(aService);
  if (service == this->services.end()) {
    return chance;
  }
  chance = service->second.all.ChanceWithin(gap, horizon, chance);
  const auto own = service->second.organisations.find(aOrganisation);
  if (own != service->second.organisations.end()) {
    chance = own->second.ChanceWithin(gap, horizon, chance);
  }
  return chance;
}

} // namespace wigeonwalk
