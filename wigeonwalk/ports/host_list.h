// Ports for the platform's list of hosts, for plain services, and for the time
// line.
//
//   auto hosts = co_await list.List(deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/last_reason.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// What the platform says of a host. The list lags behind the truth.
enum class HostStatus
{
  Live,
  Leaving,
};

template<>
struct EnumNames<HostStatus>
{
  static constexpr std::array<EnumName<HostStatus>, 2> kTable{ {
    { HostStatus::Live, "live" },
    { HostStatus::Leaving, "leaving" },
  } };
};
static_assert(HasCompleteTable<HostStatus>());

// One row of the list. `role` tells daemons, runners and store hosts apart.
struct ListedHost
{
  std::string name;
  std::string role;
  std::string address;
  AvailabilityZone zone;
  std::uint64_t incarnation = 0;
  HostStatus status = HostStatus::Live;
};

// The platform's lagging list of live and leaving hosts.
template<typename T>
concept HostList = requires(T& aList, TimePoint aDeadline, LastReason& aReason)
{
  {
    aList.List(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::vector<ListedHost>>>>;
};

// One call to a plain service beside the engines.
struct PlainRequest
{
  AttemptId attempt;
  std::string method;
  std::string target;
  std::string contentType;
  std::string body;
  // Set for a call that may not be repeated.
  std::string idempotencyKey;
};

// A plain service's answer.
struct PlainResponse
{
  AttemptId attempt;
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;
};

// A plain service as flows see it. On failure the reason says how far the call
// got; see retry/verdict_rules.h.
template<typename T>
concept PlainService = requires(T& aService,
                                const PlainRequest& aRequest,
                                TimePoint aDeadline,
                                LastReason& aReason)
{
  {
    aService.Call(aRequest, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PlainResponse>>>;
};

} // namespace wigeonwalk
