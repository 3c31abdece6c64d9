// A stand-in for a model engine: a small HTTP server on loopback that speaks
// the protocol of adapters/engine, with faults on demand.
//
//   EngineStandin engine(settings, timer, executor, pool);
//   co_await engine.Run(reason);
#pragma once

#include "wigeonwalk/adapters/http/http_client.h"
#include "wigeonwalk/adapters/http/http_server.h"
#include "wigeonwalk/standins/engine_model.h"

#include <memory>
#include <set>
#include <string>

namespace wigeonwalk {

// Faults that a stand-in engine can be told to show, by POST /standin/fault
// with the name as the body.
enum class EngineFault
{
  None,
  // Ends all connections and listens again a second later, with a new
  // incarnation and an empty cache.
  Crash,
  // Open streams send nothing more and stay open; new ones work.
  SilentStreams,
  // Requests are refused before they run.
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

// A prompt that contains this text crashes the stand-in that runs it.
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

  // Listens until cancelled. Returns early with the reason where the address
  // cannot be used.
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
  // Rises at each SilentStreams fault; streams opened before it stay silent.
  std::uint64_t silences = 0;
  bool crashed = false;
};

} // namespace wigeonwalk
