// A stand-in for a store host: a small HTTP server on loopback that applies the
// rules of cache/piece_table and keeps the bytes in memory.
//
//   StoreStandin store(settings, timer, executor);
//   co_await store.Run(reason);
#pragma once

#include "wigeonwalk/adapters/clock/system_timer.h"
#include "wigeonwalk/adapters/http/http_connection.h"
#include "wigeonwalk/cache/piece_table.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace wigeonwalk {

// Settings of a stand-in store host. Link rates are in bytes per second.
struct StoreStandinSettings
{
  UpstreamId id;
  std::string address;
  StoreSpace space{ 64 * 1024 * 1024, 256 * 1024 * 1024 };
  double memoryLinkRate = 1e8;
  double diskLinkRate = 1e7;
};

// Faults that POST /standin/fault injects; the request body is the name. A
// fault lasts until the next such request.
enum class StoreFault
{
  None,
  // Reads return corrupted bytes.
  WrongBytes,
  // Reservations fail for lack of space.
  Full,
  // Transfers run at a tenth of the link rates.
  SlowLinks,
  // All pieces are lost and the incarnation changes, as after a restart.
  Restart,
};

template<>
struct EnumNames<StoreFault>
{
  static constexpr std::array<EnumName<StoreFault>, 5> kTable{ {
    { StoreFault::None, "none" },
    { StoreFault::WrongBytes, "wrong-bytes" },
    { StoreFault::Full, "full" },
    { StoreFault::SlowLinks, "slow-links" },
    { StoreFault::Restart, "restart" },
  } };
};
static_assert(HasCompleteTable<StoreFault>());

// One stand-in store host. Runs on one I/O thread.
class StoreStandin
{
public:
  StoreStandin(StoreStandinSettings aSettings,
               SystemTimer& aTimer,
               boost::asio::any_io_executor aExecutor);

  // Serves until cancelled. Returns early with the reason if the address cannot
  // be used.
  Task<void> Run(FailureReason& aReason);

private:
  Task<void> ServeConnection(HttpConnection aConnection);
  Task<HttpResponse> TransferBytes(const HttpRequest& aRequest);
  HttpResponse Answer(const HttpRequest& aRequest);
  HttpResponse Reserve(const std::string& aBody);
  HttpResponse Seal(const std::string& aBody);
  HttpResponse Acquire(const std::string& aBody);
  HttpResponse Release(const std::string& aBody);
  HttpResponse Free(const std::string& aBody);
  HttpResponse SetFault(const std::string& aBody);
  void Restart();

  StoreStandinSettings settings;
  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  std::uint32_t incarnation;
  std::optional<PieceTable> table;
  StoreFault fault = StoreFault::None;
  // Contents of the pieces by generation.
  std::unordered_map<std::uint64_t, std::string> bytes;
  std::unordered_map<std::uint64_t, WriteReservation> tickets;
  // When the link of each tier finishes its last queued transfer.
  TimePoint memoryFreeAt;
  TimePoint diskFreeAt;
};

} // namespace wigeonwalk
