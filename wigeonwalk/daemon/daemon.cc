#include "wigeonwalk/daemon/daemon.h"

#include "wigeonwalk/adapters/cpu/cpu_pool.h"
#include "wigeonwalk/adapters/directory/directory_msgpack.h"
#include "wigeonwalk/adapters/http/descriptor_limit.h"
#include "wigeonwalk/adapters/http/http_listener.h"
#include "wigeonwalk/adapters/limits/limit_msgpack.h"
#include "wigeonwalk/adapters/metrics/request_metrics_recorder.h"
#include "wigeonwalk/adapters/openai/caller_session.h"
#include "wigeonwalk/adapters/upstreams/http_upstreams.h"
#include "wigeonwalk/daemon/cluster.h"
#include "wigeonwalk/daemon/event_recorder.h"
#include "wigeonwalk/daemon/operator_endpoint.h"
#include "wigeonwalk/serving/request_path.h"
#include "wigeonwalk/serving/upstream_observer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <utility>

namespace wigeonwalk {

namespace asio = boost::asio;

namespace {

// Connections to upstreams are closed when idle for this time.
constexpr Duration kMaxIdleConnection = std::chrono::seconds(5);

// Interval at which the documents are checked for new engines.
constexpr Duration kDocumentCheck = std::chrono::milliseconds(500);

// Interval at which a stopping daemon checks whether its requests have ended.
constexpr Duration kDrainPoll = std::chrono::milliseconds(50);

using DaemonDirectory =
  DirectoryService<PeerTransport, AsioSpawner, SystemTimer, DirectoryMsgpack>;
using DaemonMover =
  CacheMover<SystemTimer, HttpUpstreams, DaemonDirectory, EventRecorder>;
using DaemonExporter = CacheExporter<DaemonMover, HttpUpstreams>;
using DaemonRunContext = RunContext<SystemTimer,
                                    HttpUpstreams,
                                    DaemonMover,
                                    EventRecorder,
                                    RequestMetricsRecorder,
                                    CpuPool>;
using DaemonClaimLog = ClaimLog<DaemonKeyValue::Handle, SystemTimer>;
using DaemonClaims = ClaimService<DaemonKeyValue::Handle, SystemTimer>;
using DaemonLimits = LimitEnforcer<PeerTransport, SystemTimer, LimitMsgpack>;
using DaemonRequestPath = RequestPath<Cluster,
                                      DaemonRunContext,
                                      HttpUpstreams,
                                      DaemonClaims,
                                      DaemonLimits>;

HttpLimits
LimitsOf(const CallerLimits& aLimits)
{
  HttpLimits limits;
  limits.headerBytes = aLimits.headerBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.readTimeout = aLimits.readTimeout;
  return limits;
}

// Bytes of each request that don't count toward the memory of all.
constexpr std::size_t kUncountedRequestBytes = 8 * 1024;

// One request of the largest size always fits.
std::size_t
MaxRequestBytes(const CallerLimits& aLimits)
{
  return std::max<std::size_t>(aLimits.requestBytes,
                               kRequestBodyCopies * aLimits.bodyBytes +
                                 kMaxReadBufferBytes + aLimits.headerBytes);
}

// Leaves a quarter of the descriptors to everything but callers.
std::size_t
MaxConnections(const CallerLimits& aLimits)
{
  const std::size_t descriptors = DescriptorLimit();
  return std::max<std::size_t>(
    std::min<std::size_t>(aLimits.connections, descriptors - descriptors / 4),
    1);
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
    , incarnation(
        static_cast<std::uint64_t>(timer.Now().time_since_epoch().count()))
    , pool(timer, aContext.get_executor(), kMaxIdleConnection)
    , upstreams(pool)
    , log(std::in_place,
          settings.host,
          LogLevelOf(settings.logLevel),
          std::clog)
    , events(timer, hybridClock, settings, *log)
    , measures(metrics)
    , workers(settings.workerThreads)
    , daemonState(settings.host,
                  settings.zone,
                  incarnation,
                  ReadFile(settings.clusterKeyFile))
    , gateway(pool, settings.keyValueAddresses)
    , keyValue(gateway, timer, KeyValueClientSettings{ .seed = incarnation })
    , cluster({ aContext.get_executor(),
                timer,
                settings,
                keyValue,
                daemonState,
                events,
                hybridClock,
                incarnation })
    , directory(daemonState.cache,
                cluster.Members(),
                cluster.Channel(),
                cluster.Spawner(),
                timer,
                directoryCodec,
                hybridClock)
    , mover(daemonState.cache, timer, upstreams, directory, events)
    , exporter(mover, upstreams, daemonState.returns)
    , runContext{ timer,  upstreams, mover,   exporter,
                  events, measures,  workers, daemonState }
    , claimCalls(keyValue.For(KeyValueUser::Claims))
    , claimLog(claimCalls,
               timer,
               aContext.get_executor(),
               settings.host,
               incarnation)
    , claims(claimLog, timer)
    , limits(cluster.Members(),
             cluster.Channel(),
             timer,
             limitCodec,
             hybridClock,
             [this](const LimitKey& aKey) { return this->LimitsOf(aKey); })
    , requestPath(cluster, runContext, upstreams, claims, limits)
    , operatorEndpoint(this->OperatorDependencies())
  {
    this->callerContext.nextRequestId = [this] {
      return RequestId(this->settings.host.Text() + '-' +
                       std::to_string(this->incarnation) + '-' +
                       std::to_string(++this->lastRequestNumber));
    };
    this->callerContext.healthy = [this] { return this->Healthy(); };
    this->callerContext.openRequests = &this->openRequests;
    this->callerContext.requestMemory = std::make_shared<MessageMemory>(
      MaxRequestBytes(this->settings.callerLimits), kUncountedRequestBytes, 0);
    this->callerContext.stopping = [this] { return this->stopping; };
    this->cluster.SetForwardHandler(
      [this](const ForwardedCall& aCall) { return this->Answer(aCall); });
  }

  bool Healthy() const
  {
    return !this->stopping &&
           this->cluster.CurrentFreshness() == Freshness::Serve;
  }

  OperatorEndpoint::Dependencies OperatorDependencies()
  {
    return { this->context.get_executor(),
             this->timer,
             this->settings,
             this->cluster,
             this->keyValue,
             this->daemonState,
             this->events,
             this->metrics,
             this->incarnation,
             [this] { return this->openRequests; },
             [this] { return this->stopping; },
             [this] { return this->Healthy(); },
             [this](std::optional<Duration> aTimeout) {
               this->BeginStop(aTimeout);
             } };
  }

  // Returns the limits of an organisation in the document in force.
  std::optional<LimitAmounts> LimitsOf(const LimitKey& aKey) const
  {
    const auto accepted = this->cluster.Find(aKey.service);
    if (accepted) {
      for (const auto& organisation : accepted->document.organisations) {
        if (organisation.id == aKey.organisation) {
          return AmountsOf(organisation.limits);
        }
      }
    }
    return std::nullopt;
  }

  // Answers a call that another daemon forwards to this one.
  std::optional<ForwardedAnswer> Answer(const ForwardedCall& aCall)
  {
    if (aCall.kind == ForwardedKind::DemandReport) {
      return this->limits.OnCall(aCall);
    }
    const bool forDirectory = aCall.kind == ForwardedKind::DirectoryLookup ||
                              aCall.kind == ForwardedKind::DirectoryUpdate;
    return forDirectory ? this->directory.OnCall(aCall) : std::nullopt;
  }

  Task<void> AcceptCallers(HttpListener& aListener)
  {
    FailureReason closed;
    const std::size_t most = MaxConnections(this->settings.callerLimits);
    while (auto connection = co_await aListener.Accept(closed)) {
      if (this->callerContext.connections < most ||
          this->callerContext.idle.CloseLongest()) {
        asio::co_spawn(this->context,
                       this->ServeConnection(std::move(*connection)),
                       asio::detached);
      }
    }
  }

  Task<void> ServeConnection(HttpConnection aConnection)
  {
    co_await ServeCaller(
      std::move(aConnection), this->requestPath, this->callerContext);
  }

  // Keeps one observer task for each engine of each service in force. Runs
  // until the context stops.
  Task<void> ObserveUpstreams()
  {
    while (true) {
      for (const auto& accepted : this->cluster.AllInForce()) {
        this->Observe(accepted->document);
      }
      co_await this->timer.WaitUntil(this->timer.Now() + kDocumentCheck);
    }
  }

  void Observe(const ServiceDocument& aDocument)
  {
    if (aDocument.kind != ServiceKind::Engine) {
      return;
    }
    for (const RunnerSpec& runner : aDocument.runners) {
      const std::string task =
        aDocument.name.Text() + ' ' + runner.id.Text() + ' ' + runner.address;
      if (this->observedRunners.insert(task).second) {
        asio::co_spawn(this->context,
                       this->ObserveRunner(task, runner, aDocument.name),
                       asio::detached);
      }
    }
  }

  Task<void> ObserveRunner(std::string aTask,
                           RunnerSpec aRunner,
                           ServiceName aService)
  {
    co_await ObserveEngine(std::move(aRunner),
                           std::move(aService),
                           this->cluster,
                           this->upstreams,
                           this->daemonState,
                           this->timer);
    this->observedRunners.erase(aTask);
  }

  // Begins a graceful stop, or brings the deadline of a running one closer.
  void BeginStop(std::optional<Duration> aTimeout)
  {
    const TimePoint now = this->timer.Now();
    const TimePoint last =
      now + aTimeout.value_or(this->settings.stop.drainTimeout);
    this->drainUntil = this->stopping ? std::min(this->drainUntil, last) : last;
    if (!this->stopping) {
      this->stopping = true;
      asio::co_spawn(this->context, this->Drain(), asio::detached);
    }
  }

  // Drains the daemon, whose health check already fails: serves new requests
  // until the load balancer has had time to notice, then leaves the cluster,
  // closes the listener and waits until no request is open or the deadline has
  // passed.
  Task<void> Drain()
  {
    const TimePoint start = this->timer.Now();
    this->RecordStop(EventKind::StopRequested,
                     std::to_string(this->openRequests) + " requests open");
    co_await this->timer.WaitUntil(
      std::min(start + this->settings.stop.balancerDelay, this->drainUntil));
    this->cluster.Leave();
    this->listener->Close();
    while (this->openRequests > 0 && this->timer.Now() < this->drainUntil) {
      co_await this->timer.WaitUntil(this->timer.Now() + kDrainPoll);
    }
    this->RecordStop(
      EventKind::StopFinished,
      std::to_string(this->openRequests) + " requests cut off, " +
        std::to_string(ToSeconds(this->timer.Now() - start)) + " s");
    this->context.stop();
  }

  void RecordStop(EventKind aKind, std::string aDetail)
  {
    this->events.Record({ aKind,
                          this->timer.Now(),
                          RequestId(),
                          this->settings.host.Text(),
                          std::nullopt,
                          std::move(aDetail) });
  }

  asio::io_context& context;
  DaemonSettings settings;
  SystemTimer timer;
  std::uint64_t incarnation;
  HybridClock hybridClock;
  HttpPool pool;
  HttpUpstreams upstreams;
  // Empty after FlushLog.
  std::optional<Log> log;
  EventRecorder events;
  Metrics metrics;
  RequestMetricsRecorder measures;
  CpuPool workers;
  DaemonState daemonState;
  EtcdGateway gateway;
  DaemonKeyValue keyValue;
  Cluster cluster;
  DirectoryMsgpack directoryCodec;
  DaemonDirectory directory;
  DaemonMover mover;
  DaemonExporter exporter;
  DaemonRunContext runContext;
  DaemonKeyValue::Handle claimCalls;
  DaemonClaimLog claimLog;
  DaemonClaims claims;
  LimitMsgpack limitCodec;
  DaemonLimits limits;
  DaemonRequestPath requestPath;
  OperatorEndpoint operatorEndpoint;
  CallerContext callerContext;
  std::optional<HttpListener> listener;
  std::set<std::string> observedRunners;
  std::uint64_t lastRequestNumber = 0;
  std::uint64_t openRequests = 0;
  bool stopping = false;
  TimePoint drainUntil;
};

Daemon::Daemon(asio::io_context& aContext, DaemonSettings aSettings)
  : state(std::make_unique<State>(aContext, std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

bool
Daemon::Start(FailureReason& aReason)
{
  State& daemon = *this->state;
  if (!daemon.cluster.Start(aReason) ||
      !daemon.operatorEndpoint.Start(aReason)) {
    return false;
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
  asio::co_spawn(daemon.context, daemon.ObserveUpstreams(), asio::detached);
  asio::co_spawn(daemon.context, daemon.limits.RunReports(), asio::detached);
  return true;
}

void
Daemon::RequestStop()
{
  State& daemon = *this->state;
  if (daemon.stopping) {
    daemon.RecordStop(EventKind::StopFinished,
                      std::to_string(daemon.openRequests) +
                        " requests cut off by a second signal");
    daemon.context.stop();
    return;
  }
  daemon.BeginStop(std::nullopt);
}

void
Daemon::FlushLog()
{
  this->state->log.reset();
}

} // namespace wigeonwalk
