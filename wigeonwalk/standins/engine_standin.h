// A stand-in for a model engine: a small HTTP server on loopback that
// implements the protocol of adapters/engine and can inject faults.
//
//   EngineStandin engine(settings, timer, executor, pool);
//   co_await engine.Run(reason);
#pragma once

#include "wigeonwalk/adapters/http/http_listener.h"
#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/standins/engine_model.h"

#include <memory>
#include <set>
#include <string>

namespace wigeonwalk {

// Faults that POST /standin/fault injects; the request body is the name.
enum class EngineFault
{
  None,
  // Closes all connections and listens again after 1 s, with a new incarnation
  // and an empty cache.
  Crash,
  // Open streams stall without being closed; new streams work.
  SilentStreams,
  // Requests are refused before execution.
  Refuse,
};

template<>
struct EnumNames<EngineFault>
{
  static constexpr std::array<EnumName<EngineFault>, 4> kTable{ {
    { EngineFault::None, "none" },
    { EngineFault::Crash, "crash" },
    { EngineFault::SilentStreams, "silent-streams" },
    { EngineFault::Refuse, "refuse" },
  } };
};
static_assert(HasCompleteTable<EngineFault>());

// A prompt that contains this text crashes the stand-in that receives it.
inline constexpr std::string_view kPoisonMarker = "crash-the-engine";

// One stand-in engine. Runs on one I/O thread. The timer and pool must outlive
// it.
class EngineStandin
{
public:
  EngineStandin(EngineStandinSettings aSettings,
                SystemTimer& aTimer,
                boost::asio::any_io_executor aExecutor,
                HttpPool& aPool);

  // Serves until cancelled. Returns early with the reason if the address cannot
  // be used.
  Task<void> Run(FailureReason& aReason);

private:
  Task<void> ServeConnection(HttpConnection aConnection);
  Task<bool> ServeCompletion(HttpConnection& aConnection,
                             const HttpRequest& aRequest);
  Task<bool> WriteTokens(HttpConnection& aConnection,
                         const EngineRequest& aRequest,
                         const PrefillPlan& aPlan);
  Task<HttpResponse> Answer(const HttpRequest& aRequest);
  Task<HttpResponse> ApplyOrder(const HttpRequest& aRequest);
  Task<HttpResponse> MovePiece(const HttpRequest& aRequest, bool aExport);
  void Crash();

  EngineStandinSettings settings;
  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  HttpPool& pool;
  std::uint64_t incarnation;
  std::unique_ptr<EngineModel> model;
  std::optional<HttpListener> listener;
  std::set<HttpConnection*> connections;
  std::set<AttemptId> cancelled;
  EngineFault fault = EngineFault::None;
  // Incremented at each SilentStreams fault; streams opened before it stall.
  std::uint64_t silentStreamsFaults = 0;
  bool crashed = false;
};

} // namespace wigeonwalk
