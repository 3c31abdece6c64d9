// Decides which runners load new weights next, and when a rollout rolls back.
//
//   RolloutState state = BeginRollout(spec);
//   for (const UpstreamId& runner : NextToLoad(state)) {
//     // Send an order to load the weights, then:
//     RecordLoaded(state, runner);   // or RecordFailed
//   }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk {

// Maximum number of runners that load at once. Loading takes a second, and
// longer if more than two or three runners load at once.
inline constexpr std::uint32_t kMaxConcurrentLoads = 2;

// Number of failed loads after which a runner is given up.
inline constexpr std::uint32_t kMaxLoadAttempts = 2;

// Number of given-up runners that start a rollback. One is enough if no runner
// has loaded the new version yet.
inline constexpr std::uint32_t kFailuresToRollBack = 2;

// State of one runner with respect to the target version.
enum class RunnerPhase
{
  // Not loaded yet; serves another version.
  Waiting,
  // Not loaded yet; serves nothing, because a load failed.
  WaitingDown,
  Loading,
  Loaded,
  // Serves nothing, and no further load is attempted.
  GivenUp,
};

template<>
struct EnumNames<RunnerPhase>
{
  static constexpr std::array<EnumName<RunnerPhase>, 5> kTable{ {
    { RunnerPhase::Waiting, "waiting" },
    { RunnerPhase::WaitingDown, "waiting-down" },
    { RunnerPhase::Loading, "loading" },
    { RunnerPhase::Loaded, "loaded" },
    { RunnerPhase::GivenUp, "given-up" },
  } };
};
static_assert(HasCompleteTable<RunnerPhase>());

enum class RolloutStage
{
  Forward,
  RollingBack,
  Done,
  RolledBack,
};

template<>
struct EnumNames<RolloutStage>
{
  static constexpr std::array<EnumName<RolloutStage>, 4> kTable{ {
    { RolloutStage::Forward, "forward" },
    { RolloutStage::RollingBack, "rolling-back" },
    { RolloutStage::Done, "done" },
    { RolloutStage::RolledBack, "rolled-back" },
  } };
};
static_assert(HasCompleteTable<RolloutStage>());

// The rollout that a document specifies. A rollback returns to version `from`.
struct RolloutSpec
{
  std::uint64_t documentRevision = 0;
  ModelName model;
  WeightVersion from;
  WeightVersion to;
  std::uint32_t minimumServing = 1;
  std::vector<UpstreamId> runners;
};

struct RunnerProgress
{
  UpstreamId runner;
  RunnerPhase phase = RunnerPhase::Waiting;
  std::uint32_t failures = 0;

  bool operator==(const RunnerProgress&) const = default;
};

// Progress of one rollout, as stored in the key-value service.
struct RolloutState
{
  std::uint64_t documentRevision = 0;
  ModelName model;
  WeightVersion from;
  WeightVersion to;
  std::uint32_t minimumServing = 1;
  RolloutStage stage = RolloutStage::Forward;
  std::vector<RunnerProgress> runners;
  // Fencing number of the holder that wrote this, and the sequence number of
  // its write. No two writes are equal, so that reading back shows whether a
  // write whose answer was lost took effect.
  std::uint64_t writtenBy = 0;
  std::uint64_t writeNumber = 0;

  // Returns the version that runners load in this stage.
  const WeightVersion& Target() const;
  bool IsOver() const;

  bool operator==(const RolloutState&) const = default;
};

RolloutState
BeginRollout(const RolloutSpec& aSpec);

// Returns the rollout that replaces an older one. On failure it rolls back to
// the older one's `to` if that rollout is done, and otherwise to its `from`,
// because nothing shows that its `to` works.
RolloutState
ReplaceRollout(const RolloutState& aOld, const RolloutSpec& aSpec);

// Returns the runners to load now, and sets their phase to Loading. At most
// kMaxConcurrentLoads runners load at once, and at least minimumServing runners
// keep serving.
std::vector<UpstreamId>
NextToLoad(RolloutState& aState);

// Returns the runners in phase Loading, whose load an earlier holder may not
// have finished.
std::vector<UpstreamId>
RunnersLoading(const RolloutState& aState);

void
RecordLoaded(RolloutState& aState, const UpstreamId& aRunner);

// Records a failed load, which may start a rollback.
void
RecordFailed(RolloutState& aState, const UpstreamId& aRunner);

} // namespace wigeonwalk
