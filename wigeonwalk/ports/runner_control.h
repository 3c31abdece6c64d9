// Port for the control interface of runners and KV cache stores: cache events,
// status reports, orders, and freeing parts of the cache.
//
//   auto batch = co_await control.CacheEvents(address, since, wait, deadline,
//                                             advice, reason);
//   auto outcome = co_await control.Order(order, deadline, advice, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/fleet/runner_advice.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Name of a part of KV cache at its holder (a runner or a store): the cache
// salt and the part's id.
struct PartName
{
  std::string salt;
  std::string part;

  bool operator==(const PartName&) const = default;
};

// Number of tokens of a part that a holder has now; zero if the part was
// evicted.
struct PartEvent
{
  PartName name;
  std::uint32_t tokens = 0;
};

// Cache events of one holder.
struct PartEventBatch
{
  // Changes when the holder restarts.
  std::int64_t epoch = 0;
  // Start of the holder in Unix milliseconds; zero if unknown.
  std::int64_t startedAt = 0;
  // Position to pass as `aSince` to the next call.
  std::uint64_t nextPosition = 0;
  // Some events before these were lost.
  bool eventsLost = false;
  std::vector<PartEvent> events;
};

// All parts that a store holds.
struct PartListing
{
  std::int64_t epoch = 0;
  std::vector<PartEvent> complete;
  // Parts that are still being written, or whose write was interrupted.
  std::vector<PartName> incomplete;
};

// Status that a runner reports. It may be some hundred milliseconds old.
struct RunnerReport
{
  std::int64_t startedAt = 0;
  std::vector<LoadedModel> models;
  // The runner is executing an order.
  bool busy = false;
  // Number of orders accepted since the runner's start.
  std::uint64_t acceptedOrders = 0;
};

// Orders a runner to load other weights once its current runs have ended.
struct WeightsOrder
{
  UpstreamId runner;
  std::string address;
  ModelName model;
  WeightNumber version = 0;
  HostId holder;
  std::uint64_t fencingNumber = 0;
  // The RunnerReport::acceptedOrders on which the order is based. The runner
  // refuses the order if it has accepted another one since.
  std::uint64_t acceptedOrders = 0;
};

// How a runner answered an order.
enum class OrderOutcome
{
  Accepted,
  AlreadyDone,
  // The runner is executing another order, or has accepted one since the
  // report on which this order is based.
  Busy,
  // The runner has seen orders with a higher fencing number, from a newer
  // holder of the lease on orders.
  Fenced,
  // The order refers to something that the runner does not know.
  Rejected,
  // The address belongs to another runner now.
  WrongRunner,
  // No answer arrived; the order may be executed at any later time.
  Unknown,
};

template<>
struct EnumNames<OrderOutcome>
{
  static constexpr std::array<EnumName<OrderOutcome>, 7> kTable{ {
    { OrderOutcome::Accepted, "accepted" },
    { OrderOutcome::AlreadyDone, "already-done" },
    { OrderOutcome::Busy, "busy" },
    { OrderOutcome::Fenced, "fenced" },
    { OrderOutcome::Rejected, "rejected" },
    { OrderOutcome::WrongRunner, "wrong-runner" },
    { OrderOutcome::Unknown, "unknown" },
  } };
};
static_assert(HasCompleteTable<OrderOutcome>());

// Client of the control interface. A call returns by its deadline. CacheEvents
// waits up to `aWait` and returns as soon as there are events. Calls to runners
// set `aAdvice` once the head of an answer was read, whatever becomes of its
// body.
template<typename T>
concept RunnerControl = requires(T& aControl,
                                 const std::string& aAddress,
                                 std::uint64_t aSince,
                                 Duration aWait,
                                 const WeightsOrder& aOrder,
                                 const std::vector<PartName>& aParts,
                                 std::int64_t aEpoch,
                                 TimePoint aDeadline,
                                 RunnerAdvice& aAdvice,
                                 FailureReason& aReason)
{
  {
    aControl.CacheEvents(aAddress, aSince, aWait, aDeadline, aAdvice, aReason)
    } -> std::same_as<Task<std::optional<PartEventBatch>>>;
  {
    aControl.ListParts(aAddress, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PartListing>>>;
  {
    aControl.FreeParts(aAddress, aParts, aEpoch, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
  {
    aControl.Report(aAddress, aDeadline, aAdvice, aReason)
    } -> std::same_as<Task<std::optional<RunnerReport>>>;
  {
    aControl.Order(aOrder, aDeadline, aAdvice, aReason)
    } -> std::same_as<Task<OrderOutcome>>;
};

} // namespace wigeonwalk
