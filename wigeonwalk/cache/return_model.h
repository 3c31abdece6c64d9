// Estimates the chance that a prompt returns, given the time since it was last
// served.
//
//   model.NoteServed(service, organisation);
//   model.NoteReturn(service, organisation, gap);
//   double chance = model.ChanceWithin(service, organisation, gap, horizon);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <array>
#include <unordered_map>

namespace wigeonwalk {

// Learns the return gaps of services and organisations online. One thread only.
class ReturnModel
{
public:
  // Records that a prompt was served and may return.
  void NoteServed(const ServiceName& aService,
                  const OrganisationId& aOrganisation);

  // Records that a prompt returned after a gap.
  void NoteReturn(const ServiceName& aService,
                  const OrganisationId& aOrganisation,
                  Duration aGap);

  // Returns the chance that a prompt not seen for `aGap` returns within
  // `aHorizon` from now. An organisation with few observations follows the
  // whole service, and a service without observations follows the prior
  // kPriorReturnChance.
  double ChanceWithin(const ServiceName& aService,
                      const OrganisationId& aOrganisation,
                      Duration aGap,
                      Duration aHorizon) const;

private:
  // Buckets of gaps, whose upper bounds double from 15 s up to about 45 days.
  static constexpr std::size_t kGapBucketCount = 19;

  struct GapHistogram
  {
    double served = 0;
    double returned = 0;
    std::array<double, kGapBucketCount> counts{};

    void AddReturn(Duration aGap);
    void Decay();
    double ReturnsAfter(double aSeconds) const;
    double ChanceWithin(double aGap, double aHorizon, double aPrior) const;
  };

  struct Service
  {
    GapHistogram all;
    std::unordered_map<OrganisationId, GapHistogram> organisations;
  };

  std::unordered_map<ServiceName, Service> services;
};

} // namespace wigeonwalk
