// One runner as its registration describes it, and what this daemon has seen of
// it.
//
//   std::shared_ptr<Runner> runner = fleet.Find(id);
//   RunnerLoad load(runner, tokens, work);   // counts one request in flight
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/runner_health.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Whether a runner takes new work.
enum class RunnerState
{
  Ready,
  Leaving,
};

template<>
struct EnumNames<RunnerState>
{
  static constexpr std::array<EnumName<RunnerState>, 2> kTable{ {
    { RunnerState::Ready, "ready" },
    { RunnerState::Leaving, "draining" },
  } };
};
static_assert(HasCompleteTable<RunnerState>());

// Number of a model's weights. Rises with each new version; zero is unknown.
using WeightNumber = std::uint64_t;

struct LoadedModel
{
  ModelName model;
  WeightNumber version = 0;

  bool operator==(const LoadedModel&) const = default;
};

// What a runner registers of itself.
struct RunnerEntry
{
  UpstreamId id;
  ServiceName service;
  // "IP:port".
  std::string address;
  AvailabilityZone zone;
  std::uint32_t slots = 0;
  RunnerState state = RunnerState::Ready;
  // Unix milliseconds of the runner's start: a runner may come back under its
  // id with nothing of what it held. Zero where it is not given.
  std::int64_t startedAt = 0;
  std::vector<LoadedModel> models;

  bool operator==(const RunnerEntry&) const = default;
};

// One start of one runner. Shared by the table and the requests in flight.
struct Runner
{
  RunnerEntry entry;
  // Permanent for this start of the runner.
  bool leaving = false;
  // Set where the registration went missing right after an outage of the
  // registry; the runner is gone unless it registers again before.
  std::optional<TimePoint> missingUntil;
  // No new work until then: the runner is loading weights.
  TimePoint pausedUntil;
  RunnerHealth health;

  // Requests in flight from this daemon, and what they take there.
  std::uint32_t inFlight = 0;
  std::uint64_t tokensInFlight = 0;
  // Prompt tokens that are to be read before the first tokens of the requests
  // in flight.
  std::uint64_t tokensToRead = 0;
  // The same of the other daemons, as they last told.
  std::uint32_t othersInFlight = 0;
  std::uint64_t othersTokensInFlight = 0;
  // When the runner will have read the long prompts of other daemons.
  TimePoint othersReadBy;

  // True where the runner did not register again in time.
  bool IsGone(TimePoint aNow) const
  {
    return this->missingUntil && *this->missingUntil <= aNow;
  }

  // Another daemon has sent a prompt that takes this long to read, after what
  // is known to be read before.
  void NoteOthersWork(Duration aReading, TimePoint aNow);

  // Returns the version of a model's weights, or zero.
  WeightNumber VersionOf(const ModelName& aModel) const;
  void SetVersion(const ModelName& aModel, WeightNumber aVersion);
};

// Counts one request at a runner as long as it lives.
class RunnerLoad
{
public:
  // `aTokens` is the memory that the request takes, `aToRead` the part of its
  // prompt that is read before its first token.
  RunnerLoad(std::shared_ptr<Runner> aRunner,
             std::uint64_t aTokens,
             std::uint64_t aToRead);
  ~RunnerLoad();
  RunnerLoad(const RunnerLoad&) = delete;
  RunnerLoad& operator=(const RunnerLoad&) = delete;

  // The first token has come.
  void NoteRead();

private:
  std::shared_ptr<Runner> runner;
  std::uint64_t tokens;
  std::uint64_t toRead;
};

} // namespace wigeonwalk
