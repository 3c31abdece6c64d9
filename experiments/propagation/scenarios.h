// Scenarios of the propagation benchmark.
//
//   std::vector<Measurement> measurements =
//     Measure(Scenario::Changes, DisseminationStrategy::ZoneFanOut, settings);
#pragma once

#include "propagation/fleet.h"

#include "wigeonwalk/base/enum_names.h"

#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk::experiments {

enum class Scenario
{
  // Documents change on a healthy fleet; also measures its traffic.
  Changes,
  // One watcher of each zone and every tenth member fail just before a change.
  DeadWatchers,
  // Members fail one after another.
  Detection,
  // 5% of datagrams are lost everywhere.
  Lossy,
  // A zone is partitioned from the others for ten minutes.
  ZoneCut,
  // A region is partitioned from the others for an hour.
  RegionCut,
  // A daemon is paused for ten minutes and resumes.
  Paused,
};

// Strategies for disseminating documents, which the benchmark compares.
enum class DisseminationStrategy
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
struct EnumNames<experiments::DisseminationStrategy>
{
  using enum experiments::DisseminationStrategy;
  static constexpr std::array<EnumName<experiments::DisseminationStrategy>, 6>
    kTable{ {
      { ZoneFanOut, "zone-fan-out" },
      { RandomFanOut, "random-fan-out" },
      { RelayTree, "relay-tree" },
      { DigestOnly, "digest-only" },
      { ZoneFanOutWithoutDigest, "zone-fan-out-without-digest" },
      { RelayTreeWithoutDigest, "relay-tree-without-digest" },
    } };
};
static_assert(HasCompleteTable<experiments::DisseminationStrategy>());

} // namespace wigeonwalk

namespace wigeonwalk::experiments {

// A measured value, and its upper bound if the design page states one.
struct Measurement
{
  std::string name;
  double value = 0;
  std::optional<double> bound;

  bool IsWithinBound() const
  {
    return !this->bound || this->value <= *this->bound;
  }
};

// Runs one scenario on a new fleet and returns its measurements.
std::vector<Measurement>
Measure(Scenario aScenario,
        DisseminationStrategy aStrategy,
        FleetSettings aSettings);

// Returns the CPU seconds that this process has used.
double
ProcessCpuSeconds();

// Returns the bytes of heap that this process has allocated and not freed.
double
AllocatedBytes();

} // namespace wigeonwalk::experiments
