// A stand-in for the platform's metadata store, as PROTOCOL.md describes it.
//
//   Store store(record);
//   store.Start();
//   store.Put("op/config", text);
//   store.LoseNext(isTheCall, 3'000);  // one answer is lost, the call done
//   late
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline std::string
EncodeBase64(const std::string& aBytes)
{
  static constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const auto byte =
        i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j]) : 0U;
      group = (group << 8) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j <= aBytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

inline std::string
DecodeBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char digit : aText) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      bytes += static_cast<char>((bits >> count) & 0xFF);
    }
  }
  return bytes;
}

inline std::map<std::string, std::string>
QueryOf(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  std::size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const std::size_t next = aTarget.find('&', at + 1);
    const std::string pair = aTarget.substr(at + 1, next - at - 1);
    const std::size_t equal = pair.find('=');
    std::string value;
    for (std::size_t i = equal + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        value +=
          static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    query[pair.substr(0, equal)] = value;
    at = next;
  }
  return query;
}

class Store
{
public:
  using CallFilter = std::function<bool(const Json& aTransaction)>;

  explicit Store(Record& aRecord)
    : record(aRecord)
  {
  }

  void Start()
  {
    this->server.Start([this](HttpSession& aSession, const Request& aRequest) {
      return this->Handle(aSession, aRequest);
    });
    std::thread([this] {
      while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        const std::lock_guard lock(this->mutex);
        this->ExpireLeases();
      }
    }).detach();
  }

  std::string Address() const { return this->server.Address(); }

  // Opens an address of its own for one machine, so that the store can turn
  // that machine away. Returns its number.
  std::size_t OpenDoor()
  {
    auto door = std::make_unique<Door>();
    Door* opened = door.get();
    opened->server.Start(
      [this, opened](HttpSession& aSession, const Request& aRequest) {
        if (opened->isClosed) {
          return Reply(aSession, 503, Json::object());
        }
        return this->Handle(aSession, aRequest);
      });
    this->doors.push_back(std::move(door));
    return this->doors.size() - 1;
  }
  std::string DoorAddress(std::size_t aDoor) const
  {
    return this->doors[aDoor]->server.Address();
  }
  // Whether the calls of that machine are answered with 503.
  void SetClosed(std::size_t aDoor, bool aClosed)
  {
    this->doors[aDoor]->isClosed = aClosed;
  }

  // Write in place of the operator or a runner.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard lock(this->mutex);
    this->Write(aKey, aValue, 0);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    this->Erase(aKey);
  }

  std::optional<std::string> Find(const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(aKey);
    return found == this->items.end() ? std::nullopt
                                      : std::optional(found->second.value);
  }

  // The answer to the next transaction that the filter selects is lost; the
  // call is done `aDelay` ms later if its condition still holds.
  void LoseNext(CallFilter aFilter, Millis aDelay)
  {
    const std::lock_guard lock(this->mutex);
    this->lost = std::move(aFilter);
    this->lostDelay = aDelay;
    this->lostAt.reset();
    this->lateDoneAt.reset();
  }
  void LoseNone()
  {
    const std::lock_guard lock(this->mutex);
    this->lost = nullptr;
  }
  std::optional<Millis> LostAt()
  {
    const std::lock_guard lock(this->mutex);
    return this->lostAt;
  }
  // When the lost call was tried late, and whether its condition held.
  std::optional<std::pair<Millis, bool>> LateDoneAt()
  {
    const std::lock_guard lock(this->mutex);
    return this->lateDoneAt;
  }

private:
  struct Door
  {
    HttpServer server;
    std::atomic<bool> isClosed = false;
  };
  struct Item
  {
    std::string value;
    std::int64_t created = 0;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };
  struct Event
  {
    std::int64_t revision = 0;
    std::string key;
    bool removed = false;
    Item item;
  };
  struct Lease
  {
    Millis timeToLive = 0;
    Millis endsAt = 0;
  };

  // Limits of one page of a listing.
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1'000'000;

  void Write(const std::string& aKey,
             const std::string& aValue,
             std::int64_t aLease)
  {
    Item& item = this->items[aKey];
    ++this->revision;
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = aValue;
    item.revision = this->revision;
    item.lease = aLease;
    this->events.push_back({ this->revision, aKey, false, item });
    this->changed.notify_all();
  }

  void Erase(const std::string& aKey)
  {
    if (this->items.erase(aKey) > 0) {
      this->events.push_back({ ++this->revision, aKey, true, {} });
      this->changed.notify_all();
    }
  }

  void ExpireLeases()
  {
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : this->leases) {
      if (lease.endsAt <= NowMs()) {
        ended.push_back(id);
      }
    }
    for (const std::int64_t id : ended) {
      this->EndLease(id);
    }
  }

  void EndLease(std::int64_t aLease)
  {
    this->leases.erase(aLease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Erase(key);
      this->record.Line("store", "lease ended, removed " + key);
    }
  }

  static Json Row(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", EncodeBase64(aItem.value) },
             { "revision", aItem.revision },
             { "created", aItem.created },
             { "lease", aItem.lease } };
  }

  static bool Reply(HttpSession& aSession, unsigned aStatus, const Json& aBody)
  {
    // The store takes 4 ms for an answer.
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    return aSession.Answer(
      aStatus, aBody.dump(), { { "Content-Type", "application/json" } });
  }

  bool Handle(HttpSession& aSession, const Request& aRequest)
  {
    const std::string target(aRequest.target());
    const auto query = QueryOf(target);
    const auto get = [&query](const std::string& aName) {
      const auto found = query.find(aName);
      return found == query.end() ? std::string() : found->second;
    };
    if (target.starts_with("/kv-key")) {
      std::unique_lock lock(this->mutex);
      const auto found = this->items.find(get("key"));
      const bool exists = found != this->items.end();
      Json body = exists ? Row(found->first, found->second) : Json::object();
      body["current_rev"] = this->revision;
      lock.unlock();
      return Reply(aSession, exists ? 200 : 404, body);
    }
    if (target.starts_with("/kv-range")) {
      std::unique_lock lock(this->mutex);
      Json rows = Json::array();
      bool more = false;
      std::size_t bytes = 0;
      for (auto it = this->items.upper_bound(get("after"));
           it != this->items.end();
           ++it) {
        if (!it->first.starts_with(get("prefix"))) {
          continue;
        }
        bytes += it->second.value.size();
        if (rows.size() == kPageItems ||
            (!rows.empty() && bytes > kPageBytes)) {
          more = true;
          break;
        }
        rows.push_back(Row(it->first, it->second));
      }
      const Json body = { { "items", std::move(rows) },
                          { "has_more", more },
                          { "current_rev", this->revision } };
      lock.unlock();
      return Reply(aSession, 200, body);
    }
    if (target.starts_with("/kv-watch")) {
      const Json body = this->Watch(
        get("prefix"), std::stoll(get("after")), std::stoll(get("wait_ms")));
      return Reply(aSession, 200, body);
    }
    if (target == "/kv-txn") {
      return this->HandleTransaction(aSession, aRequest);
    }
    if (target == "/kv-lease") {
      const Millis time = Json::parse(aRequest.body()).at("ttl_ms");
      std::unique_lock lock(this->mutex);
      const std::int64_t id = this->nextLease++;
      this->leases[id] = { time, NowMs() + time };
      lock.unlock();
      return Reply(aSession, 200, { { "lease", id }, { "ttl_ms", time } });
    }
    if (target.starts_with("/kv-keep/")) {
      std::unique_lock lock(this->mutex);
      const auto found = this->leases.find(std::stoll(target.substr(9)));
      const bool exists = found != this->leases.end();
      const Millis time = exists ? found->second.timeToLive : 0;
      if (exists) {
        found->second.endsAt = NowMs() + time;
      }
      lock.unlock();
      return Reply(aSession,
                   exists ? 200 : 404,
                   exists ? Json{ { "ttl_ms", time } } : Json::object());
    }
    if (target.starts_with("/kv-lease-end/")) {
      std::unique_lock lock(this->mutex);
      this->EndLease(std::stoll(target.substr(14)));
      lock.unlock();
      return Reply(aSession, 200, Json::object());
    }
    return Reply(aSession, 400, Json::object());
  }

  Json Watch(const std::string& aPrefix, std::int64_t aAfter, Millis aWait)
  {
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aWait);
    std::unique_lock lock(this->mutex);
    while (true) {
      Json rows = Json::array();
      for (auto it = this->events.rbegin();
           it != this->events.rend() && it->revision > aAfter;
           ++it) {
        if (!it->key.starts_with(aPrefix)) {
          continue;
        }
        rows.push_back(it->removed ? Json{ { "key", it->key },
                                           { "revision", it->revision },
                                           { "removed", true } }
                                   : Row(it->key, it->item));
      }
      if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
        std::reverse(rows.begin(), rows.end());
        return { { "events", std::move(rows) },
                 { "current_rev", this->revision } };
      }
      this->changed.wait_until(lock, until);
    }
  }

  // Returns the status and the body of the answer.
  std::pair<unsigned, Json> Transact(const Json& aBody)
  {
    Json conflicts = Json::array();
    for (const Json& row : aBody.at("expected")) {
      const std::string key = row.at("key");
      const auto found = this->items.find(key);
      const std::int64_t present =
        found == this->items.end() ? 0 : found->second.revision;
      if (present != row.at("revision").get<std::int64_t>()) {
        conflicts.push_back(present == 0
                              ? Json{ { "key", key }, { "revision", 0 } }
                              : Row(key, found->second));
      }
    }
    if (!conflicts.empty()) {
      return { 412, { { "items", conflicts } } };
    }
    for (const Json& put : aBody.at("puts")) {
      const std::int64_t lease = put.value("lease", std::int64_t(0));
      if (lease != 0 && !this->leases.contains(lease)) {
        return { 404, Json::object() };
      }
    }
    for (const Json& put : aBody.at("puts")) {
      this->Write(put.at("key"),
                  DecodeBase64(put.at("value")),
                  put.value("lease", std::int64_t(0)));
    }
    for (const Json& key : aBody.at("remove")) {
      this->Erase(key);
    }
    return { 200, { { "revision", this->revision } } };
  }

  bool HandleTransaction(HttpSession& aSession, const Request& aRequest)
  {
    const Json body = Json::parse(aRequest.body());
    std::unique_lock lock(this->mutex);
    this->ExpireLeases();
    if (this->lost && this->lost(body)) {
      this->lost = nullptr;
      this->lostAt = NowMs();
      const Millis delay = this->lostDelay;
      this->record.Line("store", "answer lost, done later: " + Describe(body));
      std::thread([this, body, delay] { this->DoLate(body, delay); }).detach();
      lock.unlock();
      // Nothing more is returned on this connection.
      while (!aSession.IsClosed()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      return false;
    }
    const auto [status, answer] = this->Transact(body);
    lock.unlock();
    this->record.Line("store",
                      std::to_string(status) + " to " + Describe(body));
    return Reply(aSession, status, answer);
  }

  void DoLate(const Json& aBody, Millis aDelay)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(aDelay));
    const std::lock_guard lock(this->mutex);
    const auto result = this->Transact(aBody);
    this->lateDoneAt = { NowMs(), result.first == 200 };
    this->record.Line("store",
                      "late call tried, " + std::to_string(result.first) +
                        ": " + Describe(aBody));
  }

  static std::string Describe(const Json& aBody)
  {
    std::string text;
    for (const Json& put : aBody.at("puts")) {
      text += " put " + put.at("key").get<std::string>() + " = \"" +
              DecodeBase64(put.at("value")).substr(0, 60) + "\"";
    }
    for (const Json& key : aBody.at("remove")) {
      text += " remove " + key.get<std::string>();
    }
    return text;
  }

  Record& record;
  HttpServer server;
  std::vector<std::unique_ptr<Door>> doors;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::deque<Event> events;
  std::int64_t revision = 10;
  std::map<std::int64_t, Lease> leases;
  std::int64_t nextLease = 100;
  CallFilter lost;
  Millis lostDelay = 0;
  std::optional<Millis> lostAt;
  std::optional<std::pair<Millis, bool>> lateDoneAt;
};

} // namespace review
