// The reports of a daemon to its operators, and the interface that serves them.
//
//   StatusReport Status() const;   // of a class that satisfies OperatedDaemon
#pragma once

#include "wigeonwalk/adapters/timeline/stamped_event.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/documents/document_acceptance.h"
#include "wigeonwalk/documents/stored_document.h"
#include "wigeonwalk/ports/peer_messages.h"
#include "wigeonwalk/ports/task.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Whether a daemon accepts new requests.
enum class ServingState
{
  Serving,
  // Refuses new requests because it may have missed an edit.
  Isolated,
  // Finishes its requests before a planned stop.
  Stopping,
};

template<>
struct EnumNames<ServingState>
{
  static constexpr std::array<EnumName<ServingState>, 3> kTable{ {
    { ServingState::Serving, "serving" },
    { ServingState::Isolated, "isolated" },
    { ServingState::Stopping, "stopping" },
  } };
};
static_assert(HasCompleteTable<ServingState>());

// A document in force in the reporting daemon.
struct DocumentReport
{
  ServiceName service;
  std::uint64_t revision = 0;
  // Age of the last confirmation by the key-value service; absent before the
  // first.
  std::optional<Duration> confirmedAge;
};

// The state of one daemon.
struct StatusReport
{
  HostId host;
  AvailabilityZone zone;
  std::string region;
  std::uint64_t incarnation = 0;
  ServingState state = ServingState::Serving;
  bool keyValueAvailable = false;
  std::uint64_t requestsOpen = 0;
  std::vector<MemberUpdate> members;
  std::vector<DocumentReport> documents;
};

// Interface of a daemon for operators. Functions that return std::optional set
// the reason when they return nothing.
template<typename T>
concept OperatedDaemon = requires(T& aDaemon,
                                  const ServiceName& aService,
                                  const RequestId& aRequest,
                                  std::uint64_t aRevision,
                                  DocumentEdit aEdit,
                                  std::optional<Duration> aTimeout,
                                  FailureReason& aReason)
{
  {
    aDaemon.Status()
    } -> std::same_as<StatusReport>;
  // Revision 0 means the one in force.
  {
    aDaemon.Document(aService, aRevision, aReason)
    } -> std::same_as<std::optional<DocumentCopy>>;
  {
    aDaemon.Apply(std::move(aEdit))
    } -> std::same_as<Task<EditResult>>;
  // Ordered from the oldest accepted edit to the newest.
  {
    aDaemon.History(aService, aReason)
    } -> std::same_as<Task<std::optional<std::vector<EditRecord>>>>;
  // An empty id means the events of all requests.
  {
    aDaemon.Events(aRequest)
    } -> std::same_as<std::vector<StampedEvent>>;
  {
    aDaemon.DroppedEvents()
    } -> std::same_as<std::uint64_t>;
  // One line for each placement candidate; none if the request is unknown.
  {
    aDaemon.Explain(aRequest)
    } -> std::same_as<std::vector<std::string>>;
  // Starts a planned stop and returns the number of requests in progress.
  {
    aDaemon.Drain(aTimeout)
    } -> std::same_as<std::uint64_t>;
};

} // namespace wigeonwalk
