#include "wigeonwalk/fleet/runner.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

void
Runner::NoteOthersWork(Duration aReading, TimePoint aNow)
{
  this->othersReadBy = std::max(this->othersReadBy, aNow) + aReading;
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
                       std::uint64_t aToRead)
  : runner(std::move(aRunner))
  , tokens(aTokens)
  , toRead(aToRead)
{
  ++this->runner->inFlight;
  this->runner->tokensInFlight += this->tokens;
  this->runner->tokensToRead += this->toRead;
}

RunnerLoad::~RunnerLoad()
{
  this->NoteRead();
  --this->runner->inFlight;
  this->runner->tokensInFlight -= this->tokens;
}

void
RunnerLoad::NoteRead()
{
  this->runner->tokensToRead -= this->toRead;
  this->toRead = 0;
}

} // namespace wigeonwalk
