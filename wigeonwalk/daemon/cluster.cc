#include "wigeonwalk/daemon/cluster.h"

#include "wigeonwalk/adapters/documents/stored_document_json.h"
#include "wigeonwalk/claims/claim.h"
#include "wigeonwalk/daemon/cluster_piggyback.h"
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
OwnMember(const Cluster::Dependencies& aDependencies)
{
  MemberUpdate self;
  self.host = aDependencies.settings.host;
  self.address = aDependencies.settings.peerAddress;
  self.zone = aDependencies.settings.zone;
  self.region = aDependencies.settings.region;
  self.incarnation = aDependencies.incarnation;
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
KeyOf(const Cluster::Dependencies& aDependencies)
{
  FailureReason reason;
  auto key = ClusterKey::FromText(
    ReadFile(aDependencies.settings.clusterKeyFile), reason);
  if (key) {
    return *key;
  }
  const std::string own = aDependencies.settings.host.Text() +
                          std::to_string(aDependencies.incarnation) +
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
    FailureDetector<SystemTimer, PeerTransport, AsioSpawner, ClusterPiggyback>;
  using Propagation = DocumentPropagation<Ports, ZoneFanOut>;
  using Acceptance =
    DocumentAcceptance<SystemTimer, KeyValue, StoredDocumentJson>;

  explicit State(Dependencies aDependencies)
    : dependencies(aDependencies)
    , transport(aDependencies.executor, KeyOf(aDependencies))
    , spawner(aDependencies.executor)
    , table(OwnMember(aDependencies))
    , piggyback(store, aDependencies.daemonState, aDependencies.events)
    , detector(aDependencies.timer,
               transport,
               spawner,
               piggyback,
               table,
               aDependencies.clock,
               aDependencies.incarnation)
    , documentCalls(aDependencies.keyValue.For(KeyValueUser::Documents))
    , operatorCalls(aDependencies.keyValue.For(KeyValueUser::Operators))
    , propagation(Ports{ aDependencies.timer,
                         transport,
                         spawner,
                         documentCalls,
                         codec,
                         aDependencies.events },
                  ZoneFanOut(),
                  table,
                  store,
                  aDependencies.clock,
                  aDependencies.incarnation)
    , acceptance(aDependencies.timer, operatorCalls, codec)
  {
    this->piggyback.onProbe = [this](const PeerDatagram& aDatagram) {
      this->propagation.OnProbe(aDatagram);
    };
    this->piggyback.onMembers = [this] { this->ShareCallBudget(); };
    this->piggyback.onEvidence = [this] { this->PushEvidence(); };
    aDependencies.daemonState.onEvidence = [this] { this->PushEvidence(); };
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
                                            this->dependencies.settings.host,
                                            this->table.LiveHosts());
    this->dependencies.keyValue.SetBudget(
      BudgetFor(static_cast<std::uint32_t>(members), shards));
  }

  // Sends new evidence about poison requests to some daemons immediately: a
  // caller retries its request within milliseconds, and each daemon that lacks
  // the evidence loses an upstream to it.
  void PushEvidence()
  {
    for (const auto& notice : this->dependencies.daemonState.poison.TakeUrgent(
           kNoticesPerDatagram)) {
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
    const TimePoint now = this->dependencies.timer.Now();
    this->dependencies.clock.Observe(aCall.sentAt, now);
    PeerAnswer answer;
    answer.from = this->dependencies.settings.host;
    if (const auto* sync = std::get_if<MemberSync>(&aCall.body)) {
      answer.body = this->detector.OnSync(*sync);
    } else if (const auto* fetch = std::get_if<DocumentFetch>(&aCall.body)) {
      answer.body = this->propagation.OnFetch(*fetch);
    } else if (const auto* push = std::get_if<DocumentPush>(&aCall.body)) {
      answer.body = this->propagation.OnPush(*push);
    } else {
      auto forwarded =
        this->forwardHandler
          ? this->forwardHandler(std::get<ForwardedCall>(aCall.body))
          : std::nullopt;
      if (!forwarded) {
        co_return std::nullopt;
      }
      answer.body = std::move(*forwarded);
    }
    answer.sentAt =
      this->dependencies.clock.Stamp(this->dependencies.timer.Now());
    co_return answer;
  }

  // Loads the documents that the settings name. Each one is in force until a
  // document is accepted for its service.
  bool LoadFiles(FailureReason& aReason)
  {
    for (const std::string& file : this->dependencies.settings.documentFiles) {
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

  Dependencies dependencies;
  PeerTransport transport;
  AsioSpawner spawner;
  MemberTable table;
  DocumentStore store;
  ClusterPiggyback piggyback;
  Detector detector;
  StoredDocumentJson codec;
  KeyValue documentCalls;
  KeyValue operatorCalls;
  Propagation propagation;
  Acceptance acceptance;
  std::map<ServiceName, DocumentStore::Snapshot> fromSettings;
  ForwardHandler forwardHandler;
};

Cluster::Cluster(Dependencies aDependencies)
  : state(std::make_unique<State>(std::move(aDependencies)))
{
}

Cluster::~Cluster() = default;

void
Cluster::SetForwardHandler(ForwardHandler aForwardHandler)
{
  this->state->forwardHandler = std::move(aForwardHandler);
}

bool
Cluster::Start(FailureReason& aReason)
{
  State& cluster = *this->state;
  const DaemonSettings& settings = cluster.dependencies.settings;
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
  return this->state->dependencies.settings.keyValueAddresses.empty()
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
