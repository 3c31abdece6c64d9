// A daemon's membership in the cluster: failure detection, document
// propagation and calls between daemons, assembled from the settings.
//
//   Cluster cluster({ executor, timer, settings, keyValue, daemonState, events,
//                     clock, incarnation });
//   if (cluster.Start(reason)) { auto document = cluster.Find(service); }
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/key_value/etcd_gateway.h"
#include "wigeonwalk/adapters/peer/asio_spawner.h"
#include "wigeonwalk/adapters/peer/peer_transport.h"
#include "wigeonwalk/daemon/event_recorder.h"
#include "wigeonwalk/documents/document_acceptance.h"
#include "wigeonwalk/documents/document_store.h"
#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/kv_client/key_value_client.h"
#include "wigeonwalk/membership/member_table.h"
#include "wigeonwalk/serving/daemon_settings.h"
#include "wigeonwalk/serving/daemon_state.h"

#include <functional>
#include <memory>
#include <optional>

namespace wigeonwalk {

using DaemonKeyValue = KeyValueClient<EtcdGateway, SystemTimer>;

// Runs on the daemon's I/O thread. The referenced objects must remain valid
// until its executor stops running.
class Cluster
{
public:
  using ForwardHandler =
    std::function<std::optional<ForwardedAnswer>(const ForwardedCall&)>;

  // What the cluster uses but does not own, and the daemon's incarnation.
  struct Dependencies
  {
    boost::asio::any_io_executor executor;
    SystemTimer& timer;
    const DaemonSettings& settings;
    DaemonKeyValue& keyValue;
    DaemonState& daemonState;
    EventRecorder& events;
    HybridClock& clock;
    std::uint64_t incarnation = 0;
  };

  explicit Cluster(Dependencies aDependencies);
  ~Cluster();

  // Sets the handler of calls that other daemons forward. Call before Start.
  void SetForwardHandler(ForwardHandler aForwardHandler);

  // Opens the peer listener and starts all tasks. Returns false with the reason
  // if a document file, the key file or the peer address cannot be used.
  bool Start(FailureReason& aReason);

  // Announces to the other daemons that this one is leaving.
  void Leave();

  // Returns the document in force, or null if there is none.
  std::shared_ptr<const AcceptedDocument> Find(const ServiceName& aName) const;
  std::vector<std::shared_ptr<const AcceptedDocument>> AllInForce() const;

  // Whether this daemon's documents are recent enough to serve with.
  Freshness CurrentFreshness() const;

  // The time up to which this daemon knows every accepted edit.
  std::optional<TimePoint> ConfirmedAt() const;

  Task<EditResult> Accept(DocumentEdit aEdit, TimePoint aDeadline);

  // Reads the accepted edits of a document, oldest first.
  Task<std::optional<std::vector<EditRecord>>> History(ServiceName aService,
                                                       TimePoint aDeadline,
                                                       FailureReason& aReason);

  const MemberTable& Members() const;
  PeerTransport& Channel();
  AsioSpawner& Spawner();

private:
  struct State;

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
