// A daemon's part in the cluster: members, documents, and calls between
// daemons, put together from the settings.
//
//   Cluster cluster(context, timer, settings, keyValue, view, events, clock);
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

// Runs on the daemon's I/O thread. The references must outlive the run of its
// context.
class Cluster
{
public:
  using Forward =
    std::function<std::optional<ForwardedAnswer>(const ForwardedCall&)>;

  // What a cluster is made of.
  struct Parts
  {
    boost::asio::any_io_executor executor;
    SystemTimer& timer;
    const DaemonSettings& settings;
    DaemonKeyValue& keyValue;
    DaemonState& view;
    EventRecorder& events;
    HybridClock& clock;
    std::uint64_t incarnation = 0;
  };

  explicit Cluster(Parts aParts);
  ~Cluster();

  // Sets who answers calls that other daemons forward. Call before Start.
  void SetForward(Forward aForward);

  // Opens the peer listener and starts all tasks. Returns false with the reason
  // where the key file or the address cannot be used.
  bool Start(FailureReason& aReason);

  // Tells other daemons that this one leaves.
  void Leave();

  // The document in force, or null.
  std::shared_ptr<const AcceptedDocument> Find(const ServiceName& aName) const;
  std::vector<std::shared_ptr<const AcceptedDocument>> AllInForce() const;

  // Whether this daemon may serve with the documents it has.
  Freshness CurrentFreshness() const;

  // The time up to which every accepted edit is known here.
  std::optional<TimePoint> ConfirmedAt() const;

  Task<EditResult> Accept(DocumentEdit aEdit, TimePoint aDeadline);

  // Reads the accepted edits of a document, the oldest first.
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
