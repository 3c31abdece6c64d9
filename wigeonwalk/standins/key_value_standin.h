// A stand-in for the platform's key-value service: a single in-memory table
// behind the etcd v3 JSON gateway protocol on loopback.
//
//   KeyValueStandin service("127.0.0.1:2379", timer, executor);
//   co_await service.Run(reason);
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_connection.h"
#include "wigeonwalk/adapters/key_value/etcd_codec.h"
#include "wigeonwalk/ports/signal.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wigeonwalk {

// Faults that POST /standin/fault injects; the request body is the name. A
// fault lasts until the next such request.
enum class KeyValueStandinFault
{
  None,
  // Requests have no effect; their connections are closed without an answer.
  Down,
  // Every request is handled after a delay of 2 s.
  Slow,
  // Writes take effect, but their connections are closed without an answer.
  LoseAnswers,
  // Watches stay open and report nothing.
  QuietWatches,
};

template<>
struct EnumNames<KeyValueStandinFault>
{
  static constexpr std::array<EnumName<KeyValueStandinFault>, 5> kTable{ {
    { KeyValueStandinFault::None, "none" },
    { KeyValueStandinFault::Down, "down" },
    { KeyValueStandinFault::Slow, "slow" },
    { KeyValueStandinFault::LoseAnswers, "lose-answers" },
    { KeyValueStandinFault::QuietWatches, "quiet-watches" },
  } };
};
static_assert(HasCompleteTable<KeyValueStandinFault>());

// One stand-in service. Runs on one I/O thread.
class KeyValueStandin
{
public:
  KeyValueStandin(std::string aAddress,
                  SystemTimer& aTimer,
                  boost::asio::any_io_executor aExecutor);

  // Serves until cancelled. Returns early with the reason if the address cannot
  // be used.
  Task<void> Run(FailureReason& aReason);

private:
  struct Lease
  {
    Duration timeToLive{ 0 };
    TimePoint expiresAt;
  };

  // The response to a request, and whether it is sent.
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
  KeyValueStandinFault fault = KeyValueStandinFault::None;
  std::int64_t revision = 0;
  LeaseId lastLease = 0;
  std::uint64_t calls = 0;
  std::map<std::string, KeyValueEntry> entries;
  std::vector<WatchEvent> history;
  std::map<LeaseId, Lease> leases;
  Signal changed;
};

} // namespace wigeonwalk
