// A stand-in for the platform's key-value service: one process with one table,
// which speaks the etcd v3 JSON gateway protocol on loopback.
//
//   KeyValueStandin service("127.0.0.1:2379", timer, executor);
//   co_await service.Run(reason);
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_server.h"
#include "wigeonwalk/adapters/key_value/etcd_codec.h"
#include "wigeonwalk/ports/signal.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wigeonwalk {

// Faults that the stand-in can be told to show, by POST /standin/fault with the
// name as the body. Each lasts until the next fault command.
enum class KeyValueFault
{
  None,
  // Every connection is closed without an answer and nothing is done.
  Down,
  // Every answer takes two seconds.
  Slow,
  // Writes take effect and their connections are closed without an answer.
  LoseAnswers,
  // Watches stay open and report nothing.
  QuietWatches,
};

template<>
struct EnumNames<KeyValueFault>
{
  static constexpr std::array<EnumName<KeyValueFault>, 5> kTable{ {
    { KeyValueFault::None, "none" },
    { KeyValueFault::Down, "down" },
    { KeyValueFault::Slow, "slow" },
    { KeyValueFault::LoseAnswers, "lose-answers" },
    { KeyValueFault::QuietWatches, "quiet-watches" },
  } };
};
static_assert(HasCompleteTable<KeyValueFault>());

// One stand-in service. Runs on one I/O thread.
class KeyValueStandin
{
public:
  KeyValueStandin(std::string aAddress,
                  SystemTimer& aTimer,
                  boost::asio::any_io_executor aExecutor);

  // Listens until cancelled. Returns early with the reason where the address
  // cannot be used.
  Task<void> Run(FailureReason& aReason);

private:
  struct Lease
  {
    Duration timeToLive{ 0 };
    TimePoint expiresAt;
  };

  // What becomes of one request.
  struct Reply
  {
    HttpResponse response;
    bool answered = true;
  };

  Task<void> ServeConnection(HttpConnection aConnection);
  Task<void> ServeWatch(HttpConnection& aConnection, const std::string& aBody);
  Reply Answer(const HttpRequest& aRequest);
  HttpResponse Range(const std::string& aBody);
  HttpResponse Transact(const std::string& aBody);
  HttpResponse Grant(const std::string& aBody);
  HttpResponse Renew(const std::string& aBody);
  void ExpireLeases();
  void Store(KeyValueEntry aEntry);
  void Erase(const std::string& aKey);

  std::string address;
  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  KeyValueFault fault = KeyValueFault::None;
  std::int64_t revision = 0;
  LeaseId lastLease = 0;
  std::uint64_t calls = 0;
  std::map<std::string, KeyValueEntry> entries;
  std::vector<WatchEvent> history;
  std::map<LeaseId, Lease> leases;
  Signal changed;
};

} // namespace wigeonwalk
