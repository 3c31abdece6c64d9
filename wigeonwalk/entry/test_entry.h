// The request path of one entry daemon, with scripted runners.
//
//   TestEntry entry;
//   entry.runners.scripts = { Script::LoseAnswer, Script::Answer };
//   const FakeCaller caller = entry.Send("booking");
#pragma once

#include "wigeonwalk/entry/forward_run.h"
#include "wigeonwalk/entry/test_runners.h"
#include "wigeonwalk/testing/null_log.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

struct RecordingPeers
{
  void AnnounceWork(const RunnerWork& aWork) { this->work.push_back(aWork); }
  void AnnouncePoison() {}
  void AnnounceOrigin(const StreamRecord& aRecord)
  {
    this->streams.push_back(aRecord);
  }
  Task<std::optional<StreamOrigin>> AskOrigin(Hash128 aKey)
  {
    ++this->asked;
    const auto found = this->kept.find(aKey);
    co_return found == this->kept.end() ? std::nullopt
                                        : std::optional(found->second);
  }

  std::vector<RunnerWork> work;
  // Streams of which others were told.
  std::vector<StreamRecord> streams;
  // Streams that others know, and how often they were asked.
  std::map<Hash128, StreamOrigin> kept;
  int asked = 0;
};

// Counts how requests ended.
struct CountMeasures
{
  void TimeToFirstToken(const MetricScope&, Duration) {}
  void QueueTime(const MetricScope&, Duration) {}
  void InterTokenLatency(const MetricScope&, Duration) {}
  void Prompt(const MetricScope&, std::uint64_t, std::uint64_t) {}
  void Ended(const MetricScope&, Verdict aVerdict) { ++this->ended[aVerdict]; }
  void Retried(const MetricScope&) { ++this->retried; }
  void Dropped(const MetricScope&) {}

  std::map<Verdict, int> ended;
  int retried = 0;
};

// The request path of the daemon under test.
using TestRun =
  ForwardRun<FakeRunners, RecordingPeers, CountMeasures, VirtualTime, NullLog>;

// A daemon with one plain service of three runners.
struct TestEntry
{
  explicit TestEntry(EntrySettings aSettings = Settings())
    : state(std::move(aSettings))
  {
    this->runners.time = &this->time;
    RoutingConfiguration configuration;
    configuration.version = 1;
    const auto add = [&](std::string aPrefix, RequestKind aKind) {
      Route route;
      route.name = aPrefix;
      route.host = "a.example";
      route.prefix = "/" + aPrefix + "/";
      route.kind = aKind;
      route.timeout = std::chrono::seconds(2);
      route.targetLatency = std::chrono::milliseconds(800);
      route.maxAttempts = 2;
      route.services = { { ServiceName("plain"), 1 } };
      configuration.routes.push_back(route);
    };
    add("lookup", RequestKind::Idempotent);
    add("booking", RequestKind::NonIdempotent);
    add("stream", RequestKind::Streaming);
    add("resumable", RequestKind::Streaming);
    configuration.routes.back().resumable = true;
    configuration.services = {
      { ServiceName("plain"), "/health", 10, {}, {} }
    };
    configuration.organisations = {
      { OrganisationId("tofu"), { "key" }, std::nullopt, false }
    };
    this->state.Apply(configuration, this->time.Now());
    for (const char* id : { "r-1", "r-2", "r-3" }) {
      RunnerEntry entry;
      entry.id = UpstreamId(id);
      entry.service = ServiceName("plain");
      entry.address = id;
      entry.zone = AvailabilityZone("north");
      entry.slots = 4;
      entry.softwareVersion = "v1";
      this->state.Apply(entry, this->time.Now());
    }
  }

  static EntrySettings Settings()
  {
    EntrySettings settings;
    settings.host = HostId("front-1");
    settings.zone = AvailabilityZone("north");
    settings.bounds.repeatSlack = 100;
    return settings;
  }

  // Runs one request to its end.
  FakeCaller Send(const std::string& aRoute, std::string aKey = "key")
  {
    FakeRunners::Request request;
    request.facts.host = "a.example";
    request.facts.target = "/" + aRoute + "/7";
    request.facts.contentHash = HashBytes(request.facts.target, this->content);
    request.facts.apiKey = std::move(aKey);
    request.facts.callerTimeout = this->callerTimeout;
    request.facts.prompt = this->prompt;
    request.facts.id = this->requestId;
    request.facts.firstAttempt = this->firstAttempt;
    request.facts.continuesStream =
      this->hasLastEvent || !this->firstAttempt.Empty();
    this->runners.stream = aRoute == "stream" || aRoute == "resumable";
    FakeCaller caller;
    TestRun run(this->state,
                this->runners,
                this->peers,
                this->measures,
                this->time,
                this->log);
    this->time.Spawn(run.Forward(request, caller));
    this->time.RunUntilIdle(this->time.Now() + std::chrono::minutes(1));
    return caller;
  }

  VirtualTime time;
  EntryState state;
  FakeRunners runners;
  RecordingPeers peers;
  CountMeasures measures;
  NullLog log;
  Duration callerTimeout = std::chrono::seconds(10);
  // Requests with different numbers have different content.
  std::uint64_t content = 0;
  // Of the request that is sent, and of the attempt that it resumes.
  RequestId requestId{ "q-1" };
  RequestId firstAttempt;
  // The caller has events of a stream.
  bool hasLastEvent = false;
  // The prompt of each request that is sent.
  std::optional<Prompt> prompt;
};

} // namespace wigeonwalk
