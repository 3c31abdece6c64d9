#include "returning_prompts/deployment.h"

namespace wigeonwalk::replay {

namespace {

std::vector<OrganisationTraits>
MakeOrganisations()
{
  // A few large organisations and many small ones. Some use the service from
  // batch jobs, whose prompts hardly ever return.
  struct Row
  {
    const char* name;
    double weight;
    double demand;
    double returnChance;
    double gapMedianSeconds;
  };
  const Row rows[] = {
    { "org-0", 4, 4, 0.9, 1200 },   { "org-1", 3, 3, 0.15, 900 },
    { "org-2", 2, 2, 0.85, 7200 },  { "org-3", 1, 1, 0.9, 600 },
    { "org-4", 1, 1, 0.05, 3600 },  { "org-5", 1, 0.7, 0.8, 14400 },
    { "org-6", 1, 0.5, 0.9, 1800 }, { "org-7", 1, 0.4, 0.6, 28800 },
    { "org-8", 1, 0.3, 0.95, 900 }, { "org-9", 1, 0.2, 0.1, 43200 },
  };
  std::vector<OrganisationTraits> organisations;
  for (const Row& row : rows) {
    organisations.push_back({ OrganisationId(row.name),
                              row.weight,
                              row.demand,
                              row.returnChance,
                              row.gapMedianSeconds });
  }
  return organisations;
}

Deployment
MakeReparto()
{
  Deployment deployment;
  deployment.organisations = MakeOrganisations();
  deployment.kinds = { { 1, RequestClass::Standard, 0, 4, 14 } };
  return deployment;
}

// Long consultations, which read a large archive first, run beside short
// questions.
Deployment
MakeSchleierpfad()
{
  Deployment deployment;
  deployment.runners = 9;
  deployment.daemons = 6;
  deployment.placementGoal = PlacementGoal::ShareRecomputed;
  deployment.organisations = MakeOrganisations();
  deployment.kinds = { { 0.75, RequestClass::Interactive, 0, 1, 6 },
                       { 0.25, RequestClass::Background, 24, 28, 48 } };
  deployment.storeMemoryPieces = 8'000;
  deployment.storeDiskPieces = 60'000;
  return deployment;
}

} // namespace

const Deployment&
DeploymentOf(Site aSite)
{
  static const Deployment kReparto = MakeReparto();
  static const Deployment kSchleierpfad = MakeSchleierpfad();
  return aSite == Site::Reparto ? kReparto : kSchleierpfad;
}

} // namespace wigeonwalk::replay
