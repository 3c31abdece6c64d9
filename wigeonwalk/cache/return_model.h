// How likely a prompt is to return, by the gap since it was last served.
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

// Return gaps of one service and organisation, learned online. One thread only.
class ReturnModel
{
public:
  // Notes that a prompt was served: an opportunity to return.
  void NoteServed(const ServiceName& aService,
                  const OrganisationId& aOrganisation);

  // Notes that a prompt returned after a gap.
  void NoteReturn(const ServiceName& aService,
                  const OrganisationId& aOrganisation,
                  Duration aGap);

  // Returns the chance that a prompt not seen for `aGap` returns within
  // `aHorizon` from now. An organisation with few observations follows the
  // whole service, and a service without any follows kPriorReturns.
  double ChanceWithin(const ServiceName& aService,
                      const OrganisationId& aOrganisation,
                      Duration aGap,
                      Duration aHorizon) const;

private:
  // Gap ranges double from 15 s up; the last one is about 45 days.
  static constexpr std::size_t kRanges = 19;

  struct Gaps
  {
    double served = 0;
    double returned = 0;
    std::array<double, kRanges> counts{};

    void AddReturn(Duration aGap);
    void Age();
    double ReturnsAfter(double aSeconds) const;
    double ChanceWithin(double aGap, double aHorizon, double aPrior) const;
  };

  struct Service
  {
    Gaps all;
    std::unordered_map<OrganisationId, Gaps> organisations;
  };

  std::unordered_map<ServiceName, Service> services;
};

} // namespace wigeonwalk
