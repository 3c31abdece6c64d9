// A stand-in for a runner. The handler of the case answers the requests; health
// checks, reports, orders and cache events are answered here.
#pragma once

#include "harness.hpp"

#include <deque>

namespace review {

class Runner
{
public:
  // Answers a request that was read as a whole. Returns false if the connection
  // shall be closed.
  using Handler =
    std::function<bool(Runner&, Connection&, const Message& aRequest)>;

  // Cache events that are kept.
  static constexpr std::size_t kEvents = 4000;

  // A model runner names its model.
  Runner(Store& aStore,
         std::string aId,
         std::string aService,
         std::string aZone,
         int aSlots,
         std::string aModel,
         Handler aHandler,
         const std::string& aIp = "127.0.0.1")
    : store(aStore)
    , id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
    , slots(aSlots)
    , model(std::move(aModel))
    , handler(std::move(aHandler))
    , listener([this](Connection& aConnection) { this->Serve(aConnection); },
               aIp)
  {
    this->born = UnixMs();
    this->Register();
    std::thread([this] { this->Beat(); }).detach();
  }

  const std::string& Id() const { return this->id; }
  std::string Address() const { return this->listener.Address(); }
  std::int64_t Born() const { return this->born; }
  int Version() const { return this->version; }

  // What the runner registers in the platform's store.
  Json Entry() const
  {
    Json entry = { { "service", this->service },
                   { "address", this->Address() },
                   { "zone", this->zone },
                   { "version", "v1" },
                   { "slots", this->slots },
                   { "state", this->leaving ? "draining" : "ready" },
                   { "cold_remaining_ms", 0 },
                   { "sequence", ++this->sequence },
                   { "born", this->born.load() } };
    if (!this->model.empty()) {
      entry["stage"] = "combined";
      entry["models"] = this->Models();
    }
    return entry;
  }
  void Register() { this->store.Put("servers/" + this->id, Entry().dump()); }

  // The process ends: all connections close, and its entry stays until it is
  // back or has been silent for three heartbeats.
  void Crash(double aDownFor)
  {
    if (this->down.exchange(true)) {
      return;
    }
    this->listener.Shut();
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->events.clear();
      this->nextEvent = 1;
      this->oldestEvent = 1;
    }
    std::thread([this, aDownFor, from = Now()] {
      SleepUntil(from + aDownFor);
      this->born = UnixMs();
      ++this->epoch;
      this->listener.Open();
      this->down = false;
      this->Register();
    }).detach();
  }
  bool IsDown() const { return this->down; }
  // An order is being executed, or waits until the runs have ended.
  bool IsBusy() const { return this->busy; }
  // A run begins or ends.
  void Begin() { ++this->runs; }
  void End() { --this->runs; }

  // Adds a cache event: the runner or store now has so many tokens of a part.
  void AddEvent(const std::string& aSalt, const std::string& aPart, int aTokens)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->events.push_back(Json::array({ this->nextEvent++,
                                         aTokens > 0 ? "+" : "-",
                                         aSalt,
                                         aPart,
                                         aTokens,
                                         this->model }));
    // Only the newest events are kept.
    while (this->events.size() > kEvents) {
      this->events.pop_front();
      this->oldestEvent = this->events.front().at(0);
    }
    this->changed.notify_all();
  }

  // Called when an order has been executed.
  std::function<void(Runner&)> onLoaded;
  std::atomic<bool> leaving{ false };
  // Time that new weights take, in seconds.
  double loadTime = 1.1;

private:
  Json Models() const
  {
    return Json::array({ { { "name", this->model },
                           { "version", this->version.load() },
                           { "adapters", Json::array() } } });
  }

  void Beat()
  {
    while (true) {
      SleepUntil(Now() + 1.2);
      if (!this->down) {
        this->Register();
      }
    }
  }

  bool Reply(Connection& aConnection,
             const std::string& aStatus,
             const Json& aBody,
             const std::string& aFields = {})
  {
    const std::string body = aBody.is_null() ? "" : aBody.dump();
    return aConnection.Write("HTTP/1.1 " + aStatus + "\r\n" + aFields +
                             "Content-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  void Serve(Connection& aConnection)
  {
    while (auto request = ReadHead(aConnection, 1e9)) {
      if (!ReadBody(aConnection, *request, 1e9)) {
        return;
      }
      const std::string target = request->Target();
      const std::string path = target.substr(0, target.find('?'));
      const std::string expected = request->Field("X-Expect-Instance");
      bool open = true;
      if (!expected.empty() && expected != this->id) {
        open = this->Reply(aConnection,
                           "421 Misdirected Request",
                           {},
                           "X-Not-Executed: 1\r\nX-Request-Id: " +
                             request->Field("X-Request-Id") + "\r\n");
      } else if (path == "/health") {
        open = this->Reply(aConnection,
                           this->leaving ? "503 Service Unavailable" : "200 OK",
                           {},
                           "X-Instance-Id: " + this->id + "\r\n");
      } else if (path == "/report") {
        open = this->Reply(aConnection, "200 OK", this->Report());
      } else if (path == "/order") {
        open = this->Order(aConnection, Json::parse(request->body));
      } else if (path == "/kv-events") {
        open = this->Events(aConnection, *request);
      } else if (path == "/kv-list") {
        open = this->Reply(aConnection,
                           "200 OK",
                           { { "epoch", this->epoch.load() },
                             { "next", this->nextEvent },
                             { "held", Json::array() },
                             { "born", this->born.load() } });
      } else {
        open = this->handler(*this, aConnection, *request);
      }
      if (!open) {
        return;
      }
    }
  }

  Json Report() const
  {
    return { { "stage", "combined" },
             { "models", this->Models() },
             { "busy", this->busy.load() },
             { "sequence", this->orders.load() },
             { "waiting", 0 },
             { "running", 0 },
             { "kv_used", 0 },
             { "kv_total", 74297 },
             { "handles", 0 },
             { "state", this->leaving ? "draining" : "ready" },
             { "pinned", 0 },
             { "held", 0 },
             { "next", 0 },
             { "runs", Json::array() },
             { "clock_ms", static_cast<std::int64_t>(Now() * 1000) },
             { "born", this->born.load() } };
  }

  bool Order(Connection& aConnection, const Json& aOrder)
  {
    const std::int64_t fence = aOrder.value("fencing_token", std::int64_t(0));
    if (fence == 0 || !aOrder.contains("holder")) {
      return this->Reply(aConnection, "400 Bad Request", {});
    }
    if (fence < this->fence) {
      return this->Reply(aConnection, "412 Precondition Failed", {});
    }
    this->fence = fence;
    const int wanted = aOrder.at("version");
    if (this->busy ||
        aOrder.value("expected", this->orders.load()) != this->orders) {
      return this->Reply(aConnection, "409 Conflict", {});
    }
    if (wanted == this->version) {
      return this->Reply(aConnection, "200 OK", {});
    }
    ++this->orders;
    this->busy = true;
    std::thread([this, wanted, from = Now()] {
      while (this->runs > 0) {
        SleepUntil(Now() + 0.01);
      }
      SleepUntil(std::max(from, Now()) + this->loadTime);
      this->version = wanted;
      if (this->onLoaded) {
        this->onLoaded(*this);
      }
      this->busy = false;
      this->Register();
    }).detach();
    return this->Reply(aConnection, "202 Accepted", {});
  }

  bool Events(Connection& aConnection, const Message& aRequest)
  {
    const std::int64_t since = std::atoll(aRequest.Query("since").c_str());
    const double wait = std::atof(aRequest.Field("Wait-Ms").c_str()) / 1000;
    const double until = Now() + std::min(wait, 1.0);
    std::unique_lock<std::mutex> lock(this->mutex);
    Json rows = Json::array();
    while (true) {
      for (const Json& event : this->events) {
        if (event.at(0) >= since) {
          rows.push_back(event);
        }
      }
      if (!rows.empty() || Now() >= until) {
        break;
      }
      this->changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    const Json body = { { "epoch", this->epoch.load() },
                        { "next", this->nextEvent },
                        { "lost", since < this->oldestEvent },
                        { "events", std::move(rows) },
                        { "born", this->born.load() } };
    lock.unlock();
    return this->Reply(aConnection, "200 OK", body);
  }

  Store& store;
  std::string id;
  std::string service;
  std::string zone;
  int slots;
  std::string model;
  Handler handler;
  std::atomic<std::int64_t> born{ 0 };
  mutable std::atomic<std::int64_t> sequence{ 0 };
  std::atomic<bool> down{ false };
  std::atomic<bool> busy{ false };
  std::atomic<int> runs{ 0 };
  std::atomic<int> version{ 1 };
  std::atomic<int> orders{ 0 };
  std::atomic<std::int64_t> fence{ 0 };
  std::atomic<std::int64_t> epoch{ 77001 };
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Json> events;
  std::int64_t nextEvent = 1;
  std::int64_t oldestEvent = 1;
  Listener listener;
};

} // namespace review
