// Fake runners that load weights, and fake stores that hold parts, in virtual
// time.
//
//   FakeRunnerControl control(time);
//   control.runners["10.0.0.1:8000"] = {};
#pragma once

#include "wigeonwalk/ports/runner_control.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wigeonwalk {

// Faults that can be injected into orders to one runner.
enum class OrderFault
{
  None,
  // The runner answers nothing, neither orders nor calls for its report.
  Unresponsive,
  // The order is carried out, but its answer is lost.
  AnswerLost,
  // The order is lost and not carried out.
  OrderLost,
  // The order gets no answer, but is carried out after kLateOrder or the delay
  // that was planned for it.
  AppliedLate,
};

// The fault of one order.
struct PlannedFault
{
  OrderFault fault = OrderFault::None;
  Duration delay{ 0 };
};

// Simulates the reports and orders of runners and the parts of stores, by
// address.
class FakeRunnerControl
{
public:
  static constexpr Duration kLoadTime = std::chrono::milliseconds(1'100);
  static constexpr Duration kLateOrder = std::chrono::seconds(4);

  struct FakeRunner
  {
    WeightNumber version = 1;
    std::int64_t startedAt = 0;
    std::uint64_t acceptedOrders = 0;
    std::uint64_t highestFencingNumber = 0;
    TimePoint busyUntil;
    WeightNumber loadingVersion = 0;
    OrderFault fault = OrderFault::None;
    // Whether the fault clears after one order.
    bool faultOnce = true;
    // Faults of the next orders, if any; they take precedence over `fault`.
    std::deque<PlannedFault> plannedFaults;
    std::uint64_t loads = 0;
    // The versions of the accepted orders.
    std::vector<WeightNumber> loadedVersions;
    // Time from an order to the end of its load.
    Duration loadTime = kLoadTime;
  };

  explicit FakeRunnerControl(VirtualTime& aTime)
    : time(aTime)
  {
  }

  Task<std::optional<PartEventBatch>> CacheEvents(const std::string& aAddress,
                                                  std::uint64_t aSince,
                                                  Duration aWait,
                                                  TimePoint,
                                                  RunnerAdvice& aAdvice,
                                                  FailureReason& aReason)
  {
    aAdvice = this->advice[aAddress];
    ++this->eventCalls;
    if (this->unreachableAddresses.contains(aAddress)) {
      co_return Fail(aReason, ReasonCode::ConnectRefused, "connection refused");
    }
    const auto& batches = this->events[aAddress];
    if (aSince < batches.size()) {
      co_return batches[aSince];
    }
    const TimePoint until = this->time.Now() + aWait;
    co_await this->time.WaitUntil(until);
    PartEventBatch empty;
    empty.epoch = batches.empty() ? 1 : batches.back().epoch;
    empty.nextPosition = aSince;
    co_return empty;
  }

  Task<std::optional<PartListing>> ListParts(const std::string& aAddress,
                                             TimePoint,
                                             FailureReason& aReason)
  {
    if (this->unreachableAddresses.contains(aAddress)) {
      co_return Fail(aReason, ReasonCode::ConnectRefused, "connection refused");
    }
    co_return this->listings[aAddress];
  }

  Task<bool> FreeParts(const std::string& aAddress,
                       const std::vector<PartName>& aParts,
                       std::int64_t,
                       TimePoint,
                       FailureReason&)
  {
    for (const PartName& part : aParts) {
      this->freed.emplace_back(aAddress + " " + part.salt + " " + part.part);
    }
    co_return true;
  }

  Task<std::optional<RunnerReport>> Report(const std::string& aAddress,
                                           TimePoint aDeadline,
                                           RunnerAdvice& aAdvice,
                                           FailureReason& aReason)
  {
    aAdvice = this->advice[aAddress];
    FakeRunner& runner = this->runners.at(aAddress);
    this->Advance(runner);
    if (runner.fault == OrderFault::Unresponsive) {
      co_await this->time.WaitUntil(aDeadline);
      co_return Fail(
        aReason, ReasonCode::ResponseTimeout, "no answer from the runner");
    }
    RunnerReport report;
    report.startedAt = runner.startedAt;
    report.models = { { ModelName("m"), runner.version } };
    report.busy = this->time.Now() < runner.busyUntil;
    report.acceptedOrders = runner.acceptedOrders;
    co_return report;
  }

  Task<OrderOutcome> Order(const WeightsOrder& aOrder,
                           TimePoint aDeadline,
                           RunnerAdvice& aAdvice,
                           FailureReason& aReason)
  {
    aAdvice = this->advice[aOrder.address];
    FakeRunner& runner = this->runners.at(aOrder.address);
    this->Advance(runner);
    this->orders.push_back({ aOrder, this->time.Now() });
    OrderFault fault = runner.fault;
    Duration delay = kLateOrder;
    if (!runner.plannedFaults.empty()) {
      fault = runner.plannedFaults.front().fault;
      delay = runner.plannedFaults.front().delay;
      runner.plannedFaults.pop_front();
    } else if (runner.faultOnce && fault != OrderFault::Unresponsive) {
      runner.fault = OrderFault::None;
    }
    switch (fault) {
      case OrderFault::None:
        co_return this->Accept(runner, aOrder);
      case OrderFault::AnswerLost:
        this->Accept(runner, aOrder);
        break;
      case OrderFault::AppliedLate:
        this->time.Spawn(this->AcceptLater(aOrder, delay));
        break;
      case OrderFault::Unresponsive:
      case OrderFault::OrderLost:
        break;
    }
    co_await this->time.WaitUntil(aDeadline);
    Fail(aReason, ReasonCode::ResponseTimeout, "no answer to the order");
    co_return OrderOutcome::Unknown;
  }

  struct ReceivedOrder
  {
    WeightsOrder order;
    TimePoint at;
  };

  std::map<std::string, FakeRunner> runners;
  std::vector<ReceivedOrder> orders;
  // Batches of events by address; `aSince` is an index into the batches.
  std::map<std::string, std::vector<PartEventBatch>> events;
  std::map<std::string, PartListing> listings;
  std::vector<std::string> freed;
  std::set<std::string> unreachableAddresses;
  // What each address says of itself in its answers.
  std::map<std::string, RunnerAdvice> advice;
  std::uint64_t eventCalls = 0;

private:
  void Advance(FakeRunner& aRunner)
  {
    if (aRunner.loadingVersion != 0 && this->time.Now() >= aRunner.busyUntil) {
      aRunner.version = aRunner.loadingVersion;
      aRunner.loadingVersion = 0;
    }
  }

  OrderOutcome Accept(FakeRunner& aRunner, const WeightsOrder& aOrder)
  {
    if (aOrder.fencingNumber < aRunner.highestFencingNumber) {
      return OrderOutcome::Fenced;
    }
    aRunner.highestFencingNumber = aOrder.fencingNumber;
    if (aRunner.loadingVersion != 0 ||
        aOrder.acceptedOrders != aRunner.acceptedOrders) {
      return OrderOutcome::Busy;
    }
    if (aRunner.version == aOrder.version) {
      return OrderOutcome::AlreadyDone;
    }
    ++aRunner.acceptedOrders;
    ++aRunner.loads;
    aRunner.loadedVersions.push_back(aOrder.version);
    aRunner.loadingVersion = aOrder.version;
    aRunner.busyUntil = this->time.Now() + aRunner.loadTime;
    return OrderOutcome::Accepted;
  }

  Task<void> AcceptLater(WeightsOrder aOrder, Duration aDelay)
  {
    const TimePoint late = this->time.Now() + aDelay;
    co_await this->time.WaitUntil(late);
    FakeRunner& runner = this->runners.at(aOrder.address);
    this->Advance(runner);
    this->Accept(runner, aOrder);
  }

  VirtualTime& time;
};

static_assert(RunnerControl<FakeRunnerControl>);

} // namespace wigeonwalk
