#include "wigeonwalk/entry/weight_ages.h"

#include <algorithm>

namespace wigeonwalk {

namespace {

Duration
MaxAge(const EntryState& aState)
{
  return aState.Settings().bounds.newWeights;
}

} // namespace

std::vector<WeightsAge>
AgesOfWeights(const EntryState& aState, TimePoint aNow)
{
  return AgesOfWeightsAfter(aState, -1, aNow);
}

std::vector<WeightsAge>
AgesOfWeightsAfter(const EntryState& aState,
                   std::int64_t aRevision,
                   TimePoint aNow)
{
  const Duration maxAge = MaxAge(aState);
  std::vector<WeightsAge> ages;
  for (const auto& [model, history] : aState.Weights()) {
    for (const PublishedWeights& known : history.NeededSince(aNow - maxAge)) {
      if (known.revision > aRevision && ages.size() < kMaxWeightAges) {
        const Duration age =
          std::clamp(aNow - known.knownSince, Duration(0), maxAge);
        ages.push_back(
          { model, known.version, known.revision, age, known.mayBeOlder });
      }
    }
  }
  return ages;
}

std::vector<WeightsAge>
LearnAges(EntryState& aState,
          const std::vector<WeightsAge>& aAges,
          TimePoint aNow)
{
  std::vector<WeightsAge> learnt;
  for (const WeightsAge& reported : aAges) {
    const Duration age = std::clamp(reported.age, Duration(0), MaxAge(aState));
    const PublishedWeights published{
      reported.version, aNow - age, reported.revision, reported.mayBeOlder
    };
    if (aState.RecordWeights(reported.model, published)) {
      learnt.push_back(reported);
    }
  }
  return learnt;
}

bool
KnowsAgesOfWeights(const EntryState& aState, TimePoint aNow)
{
  const TimePoint oldest = aNow - MaxAge(aState);
  return std::all_of(aState.Weights().begin(),
                     aState.Weights().end(),
                     [oldest](const auto& aEntry) {
                       return aEntry.second.IsExactSince(oldest);
                     });
}

} // namespace wigeonwalk
