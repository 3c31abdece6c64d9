#include "wigeonwalk/daemon/operator_face.h"

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
struct OperatorFace::State
{
  explicit State(Parts aParts)
    : parts(std::move(aParts))
    , server(parts.executor)
  {
  }

  StatusReport Status()
  {
    const DaemonSettings& settings = this->parts.settings;
    StatusReport report;
    report.host = settings.host;
    report.zone = settings.zone;
    report.region = settings.region;
    report.incarnation = this->parts.incarnation;
    report.state = this->CurrentState();
    report.keyValueAvailable = this->parts.keyValue.IsAvailable();
    report.requestsOpen = this->parts.requestsOpen();
    report.members = this->parts.cluster.Members().Snapshot();
    for (const auto& document : this->parts.cluster.AllInForce()) {
      report.documents.push_back(
        { document->document.name, document->revision, this->ConfirmedAge() });
    }
    return report;
  }

  ServingState CurrentState() const
  {
    if (this->parts.stopping()) {
      return ServingState::Stopping;
    }
    return MayServe(this->parts.cluster.CurrentFreshness())
             ? ServingState::Serving
             : ServingState::Isolated;
  }

  std::optional<Duration> ConfirmedAge() const
  {
    const auto confirmed = this->parts.cluster.ConfirmedAt();
    if (!confirmed) {
      return std::nullopt;
    }
    return std::chrono::floor<std::chrono::seconds>(this->parts.timer.Now() -
                                                    *confirmed);
  }

  std::optional<DocumentCopy> Document(const ServiceName& aService,
                                       std::uint64_t aRevision,
                                       FailureReason& aReason)
  {
    const auto document = this->parts.cluster.Find(aService);
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
    const TimePoint deadline = this->parts.timer.Now() + kApplyTimeout;
    co_return co_await this->parts.cluster.Accept(std::move(aEdit), deadline);
  }

  Task<std::optional<std::vector<EditRecord>>> History(
    const ServiceName& aService,
    FailureReason& aReason)
  {
    const TimePoint deadline = this->parts.timer.Now() + kReadTimeout;
    co_return co_await this->parts.cluster.History(aService, deadline, aReason);
  }

  std::vector<StampedEvent> Events(const RequestId& aRequest)
  {
    return this->parts.events.Ring().Events(aRequest);
  }

  std::uint64_t DroppedEvents() { return this->parts.events.Ring().Dropped(); }

  std::vector<std::string> Explain(const RequestId& aRequest)
  {
    return this->parts.view.explain.Find(aRequest);
  }

  std::uint64_t Drain(std::optional<Duration> aTimeout)
  {
    this->parts.drain(aTimeout);
    return this->parts.requestsOpen();
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
        response.body = this->parts.metrics.Print();
      } else if (request->target == "/health") {
        response = HealthResponse(this->parts.healthy());
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
    Metrics& metrics = this->parts.metrics;
    metrics.Set(Metric::RequestsOpen,
                static_cast<double>(this->parts.requestsOpen()));
    metrics.Set(Metric::MembersAlive,
                static_cast<double>(this->parts.cluster.Members().LiveCount()));
    metrics.Set(
      Metric::ControlBytes,
      static_cast<double>(this->parts.cluster.Channel().Counters().bytesSent));
    const KeyValueClientCounts& calls = this->parts.keyValue.Counts();
    for (const auto& row : EnumNames<KeyValueUser>::kTable) {
      metrics.Set(
        Metric::KeyValueCalls,
        static_cast<double>(calls.sent[static_cast<std::size_t>(row.value)]),
        { {}, {}, std::string(row.name) });
    }
    for (const auto& document : this->parts.cluster.AllInForce()) {
      metrics.Set(Metric::DocumentRevision,
                  static_cast<double>(document->revision),
                  { document->document.name, {}, {} });
    }
    metrics.Set(Metric::EventsDropped,
                static_cast<double>(this->parts.events.Ring().Dropped()));
  }

  Parts parts;
  OperatorServer server;
};

OperatorFace::OperatorFace(Parts aParts)
  : state(std::make_unique<State>(std::move(aParts)))
{
}

OperatorFace::~OperatorFace() = default;

bool
OperatorFace::Start(FailureReason& aReason)
{
  State& face = *this->state;
  if (face.parts.settings.operatorAddress.empty()) {
    return true;
  }
  RegisterOperatorCalls(face.server, face);
  face.server.SetOtherProtocol([&face](boost::asio::ip::tcp::socket aSocket) {
    return face.ServeHttp(std::move(aSocket));
  });
  if (!face.server.Listen(face.parts.settings.operatorAddress, aReason)) {
    return false;
  }
  boost::asio::co_spawn(
    face.parts.executor, face.server.Run(), boost::asio::detached);
  return true;
}

} // namespace wigeonwalk
