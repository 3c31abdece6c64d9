#include "wigeonwalk/daemon/operator_endpoint.h"

#include "wigeonwalk/adapters/http/http_adopt.h"
#include "wigeonwalk/adapters/openai/caller_session.h"
#include "wigeonwalk/adapters/operator_api/operator_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace wigeonwalk {

namespace {

// Time limits of an operator's edit and of a read of a document's history.
constexpr Duration kApplyTimeout = std::chrono::seconds(5);
constexpr Duration kReadTimeout = std::chrono::seconds(2);

} // namespace

// Satisfies OperatedDaemon.
struct OperatorEndpoint::State
{
  explicit State(Dependencies aDependencies)
    : dependencies(std::move(aDependencies))
    , server(dependencies.executor)
  {
  }

  StatusReport Status()
  {
    const DaemonSettings& settings = this->dependencies.settings;
    StatusReport report;
    report.host = settings.host;
    report.zone = settings.zone;
    report.region = settings.region;
    report.incarnation = this->dependencies.incarnation;
    report.state = this->CurrentState();
    report.keyValueAvailable = this->dependencies.keyValue.IsAvailable();
    report.requestsOpen = this->dependencies.requestsOpen();
    report.members = this->dependencies.cluster.Members().Snapshot();
    for (const auto& document : this->dependencies.cluster.AllInForce()) {
      report.documents.push_back(
        { document->document.name, document->revision, this->ConfirmedAge() });
    }
    return report;
  }

  ServingState CurrentState() const
  {
    if (this->dependencies.stopping()) {
      return ServingState::Stopping;
    }
    return MayServe(this->dependencies.cluster.CurrentFreshness())
             ? ServingState::Serving
             : ServingState::Isolated;
  }

  std::optional<Duration> ConfirmedAge() const
  {
    const auto confirmed = this->dependencies.cluster.ConfirmedAt();
    if (!confirmed) {
      return std::nullopt;
    }
    return std::chrono::floor<std::chrono::seconds>(
      this->dependencies.timer.Now() - *confirmed);
  }

  std::optional<DocumentCopy> Document(const ServiceName& aService,
                                       std::uint64_t aRevision,
                                       FailureReason& aReason)
  {
    const auto document = this->dependencies.cluster.Find(aService);
    if (!document || (aRevision != 0 && aRevision != document->revision)) {
      return Fail(aReason,
                  ReasonCode::NotFound,
                  "no such document or revision in force here",
                  "/params/service");
    }
    return DocumentCopy{
      aService, document->revision, document->editId, document->text
    };
  }

  Task<EditResult> Apply(DocumentEdit aEdit)
  {
    const TimePoint deadline = this->dependencies.timer.Now() + kApplyTimeout;
    co_return co_await this->dependencies.cluster.Accept(std::move(aEdit),
                                                         deadline);
  }

  Task<std::optional<std::vector<EditRecord>>> History(
    const ServiceName& aService,
    FailureReason& aReason)
  {
    const TimePoint deadline = this->dependencies.timer.Now() + kReadTimeout;
    co_return co_await this->dependencies.cluster.History(
      aService, deadline, aReason);
  }

  std::vector<StampedEvent> Events(const RequestId& aRequest)
  {
    return this->dependencies.events.Ring().Events(aRequest);
  }

  std::uint64_t DroppedEvents()
  {
    return this->dependencies.events.Ring().Dropped();
  }

  std::vector<std::string> Explain(const RequestId& aRequest)
  {
    return this->dependencies.daemonState.explain.Find(aRequest);
  }

  std::uint64_t Drain(std::optional<Duration> aTimeout)
  {
    this->dependencies.drain(aTimeout);
    return this->dependencies.requestsOpen();
  }

  // Serves /metrics and /health on a connection that speaks HTTP.
  Task<> ServeHttp(boost::asio::ip::tcp::socket aSocket)
  {
    HttpConnection connection = AdoptConnection(std::move(aSocket), {});
    bool open = true;
    while (open) {
      FailureReason reason;
      const auto request = co_await connection.ReadRequest(reason);
      if (!request) {
        co_return;
      }
      HttpResponse response;
      if (request->target == "/metrics") {
        this->SetGauges();
        response.headers.push_back(
          { "Content-Type", "text/plain; version=0.0.4" });
        response.body = this->dependencies.metrics.Print();
      } else if (request->target == "/health") {
        response = HealthResponse(this->dependencies.healthy());
      } else {
        response.status = 404;
      }
      const bool keepAlive = request->keepAlive;
      const bool written =
        co_await connection.WriteResponse(std::move(response), keepAlive);
      open = written && keepAlive;
    }
  }

  void SetGauges()
  {
    Metrics& metrics = this->dependencies.metrics;
    metrics.Set(Metric::RequestsOpen,
                static_cast<double>(this->dependencies.requestsOpen()));
    metrics.Set(
      Metric::MembersAlive,
      static_cast<double>(this->dependencies.cluster.Members().LiveCount()));
    metrics.Set(Metric::ControlBytes,
                static_cast<double>(
                  this->dependencies.cluster.Channel().Counters().bytesSent));
    const KeyValueClientCounts& calls = this->dependencies.keyValue.Counts();
    for (const auto& row : EnumNames<KeyValueUser>::kTable) {
      metrics.Set(
        Metric::KeyValueCalls,
        static_cast<double>(calls.sent[static_cast<std::size_t>(row.value)]),
        { {}, {}, std::string(row.name) });
    }
    for (const auto& document : this->dependencies.cluster.AllInForce()) {
      metrics.Set(Metric::DocumentRevision,
                  static_cast<double>(document->revision),
                  { document->document.name, {}, {} });
    }
    metrics.Set(
      Metric::EventsDropped,
      static_cast<double>(this->dependencies.events.Ring().Dropped()));
  }

  Dependencies dependencies;
  OperatorServer server;
};

OperatorEndpoint::OperatorEndpoint(Dependencies aDependencies)
  : state(std::make_unique<State>(std::move(aDependencies)))
{
}

OperatorEndpoint::~OperatorEndpoint() = default;

bool
OperatorEndpoint::Start(FailureReason& aReason)
{
  State& endpoint = *this->state;
  if (endpoint.dependencies.settings.operatorAddress.empty()) {
    return true;
  }
  RegisterOperatorCalls(endpoint.server, endpoint);
  endpoint.server.SetFallbackHandler(
    [&endpoint](boost::asio::ip::tcp::socket aSocket) {
      return endpoint.ServeHttp(std::move(aSocket));
    });
  if (!endpoint.server.Listen(endpoint.dependencies.settings.operatorAddress,
                              aReason)) {
    return false;
  }
  boost::asio::co_spawn(endpoint.dependencies.executor,
                        endpoint.server.Run(),
                        boost::asio::detached);
  return true;
}

} // namespace wigeonwalk
