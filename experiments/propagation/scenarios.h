// What the propagation benchmark measures on a fleet.
//
//   std::vector<Figure> figures = Measure(Scenario::Changes, settings);
#pragma once

#include "propagation/fleet.h"

#include "wigeonwalk/base/enum_names.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk::experiments {

enum class Scenario
{
  // Changes on a fleet that is well, and its traffic.
  Changes,
  // A watcher of each zone and one other member in ten die at a change.
  DeadWatchers,
  // Members die one after another.
  Detection,
  // 5% of datagrams are lost everywhere.
  Lossy,
  // A zone is cut off for ten minutes.
  ZoneCut,
  // A region is cut off for an hour.
  RegionCut,
  // A daemon is paused for ten minutes and wakes.
  Paused,
};

// What passes documents on, to be weighed against each other.
enum class Spreading
{
  ZoneFanOut,
  RandomFanOut,
  RelayTree,
  DigestOnly,
  ZoneFanOutWithoutDigest,
  RelayTreeWithoutDigest,
};

} // namespace wigeonwalk::experiments

namespace wigeonwalk {

template<>
struct EnumNames<experiments::Scenario>
{
  using enum experiments::Scenario;
  static constexpr std::array<EnumName<experiments::Scenario>, 7> kTable{ {
    { Changes, "changes" },
    { DeadWatchers, "dead-watchers" },
    { Detection, "detection" },
    { Lossy, "lossy" },
    { ZoneCut, "zone-cut" },
    { RegionCut, "region-cut" },
    { Paused, "paused" },
  } };
};
static_assert(HasCompleteTable<experiments::Scenario>());

template<>
struct EnumNames<experiments::Spreading>
{
  using enum experiments::Spreading;
  static constexpr std::array<EnumName<experiments::Spreading>, 6> kTable{ {
    { ZoneFanOut, "zone-fan-out" },
    { RandomFanOut, "random-fan-out" },
    { RelayTree, "relay-tree" },
    { DigestOnly, "digest-only" },
    { ZoneFanOutWithoutDigest, "zone-fan-out-without-digest" },
    { RelayTreeWithoutDigest, "relay-tree-without-digest" },
  } };
};
static_assert(HasCompleteTable<experiments::Spreading>());

} // namespace wigeonwalk

namespace wigeonwalk::experiments {

// One measured value, and the bound on it where the design page states one.
struct Figure
{
  std::string name;
  double value = 0;
  std::optional<double> bound;

  bool Met() const { return !this->bound || this->value <= *this->bound; }
};

// Runs one scenario on a new fleet.
std::vector<Figure>
Measure(Scenario aScenario, Spreading aSpreading, FleetSettings aSettings);

// Processor time of the process so far.
double
ProcessSeconds();

// Memory that the process has allocated and not freed.
double
AllocatedBytes();

} // namespace wigeonwalk::experiments
