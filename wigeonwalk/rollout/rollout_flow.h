// Carries out the rollout of new weights to one service's runners while this
// daemon holds the service's rollout lease.
//
//   RolloutFlow flow(keyValue, timer, keeper, codec, engines, "orders");
//   RolloutResult result = co_await flow.Run(spec);
//
// The progress is stored in the key-value service, so that the next lease
// holder can continue.
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/rollout/order_intent.h"
#include "wigeonwalk/rollout/rollout_plan.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Encodes progress and intents as values of the key-value service.
template<typename T>
concept RolloutCodec = requires(const T& aCodec,
                                const RolloutState& aState,
                                const OrderIntent& aIntent,
                                const std::string& aText)
{
  {
    aCodec.EncodeState(aState)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeState(aText)
    } -> std::same_as<std::optional<RolloutState>>;
  {
    aCodec.EncodeIntent(aIntent)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeIntent(aText)
    } -> std::same_as<std::optional<OrderIntent>>;
};

// The lease of this process. FencingNumber() returns nothing unless it is
// certain that the process holds the lease; see LeaseKeeper.
template<typename T>
concept LeaseHolder = requires(const T& aHolder)
{
  {
    aHolder.FencingNumber()
    } -> std::same_as<std::optional<std::uint64_t>>;
  {
    aHolder.ValidUntil()
    } -> std::same_as<TimePoint>;
};

// Result of RolloutFlow::Run.
enum class RolloutResult
{
  Done,
  RolledBack,
  // The lease was lost, or another holder has written progress; run again once
  // the lease is held.
  LeaseLost,
  // The key-value service did not answer, or a load could not be verified; run
  // again later.
  Unavailable,
  // A rollout of a newer document has started.
  Superseded,
  // Loading any further runner would leave fewer than minimumServing runners.
  Blocked,
};

template<>
struct EnumNames<RolloutResult>
{
  static constexpr std::array<EnumName<RolloutResult>, 6> kTable{ {
    { RolloutResult::Done, "done" },
    { RolloutResult::RolledBack, "rolled-back" },
    { RolloutResult::LeaseLost, "lease-lost" },
    { RolloutResult::Unavailable, "unavailable" },
    { RolloutResult::Superseded, "superseded" },
    { RolloutResult::Blocked, "blocked" },
  } };
};
static_assert(HasCompleteTable<RolloutResult>());

// A runner's engine, and whether it refuses orders with an old fencing number.
template<typename E>
struct OrderedRunner
{
  E* engine = nullptr;
  bool checksFencingNumbers = false;
};

// Performs the rollout of one service; see the top of the file. Runs on the
// daemon's I/O thread.
template<ControllableEngine E,
         KeyValueService S,
         Timer T,
         LeaseHolder L,
         RolloutCodec C>
class RolloutFlow
{
public:
  using Runners = std::map<UpstreamId, OrderedRunner<E>>;

  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  RolloutFlow(S& aService,
              T& aTimer,
              const L& aLease,
              C aCodec,
              Runners aRunners,
              std::string aServiceName)
    : service(aService)
    , timer(aTimer)
    , lease(aLease)
    , codec(std::move(aCodec))
    , runners(std::move(aRunners))
    , prefix("rollout/" + aServiceName + "/")
  {
  }

  // Starts or continues the rollout until it is over, cannot proceed or this
  // process may no longer send orders.
  Task<RolloutResult> Run(RolloutSpec aSpec)
  {
    auto result = co_await this->TakeOver(aSpec);
    while (!result && !this->state.IsOver()) {
      std::vector<UpstreamId> loading = RunnersLoading(this->state);
      if (loading.empty()) {
        loading = NextToLoad(this->state);
        if (loading.empty()) {
          co_return RolloutResult::Blocked;
        }
        result = co_await this->Save();
      }
      if (!result) {
        result = co_await this->LoadAll(loading);
      }
    }
    if (!result) {
      result = co_await this->Verify();
    }
    if (result) {
      co_return *result;
    }
    co_return this->state.stage == RolloutStage::Done
      ? RolloutResult::Done
      : RolloutResult::RolledBack;
  }

  const RolloutState& State() const { return this->state; }

private:
  // Result of loading one runner. After LeaseLost and Unavailable the state of
  // the runner is unknown.
  enum class LoadResult
  {
    Loaded,
    Failed,
    LeaseLost,
    Unavailable,
  };

  // Reads the stored progress and writes it back under this holder's fencing
  // number. Writes of an earlier holder then fail, since their expected
  // revision is out of date.
  Task<std::optional<RolloutResult>> TakeOver(const RolloutSpec& aSpec)
  {
    FailureReason reason;
    const std::string key = this->prefix + "progress";
    const auto read =
      co_await this->service.Get(key, this->timer.Now() + kCallTimeout, reason);
    if (!read) {
      co_return RolloutResult::Unavailable;
    }
    this->revision = read->entry ? read->entry->modRevision : 0;
    std::optional<RolloutState> stored;
    if (read->entry) {
      stored = this->codec.DecodeState(read->entry->value);
    }
    if (stored && stored->documentRevision > aSpec.documentRevision) {
      co_return RolloutResult::Superseded;
    }
    if (stored && stored->documentRevision == aSpec.documentRevision) {
      this->state = *stored;
    } else {
      this->state =
        stored ? ReplaceRollout(*stored, aSpec) : BeginRollout(aSpec);
    }
    co_return co_await this->Save();
  }

  // Writes the progress. Returns a result if this holder must stop.
  Task<std::optional<RolloutResult>> Save()
  {
    const auto fencing = this->lease.FencingNumber();
    if (!fencing) {
      co_return RolloutResult::LeaseLost;
    }
    this->state.writtenBy = *fencing;
    ++this->state.writeNumber;
    const PutRequest put{ .key = this->prefix + "progress",
                          .value = this->codec.EncodeState(this->state),
                          .expectedRevision = this->revision };
    FailureReason reason;
    const WriteResult result =
      co_await this->service.Put(put, this->timer.Now() + kCallTimeout, reason);
    switch (result.outcome) {
      case WriteOutcome::Applied:
        this->revision = result.revision;
        co_return std::nullopt;
      case WriteOutcome::Conflict:
        co_return RolloutResult::LeaseLost;
      case WriteOutcome::Unknown:
      case WriteOutcome::NotSent:
        break;
    }
    co_return RolloutResult::Unavailable;
  }

  // Loads the runners, two at a time, and saves the results.
  Task<std::optional<RolloutResult>> LoadAll(std::vector<UpstreamId> aRunners)
  {
    using boost::asio::experimental::awaitable_operators::operator&&;
    const WeightVersion target = this->state.Target();
    std::vector<LoadResult> results(aRunners.size(), LoadResult::Unavailable);
    for (std::size_t i = 0; i < aRunners.size(); i += 2) {
      if (i + 1 < aRunners.size()) {
        co_await (this->Load(aRunners[i], target, results[i]) &&
                  this->Load(aRunners[i + 1], target, results[i + 1]));
      } else {
        co_await this->Load(aRunners[i], target, results[i]);
      }
    }
    // Record loads before failures: a failure may start a rollback, in which
    // the runners that have loaded must load the old version again.
    std::optional<RolloutResult> result;
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (results[i] == LoadResult::Loaded) {
        RecordLoaded(this->state, aRunners[i]);
      }
    }
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (results[i] == LoadResult::Failed) {
        RecordFailed(this->state, aRunners[i]);
      } else if (results[i] == LoadResult::LeaseLost) {
        result = RolloutResult::LeaseLost;
      } else if (results[i] == LoadResult::Unavailable) {
        result = result.value_or(RolloutResult::Unavailable);
      }
    }
    const auto saved = co_await this->Save();
    co_return result ? result : saved;
  }

  // Loads a version on one runner, unless it already runs that version.
  Task<void> Load(UpstreamId aRunner,
                  WeightVersion aTarget,
                  LoadResult& aResult)
  {
    const auto found = this->runners.find(aRunner);
    if (found == this->runners.end()) {
      aResult = LoadResult::Failed;
      co_return;
    }
    const OrderedRunner<E>& row = found->second;
    TimePoint sendBy = TimePoint::max();
    if (!row.checksFencingNumbers) {
      const auto until = co_await this->WriteIntent(aRunner, aResult);
      if (!until) {
        co_return;
      }
      sendBy = *until;
    }
    if (co_await this->RunsVersion(*row.engine, aTarget)) {
      aResult = LoadResult::Loaded;
      co_return;
    }
    aResult = co_await this->SendOrder(*row.engine, aRunner, aTarget, sendBy);
  }

  // Sends the order. Then checks which version the engine runs, since its
  // answer may have been lost.
  Task<LoadResult> SendOrder(E& aEngine,
                             UpstreamId aRunner,
                             WeightVersion aTarget,
                             TimePoint aSendBy)
  {
    const auto fencing = this->lease.FencingNumber();
    const TimePoint now = this->timer.Now();
    if (!fencing || now >= aSendBy) {
      co_return LoadResult::LeaseLost;
    }
    EngineOrder order;
    order.orderId = aRunner.Text() + "/" + std::to_string(*fencing) + "/" +
                    std::to_string(++this->orderNumber);
    order.fencingNumber = *fencing;
    order.kind = OrderKind::LoadVersion;
    order.model = this->state.model;
    order.target = aTarget.Text();
    FailureReason reason;
    const auto answer =
      co_await aEngine.Order(order, now + kMaxOrderDuration, reason);
    if (answer == OrderAnswer::RefusedOldFencingNumber) {
      co_return LoadResult::LeaseLost;
    }
    if (co_await this->RunsVersion(aEngine, aTarget)) {
      co_return LoadResult::Loaded;
    }
    co_return LoadResult::Failed;
  }

  Task<bool> RunsVersion(E& aEngine, WeightVersion aTarget)
  {
    FailureReason reason;
    const auto present =
      co_await aEngine.State(this->timer.Now() + kCallTimeout, reason);
    co_return present && present->model == this->state.model &&
      present->version == aTarget;
  }

  // Waits until the intent of an earlier holder has expired, and writes this
  // holder's intent. Returns the time by which the order must be sent.
  Task<std::optional<TimePoint>> WriteIntent(UpstreamId aRunner,
                                             LoadResult& aResult)
  {
    const std::string key = this->prefix + "intent/" + aRunner.Text();
    while (true) {
      FailureReason reason;
      const auto fencing = this->lease.FencingNumber();
      aResult = fencing ? LoadResult::Unavailable : LoadResult::LeaseLost;
      if (!fencing) {
        co_return std::nullopt;
      }
      const auto read = co_await this->service.Get(
        key, this->timer.Now() + kCallTimeout, reason);
      if (!read) {
        co_return std::nullopt;
      }
      std::optional<OrderIntent> present;
      if (read->entry) {
        present = this->codec.DecodeIntent(read->entry->value);
      }
      switch (DecideOnIntent(present, *fencing, this->timer.Now())) {
        case IntentAction::StepDown:
          aResult = LoadResult::LeaseLost;
          co_return std::nullopt;
        case IntentAction::Wait:
          co_await this->timer.WaitUntil(present->expiresAt +
                                         kOrderClockMargin);
          continue;
        case IntentAction::Write:
          break;
      }
      const OrderIntent intent =
        MakeIntent(aRunner, *fencing, ++this->orderNumber, this->timer.Now());
      const PutRequest put{ .key = key,
                            .value = this->codec.EncodeIntent(intent),
                            .expectedRevision =
                              read->entry ? read->entry->modRevision : 0 };
      const WriteResult result = co_await this->service.Put(
        put, this->timer.Now() + kCallTimeout, reason);
      if (result.outcome == WriteOutcome::Applied) {
        co_return std::min(SendBy(intent), this->lease.ValidUntil());
      }
      if (result.outcome != WriteOutcome::Conflict) {
        co_return std::nullopt;
      }
    }
  }

  // Waits until no order of an earlier holder can take effect any more. Then
  // checks every loaded runner, and loads those again that a late order
  // changed.
  Task<std::optional<RolloutResult>> Verify()
  {
    co_await this->timer.WaitUntil(this->timer.Now() + kMaxOrderDuration +
                                   kOrderClockMargin);
    const WeightVersion target = this->state.Target();
    for (const RunnerProgress& row : this->state.runners) {
      const auto found = this->runners.find(row.runner);
      if (row.phase != RunnerPhase::Loaded || found == this->runners.end() ||
          co_await this->RunsVersion(*found->second.engine, target)) {
        continue;
      }
      LoadResult result = LoadResult::Unavailable;
      co_await this->Load(row.runner, target, result);
      if (result == LoadResult::LeaseLost) {
        co_return RolloutResult::LeaseLost;
      }
      if (result != LoadResult::Loaded) {
        co_return RolloutResult::Unavailable;
      }
    }
    co_return std::nullopt;
  }

  S& service;
  T& timer;
  const L& lease;
  C codec;
  Runners runners;
  std::string prefix;
  RolloutState state;
  std::int64_t revision = 0;
  std::uint64_t orderNumber = 0;
};

} // namespace wigeonwalk
