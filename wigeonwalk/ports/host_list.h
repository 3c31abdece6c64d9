// Ports for the platform's list of hosts and for plain services.
//
//   auto hosts = co_await list.List(deadline, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Status of a host according to the platform. The list is eventually
// consistent.
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

// One entry of the list. `role` distinguishes daemons, runners and store hosts.
struct ListedHost
{
  std::string name;
  std::string role;
  std::string address;
  AvailabilityZone zone;
  std::uint64_t incarnation = 0;
  HostStatus status = HostStatus::Live;
};

// The platform's eventually consistent list of live and leaving hosts.
template<typename T>
concept HostList = requires(T& aList,
                            TimePoint aDeadline,
                            FailureReason& aReason)
{
  {
    aList.List(aDeadline, aReason)
    } -> std::same_as<Task<std::optional<std::vector<ListedHost>>>>;
};

// One call to a plain service (an upstream that is not a model engine).
struct PlainRequest
{
  AttemptId attempt;
  std::string method;
  std::string target;
  std::string contentType;
  std::string body;
  // Set for a call that must not be executed twice.
  std::string idempotencyKey;
};

// Response of a plain service.
struct PlainResponse
{
  AttemptId attempt;
  std::uint32_t status = 0;
  std::string contentType;
  std::string body;
};

// Client of a plain service. On failure the reason tells how far the call got;
// see retry/verdict_rules.h.
template<typename T>
concept PlainService = requires(T& aService,
                                const PlainRequest& aRequest,
                                TimePoint aDeadline,
                                FailureReason& aReason)
{
  {
    aService.Call(aRequest, aDeadline, aReason)
    } -> std::same_as<Task<std::optional<PlainResponse>>>;
};

} // namespace wigeonwalk
