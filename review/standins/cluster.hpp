// A small deployment: a store, runners of one model service and daemons, one in
// each zone, with a light load of streams.
//
//   Cluster cluster(record, folder, { "front-1", "front-2", "front-3" }, 2);
//   if (!cluster.Start(configuration)) { return kCouldNotRun; }
#pragma once

#include "daemon.hpp"
#include "record.hpp"
#include "runner.hpp"
#include "store.hpp"

#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline constexpr const char* kModel = "m0";
inline constexpr const char* kService = "advice";

inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline void
Sleep(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

// Returns false if the condition doesn't hold within the time.
inline bool
WaitFor(Millis aTime, const std::function<bool()>& aCondition)
{
  const Millis until = NowMs() + aTime;
  while (NowMs() < until) {
    if (aCondition()) {
      return true;
    }
    Sleep(5);
  }
  return aCondition();
}

// Returns a configuration with one streaming route and two tenants.
inline Json
MakeConfiguration(int aVersion, bool aIsolated)
{
  const Json engine = { { "slots", 64 },
                        { "kv_capacity_tokens", 74'297 },
                        { "kv_token_bytes", 18'432 },
                        { "link_mbps", 370'000.0 },
                        { "max_concurrency", 12 },
                        { "models", { { { "name", kModel } } } } };
  return { { "version", aVersion },
           { "routes",
             { { { "name", "ask" },
                 { "host", "reparto.example" },
                 { "prefix", "/ask/" },
                 { "kind", "streaming" },
                 { "resumable", true },
                 { "sticky_sessions", true },
                 { "timeout_ms", 5'000 },
                 { "target_latency_ms", 500 },
                 { "target_gap_ms", 400 },
                 { "max_attempts", 2 },
                 { "priority", 0 },
                 { "service", kService } } } },
           { "services",
             { { { "name", kService },
                 { "health_check_path", "/health" },
                 { "max_connections", 360 },
                 { "engine", engine } } } },
           { "tenants",
             { { { "name", "maker-a" },
                 { "api_keys", { "key-a" } },
                 { "isolated", aIsolated } },
               { { "name", "maker-b" },
                 { "api_keys", { "key-b" } },
                 { "isolated", false } } } },
           { "limits",
             { { "max_header_bytes", 8'192 },
               { "max_body_bytes", 4'194'304 },
               { "header_timeout_ms", 3'000 },
               { "idle_timeout_ms", 15'000 } } } };
}

class Cluster
{
public:
  Cluster(Record& aRecord,
          const std::string& aFolder,
          const std::vector<std::string>& aHosts,
          int aRunners)
    : record(aRecord)
    , store(aRecord)
  {
    this->store.Start();
    const std::vector<std::string> zones{ "concepcion",
                                          "talcahuano",
                                          "chiguayante" };
    for (int i = 0; i < aRunners; ++i) {
      this->runners.push_back(
        std::make_unique<Runner>(aRecord,
                                 this->store,
                                 "i-" + std::to_string(i + 1),
                                 kService,
                                 zones[i % zones.size()],
                                 kModel));
    }
    int lastByte = 11;
    for (const std::string& host : aHosts) {
      this->daemons.push_back(std::make_unique<Daemon>(
        aRecord,
        host,
        zones[(lastByte - 11) % zones.size()],
        lastByte,
        this->store.DoorAddress(this->store.OpenDoor()),
        aFolder));
      ++lastByte;
    }
  }

  // Must be called before the program exits. The cluster is never destroyed,
  // because its servers' threads use it to the end.
  void Stop()
  {
    for (const auto& daemon : this->daemons) {
      daemon->Kill();
    }
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Returns once all daemons are ready, or false after ten seconds.
  bool Start(const Json& aConfiguration)
  {
    this->store.Put("op/config", aConfiguration.dump());
    this->NameVersion(1);
    for (const auto& runner : this->runners) {
      runner->Start();
    }
    for (const auto& daemon : this->daemons) {
      if (!daemon->Start()) {
        return false;
      }
      // All machines start within 0.3 s.
      Sleep(100);
    }
    return WaitFor(10'000, [this] {
      bool ready = true;
      for (const auto& daemon : this->daemons) {
        ready = ready && daemon->IsReady();
      }
      return ready;
    });
  }

  void NameVersion(int aVersion)
  {
    this->record.Line("operator", "names version " + std::to_string(aVersion));
    this->store.Put(
      std::string("op/version/") + kModel,
      Json{ { "model", kModel }, { "version", aVersion } }.dump());
  }

  Daemon* FindDaemon(const std::string& aName)
  {
    for (const auto& daemon : this->daemons) {
      if (daemon->Name() == aName) {
        return daemon.get();
      }
    }
    return nullptr;
  }

  // Sends one stream request and returns its status; 0 without an answer.
  int Ask(Daemon& aDaemon,
          const std::string& aKey,
          const std::string& aPrefix,
          const std::string& aLabel)
  {
    const std::string id = "q-" + aLabel;
    this->record.Line("client",
                      id + " sent to " + aDaemon.Name() + " with " + aKey +
                        ", prompt " + aPrefix);
    HttpClient client(aDaemon.Front());
    int status = 0;
    if (client.Send("POST",
                    "/ask/7",
                    { { "Host", "reparto.example" },
                      { "X-Request-Id", id },
                      { "X-Deadline-Ms", "5000" },
                      { "X-Model", kModel },
                      { "X-Token-Usage", "1200,4" },
                      { "X-Prompt-Prefix", aPrefix },
                      { "Api-Key", aKey } },
                    "question " + aLabel)) {
      const auto answer = client.Read();
      status = answer ? static_cast<int>(answer->result_int()) : 0;
    }
    this->record.Line("client", id + " answered " + std::to_string(status));
    return status;
  }

  Record& record;
  Store store;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

} // namespace review
