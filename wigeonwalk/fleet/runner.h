// A runner's registration, and its load and health as seen by this daemon.
//
//   std::shared_ptr<Runner> runner = fleet.Find(id);
//   RunnerLoad load(runner, tokens, toPrefill);   // one request in flight
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/fleet/cold_start.h"
#include "wigeonwalk/fleet/requested_pause.h"
#include "wigeonwalk/fleet/runner_health.h"
#include "wigeonwalk/fleet/stream_origin.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Whether a runner accepts new requests.
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

// Version number of a model's weights. Increases with each new version; zero is
// unknown.
using WeightNumber = std::uint64_t;

struct LoadedModel
{
  ModelName model;
  WeightNumber version = 0;

  bool operator==(const LoadedModel&) const = default;
};

// The registration of a runner.
struct RunnerEntry
{
  UpstreamId id;
  ServiceName service;
  // "IP:port".
  std::string address;
  AvailabilityZone zone;
  std::uint32_t slots = 0;
  RunnerState state = RunnerState::Ready;
  // Start time of the runner in Unix milliseconds: a runner may restart under
  // the same id with an empty cache. Zero if not given.
  std::int64_t startedAt = 0;
  std::vector<LoadedModel> models;
  // Version of the runner's software, as opposed to that of its weights; empty
  // if not given.
  std::string softwareVersion;
  // How much longer the runner is cold, counted from the registration; nothing
  // if it does not say so.
  std::optional<Duration> coldRemaining;

  bool operator==(const RunnerEntry&) const = default;
};

// Long prompts in flight at a runner, and the memory they take, in tokens.
struct LongPrompts
{
  std::uint32_t count = 0;
  std::uint64_t tokens = 0;

  bool operator==(const LongPrompts&) const = default;
};

// One runner from one start to the next. Shared by the table and the requests
// in flight.
struct Runner
{
  RunnerEntry entry;
  // Gets no new requests. Never reset for this start of the runner.
  bool leaving = false;
  // Registrations of this start have given different versions of its software,
  // of which only one can be right. Never reset for this start of the runner.
  bool isVersionDisputed = false;
  // Set if the registration disappeared right after an outage of the registry:
  // the runner is removed at this time unless it registers again before.
  std::optional<TimePoint> missingUntil;
  // No new requests until this time, because the registration was listed in a
  // copy of the registry that is older than its removal.
  TimePoint doubtedUntil;
  // No new requests until this time, because the runner is loading weights.
  TimePoint pausedUntil;
  // No new requests from this daemon, at the runner's request.
  RequestedPause requestedPause;
  // How many requests the runner may get after its start.
  ColdStart coldStart;
  RunnerHealth health;

  // Requests in flight from this daemon, and the cache memory they take, in
  // tokens.
  std::uint32_t inFlight = 0;
  std::uint64_t tokensInFlight = 0;
  // Those among them that are announced to other daemons.
  LongPrompts longPrompts;
  // Prompt tokens of requests in flight whose prefill is not complete.
  std::uint64_t tokensToPrefill = 0;
  // Requests and tokens in flight from other daemons, by their last reports.
  std::uint32_t othersInFlight = 0;
  std::uint64_t othersTokensInFlight = 0;
  // Estimated end of the prefill of other daemons' long prompts.
  TimePoint othersPrefillUntil;

  // Returns true if the runner did not register again in time.
  bool IsGone(TimePoint aNow) const
  {
    return this->missingUntil && *this->missingUntil <= aNow;
  }

  // Returns false if the start of an answer's sender differs from this one.
  // Zero, an unknown start, counts as the same: the answer came from the
  // address of this start.
  bool IsSameStart(std::int64_t aStartedAt) const
  {
    return aStartedAt == 0 || this->entry.startedAt == 0 ||
           aStartedAt == this->entry.startedAt;
  }

  // Returns true if a new request may be sent, as far as the runner has said.
  bool TakesRequests(TimePoint aNow) const
  {
    return !this->leaving && aNow >= this->doubtedUntil &&
           this->requestedPause.Admits(aNow);
  }

  // Records that another daemon has sent a long prompt. Its prefill takes
  // `aPrefillTime` and starts after the other prefills recorded so far.
  void NoteOthersPrefill(Duration aPrefillTime, TimePoint aNow);

  // Returns the version of the runner's software, or an empty text if unknown.
  std::string SoftwareVersion() const
  {
    return this->isVersionDisputed ? std::string()
                                   : this->entry.softwareVersion;
  }

  // Returns the origin of the streams that the runner begins.
  StreamOrigin Origin() const
  {
    return { this->entry.service, this->SoftwareVersion() };
  }

  // Returns the version of a model's weights, or zero if unknown.
  WeightNumber VersionOf(const ModelName& aModel) const;
  void SetVersion(const ModelName& aModel, WeightNumber aVersion);
};

// RAII guard: counts one request in flight at a runner while it exists.
class RunnerLoad
{
public:
  // `aTokens` is the cache memory that the request takes, `aToPrefill` the
  // number of prompt tokens that must be prefilled before its first token.
  RunnerLoad(std::shared_ptr<Runner> aRunner,
             std::uint64_t aTokens,
             std::uint64_t aToPrefill);
  ~RunnerLoad();
  RunnerLoad(const RunnerLoad&) = delete;
  RunnerLoad& operator=(const RunnerLoad&) = delete;

  // Records that the first token has arrived, so the prefill is complete.
  void NotePrefillDone();

private:
  std::shared_ptr<Runner> runner;
  std::uint64_t tokens;
  std::uint64_t toPrefill;
};

} // namespace wigeonwalk
