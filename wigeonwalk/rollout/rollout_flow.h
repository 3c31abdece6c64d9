// Carries out the rollout of new weights to one service's runners while this
// daemon holds the service's rollout lease.
//
//   RolloutFlow flow(keyValue, timer, keeper, codec, engines, "orders");
//   RolloutEnd end = co_await flow.Run(spec);
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
enum class RolloutEnd
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
struct EnumNames<RolloutEnd>
{
  static constexpr std::array<EnumName<RolloutEnd>, 6> kTable{ {
    { RolloutEnd::Done, "done" },
    { RolloutEnd::RolledBack, "rolled-back" },
    { RolloutEnd::LeaseLost, "lease-lost" },
    { RolloutEnd::Unavailable, "unavailable" },
    { RolloutEnd::Superseded, "superseded" },
    { RolloutEnd::Blocked, "blocked" },
  } };
};
static_assert(HasCompleteTable<RolloutEnd>());

// A runner's engine, and whether it refuses orders with an old fencing number.
template<typename E>
struct OrderedRunner
{
  E* engine = nullptr;
  bool checksFencingNumbers = false;
};

// Performs the rollout of one service; see the top of the file. Runs on the
// daemon's I/O thread.
template<OrderableEngine E,
         KeyValueService S,
         Timer T,
         LeaseHolder L,
         RolloutCodec C>
class RolloutFlow
{
public:
  using Runners = std::map<UpstreamId, OrderedRunner<E>>;

  static constexpr Duration kCallTime = std::chrono::seconds(2);

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
  Task<RolloutEnd> Run(RolloutSpec aSpec)
  {
    auto end = co_await this->TakeOver(aSpec);
    while (!end && !this->state.IsOver()) {
      std::vector<UpstreamId> loading = LeftLoading(this->state);
      if (loading.empty()) {
        loading = NextToLoad(this->state);
        if (loading.empty()) {
          co_return RolloutEnd::Blocked;
        }
        end = co_await this->Save();
      }
      if (!end) {
        end = co_await this->LoadAll(loading);
      }
    }
    if (!end) {
      end = co_await this->Verify();
    }
    if (end) {
      co_return *end;
    }
    co_return this->state.stage == RolloutStage::Done ? RolloutEnd::Done
                                                      : RolloutEnd::RolledBack;
  }

  const RolloutState& State() const { return this->state; }

private:
  // Result of loading one runner. After LeaseLost and Unavailable the state of
  // the runner is unknown.
  enum class LoadEnd
  {
    Loaded,
    Failed,
    LeaseLost,
    Unavailable,
  };

  // Reads the stored progress and writes it back under this holder's fencing
  // number. Writes of an earlier holder then fail, since their expected
  // revision is out of date.
  Task<std::optional<RolloutEnd>> TakeOver(const RolloutSpec& aSpec)
  {
    LastReason reason;
    const std::string key = this->prefix + "progress";
    const auto read =
      co_await this->service.Get(key, this->timer.Now() + kCallTime, reason);
    if (!read) {
      co_return RolloutEnd::Unavailable;
    }
    this->revision = read->entry ? read->entry->modRevision : 0;
    std::optional<RolloutState> old;
    if (read->entry) {
      old = this->codec.DecodeState(read->entry->value);
    }
    if (old && old->documentRevision > aSpec.documentRevision) {
      co_return RolloutEnd::Superseded;
    }
    if (old && old->documentRevision == aSpec.documentRevision) {
      this->state = *old;
    } else {
      this->state = old ? ReplaceRollout(*old, aSpec) : BeginRollout(aSpec);
    }
    co_return co_await this->Save();
  }

  // Writes the progress. Returns a result if this holder must stop.
  Task<std::optional<RolloutEnd>> Save()
  {
    const auto fencing = this->lease.FencingNumber();
    if (!fencing) {
      co_return RolloutEnd::LeaseLost;
    }
    this->state.writtenBy = *fencing;
    ++this->state.writeNumber;
    const PutRequest put{ .key = this->prefix + "progress",
                          .value = this->codec.EncodeState(this->state),
                          .expectedRevision = this->revision };
    LastReason reason;
    const WriteResult result =
      co_await this->service.Put(put, this->timer.Now() + kCallTime, reason);
    switch (result.outcome) {
      case WriteOutcome::Applied:
        this->revision = result.revision;
        co_return std::nullopt;
      case WriteOutcome::Conflict:
        co_return RolloutEnd::LeaseLost;
      case WriteOutcome::Unknown:
      case WriteOutcome::NotSent:
        break;
    }
    co_return RolloutEnd::Unavailable;
  }

  // Loads the runners, two at a time, and saves the results.
  Task<std::optional<RolloutEnd>> LoadAll(std::vector<UpstreamId> aRunners)
  {
    using boost::asio::experimental::awaitable_operators::operator&&;
    const WeightVersion target = this->state.Target();
    std::vector<LoadEnd> ends(aRunners.size(), LoadEnd::Unavailable);
    for (std::size_t i = 0; i < aRunners.size(); i += 2) {
      if (i + 1 < aRunners.size()) {
        co_await (this->Load(aRunners[i], target, ends[i]) &&
                  this->Load(aRunners[i + 1], target, ends[i + 1]));
      } else {
        co_await this->Load(aRunners[i], target, ends[i]);
      }
    }
    // Record loads before failures: a failure may start a rollback, in which
    // the runners that have loaded must load the old version again.
    std::optional<RolloutEnd> end;
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (ends[i] == LoadEnd::Loaded) {
        RecordLoaded(this->state, aRunners[i]);
      }
    }
    for (std::size_t i = 0; i < aRunners.size(); ++i) {
      if (ends[i] == LoadEnd::Failed) {
        RecordFailed(this->state, aRunners[i]);
      } else if (ends[i] == LoadEnd::LeaseLost) {
        end = RolloutEnd::LeaseLost;
      } else if (ends[i] == LoadEnd::Unavailable) {
        end = end.value_or(RolloutEnd::Unavailable);
      }
    }
    const auto saved = co_await this->Save();
    co_return end ? end : saved;
  }

  // Loads a version on one runner, unless it already runs that version.
  Task<void> Load(UpstreamId aRunner, WeightVersion aTarget, LoadEnd& aEnd)
  {
    const auto found = this->runners.find(aRunner);
    if (found == this->runners.end()) {
      aEnd = LoadEnd::Failed;
      co_return;
    }
    const OrderedRunner<E>& row = found->second;
    TimePoint sendBy = TimePoint::max();
    if (!row.checksFencingNumbers) {
      const auto until = co_await this->WriteIntent(aRunner, aEnd);
      if (!until) {
        co_return;
      }
      sendBy = *until;
    }
    if (co_await this->Runs(*row.engine, aTarget)) {
      aEnd = LoadEnd::Loaded;
      co_return;
    }
    aEnd = co_await this->SendOrder(*row.engine, aRunner, aTarget, sendBy);
  }

  // Sends the order. Then checks which version the engine runs, since its
  // answer may have been lost.
  Task<LoadEnd> SendOrder(E& aEngine,
                          UpstreamId aRunner,
                          WeightVersion aTarget,
                          TimePoint aSendBy)
  {
    const auto fencing = this->lease.FencingNumber();
    const TimePoint now = this->timer.Now();
    if (!fencing || now >= aSendBy) {
      co_return LoadEnd::LeaseLost;
    }
    EngineOrder order;
    order.orderId = aRunner.Text() + "/" + std::to_string(*fencing) + "/" +
                    std::to_string(++this->orderNumber);
    order.fencingNumber = *fencing;
    order.kind = OrderKind::LoadVersion;
    order.model = this->state.model;
    order.target = aTarget.Text();
    LastReason reason;
    const auto answer =
      co_await aEngine.Order(order, now + kLongestOrder, reason);
    if (answer == OrderAnswer::RefusedOldFencingNumber) {
      co_return LoadEnd::LeaseLost;
    }
    if (co_await this->Runs(aEngine, aTarget)) {
      co_return LoadEnd::Loaded;
    }
    co_return LoadEnd::Failed;
  }

  Task<bool> Runs(E& aEngine, WeightVersion aTarget)
  {
    LastReason reason;
    const auto present =
      co_await aEngine.State(this->timer.Now() + kCallTime, reason);
    co_return present && present->model == this->state.model &&
      present->version == aTarget;
  }

  // Waits until the intent of an earlier holder has expired, and writes this
  // holder's intent. Returns the time by which the order must be sent.
  Task<std::optional<TimePoint>> WriteIntent(UpstreamId aRunner, LoadEnd& aEnd)
  {
    const std::string key = this->prefix + "intent/" + aRunner.Text();
    while (true) {
      LastReason reason;
      const auto fencing = this->lease.FencingNumber();
      aEnd = fencing ? LoadEnd::Unavailable : LoadEnd::LeaseLost;
      if (!fencing) {
        co_return std::nullopt;
      }
      const auto read =
        co_await this->service.Get(key, this->timer.Now() + kCallTime, reason);
      if (!read) {
        co_return std::nullopt;
      }
      std::optional<OrderIntent> present;
      if (read->entry) {
        present = this->codec.DecodeIntent(read->entry->value);
      }
      switch (DecideOnIntent(present, *fencing, this->timer.Now())) {
        case IntentAction::GiveWay:
          aEnd = LoadEnd::LeaseLost;
          co_return std::nullopt;
        case IntentAction::Wait:
          co_await this->timer.WaitUntil(present->expiresAt + kClockMargin);
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
      const WriteResult result =
        co_await this->service.Put(put, this->timer.Now() + kCallTime, reason);
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
  Task<std::optional<RolloutEnd>> Verify()
  {
    co_await this->timer.WaitUntil(this->timer.Now() + kLongestOrder +
                                   kClockMargin);
    const WeightVersion target = this->state.Target();
    for (const RunnerProgress& row : this->state.runners) {
      const auto found = this->runners.find(row.runner);
      if (row.phase != RunnerPhase::Loaded || found == this->runners.end() ||
          co_await this->Runs(*found->second.engine, target)) {
        continue;
      }
      LoadEnd end = LoadEnd::Unavailable;
      co_await this->Load(row.runner, target, end);
      if (end == LoadEnd::LeaseLost) {
        co_return RolloutEnd::LeaseLost;
      }
      if (end != LoadEnd::Loaded) {
        co_return RolloutEnd::Unavailable;
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
