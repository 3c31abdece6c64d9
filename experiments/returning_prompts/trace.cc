#include "returning_prompts/trace.h"

#include "wigeonwalk/cache/piece_key.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace wigeonwalk::replay {

namespace {

// Start of all traces, later than the longest history.
const TimePoint kTraceStart{ std::chrono::hours(24 * 30) };

// Maximum number of past servings from which the return model learns.
constexpr std::size_t kMaxLearnedServings = 40'000;

constexpr double kMinGapSeconds = 60;
constexpr double kMaxGapSeconds = 3 * 86'400;

class TraceGenerator
{
public:
  TraceGenerator(const Deployment& aDeployment, const TraceOptions& aOptions)
    : deployment(aDeployment)
    , options(aOptions)
    , random(aOptions.seed)
  {
    std::vector<double> demands;
    for (const auto& organisation : aDeployment.organisations) {
      demands.push_back(organisation.demand);
    }
    std::vector<double> shares;
    for (const auto& kind : aDeployment.kinds) {
      shares.push_back(kind.share);
    }
    this->organisations = { demands.begin(), demands.end() };
    this->kinds = { shares.begin(), shares.end() };
  }

  Trace Generate()
  {
    Trace trace;
    trace.start = kTraceStart;
    trace.measureFrom = kTraceStart + this->options.warmUp;
    trace.end = trace.measureFrom + this->options.measured;
    const double newPromptsPerSecond = this->NewPromptRate();
    std::exponential_distribution<double> interarrival(newPromptsPerSecond);
    TimePoint at = kTraceStart - this->options.history;
    for (std::uint64_t prompt = 1; at < trace.end; ++prompt) {
      this->GenerateServings(prompt, at, &trace);
      at += FromSeconds(interarrival(this->random));
    }
    const auto byTime = [](const auto& aLeft, const auto& aRight) {
      return aLeft.at < aRight.at;
    };
    std::stable_sort(trace.arrivals.begin(), trace.arrivals.end(), byTime);
    std::stable_sort(trace.pastPrompts.begin(),
                     trace.pastPrompts.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.lastAt < aRight.lastAt;
                     });
    return trace;
  }

private:
  // Returns the rate of new prompts, per second, at which the steady state has
  // the requested load.
  double NewPromptRate()
  {
    constexpr int kSamples = 20'000;
    double tokens = 0;
    for (int i = 0; i < kSamples; ++i) {
      tokens += this->GenerateServings(0, kTraceStart, nullptr);
    }
    const double capacity =
      this->deployment.prefillTokensPerSecond * this->deployment.runners;
    return this->options.load * capacity / (tokens / kSamples);
  }

  std::uint32_t Uniform(std::uint32_t aLow, std::uint32_t aHigh)
  {
    return std::uniform_int_distribution<std::uint32_t>(aLow,
                                                        aHigh)(this->random);
  }

  double ReturnGap(const OrganisationTraits& aOrganisation)
  {
    std::lognormal_distribution<double> gaps(
      std::log(aOrganisation.gapMedianSeconds), this->deployment.gapLogSigma);
    return std::clamp(gaps(this->random), kMinGapSeconds, kMaxGapSeconds) *
           this->options.gapScale;
  }

  // Generates all servings of one prompt, until it does not return. Returns the
  // sum of their prompt tokens.
  double GenerateServings(std::uint64_t aPrompt,
                          TimePoint aStart,
                          Trace* aTrace)
  {
    const std::uint32_t organisation = this->organisations(this->random);
    const OrganisationTraits& traits =
      this->deployment.organisations[organisation];
    const PromptKind& kind = this->deployment.kinds[this->kinds(this->random)];
    Arrival arrival{ .at = aStart,
                     .organisation = organisation,
                     .requestClass = kind.requestClass,
                     .prompt = aPrompt,
                     .archivePieces = kind.archivePieces };
    arrival.tokens =
      std::uint64_t{ this->Uniform(kind.minPieces, kind.maxPieces) } *
        kPieceTokens +
      this->Uniform(0, kPieceTokens - 1);
    arrival.seenTokens = std::uint64_t{ kind.archivePieces } * kPieceTokens;
    double tokens = 0;
    std::bernoulli_distribution returns(traits.returnChance);
    for (bool returnsAgain = true; returnsAgain;) {
      arrival.answerTokens = this->Uniform(50, 400);
      arrival.zone = this->Uniform(0, this->deployment.zones - 1);
      tokens += static_cast<double>(arrival.tokens);
      const double gap = this->ReturnGap(traits);
      returnsAgain = returns(this->random);
      const TimePoint next = arrival.at + FromSeconds(gap);
      this->RecordServing(arrival, returnsAgain, next, aTrace);
      arrival.seenTokens = arrival.tokens + arrival.answerTokens;
      arrival.tokens = arrival.seenTokens + this->Uniform(50, 900);
      arrival.gapSeconds = gap;
      arrival.at = next;
    }
    return tokens;
  }

  void RecordServing(const Arrival& aArrival,
                     bool aReturnsAgain,
                     TimePoint aNext,
                     Trace* aTrace)
  {
    if (aTrace == nullptr || aArrival.at >= aTrace->end) {
      return;
    }
    if (aArrival.at >= aTrace->start) {
      aTrace->arrivals.push_back(aArrival);
      return;
    }
    if (aTrace->pastServings.size() < kMaxLearnedServings) {
      aTrace->pastServings.push_back(
        { aArrival.organisation, aArrival.gapSeconds });
    }
    if (aReturnsAgain && aNext < aTrace->start) {
      return;
    }
    const auto pieces = static_cast<std::uint32_t>(
      (aArrival.tokens + aArrival.answerTokens) / kPieceTokens);
    aTrace->pastPrompts.push_back({ aArrival.at,
                                    aArrival.organisation,
                                    aArrival.prompt,
                                    aArrival.archivePieces,
                                    pieces,
                                    aReturnsAgain && aNext < aTrace->end });
  }

  const Deployment& deployment;
  const TraceOptions& options;
  std::mt19937_64 random;
  std::discrete_distribution<std::uint32_t> organisations;
  std::discrete_distribution<std::uint32_t> kinds;
};

} // namespace

Trace
MakeTrace(const Deployment& aDeployment, const TraceOptions& aOptions)
{
  return TraceGenerator(aDeployment, aOptions).Generate();
}

} // namespace wigeonwalk::replay
