// Which runners load new weights next, and when a rollout turns back.
//
//   RolloutState state = BeginRollout(spec);
//   for (const UpstreamId& runner : NextToLoad(state)) { ... send an order ...
//   } RecordLoaded(state, runner);   // or RecordFailed
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk {

// Loading takes a second, and longer where more than two or three load at once.
inline constexpr std::uint32_t kMostLoading = 2;

// Loads of one runner that are tried before it is given up.
inline constexpr std::uint32_t kTriesForRunner = 2;

// Runners given up that turn a rollout back. One is enough where no runner has
// loaded the new version yet.
inline constexpr std::uint32_t kFailuresToRollBack = 2;

// Where one runner stands with respect to the version that is being loaded.
enum class RunnerPhase
{
  // Serves another version.
  Waiting,
  // Serves nothing, because a load failed.
  WaitingDown,
  Loading,
  Loaded,
  // Serves nothing and is not tried again.
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

// What a document asks for. `from` is the version to return to.
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

// Progress of one rollout, as kept in the key-value service.
struct RolloutState
{
  std::uint64_t documentRevision = 0;
  ModelName model;
  WeightVersion from;
  WeightVersion to;
  std::uint32_t minimumServing = 1;
  RolloutStage stage = RolloutStage::Forward;
  std::vector<RunnerProgress> runners;
  // Fencing number of the holder that wrote this, and its number of the write:
  // no two writes are alike, so a lost answer is settled by reading back.
  std::uint64_t writtenBy = 0;
  std::uint64_t writeNumber = 0;

  // The version that runners load in this stage.
  const WeightVersion& Target() const;
  bool IsOver() const;

  bool operator==(const RolloutState&) const = default;
};

RolloutState
BeginRollout(const RolloutSpec& aSpec);

// Returns the rollout that replaces an unfinished one. It returns to the older
// one's `from` on failure, since nothing shows that its `to` works.
RolloutState
ReplaceRollout(const RolloutState& aOld, const RolloutSpec& aSpec);

// Marks and returns the runners to load now: at most kMostLoading in all, and
// only so many that minimumServing go on serving.
std::vector<UpstreamId>
NextToLoad(RolloutState& aState);

// Returns the runners that an earlier holder left loading.
std::vector<UpstreamId>
LeftLoading(const RolloutState& aState);

void
RecordLoaded(RolloutState& aState, const UpstreamId& aRunner);

// Records a failed load. May turn the rollout back.
void
RecordFailed(RolloutState& aState, const UpstreamId& aRunner);

} // namespace wigeonwalk
