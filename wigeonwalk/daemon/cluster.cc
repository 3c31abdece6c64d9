#include "wigeonwalk/daemon/cluster.h"

#include "wigeonwalk/adapters/documents/stored_document_json.h"
#include "wigeonwalk/claims/claim.h"
#include "wigeonwalk/daemon/cluster_rider.h"
#include "wigeonwalk/documents/document_propagation.h"
#include "wigeonwalk/membership/failure_detector.h"
#include "wigeonwalk/membership/rendezvous.h"

#include <fstream>
#include <iterator>
#include <map>
#include <utility>

namespace wigeonwalk {

namespace {

MemberUpdate
SelfOf(const Cluster::Parts& aParts)
{
  MemberUpdate self;
  self.host = aParts.settings.host;
  self.address = aParts.settings.peerAddress;
  self.zone = aParts.settings.zone;
  self.region = aParts.settings.region;
  self.incarnation = aParts.incarnation;
  return self;
}

std::vector<MemberUpdate>
SeedsOf(const DaemonSettings& aSettings)
{
  std::vector<MemberUpdate> seeds;
  for (const PeerSettings& peer : aSettings.peers) {
    MemberUpdate seed;
    seed.host = peer.host;
    seed.address = peer.address;
    seed.zone = peer.zone;
    seeds.push_back(std::move(seed));
  }
  return seeds;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Returns the cluster key from the file that the settings name. Without a
// usable file, returns a key that no other daemon has, so that this daemon
// accepts no messages of other daemons.
ClusterKey
KeyOf(const Cluster::Parts& aParts)
{
  FailureReason reason;
  auto key =
    ClusterKey::FromText(ReadFile(aParts.settings.clusterKeyFile), reason);
  if (key) {
    return *key;
  }
  const std::string own = aParts.settings.host.Text() +
                          std::to_string(aParts.incarnation) +
                          std::string(ClusterKey::kMinBytes, '.');
  return *ClusterKey::FromText(own, reason);
}

} // namespace

struct Cluster::State
{
  using KeyValue = DaemonKeyValue::Handle;
  using Ports = PropagationPorts<SystemTimer,
                                 PeerTransport,
                                 AsioSpawner,
                                 KeyValue,
                                 StoredDocumentJson,
                                 EventRecorder>;
  using Detector =
    FailureDetector<SystemTimer, PeerTransport, AsioSpawner, ClusterRider>;
  using Propagation = DocumentPropagation<Ports, ZoneFanOut>;
  using Acceptance =
    DocumentAcceptance<SystemTimer, KeyValue, StoredDocumentJson>;

  explicit State(Parts aParts)
    : parts(aParts)
    , transport(aParts.executor, KeyOf(aParts))
    , spawner(aParts.executor)
    , table(SelfOf(aParts))
    , piggyback(store, aParts.view, aParts.events)
    , detector(aParts.timer,
               transport,
               spawner,
               piggyback,
               table,
               aParts.clock,
               aParts.incarnation)
    , documentCalls(aParts.keyValue.For(KeyValueUser::Documents))
    , operatorCalls(aParts.keyValue.For(KeyValueUser::Operators))
    , propagation(Ports{ aParts.timer,
                         transport,
                         spawner,
                         documentCalls,
                         codec,
                         aParts.events },
                  ZoneFanOut(),
                  table,
                  store,
                  aParts.clock,
                  aParts.incarnation)
    , acceptance(aParts.timer, operatorCalls, codec)
  {
    this->piggyback.onProbe = [this](const PeerDatagram& aDatagram) {
      this->propagation.OnProbe(aDatagram);
    };
    this->piggyback.onMembers = [this] { this->ShareCallBudget(); };
    this->piggyback.onEvidence = [this] { this->PushEvidence(); };
    aParts.view.onEvidence = [this] { this->PushEvidence(); };
    this->piggyback.onContact = [this](const PeerDatagram& aAnswer,
                                       TimePoint aProbedAt) {
      this->propagation.OnContact(aAnswer, aProbedAt);
    };
  }

  // Sets this daemon's share of the call rate that the key-value service can
  // sustain. Lost members still count: they may all be alive on the other side
  // of a network partition.
  void ShareCallBudget()
  {
    const std::size_t members =
      this->table.LiveCount() + this->table.LostCount();
    const std::uint32_t shards = CountOwned("claims",
                                            kClaimShards,
                                            this->parts.settings.host,
                                            this->table.LiveHosts());
    this->parts.keyValue.SetBudget(
      BudgetFor(static_cast<std::uint32_t>(members), shards));
  }

  // Sends new evidence about poison requests to some daemons immediately: a
  // caller retries its request within milliseconds, and each daemon that lacks
  // the evidence loses an upstream to it.
  void PushEvidence()
  {
    for (const auto& notice :
         this->parts.view.poison.TakeUrgent(kNoticesPerDatagram)) {
      this->piggyback.urgent.push_back(EncodeNotice(notice));
    }
    if (!this->piggyback.urgent.empty()) {
      this->detector.Notify(PoisonTracker::kPushFanOut);
      this->piggyback.urgent.clear();
    }
  }

  // Satisfies PeerHandler with OnCall: receives messages of other daemons.
  void OnDatagram(const PeerDatagram& aDatagram)
  {
    this->detector.OnDatagram(aDatagram);
  }

  Task<std::optional<PeerAnswer>> OnCall(PeerCall aCall)
  {
    const TimePoint now = this->parts.timer.Now();
    this->parts.clock.Observe(aCall.sentAt, now);
    PeerAnswer answer;
    answer.from = this->parts.settings.host;
    if (const auto* sync = std::get_if<MemberSync>(&aCall.body)) {
      answer.body = this->detector.OnSync(*sync);
    } else if (const auto* fetch = std::get_if<DocumentFetch>(&aCall.body)) {
      answer.body = this->propagation.OnFetch(*fetch);
    } else if (const auto* push = std::get_if<DocumentPush>(&aCall.body)) {
      answer.body = this->propagation.OnPush(*push);
    } else {
      auto forwarded = this->forward
                         ? this->forward(std::get<ForwardedCall>(aCall.body))
                         : std::nullopt;
      if (!forwarded) {
        co_return std::nullopt;
      }
      answer.body = std::move(*forwarded);
    }
    answer.sentAt = this->parts.clock.Stamp(this->parts.timer.Now());
    co_return answer;
  }

  // Loads the documents that the settings name. Each one is in force until a
  // document is accepted for its service.
  bool LoadFiles(FailureReason& aReason)
  {
    for (const std::string& file : this->parts.settings.documentFiles) {
      const std::string text = ReadFile(file);
      std::vector<FailureReason> reasons;
      auto document = this->codec.Parse(text, reasons);
      if (!document) {
        aReason = reasons.front();
        aReason.place = file + ' ' + aReason.place;
        return false;
      }
      auto loaded = std::make_shared<AcceptedDocument>();
      loaded->editId = "settings";
      loaded->text = text;
      loaded->document = std::move(*document);
      this->fromSettings[loaded->document.name] = std::move(loaded);
    }
    return true;
  }

  Parts parts;
  PeerTransport transport;
  AsioSpawner spawner;
  MemberTable table;
  DocumentStore store;
  ClusterRider piggyback;
  Detector detector;
  StoredDocumentJson codec;
  KeyValue documentCalls;
  KeyValue operatorCalls;
  Propagation propagation;
  Acceptance acceptance;
  std::map<ServiceName, DocumentStore::Snapshot> fromSettings;
  Forward forward;
};

Cluster::Cluster(Parts aParts)
  : state(std::make_unique<State>(std::move(aParts)))
{
}

Cluster::~Cluster() = default;

void
Cluster::SetForward(Forward aForward)
{
  this->state->forward = std::move(aForward);
}

bool
Cluster::Start(FailureReason& aReason)
{
  State& cluster = *this->state;
  const DaemonSettings& settings = cluster.parts.settings;
  if (!cluster.LoadFiles(aReason)) {
    return false;
  }
  if (!settings.peerAddress.empty()) {
    const auto key =
      ClusterKey::FromText(ReadFile(settings.clusterKeyFile), aReason);
    if (!key) {
      aReason.place = settings.clusterKeyFile;
      return false;
    }
    cluster.transport.Serve(cluster);
    if (!cluster.transport.Listen(settings.peerAddress, aReason)) {
      return false;
    }
    cluster.detector.Start(SeedsOf(settings));
  }
  if (!settings.keyValueAddresses.empty()) {
    cluster.ShareCallBudget();
    cluster.propagation.Start();
  }
  return true;
}

void
Cluster::Leave()
{
  this->state->detector.Leave();
  this->state->propagation.Stop();
}

std::shared_ptr<const AcceptedDocument>
Cluster::Find(const ServiceName& aName) const
{
  if (auto accepted = this->state->store.InForce(aName)) {
    return accepted;
  }
  const auto& files = this->state->fromSettings;
  const auto found = files.find(aName);
  return found == files.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const AcceptedDocument>>
Cluster::AllInForce() const
{
  auto documents = this->state->store.AllInForce();
  for (const auto& [service, document] : this->state->fromSettings) {
    if (!this->state->store.InForce(service)) {
      documents.push_back(document);
    }
  }
  return documents;
}

Freshness
Cluster::CurrentFreshness() const
{
  // Without a key-value service there are only the documents from the settings,
  // and no edit can be accepted, so they are never stale.
  return this->state->parts.settings.keyValueAddresses.empty()
           ? Freshness::Serve
           : this->state->propagation.CurrentFreshness();
}

Task<EditResult>
Cluster::Accept(DocumentEdit aEdit, TimePoint aDeadline)
{
  const DocumentEdit edit = aEdit;
  EditResult result =
    co_await this->state->acceptance.Accept(std::move(aEdit), aDeadline);
  if (result.outcome == EditOutcome::Accepted) {
    this->state->propagation.OnAccepted(
      { edit.service, result.revision, edit.editId, edit.text });
  }
  co_return result;
}

std::optional<TimePoint>
Cluster::ConfirmedAt() const
{
  return this->state->store.ConfirmedAt();
}

Task<std::optional<std::vector<EditRecord>>>
Cluster::History(ServiceName aService,
                 TimePoint aDeadline,
                 FailureReason& aReason)
{
  const std::string key = DocumentKey(aService);
  const auto read =
    co_await this->state->operatorCalls.Get(key, aDeadline, aReason);
  if (!read) {
    co_return std::nullopt;
  }
  if (!read->entry) {
    co_return Fail(
      aReason, ReasonCode::NotFound, "no such document", "service");
  }
  auto stored = this->state->codec.Decode(read->entry->value, aReason);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return std::move(stored->history);
}

const MemberTable&
Cluster::Members() const
{
  return this->state->table;
}

PeerTransport&
Cluster::Channel()
{
  return this->state->transport;
}

AsioSpawner&
Cluster::Spawner()
{
  return this->state->spawner;
}

} // namespace wigeonwalk
