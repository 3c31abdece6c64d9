#include "wigeonwalk/rollout/rollout_plan.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

std::uint32_t
CountPhase(const RolloutState& aState, RunnerPhase aPhase)
{
  return static_cast<std::uint32_t>(std::count_if(
    aState.runners.begin(),
    aState.runners.end(),
    [aPhase](const RunnerProgress& aRow) { return aRow.phase == aPhase; }));
}

RunnerProgress*
Find(RolloutState& aState, const UpstreamId& aRunner)
{
  const auto found = std::find_if(
    aState.runners.begin(),
    aState.runners.end(),
    [&](const RunnerProgress& aRow) { return aRow.runner == aRunner; });
  return found == aState.runners.end() ? nullptr : &*found;
}

// Starts a rollback: every runner that is not known to serve the old version
// must load it again.
void
StartRollback(RolloutState& aState)
{
  aState.stage = RolloutStage::RollingBack;
  for (RunnerProgress& row : aState.runners) {
    row.failures = 0;
    switch (row.phase) {
      case RunnerPhase::Waiting:
        row.phase = RunnerPhase::Loaded;
        break;
      case RunnerPhase::Loaded:
        row.phase = RunnerPhase::Waiting;
        break;
      case RunnerPhase::WaitingDown:
      case RunnerPhase::Loading:
      case RunnerPhase::GivenUp:
        row.phase = RunnerPhase::WaitingDown;
        break;
    }
  }
}

// Ends the stage if no runner is left to load.
void
EndStageIfComplete(RolloutState& aState)
{
  const bool complete =
    std::all_of(aState.runners.begin(),
                aState.runners.end(),
                [](const RunnerProgress& aRow) {
                  return aRow.phase == RunnerPhase::Loaded ||
                         aRow.phase == RunnerPhase::GivenUp;
                });
  if (complete) {
    aState.stage = aState.stage == RolloutStage::Forward
                     ? RolloutStage::Done
                     : RolloutStage::RolledBack;
  }
}

} // namespace

const WeightVersion&
RolloutState::Target() const
{
  const bool back = this->stage == RolloutStage::RollingBack ||
                    this->stage == RolloutStage::RolledBack;
  return back ? this->from : this->to;
}

bool
RolloutState::IsOver() const
{
  return this->stage == RolloutStage::Done ||
         this->stage == RolloutStage::RolledBack;
}

RolloutState
BeginRollout(const RolloutSpec& aSpec)
{
  RolloutState state;
  state.documentRevision = aSpec.documentRevision;
  state.model = aSpec.model;
  state.from = aSpec.from;
  state.to = aSpec.to;
  state.minimumServing = aSpec.minimumServing;
  for (const UpstreamId& runner : aSpec.runners) {
    state.runners.push_back({ runner });
  }
  return state;
}

RolloutState
ReplaceRollout(const RolloutState& aOld, const RolloutSpec& aSpec)
{
  RolloutState state = BeginRollout(aSpec);
  state.from = aOld.stage == RolloutStage::Done ? aOld.to : aOld.from;
  return state;
}

std::vector<UpstreamId>
NextToLoad(RolloutState& aState)
{
  std::vector<UpstreamId> next;
  std::uint32_t loading = CountPhase(aState, RunnerPhase::Loading);
  std::uint32_t serving = CountPhase(aState, RunnerPhase::Waiting) +
                          CountPhase(aState, RunnerPhase::Loaded);
  // Runners that serve nothing come first, since loading them does not reduce
  // capacity.
  for (const RunnerPhase phase :
       { RunnerPhase::WaitingDown, RunnerPhase::Waiting }) {
    for (RunnerProgress& row : aState.runners) {
      const bool reducesServing = phase == RunnerPhase::Waiting;
      if (row.phase != phase || loading >= kMaxConcurrentLoads ||
          (reducesServing && serving <= aState.minimumServing)) {
        continue;
      }
      serving -= reducesServing ? 1 : 0;
      ++loading;
      row.phase = RunnerPhase::Loading;
      next.push_back(row.runner);
    }
  }
  return next;
}

std::vector<UpstreamId>
RunnersLoading(const RolloutState& aState)
{
  std::vector<UpstreamId> left;
  for (const RunnerProgress& row : aState.runners) {
    if (row.phase == RunnerPhase::Loading) {
      left.push_back(row.runner);
    }
  }
  return left;
}

void
RecordLoaded(RolloutState& aState, const UpstreamId& aRunner)
{
  if (RunnerProgress* row = Find(aState, aRunner)) {
    row->phase = RunnerPhase::Loaded;
    EndStageIfComplete(aState);
  }
}

void
RecordFailed(RolloutState& aState, const UpstreamId& aRunner)
{
  RunnerProgress* row = Find(aState, aRunner);
  if (!row) {
    return;
  }
  ++row->failures;
  row->phase = row->failures < kMaxLoadAttempts ? RunnerPhase::WaitingDown
                                                : RunnerPhase::GivenUp;
  const std::uint32_t givenUp = CountPhase(aState, RunnerPhase::GivenUp);
  const bool noneLoaded = CountPhase(aState, RunnerPhase::Loaded) == 0;
  if (aState.stage == RolloutStage::Forward &&
      (givenUp >= kFailuresToRollBack || (givenUp > 0 && noneLoaded))) {
    StartRollback(aState);
    return;
  }
  EndStageIfComplete(aState);
}

} // namespace wigeonwalk
