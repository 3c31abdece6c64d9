// Port for what runners and stores of KV cache tell and take besides requests:
// cache events, reports, orders and the freeing of parts.
//
//   auto batch = co_await control.CacheEvents(address, since, wait, deadline,
//                                             reason);
//   auto outcome = co_await control.Order(order, deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// A part as a holder names it.
struct NamedPart
{
  std::string salt;
  std::string part;

  bool operator==(const NamedPart&) const = default;
};

// A part that a holder has now; zero tokens where it was evicted.
struct PartEvent
{
  NamedPart name;
  std::uint32_t tokens = 0;
};

struct PartEventBatch
{
  // Changes when the holder restarts.
  std::int64_t epoch = 0;
  // Unix milliseconds of the holder's start; zero where it is not given.
  std::int64_t startedAt = 0;
  // From where the next call goes on.
  std::uint64_t next = 0;
  // Events before these were lost.
  bool gap = false;
  std::vector<PartEvent> events;
};

// Everything that a store holds.
struct PartListing
{
  std::int64_t epoch = 0;
  std::vector<PartEvent> whole;
  // Parts that are being written, or broke off.
  std::vector<NamedPart> partial;
};

// What a runner says of itself; some hundred milliseconds old.
struct RunnerReport
{
  std::int64_t startedAt = 0;
  std::vector<LoadedModel> models;
  // An order is being carried out.
  bool busy = false;
  // Orders that were accepted since the runner's start.
  std::uint64_t acceptedOrders = 0;
};

// Orders a runner to load other weights once its present runs have ended.
struct WeightsOrder
{
  UpstreamId runner;
  std::string address;
  ModelName model;
  WeightNumber version = 0;
  HostId holder;
  std::uint64_t fencingNumber = 0;
  // The order is refused where another one was accepted since.
  std::uint64_t acceptedOrders = 0;
};

// How a runner answered an order.
enum class OrderOutcome
{
  Accepted,
  AlreadyDone,
  // Another order is being carried out, or was accepted in between.
  Busy,
  // A holder with a higher fencing number has given orders.
  Fenced,
  // The order names something that the runner does not know.
  Rejected,
  // Another runner has the address.
  WrongRunner,
  // No answer: it may be carried out at any later time.
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

// A call returns by its deadline. Calls that may wait return at the first
// events.
template<typename T>
concept RunnerControl = requires(T& aControl,
                                 const std::string& aAddress,
                                 std::uint64_t aSince,
                                 Duration aWait,
                                 const WeightsOrder& aOrder,
                                 const std::vector<NamedPart>& aParts,
                                 std::int64_t aEpoch,
                                 TimePoint aDeadline,
                                 LastReason& aReason)
{
  {
    aControl.CacheEvents(aAddress, aSince, aWait, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PartEventBatch>>>;
  {
    aControl.ListParts(aAddress, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PartListing>>>;
  {
    aControl.FreeParts(aAddress, aParts, aEpoch, aDeadline, aReason)
    } -> std::same_as<Task<bool>>;
  {
    aControl.Report(aAddress, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<RunnerReport>>>;
  {
    aControl.Order(aOrder, aDeadline, aReason)
    } -> std::same_as<Task<OrderOutcome>>;
};

} // namespace wigeonwalk
