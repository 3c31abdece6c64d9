// Daemons that watch a fake registry and exchange its changes.
//
//   RegistryDaemon daemon(time, service, network, "front-1");
#pragma once

#include "wigeonwalk/entry/peer_exchange.h"
#include "wigeonwalk/entry/registry_relay.h"
#include "wigeonwalk/entry/registry_watch.h"
#include "wigeonwalk/entry/test_settings.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/null_log.h"
#include "wigeonwalk/testing/peer_network.h"

#include <optional>
#include <sstream>
#include <string>

namespace wigeonwalk {

// Decodes items: "config" and "weights/MODEL" hold a version, "runners/ID" a
// state and possibly a start and a version of the software, "members/HOST" an
// address, "zones/ZONE" anything, "published/MODEL" versions with their times
// in microseconds, "checkpoint" a time, and "streams" an incarnation and
// versions of the service "s", which the configuration's only route streams
// from. All runners are in the zone "north".
struct TestDecoder
{
  RegistryItem Decode(const KeyValueEntry& aEntry, FailureReason& aReason) const
  {
    if (aEntry.value == "unreadable") {
      Fail(aReason, ReasonCode::Corrupt, "unreadable");
      return UnreadableItem{};
    }
    if (aEntry.key == "config") {
      RoutingConfiguration configuration;
      configuration.version = std::stoul(aEntry.value);
      Route route;
      route.name = "streams";
      route.kind = RequestKind::Streaming;
      route.resumable = true;
      route.services = { { ServiceName("s"), 1 } };
      configuration.routes.push_back(route);
      return configuration;
    }
    if (aEntry.key.starts_with("members/")) {
      return EntryMember{ HostId(aEntry.key.substr(8)),
                          AvailabilityZone("north"),
                          aEntry.value };
    }
    if (aEntry.key.starts_with("weights/")) {
      return DesiredWeights{ ModelName(aEntry.key.substr(8)),
                             std::stoul(aEntry.value) };
    }
    if (aEntry.key.starts_with("published/")) {
      WeightsRecord record;
      record.model = ModelName(aEntry.key.substr(10));
      std::istringstream fields(aEntry.value);
      RecordedWeights row;
      std::int64_t time = 0;
      while (fields >> row.version >> row.revision >> time) {
        row.publishedAt = TimePoint(Duration(time));
        record.versions.push_back(row);
      }
      return record;
    }
    if (aEntry.key.starts_with("batches/")) {
      StreamBatch batch;
      std::istringstream fields(aEntry.value);
      std::string key;
      std::string version;
      while (fields >> key >> version) {
        batch.streams.push_back(
          { ParseHash128(key).value_or(Hash128()),
            { ServiceName("s"), version == "unknown" ? "" : version } });
      }
      return batch;
    }
    if (aEntry.key == "streams") {
      StreamVersions versions;
      std::istringstream fields(aEntry.value);
      fields >> versions.incarnation;
      std::string version;
      std::vector<StreamOrigin> listed;
      while (fields >> version) {
        listed.push_back(version == "unknown"
                           ? StreamOrigin()
                           : StreamOrigin{ ServiceName("s"), version });
      }
      versions.origins = MergeOrigins(listed, {});
      versions.isComplete =
        versions.incarnation == IncarnationOf(aEntry.modRevision);
      return versions;
    }
    if (aEntry.key == "checkpoint") {
      return WeightsCheckpoint{ TimePoint(Duration(std::stol(aEntry.value))) };
    }
    if (aEntry.key.starts_with("zones/")) {
      return ZoneOrder{ AvailabilityZone(aEntry.key.substr(6)) };
    }
    if (!aEntry.key.starts_with("runners/")) {
      return ForeignItem{};
    }
    RunnerEntry entry;
    entry.id = UpstreamId(aEntry.key.substr(8));
    entry.service = ServiceName("s");
    entry.zone = AvailabilityZone("north");
    entry.address = "10.0.0.1:1";
    std::istringstream fields(aEntry.value);
    std::string state;
    fields >> state >> entry.startedAt >> entry.softwareVersion;
    entry.state = ParseName<RunnerState>(state).value_or(RunnerState::Ready);
    return entry;
  }

  KeyValueEntry Encode(const WeightsRecord& aRecord) const
  {
    KeyValueEntry entry;
    entry.key = "published/" + aRecord.model.Text();
    for (const RecordedWeights& row : aRecord.versions) {
      entry.value +=
        std::to_string(row.version) + " " + std::to_string(row.revision) + " " +
        std::to_string(row.publishedAt.time_since_epoch().count()) + " ";
    }
    return entry;
  }

  KeyValueEntry Encode(const StreamBatch& aBatch) const
  {
    KeyValueEntry entry;
    entry.key =
      "batches/" + aBatch.writer.Text() + "/" + std::to_string(aBatch.number);
    for (const StreamRecord& record : aBatch.streams) {
      entry.value +=
        record.key.ToHex() + " " +
        (record.origin.IsKnown() ? record.origin.version : "unknown") + " ";
    }
    return entry;
  }

  KeyValueEntry Encode(const StreamVersions& aVersions) const
  {
    KeyValueEntry entry;
    entry.key = "streams";
    entry.value = std::to_string(aVersions.incarnation);
    for (const StreamOrigin& origin : aVersions.origins) {
      entry.value += origin.IsKnown() ? " " + origin.version : " unknown";
    }
    return entry;
  }

  KeyValueEntry Encode(const WeightsCheckpoint& aCheckpoint) const
  {
    KeyValueEntry entry;
    entry.key = "checkpoint";
    entry.value =
      std::to_string(aCheckpoint.recordedUntil.time_since_epoch().count());
    return entry;
  }

  RemovedItem DecodeRemoved(const std::string& aKey) const
  {
    if (aKey.starts_with("runners/")) {
      return UpstreamId(aKey.substr(8));
    }
    if (aKey.starts_with("zones/")) {
      return AvailabilityZone(aKey.substr(6));
    }
    return ForeignItem{};
  }
};

static_assert(RegistryDecoder<TestDecoder>);
static_assert(RegistryEncoder<TestDecoder>);

// Encodes only the fields that the tests need, as text. Some decoders return
// constants.
struct PlainCodec
{
  std::string EncodePause(const RunnerPause& aPause) const
  {
    return aPause.runner.Text();
  }
  std::optional<RunnerPause> DecodePause(const std::string& aPayload) const
  {
    return RunnerPause{
      UpstreamId(aPayload), ModelName("m"), 2, std::chrono::seconds(1)
    };
  }
  std::string EncodeLoads(const RunnerLoads& aLoads) const
  {
    return std::to_string(aLoads.rows.size());
  }
  std::optional<RunnerLoads> DecodeLoads(const std::string&) const
  {
    return RunnerLoads{ { { UpstreamId("r-1"), 3, 5'000 } } };
  }
  std::string EncodeWork(const RunnerWork& aWork) const
  {
    return aWork.runner.Text() + ' ' + std::to_string(aWork.tokensToPrefill) +
           ' ' + std::to_string(aWork.atRunner.count) + ' ' +
           std::to_string(aWork.atRunner.tokens);
  }
  std::optional<RunnerWork> DecodeWork(const std::string& aPayload) const
  {
    std::istringstream fields(aPayload);
    std::string runner;
    RunnerWork work;
    fields >> runner >> work.tokensToPrefill >> work.atRunner.count >>
      work.atRunner.tokens;
    work.runner = UpstreamId(runner);
    work.expectedRun = std::chrono::milliseconds(500);
    return work;
  }
  std::string EncodeParts(const HeldParts& aParts) const
  {
    return aParts.holder.Text();
  }
  std::optional<HeldParts> DecodeParts(const std::string& aPayload) const
  {
    return HeldParts{ UpstreamId(aPayload), 1, { { { 1, 2 }, 500 } } };
  }
  PeerNotice EncodePoison(const PoisonNotice&) const
  {
    return { NoticeKind::Poison, "" };
  }
  std::optional<PoisonNotice> DecodePoison(const PeerNotice&) const
  {
    PoisonNotice notice;
    notice.fingerprint = { 1, 2 };
    notice.crashId = 3;
    return notice;
  }
  PeerNotice EncodeLeaving(const LeavingNotice& aNotice) const
  {
    return { NoticeKind::Leaving,
             aNotice.upstream.Text() + " " +
               std::to_string(aNotice.incarnation) };
  }
  std::optional<LeavingNotice> DecodeLeaving(const PeerNotice& aNotice) const
  {
    const std::size_t space = aNotice.payload.find(' ');
    return LeavingNotice{ UpstreamId(aNotice.payload.substr(0, space)),
                          std::stoul(aNotice.payload.substr(space)) };
  }
  std::string EncodePartEvidence(const PartNotice& aNotice) const
  {
    std::ostringstream text;
    text << aNotice.part.hash.high << ' ' << aNotice.part.hash.low << ' '
         << aNotice.part.partsAfter << ' ' << aNotice.crashId << ' '
         << aNotice.content << ' ' << aNotice.sentAge.count() << ' '
         << aNotice.age.count();
    return text.str();
  }
  std::optional<PartNotice> DecodePartEvidence(const std::string& aText) const
  {
    std::istringstream text(aText);
    PartNotice notice;
    std::int64_t sentAge = 0;
    std::int64_t age = 0;
    text >> notice.part.hash.high >> notice.part.hash.low >>
      notice.part.partsAfter >> notice.crashId >> notice.content >> sentAge >>
      age;
    notice.sentAge = Duration(sentAge);
    notice.age = Duration(age);
    return notice;
  }
  std::string EncodeStream(const StreamRecord& aRecord) const
  {
    return aRecord.key.ToHex() + ' ' + aRecord.origin.service.Text() + ' ' +
           aRecord.origin.version;
  }
  std::optional<StreamRecord> DecodeStream(const std::string& aPayload) const
  {
    std::istringstream fields(aPayload);
    std::string key;
    std::string service;
    StreamRecord record;
    fields >> key >> service >> record.origin.version;
    record.key = ParseHash128(key).value_or(Hash128());
    record.origin.service = ServiceName(service);
    return record;
  }
  std::string EncodeQuery(const RegistryQuery& aQuery) const
  {
    return std::to_string(aQuery.revision) +
           (aQuery.wantsWeightAges ? " ages" : "");
  }
  std::optional<RegistryQuery> DecodeQuery(const std::string& aPayload) const
  {
    return RegistryQuery{ std::stol(aPayload), aPayload.ends_with(" ages") };
  }
  static WeightsAge DecodeAge(const std::string& aText)
  {
    std::istringstream fields(aText);
    std::string model;
    WeightsAge row;
    std::int64_t age = 0;
    fields >> model >> row.version >> row.revision >> age >> row.mayBeOlder;
    row.model = ModelName(model);
    row.age = Duration(age);
    return row;
  }
  std::string EncodeChanges(const RegistryChanges& aChanges) const
  {
    std::string text = std::to_string(aChanges.revision) + " " +
                       std::to_string(aChanges.age.count()) +
                       (aChanges.full ? " full" : "");
    for (const WatchEvent& change : aChanges.changes) {
      text += "\n" + std::to_string(change.entry.modRevision) + " " +
              (change.deleted ? "-" : "+") + change.entry.key + "=" +
              change.entry.value;
    }
    for (const WeightsAge& row : aChanges.weights) {
      text += "\n*" + row.model.Text() + " " + std::to_string(row.version) +
              " " + std::to_string(row.revision) + " " +
              std::to_string(row.age.count()) + " " +
              std::to_string(row.mayBeOlder);
    }
    return text;
  }
  std::optional<RegistryChanges> DecodeChanges(const std::string& aText) const
  {
    RegistryChanges changes;
    std::istringstream lines(aText);
    std::string line;
    std::getline(lines, line);
    std::size_t end = 0;
    changes.revision = std::stol(line, &end);
    changes.age = Duration(std::stol(line.substr(end)));
    changes.full = line.ends_with(" full");
    while (std::getline(lines, line)) {
      if (line[0] == '*') {
        changes.weights.push_back(DecodeAge(line.substr(1)));
        continue;
      }
      WatchEvent change;
      const std::size_t space = line.find(' ');
      const std::size_t equals = line.find('=');
      change.entry.modRevision = std::stol(line.substr(0, space));
      change.deleted = line[space + 1] == '-';
      change.entry.key = line.substr(space + 2, equals - space - 2);
      change.entry.value = line.substr(equals + 1);
      changes.changes.push_back(change);
    }
    return changes;
  }
};

static_assert(EntryNoticeCodec<PlainCodec>);

// One daemon that watches the registry and exchanges messages with its peers.
struct RegistryDaemon
{
  using Watch = RegistryWatch<FakeKeyValue, TestDecoder, VirtualTime, NullLog>;
  using Relay =
    RegistryRelay<Watch, FakePeerChannel, PlainCodec, VirtualTime, NullLog>;
  using Peers =
    PeerExchange<Relay, FakePeerChannel, PlainCodec, VirtualTime, NullLog>;

  RegistryDaemon(VirtualTime& aTime,
                 FakeKeyValue& aService,
                 PeerNetwork& aNetwork,
                 const std::string& aHost,
                 const EntryBounds& aBounds = {})
    : service(aService.Connect())
    , state(MakeSettings(aHost, aBounds))
    , watch(state, mirror, service, decoder, aTime, log)
    , endpoint(aNetwork.Add("peer-" + aHost, "north"))
    , channel(aNetwork, endpoint)
    , relay(state, watch, mirror, channel, codec, aTime, log)
    , peers(state, relay, channel, codec, aTime, log)
  {
    this->endpoint.onDatagram = [this](const PeerDatagram& aDatagram) {
      this->peers.OnDatagram(aDatagram);
    };
    this->endpoint.onCall = [this](PeerCall aCall) {
      return this->peers.OnCall(std::move(aCall));
    };
    aTime.Spawn(this->watch.Run());
    aTime.Spawn(this->relay.Run());
    aTime.Spawn(this->relay.LearnWeightAges());
    aTime.Spawn(this->peers.Run());
  }

  std::uint64_t Version() const
  {
    return this->state.Routes() ? this->state.Routes()->Configuration().version
                                : 0;
  }

  std::size_t Runners() const
  {
    return this->state.fleet.RunnersOf(ServiceName("s")).size();
  }

  FakeKeyValue service;
  NullLog log;
  EntryState state;
  ItemMirror mirror;
  TestDecoder decoder;
  Watch watch;
  PeerNetwork::Endpoint& endpoint;
  FakePeerChannel channel;
  PlainCodec codec;
  Relay relay;
  Peers peers;
};

} // namespace wigeonwalk
