#include "wigeonwalk/fleet/runner.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

void
Runner::NoteOthersPrefill(Duration aPrefillTime, TimePoint aNow)
{
  this->othersPrefillUntil =
    std::max(this->othersPrefillUntil, aNow) + aPrefillTime;
}

WeightNumber
Runner::VersionOf(const ModelName& aModel) const
{
  for (const LoadedModel& loaded : this->entry.models) {
    if (loaded.model == aModel) {
      return loaded.version;
    }
  }
  return 0;
}

void
Runner::SetVersion(const ModelName& aModel, WeightNumber aVersion)
{
  for (LoadedModel& loaded : this->entry.models) {
    if (loaded.model == aModel) {
      loaded.version = aVersion;
      return;
    }
  }
  this->entry.models.push_back({ aModel, aVersion });
}

RunnerLoad::RunnerLoad(std::shared_ptr<Runner> aRunner,
                       std::uint64_t aTokens,
                       std::uint64_t aToPrefill)
  : runner(std::move(aRunner))
  , tokens(aTokens)
  , toPrefill(aToPrefill)
{
  ++this->runner->inFlight;
  this->runner->tokensInFlight += this->tokens;
  this->runner->tokensToPrefill += this->toPrefill;
}

RunnerLoad::~RunnerLoad()
{
  this->NotePrefillDone();
  --this->runner->inFlight;
  this->runner->tokensInFlight -= this->tokens;
}

void
RunnerLoad::NotePrefillDone()
{
  this->runner->tokensToPrefill -= this->toPrefill;
  this->toPrefill = 0;
}

} // namespace wigeonwalk
