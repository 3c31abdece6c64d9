#include "wigeonwalk/daemon/daemon.h"

#include "wigeonwalk/adapters/cpu/cpu_pool.h"
#include "wigeonwalk/adapters/key_value/etcd_gateway.h"
#include "wigeonwalk/adapters/openai/caller_session.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"
#include "wigeonwalk/adapters/upstreams/http_upstreams.h"
#include "wigeonwalk/daemon/event_recorder.h"
#include "wigeonwalk/serving/request_path.h"
#include "wigeonwalk/serving/upstream_observer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;

namespace {

// Idle connections to upstreams are closed after this time.
constexpr Duration kMaxIdleConnection = std::chrono::seconds(5);

// How often a stopping daemon looks whether its streams have ended.
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

// The documents in force, as read at the start.
class LoadedDocuments
{
public:
  void Put(AcceptedDocument aDocument)
  {
    const ServiceName name = aDocument.document.name;
    this->documents[name] =
      std::make_shared<const AcceptedDocument>(std::move(aDocument));
  }

  std::shared_ptr<const AcceptedDocument> Find(const ServiceName& aName) const
  {
    const auto found = this->documents.find(aName);
    return found == this->documents.end() ? nullptr : found->second;
  }

private:
  std::map<ServiceName, std::shared_ptr<const AcceptedDocument>> documents;
};

using DaemonMover = CacheMover<SystemTimer, HttpUpstreams, EventRecorder>;
using DaemonKeeper = CacheKeeper<DaemonMover, HttpUpstreams>;
using DaemonParts =
  RunParts<SystemTimer, HttpUpstreams, HttpUpstreams, EventRecorder, CpuPool>;
using DaemonClaimLog = ClaimLog<EtcdGateway, SystemTimer>;
using DaemonClaims = ClaimService<EtcdGateway, SystemTimer>;
using DaemonPath =
  RequestPath<LoadedDocuments, DaemonParts, HttpUpstreams, DaemonClaims>;

HttpLimits
LimitsOf(const CallerLimits& aLimits)
{
  HttpLimits limits;
  limits.headerBytes = aLimits.headerBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.readTimeout = aLimits.readTimeout;
  return limits;
}

LogLevel
LogLevelOf(const std::string& aName)
{
  return ParseName<LogLevel>(aName).value_or(LogLevel::Info);
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

struct Daemon::State
{
  State(asio::io_context& aContext, DaemonSettings aSettings)
    : context(aContext)
    , settings(std::move(aSettings))
    , timer(aContext.get_executor())
    , pool(timer, aContext.get_executor(), kMaxIdleConnection)
    , upstreams(pool)
    , log(settings.host, LogLevelOf(settings.logLevel), std::clog)
    , events(timer, settings, log)
    , workers(settings.workerThreads)
    , incarnation(
        static_cast<std::uint64_t>(timer.Now().time_since_epoch().count()))
    , view(settings.host,
           settings.zone,
           incarnation,
           ReadFile(settings.clusterKeyFile))
    , mover(view.cache, timer, upstreams, events)
    , keeper(mover, upstreams, view.returns)
    , parts{ timer, upstreams, mover, keeper, events, workers, view }
    , keyValue(pool, settings.keyValueAddresses)
    , claimLog(keyValue,
               timer,
               aContext.get_executor(),
               settings.host,
               incarnation)
    , claims(claimLog, timer)
    , path(documents, parts, upstreams, claims)
  {
    this->caller.nextRequestId = [this] {
      return RequestId(this->settings.host.Text() + '-' +
                       std::to_string(this->incarnation) + '-' +
                       std::to_string(++this->requests));
    };
    this->caller.healthy = [this] { return !this->stopping; };
  }

  Task<void> AcceptCallers(HttpListener& aListener)
  {
    LastReason closed;
    while (auto connection = co_await aListener.Accept(closed)) {
      asio::co_spawn(
        this->context, this->ServeOne(std::move(*connection)), asio::detached);
    }
  }

  Task<void> ServeOne(HttpConnection aConnection)
  {
    ++this->openConnections;
    co_await ServeCaller(std::move(aConnection), this->path, this->caller);
    --this->openConnections;
  }

  // Starts one task for each engine of the service.
  void Observe(const ServiceDocument& aDocument)
  {
    for (const RunnerSpec& runner : aDocument.runners) {
      asio::co_spawn(this->context,
                     ObserveEngine(runner,
                                   aDocument.name,
                                   this->documents,
                                   this->upstreams,
                                   this->view,
                                   this->timer),
                     asio::detached);
    }
  }

  Task<void> Drain()
  {
    this->stopping = true;
    const TimePoint start = this->timer.Now();
    co_await this->timer.WaitUntil(start + this->settings.stop.balancerDelay);
    this->listener->Close();
    const TimePoint last = start + this->settings.stop.drainTimeout;
    while (this->openConnections > 0 && this->timer.Now() < last) {
      co_await this->timer.WaitUntil(this->timer.Now() + kDrainPoll);
    }
    this->context.stop();
  }

  asio::io_context& context;
  DaemonSettings settings;
  SystemTimer timer;
  HttpPool pool;
  HttpUpstreams upstreams;
  LoadedDocuments documents;
  Log log;
  EventRecorder events;
  CpuPool workers;
  std::uint64_t incarnation;
  DaemonView view;
  DaemonMover mover;
  DaemonKeeper keeper;
  DaemonParts parts;
  EtcdGateway keyValue;
  DaemonClaimLog claimLog;
  DaemonClaims claims;
  DaemonPath path;
  CallerContext caller;
  std::optional<HttpListener> listener;
  std::uint64_t requests = 0;
  std::uint64_t openConnections = 0;
  bool stopping = false;
};

Daemon::Daemon(asio::io_context& aContext, DaemonSettings aSettings)
  : state(std::make_unique<State>(aContext, std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

bool
Daemon::Start(LastReason& aReason)
{
  State& daemon = *this->state;
  for (const std::string& file : daemon.settings.documentFiles) {
    std::vector<LastReason> reasons;
    const std::string text = ReadFile(file);
    auto document = ParseServiceDocument(text, reasons);
    if (!document) {
      aReason = reasons.front();
      aReason.place = file + ' ' + aReason.place;
      return false;
    }
    daemon.documents.Put({ 1, "file", text, *document });
    if (document->kind == ServiceKind::Engine) {
      daemon.Observe(*document);
    }
  }
  daemon.listener = HttpListener::Open(daemon.context.get_executor(),
                                       daemon.settings.entryAddress,
                                       LimitsOf(daemon.settings.callerLimits),
                                       aReason);
  if (!daemon.listener) {
    return false;
  }
  asio::co_spawn(
    daemon.context, daemon.AcceptCallers(*daemon.listener), asio::detached);
  return true;
}

void
Daemon::RequestStop()
{
  State& daemon = *this->state;
  if (daemon.stopping) {
    daemon.context.stop();
    return;
  }
  asio::co_spawn(daemon.context, daemon.Drain(), asio::detached);
}

} // namespace wigeonwalk
