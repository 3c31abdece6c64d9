// A fake model engine in virtual time that carries out orders, and connections
// to it.
//
//   WeightLoads loads;
//   FakeControllableEngine engine(time, loads, checksFencingNumbers);
//   FakeEngineLink link(engine, time, pause);
//   auto answer = co_await link.Order(order, deadline, reason);
#pragma once

#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/testing/process_pause.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace wigeonwalk {

// Counts the engines that are loading weights from one weight store.
struct WeightLoads
{
  std::uint32_t loading = 0;
  std::uint32_t maxLoading = 0;

  // One second; a second more for each engine above three that loads at once.
  Duration LoadTime() const
  {
    return std::chrono::seconds(this->loading > 3 ? this->loading - 2 : 1);
  }
};

// The effect of an order that was carried out.
struct OrderEffect
{
  std::uint64_t fencingNumber = 0;
  std::string version;
  TimePoint at;
};

// One engine. It does not serve while it loads weights. An order for a version
// in `failing` fails and leaves the engine with no version loaded.
class FakeControllableEngine
{
public:
  FakeControllableEngine(VirtualTime& aTime,
                         WeightLoads& aLoads,
                         bool aChecksFencingNumbers)
    : time(aTime)
    , loads(aLoads)
    , checksFencingNumbers(aChecksFencingNumbers)
  {
  }

  Task<OrderAnswer> Apply(EngineOrder aOrder)
  {
    this->received.insert(aOrder.fencingNumber);
    if (this->IsOld(aOrder)) {
      co_return OrderAnswer::RefusedOldFencingNumber;
    }
    this->state.lastFencingNumber =
      std::max(this->state.lastFencingNumber, aOrder.fencingNumber);
    ++this->ordersRunning;
    ++this->loads.loading;
    this->loads.maxLoading =
      std::max(this->loads.maxLoading, this->loads.loading);
    co_await this->time.WaitUntil(this->time.Now() + this->loads.LoadTime());
    --this->loads.loading;
    --this->ordersRunning;
    // An order that a newer one superseded during the load has no effect.
    if (this->IsOld(aOrder)) {
      co_return OrderAnswer::RefusedOldFencingNumber;
    }
    const bool fails = this->failing.contains(aOrder.target);
    this->state.model = aOrder.model;
    this->state.version = WeightVersion(fails ? "" : aOrder.target);
    this->effects.push_back(
      { aOrder.fencingNumber, this->state.version.Text(), this->time.Now() });
    co_return fails ? OrderAnswer::Failed : OrderAnswer::Done;
  }

  bool Serves() const
  {
    return this->ordersRunning == 0 && !this->state.version.Empty();
  }

  EngineState state;
  std::set<std::string> failing;
  std::vector<OrderEffect> effects;
  // Fencing numbers of all orders that arrived.
  std::set<std::uint64_t> received;

private:
  bool IsOld(const EngineOrder& aOrder) const
  {
    return this->checksFencingNumbers &&
           aOrder.fencingNumber < this->state.lastFencingNumber;
  }

  VirtualTime& time;
  WeightLoads& loads;
  bool checksFencingNumbers;
  std::uint32_t ordersRunning = 0;
};

// The connection of one process to an engine. Connecting takes 1 ms; an order
// then arrives after `delay`, even if its sender is paused. Like the real
// adapter, it sends nothing after the deadline, so a process that was paused
// past the deadline while connecting sends nothing.
class FakeEngineLink
{
public:
  FakeEngineLink(FakeControllableEngine& aEngine,
                 VirtualTime& aTime,
                 const ProcessPause& aPause)
    : engine(aEngine)
    , time(aTime)
    , pause(aPause)
  {
  }

  Task<std::optional<OrderAnswer>> Order(EngineOrder aOrder,
                                         TimePoint aDeadline,
                                         FailureReason& aReason)
  {
    co_await this->time.WaitUntil(
      this->pause.ResumeTime(this->time.Now() + std::chrono::milliseconds(1)));
    if (this->time.Now() >= aDeadline) {
      co_return Fail(aReason, ReasonCode::ConnectTimeout, "not sent in time");
    }
    co_await this->time.WaitUntil(this->time.Now() + this->delay);
    const OrderAnswer answer = co_await this->engine.Apply(aOrder);
    co_await this->time.WaitUntil(this->pause.ResumeTime(this->time.Now()));
    if (this->time.Now() > aDeadline) {
      co_return Fail(aReason, ReasonCode::ResponseTimeout, "no answer in time");
    }
    co_return answer;
  }

  Task<std::optional<EngineState>> State(TimePoint, FailureReason&)
  {
    co_await this->time.WaitUntil(
      this->pause.ResumeTime(this->time.Now() + std::chrono::milliseconds(2)));
    co_return this->engine.state;
  }

  Duration delay = std::chrono::milliseconds(2);

private:
  FakeControllableEngine& engine;
  VirtualTime& time;
  const ProcessPause& pause;
};

static_assert(ControllableEngine<FakeEngineLink>);

} // namespace wigeonwalk
