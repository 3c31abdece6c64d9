// Model of the two deployments of docs/design.md for the replay benchmark.
//
//   const Deployment& deployment = DeploymentOf(Site::Reparto);
#pragma once

#include "wigeonwalk/documents/service_document.h"

#include <cstdint>
#include <vector>

namespace wigeonwalk::replay {

// Deployments of the users, from section 1.1 of docs/design.md.
enum class Site
{
  // Prompts of one kind; the goal is a short time to first token.
  Reparto,
  // Short questions beside long prompts that share an archive; the goal is a
  // small share of recomputed tokens.
  Schleierpfad,
};

// How one organisation's prompts arrive and return.
struct OrganisationTraits
{
  OrganisationId id;
  // Weight in the daemons' fair queues and in the fairness index.
  double weight = 1;
  // Share of all prompts, relative to the other organisations.
  double demand = 1;
  // Probability that a prompt returns after it was served.
  double returnChance = 0.8;
  // Median gap before a return; gaps are log-normal.
  double gapMedianSeconds = 1800;
};

// One kind of prompt.
struct PromptKind
{
  // Share of all prompts, relative to the other kinds.
  double share = 1;
  RequestClass requestClass = RequestClass::Standard;
  // Pieces of the archive: the leading pieces that all of an organisation's
  // prompts of this kind share.
  std::uint32_t archivePieces = 0;
  std::uint32_t minPieces = 1;
  std::uint32_t maxPieces = 8;
};

// Sizes and rates of a deployment. A piece is kPieceTokens tokens. Rates of
// links are in bytes per second, and caches and stores are sized in pieces.
struct Deployment
{
  std::uint32_t zones = 4;
  std::uint32_t runners = 18;
  std::uint32_t daemons = 7;
  PlacementGoal placementGoal = PlacementGoal::TimeToFirstToken;
  std::uint64_t pieceBytes = 160'000'000;
  double prefillTokensPerSecond = 16'000;
  std::uint32_t runnerCachePieces = 360;
  // One store host in each zone.
  std::uint32_t storeMemoryPieces = 12'000;
  std::uint32_t storeDiskPieces = 120'000;
  double memoryLinkBytesPerSecond = 8e9;
  double diskLinkBytesPerSecond = 4e9;
  double zoneLinkBytesPerSecond = 5e9;
  double zoneLatencySeconds = 0.003;
  // Fraction of packets lost between zones that placement assumes; the fake
  // links lose none.
  double zonePacketLoss = 0.01;
  // Sigma of the log-normal gaps: standard deviation of their logarithm.
  double gapLogSigma = 1.5;
  std::vector<OrganisationTraits> organisations;
  std::vector<PromptKind> kinds;
};

const Deployment&
DeploymentOf(Site aSite);

} // namespace wigeonwalk::replay
