// Stand-ins for the platform's store, for runners and for clients, and the
// entry daemons as separate processes, for the cases of the second review.
//
//   Record record;                       // record.txt of the case
//   Store store;                         // the platform's metadata store
//   Daemon daemon(store, "front-1", "isar");
//   Client client(daemon.Front());
//   auto answer = client.Send(request, 2000);
//
// Everything but the daemons runs in this process, with one thread for each
// connection. All addresses are loopback addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Seconds since the start of the case.
inline double
Now()
{
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void
SleepUntil(double aTime)
{
  const double left = aTime - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Returns false if the case shall run without its disruption.
inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// Writes what was sent, answered and run to record.txt. Thread-safe.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* aFormat, ...)
  {
    char text[2048];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof text, aFormat, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::fprintf(this->file, "%8.3f  %s\n", Now(), text);
    std::fflush(this->file);
  }

private:
  Record()
  {
    const char* path = std::getenv("RECORD");
    this->file = std::fopen(path ? path : "/dev/stdout", "w");
    if (this->file == nullptr) {
      std::exit(kNotRun);
    }
  }
  std::mutex mutex;
  std::FILE* file;
};

#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

// A TCP connection with a read buffer. Closed by the destructor.
class Connection
{
public:
  explicit Connection(int aFd = -1)
    : fd(aFd)
  {
    if (aFd >= 0) {
      const int on = 1;
      setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
  }
  Connection(Connection&& aOther) noexcept
    : buffer(std::move(aOther.buffer))
    , fd(std::exchange(aOther.fd, -1))
  {
  }
  Connection& operator=(Connection&& aOther) noexcept
  {
    this->Close();
    this->buffer = std::move(aOther.buffer);
    this->fd = std::exchange(aOther.fd, -1);
    return *this;
  }
  ~Connection() { this->Close(); }

  // Connects to "IP:port"; the result is not open on failure.
  static Connection To(const std::string& aAddress, int aReceiveBuffer = 0)
  {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      setsockopt(
        fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    const auto colon = aAddress.rfind(':');
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &to.sin_addr);
    to.sin_port = htons(std::stoi(aAddress.substr(colon + 1)));
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      close(fd);
      return Connection();
    }
    return Connection(fd);
  }

  bool IsOpen() const { return this->fd >= 0; }
  int Fd() const { return this->fd; }
  void Close()
  {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      const ssize_t count = send(this->fd,
                                 aBytes.data() + done,
                                 aBytes.size() - done,
                                 MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads more into the buffer. Returns false at the end of the stream, after
  // an error or at `aUntil`.
  bool ReadMore(double aUntil, std::size_t aMost = 65536)
  {
    const double left = std::max(aUntil - Now(), 0.0);
    pollfd wait{ this->fd, POLLIN, 0 };
    if (poll(&wait, 1, static_cast<int>(std::min(left, 1e6) * 1000)) <= 0) {
      return false;
    }
    std::string bytes(aMost, '\0');
    const ssize_t count = recv(this->fd, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      this->ended = true;
      return false;
    }
    this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
    return true;
  }
  // Returns true if the peer sends nothing until `aUntil` and is still there.
  bool IsQuiet(double aUntil)
  {
    pollfd wait{ this->fd, POLLIN, 0 };
    const double left = std::max(aUntil - Now(), 0.0);
    return poll(&wait, 1, static_cast<int>(left * 1000)) == 0;
  }

  std::string buffer;
  // The peer has closed or reset the connection.
  bool ended = false;

private:
  int fd;
};

struct Message
{
  // "POST /path HTTP/1.1" or "HTTP/1.1 200 OK".
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : this->fields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const
  {
    const auto begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const
  {
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
  }
  std::string Query(const std::string& aName) const
  {
    const std::string target = this->Target();
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string item = target.substr(begin, at - begin);
      if (item.compare(0, aName.size() + 1, aName + "=") == 0) {
        return Unescape(item.substr(aName.size() + 1));
      }
    }
    return {};
  }
  static std::string Unescape(const std::string& aText)
  {
    std::string text;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }
};

// Reads the head of a message.
inline std::optional<Message>
ReadHead(Connection& aConnection, double aUntil)
{
  std::size_t end;
  while ((end = aConnection.buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!aConnection.ReadMore(aUntil)) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream lines(aConnection.buffer.substr(0, end + 2));
  aConnection.buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (message.start.empty()) {
      message.start = line;
    } else if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.fields.push_back(
        { line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value) });
    }
  }
  return message;
}

// Reads the body that belongs to a head. Returns false if it is incomplete;
// what came is in the message all the same. `aOnBytes` is called before each
// read.
inline bool
ReadBody(Connection& aConnection,
         Message& aMessage,
         double aUntil,
         std::size_t aMost = 65536,
         const std::function<void()>& aOnBytes = {})
{
  const auto more = [&] {
    if (aOnBytes) {
      aOnBytes();
    }
    return aConnection.ReadMore(aUntil, aMost);
  };
  const std::string length = aMessage.Field("Content-Length");
  if (!length.empty()) {
    const std::size_t bytes = std::stoul(length);
    while (aConnection.buffer.size() < bytes) {
      if (!more()) {
        aMessage.body = aConnection.buffer;
        return false;
      }
    }
    aMessage.body = aConnection.buffer.substr(0, bytes);
    aConnection.buffer.erase(0, bytes);
    return true;
  }
  if (aMessage.Field("Transfer-Encoding") != "chunked") {
    return true;
  }
  while (true) {
    std::size_t line;
    while ((line = aConnection.buffer.find("\r\n")) == std::string::npos) {
      if (!more()) {
        return false;
      }
    }
    const std::size_t size =
      std::stoul(aConnection.buffer.substr(0, line), nullptr, 16);
    while (aConnection.buffer.size() < line + 2 + size + 2) {
      if (!more()) {
        return false;
      }
    }
    aMessage.body += aConnection.buffer.substr(line + 2, size);
    aConnection.buffer.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

// Accepts connections on a loopback address and serves each in a thread.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  // Port 0 takes a free one.
  explicit Listener(Serve aServe,
                    const std::string& aIp = "127.0.0.1",
                    int aPort = 0)
    : serve(std::move(aServe))
    , ip(aIp)
    , port(aPort)
  {
    this->Open();
  }
  ~Listener() { this->Shut(); }

  std::string Address() const
  {
    return this->ip + ":" + std::to_string(this->port);
  }

  // Listens again on the same port.
  void Open()
  {
    this->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, this->ip.c_str(), &at.sin_addr);
    at.sin_port = htons(this->port);
    socklen_t size = sizeof at;
    if (bind(this->fd, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        listen(this->fd, 512) != 0) {
      std::fprintf(stderr, "can't listen on %s\n", this->Address().c_str());
      std::_Exit(kNotRun);
    }
    getsockname(this->fd, reinterpret_cast<sockaddr*>(&at), &size);
    this->port = ntohs(at.sin_port);
    std::thread([this, fd = this->fd] { this->Accept(fd); }).detach();
  }

  // Closes the port and all connections, as the end of the process would.
  void Shut()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->fd >= 0) {
      shutdown(this->fd, SHUT_RDWR);
      close(this->fd);
      this->fd = -1;
    }
    for (const int open : this->connections) {
      shutdown(open, SHUT_RDWR);
    }
    ++this->generation;
  }

private:
  void Accept(int aFd)
  {
    while (true) {
      const int client = accept4(aFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.insert(client);
      }
      std::thread([this, client] {
        Connection connection(client);
        this->serve(connection);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.erase(client);
        connection.Close();
      }).detach();
    }
  }

  Serve serve;
  std::string ip;
  int port;
  int fd = -1;
  int generation = 0;
  std::mutex mutex;
  std::set<int> connections;
};

inline std::string
Base64(const std::string& aBytes)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < aBytes.size() ? std::uint8_t(aBytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '='
                                    : kDigits[(group >> (18 - 6 * j)) & 63];
    }
  }
  return text;
}

// The platform's metadata store, as PROTOCOL.md describes it.
class Store
{
public:
  Store()
    : listener([this](Connection& aConnection) { this->Serve(aConnection); })
  {
  }
  std::string Address() const { return this->listener.Address(); }

  // Writes in place of the operator or of a runner.
  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Write(aKey, Base64(aValue), 0);
  }
  void Remove(const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Erase(aKey);
  }
  bool HasPrefix(const std::string& aPrefix, std::size_t aCount)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::size_t count = 0;
    for (const auto& [key, item] : this->items) {
      count += !item.removed && key.compare(0, aPrefix.size(), aPrefix) == 0;
    }
    return count >= aCount;
  }

private:
  struct Item
  {
    std::string value;
    std::int64_t created = 0;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
    bool removed = false;
  };

  void Write(const std::string& aKey, std::string aValue, std::int64_t aLease)
  {
    Item& item = this->items[aKey];
    ++this->revision;
    if (item.revision == 0 || item.removed) {
      item.created = this->revision;
    }
    item = { std::move(aValue), item.created, this->revision, aLease, false };
    this->changed.notify_all();
  }
  void Erase(const std::string& aKey)
  {
    const auto found = this->items.find(aKey);
    if (found == this->items.end() || found->second.removed) {
      return;
    }
    found->second.removed = true;
    found->second.revision = ++this->revision;
    this->changed.notify_all();
  }
  void Expire()
  {
    for (auto it = this->leases.begin(); it != this->leases.end();) {
      if (it->second.second > Now()) {
        ++it;
        continue;
      }
      this->EndLease(it->first);
      it = this->leases.erase(it);
    }
  }
  void EndLease(std::int64_t aLease)
  {
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (!item.removed && item.lease == aLease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Erase(key);
    }
  }
  static Json Row(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", aItem.value },
             { "revision", aItem.revision },
             { "created", aItem.created },
             { "lease", aItem.lease } };
  }

  void Serve(Connection& aConnection)
  {
    while (auto request = ReadHead(aConnection, 1e9)) {
      if (!ReadBody(aConnection, *request, 1e9)) {
        return;
      }
      int status = 200;
      const std::string body = this->Answer(*request, status).dump();
      if (!aConnection.Write("HTTP/1.1 " + std::to_string(status) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Json Answer(const Message& aRequest, int& aStatus)
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->Expire();
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/kv-key") {
      const std::string key = aRequest.Query("key");
      const auto found = this->items.find(key);
      const bool exists = found != this->items.end() && !found->second.removed;
      Json body = exists ? Row(key, found->second) : Json::object();
      body["current_rev"] = this->revision;
      aStatus = exists ? 200 : 404;
      return body;
    }
    if (path == "/kv-range") {
      const std::string prefix = aRequest.Query("prefix");
      const std::string after = aRequest.Query("after");
      Json rows = Json::array();
      bool more = false;
      for (const auto& [key, item] : this->items) {
        if (item.removed || key.compare(0, prefix.size(), prefix) != 0 ||
            key <= after) {
          continue;
        }
        if (rows.size() == 500) {
          more = true;
          break;
        }
        rows.push_back(Row(key, item));
      }
      return { { "items", std::move(rows) },
               { "has_more", more },
               { "current_rev", this->revision } };
    }
    if (path == "/kv-watch") {
      const std::string prefix = aRequest.Query("prefix");
      const std::int64_t after = std::stoll(aRequest.Query("after"));
      const double until = Now() + std::stod(aRequest.Query("wait_ms")) / 1000;
      while (true) {
        this->Expire();
        std::map<std::int64_t, Json> events;
        for (const auto& [key, item] : this->items) {
          if (item.revision <= after ||
              key.compare(0, prefix.size(), prefix) != 0) {
            continue;
          }
          events[item.revision] = item.removed
                                    ? Json{ { "key", key },
                                            { "revision", item.revision },
                                            { "removed", true } }
                                    : Row(key, item);
        }
        if (!events.empty() || Now() >= until) {
          Json rows = Json::array();
          for (auto& [revision, row] : events) {
            rows.push_back(std::move(row));
          }
          return { { "events", std::move(rows) },
                   { "current_rev", this->revision } };
        }
        this->changed.wait_for(lock, std::chrono::milliseconds(20));
      }
    }
    if (path == "/kv-txn") {
      return this->Transact(Json::parse(aRequest.body), aStatus);
    }
    if (path == "/kv-lease") {
      const std::int64_t ttl = Json::parse(aRequest.body).at("ttl_ms");
      const std::int64_t lease = this->nextLease++;
      this->leases[lease] = { ttl, Now() + ttl / 1000.0 };
      return { { "lease", lease }, { "ttl_ms", ttl } };
    }
    const std::string number = path.substr(path.rfind('/') + 1);
    if (path.rfind("/kv-keep/", 0) == 0 ||
        path.rfind("/kv-lease-end/", 0) == 0) {
      const auto found = this->leases.find(std::stoll(number));
      if (found == this->leases.end()) {
        aStatus = 404;
        return Json::object();
      }
      if (path.rfind("/kv-keep/", 0) == 0) {
        found->second.second = Now() + found->second.first / 1000.0;
        return { { "lease", found->first }, { "ttl_ms", found->second.first } };
      }
      this->EndLease(found->first);
      this->leases.erase(found);
      return Json::object();
    }
    aStatus = 400;
    return Json::object();
  }

  Json Transact(const Json& aBody, int& aStatus)
  {
    Json rows = Json::array();
    bool holds = true;
    for (const Json& expected : aBody.at("expected")) {
      const auto found = this->items.find(expected.at("key"));
      const bool exists = found != this->items.end() && !found->second.removed;
      holds = holds && expected.at("revision") ==
                         (exists ? found->second.revision : 0);
      rows.push_back(exists ? Row(expected.at("key"), found->second)
                            : Json{ { "key", expected.at("key") },
                                    { "revision", 0 } });
    }
    if (!holds) {
      aStatus = 412;
      return { { "items", std::move(rows) } };
    }
    for (const Json& put : aBody.at("puts")) {
      const std::int64_t lease = put.value("lease", std::int64_t(0));
      if (lease != 0 && !this->leases.contains(lease)) {
        aStatus = 404;
        return Json::object();
      }
    }
    for (const Json& put : aBody.at("puts")) {
      this->Write(put.at("key"),
                  put.at("value"),
                  put.value("lease", std::int64_t(0)));
    }
    for (const Json& key : aBody.at("remove")) {
      this->Erase(key);
    }
    return { { "revision", this->revision } };
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::map<std::int64_t, std::pair<std::int64_t, double>> leases;
  std::int64_t revision = 10;
  std::int64_t nextLease = 100;
  Listener listener;
};

// Returns a port that is free now.
inline int
FreePort()
{
  static std::mutex mutex;
  static std::set<int> given;
  const std::lock_guard<std::mutex> lock(mutex);
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    socklen_t size = sizeof at;
    bind(fd, reinterpret_cast<sockaddr*>(&at), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close(fd);
    const int port = ntohs(at.sin_port);
    if (given.insert(port).second) {
      return port;
    }
  }
}

// One entry daemon, started with the command and the template of the deploy
// file, and the bounds of the site schleierpfad.
class Daemon
{
public:
  Daemon(const Store& aStore, std::string aName, std::string aZone)
    : name(std::move(aName))
    , zone(std::move(aZone))
  {
    const char* root = std::getenv("ROOT");
    const char* scratch = std::getenv("SCRATCH");
    this->root = root ? root : ".";
    this->scratch = scratch ? scratch : "/tmp";
    this->fields = {
      { "node_name", Json(this->name) },
      { "zone", Json(this->zone) },
      { "region", Json("freistaat") },
      { "listen.front", Json(Local(FreePort())) },
      { "listen.ready", Json(Local(FreePort())) },
      { "ip", Json("127.0.0.1") },
      { "internal_port_range.0", Json(FreePort()) },
      { "internal_port_range.1", Json(FreePort()) },
      { "platform.address", Json(aStore.Address()) },
      { "bounds.drain_ms", Json(2000) },
      { "bounds.grace_s", Json(8) },
      { "bounds.config_propagation_ms", Json(2000) },
      { "bounds.version_ms", Json(12000) },
      { "bounds.lease_ms", Json(3000) },
      { "bounds.retry_budget_ratio", Json(0.2) },
      { "bounds.retry_budget_slack", Json(52) },
      { "bounds.budget_window_s", Json(10) },
    };
    this->Start();
  }
  ~Daemon() { this->Kill(); }

  std::string Front() const { return this->fields.at("listen.front"); }
  std::string Ready() const { return this->fields.at("listen.ready"); }
  pid_t Pid() const { return this->pid; }

  void Start()
  {
    const std::string settings = this->scratch + "/" + this->name + ".json";
    std::ofstream(settings) << this->Render();
    const std::string program = this->root + "/target/daemons/wigeonwalk-entry";
    const std::string log = this->scratch + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid > 0) {
      const std::lock_guard<std::mutex> lock(StartedMutex());
      Started().insert(this->pid);
    }
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(this->root.c_str()) != 0) {
        _exit(127);
      }
      const char* regions =
        R"(WIGEONWALK_REGIONS={"isar":"freistaat","lech":"freistaat","donau":"freistaat","inn":"freistaat"})";
      char* const environment[] = { const_cast<char*>("PATH=/usr/bin:/bin"),
                                    const_cast<char*>("HOME=/tmp"),
                                    const_cast<char*>("LANG=C"),
                                    const_cast<char*>(regions),
                                    nullptr };
      execle(program.c_str(),
             program.c_str(),
             "--settings",
             settings.c_str(),
             nullptr,
             environment);
      _exit(127);
    }
  }

  // Returns true if the process runs.
  bool IsAlive()
  {
    if (this->pid <= 0) {
      return false;
    }
    if (waitpid(this->pid, &this->exitStatus, WNOHANG) == this->pid) {
      this->Forget();
      return false;
    }
    return true;
  }
  // How the process ended, as waitpid reports it.
  int ExitStatus() const { return this->exitStatus; }
  void Signal(int aSignal) const
  {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }
  void Kill()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, &this->exitStatus, 0);
      this->Forget();
    }
  }

  // Ends all daemons that were started.
  static void KillAll()
  {
    const std::lock_guard<std::mutex> lock(StartedMutex());
    for (const pid_t started : Started()) {
      kill(started, SIGKILL);
      waitpid(started, nullptr, 0);
    }
    Started().clear();
  }

  // Returns true once the readiness address answers 200.
  bool WaitReady(double aUntil) const
  {
    while (Now() < aUntil) {
      Connection connection = Connection::To(this->Ready());
      if (connection.IsOpen() &&
          connection.Write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
        const auto answer = ReadHead(connection, Now() + 1);
        if (answer && answer->Status() == 200) {
          return true;
        }
      }
      SleepUntil(Now() + 0.05);
    }
    return false;
  }

private:
  static std::mutex& StartedMutex()
  {
    static std::mutex mutex;
    return mutex;
  }
  static std::set<pid_t>& Started()
  {
    static std::set<pid_t> started;
    return started;
  }
  void Forget()
  {
    const std::lock_guard<std::mutex> lock(StartedMutex());
    Started().erase(this->pid);
    this->pid = -1;
  }
  static std::string Local(int aPort)
  {
    return "127.0.0.1:" + std::to_string(aPort);
  }
  // Fills in the template of the deploy file.
  std::string Render() const
  {
    std::ifstream file(this->root + "/deploy/entry-settings.json.template");
    std::string text(std::istreambuf_iterator<char>(file), {});
    std::size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos) {
      const std::size_t end = text.find("}}", at);
      std::string field = text.substr(at + 2, end - at - 2);
      const bool asJson = field.ends_with("|json");
      if (asJson) {
        field.resize(field.size() - 5);
      }
      const auto found = this->fields.find(field);
      std::string value;
      if (found != this->fields.end()) {
        value = asJson || !found->second.is_string()
                  ? found->second.dump()
                  : found->second.get<std::string>();
      }
      text.replace(at, end + 2 - at, value);
    }
    return text;
  }

  std::string name;
  std::string zone;
  std::string root;
  std::string scratch;
  std::map<std::string, Json> fields;
  pid_t pid = -1;
  int exitStatus = 0;
};

struct ClientAnswer
{
  Message message;
  // A head came.
  bool hasHead = false;
  bool isComplete = false;
  // The daemon closed the connection before the answer was complete.
  bool isClosed = false;
};

// A client with one kept connection.
class Client
{
public:
  explicit Client(std::string aAddress, int aReceiveBuffer = 0)
    : address(std::move(aAddress))
    , receiveBuffer(aReceiveBuffer)
  {
  }

  // Sends a request and reads its answer. `aOnBytes` is called before each read
  // of at most `aMost` bytes of the body.
  ClientAnswer Send(const Message& aRequest,
                    double aSeconds,
                    std::size_t aMost = 65536,
                    const std::function<void()>& aOnBytes = {})
  {
    ClientAnswer answer;
    const double until = Now() + aSeconds;
    if (this->connection.IsOpen() && !this->connection.IsQuiet(Now())) {
      this->connection.Close();
    }
    if (!this->connection.IsOpen()) {
      this->connection = Connection::To(this->address, this->receiveBuffer);
    }
    std::string bytes = aRequest.start + "\r\n";
    for (const auto& [name, value] : aRequest.fields) {
      bytes += name + ": " + value + "\r\n";
    }
    if (!aRequest.body.empty() || aRequest.Method() == "POST") {
      bytes +=
        "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
    }
    bytes += "\r\n" + aRequest.body;
    if (!this->connection.IsOpen() || !this->connection.Write(bytes)) {
      this->connection.Close();
      answer.isClosed = true;
      RECORD("not sent: %s", aRequest.Field("X-Request-Id").c_str());
      return answer;
    }
    RECORD("sent: %s %s",
           aRequest.Field("X-Request-Id").c_str(),
           aRequest.start.c_str());
    auto head = ReadHead(this->connection, until);
    if (!head) {
      answer.isClosed = this->connection.ended;
      this->connection.Close();
      return answer;
    }
    answer.hasHead = true;
    answer.message = std::move(*head);
    answer.isComplete =
      ReadBody(this->connection, answer.message, until, aMost, aOnBytes);
    answer.isClosed = !answer.isComplete && this->connection.ended;
    if (!answer.isComplete || answer.message.Field("Connection") == "close") {
      this->connection.Close();
    }
    return answer;
  }

private:
  std::string address;
  int receiveBuffer;
  Connection connection{ -1 };
};

// Returns a new request id.
inline std::string
NewId()
{
  static std::atomic<std::uint64_t> last{ 0x1000 };
  char text[32];
  std::snprintf(text,
                sizeof text,
                "%08x%08llx",
                static_cast<unsigned>(getpid()),
                static_cast<unsigned long long>(++last));
  return text;
}

// Ends the case with one of the exit codes, without waiting for threads.
[[noreturn]] inline void
Finish(int aCode, const std::string& aWhy)
{
  Daemon::KillAll();
  RECORD("RESULT %d: %s", aCode, aWhy.c_str());
  std::printf("%s\n", aWhy.c_str());
  std::fflush(nullptr);
  std::_Exit(aCode);
}

} // namespace review
