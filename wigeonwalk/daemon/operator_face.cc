#include "wigeonwalk/daemon/operator_face.h"

#include "wigeonwalk/adapters/http/http_adopt.h"
#include "wigeonwalk/adapters/jsonrpc/operator_server.h"
#include "wigeonwalk/adapters/openai/caller_session.h"
#include "wigeonwalk/adapters/settings/duration_text.h"
#include "wigeonwalk/adapters/timeline/stamped_event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

// Longest time that an operator's edit may take.
constexpr Duration kApplyTimeout = std::chrono::seconds(5);
constexpr Duration kReadTimeout = std::chrono::seconds(2);

// Returns a text parameter, or an empty one.
std::string
TextOf(const Json& aParams, const char* aName)
{
  const auto found = aParams.find(aName);
  return found != aParams.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::optional<Json>
ParseParams(const std::string& aText, LastReason& aReason)
{
  Json params = Json::parse(aText, nullptr, false);
  if (!params.is_object()) {
    return Fail(
      aReason, ReasonCode::InvalidArgument, "expected an object", "params");
  }
  return params;
}

Json
DocumentToJson(const AcceptedDocument& aDocument)
{
  return { { "service", aDocument.document.name.Text() },
           { "revision", aDocument.revision },
           { "editId", aDocument.editId },
           { "text", aDocument.text } };
}

} // namespace

struct OperatorFace::State
{
  explicit State(Parts aParts)
    : parts(std::move(aParts))
    , server(parts.executor)
  {
  }

  // Registers a method that answers with a member function.
  template<typename Method>
  void Add(const char* aName, Method aMethod)
  {
    this->server.Register(
      aName,
      [this, aMethod](std::string aParams,
                      LastReason& aReason) -> Task<std::optional<std::string>> {
        const auto params = ParseParams(aParams, aReason);
        if (!params) {
          co_return std::nullopt;
        }
        const std::optional<Json> result =
          co_await (this->*aMethod)(*params, aReason);
        if (!result) {
          co_return std::nullopt;
        }
        co_return result->dump(-1, ' ', false, Json::error_handler_t::replace);
      });
  }

  Task<std::optional<Json>> Status(const Json&, LastReason&)
  {
    const Freshness freshness = this->parts.cluster.CurrentFreshness();
    std::string name = MayServe(freshness) ? "serving" : "isolated";
    if (this->parts.stopping()) {
      name = "stopping";
    }
    Json members = Json::array();
    for (const MemberUpdate& member :
         this->parts.cluster.Members().Snapshot()) {
      members.push_back({ { "host", member.host.Text() },
                          { "zone", member.zone.Text() },
                          { "state", std::string(NameOf(member.state)) } });
    }
    Json documents = Json::array();
    for (const auto& document : this->parts.cluster.AllInForce()) {
      documents.push_back({ { "service", document->document.name.Text() },
                            { "revision", document->revision },
                            { "confirmed", this->ConfirmedAge() } });
    }
    const DaemonSettings& settings = this->parts.settings;
    co_return Json{ { "host", settings.host.Text() },
                    { "zone", settings.zone.Text() },
                    { "region", settings.region },
                    { "incarnation", this->parts.incarnation },
                    { "state", name },
                    { "keyValue",
                      this->parts.keyValue.IsAvailable() ? "available"
                                                         : "unavailable" },
                    { "requestsOpen", this->parts.requestsOpen() },
                    { "members", std::move(members) },
                    { "documents", std::move(documents) } };
  }

  std::string ConfirmedAge() const
  {
    const auto confirmed = this->parts.cluster.ConfirmedAt();
    if (!confirmed) {
      return "never";
    }
    const Duration age = this->parts.timer.Now() - *confirmed;
    return PrintDurationText(std::chrono::floor<std::chrono::seconds>(age));
  }

  Task<std::optional<Json>> DocumentsGet(const Json& aParams,
                                         LastReason& aReason)
  {
    const ServiceName service(TextOf(aParams, "service"));
    const auto document = this->parts.cluster.Find(service);
    const std::uint64_t wanted = aParams.value("revision", std::uint64_t{ 0 });
    if (!document || (wanted != 0 && wanted != document->revision)) {
      co_return Fail(aReason,
                     ReasonCode::NotFound,
                     "no such document or revision in force here",
                     "service");
    }
    co_return DocumentToJson(*document);
  }

  Task<std::optional<Json>> DocumentsApply(const Json& aParams,
                                           LastReason& aReason)
  {
    DocumentEdit edit;
    edit.service = ServiceName(TextOf(aParams, "service"));
    edit.editId = TextOf(aParams, "editId");
    edit.author = TextOf(aParams, "author");
    edit.baseRevision = aParams.value("baseRevision", std::uint64_t{ 0 });
    edit.text = TextOf(aParams, "text");
    if (edit.service.Empty() || edit.editId.empty()) {
      co_return Fail(aReason,
                     ReasonCode::InvalidArgument,
                     "expected service and editId",
                     edit.service.Empty() ? "service" : "editId");
    }
    const TimePoint deadline = this->parts.timer.Now() + kApplyTimeout;
    const EditResult result =
      co_await this->parts.cluster.Accept(std::move(edit), deadline);
    if (result.outcome == EditOutcome::Refused) {
      aReason = result.reasons.empty()
                  ? LastReason{ ReasonCode::Conflict, {}, {} }
                  : result.reasons.front();
      for (std::size_t i = 1; i < result.reasons.size(); ++i) {
        aReason.detail += "; " + result.reasons[i].ToString();
      }
      if (!result.difference.empty()) {
        aReason.detail += '\n' + result.difference;
      }
      co_return std::nullopt;
    }
    co_return Json{ { "outcome", std::string(NameOf(result.outcome)) },
                    { "revision", result.revision } };
  }

  Task<std::optional<Json>> DocumentsHistory(const Json& aParams,
                                             LastReason& aReason)
  {
    const ServiceName service(TextOf(aParams, "service"));
    const auto history = co_await this->parts.cluster.History(
      service, this->parts.timer.Now() + kReadTimeout, aReason);
    if (!history) {
      co_return std::nullopt;
    }
    Json entries = Json::array();
    for (auto edit = history->rbegin(); edit != history->rend(); ++edit) {
      entries.push_back(
        { { "revision", edit->revision },
          { "editId", edit->editId },
          { "author", edit->author },
          { "acceptedAt", edit->acceptedAt.time_since_epoch().count() } });
    }
    co_return Json{ { "service", service.Text() },
                    { "entries", std::move(entries) } };
  }

  Task<std::optional<Json>> DocumentsStatus(const Json& aParams, LastReason&)
  {
    const std::string wanted = TextOf(aParams, "service");
    Json services = Json::array();
    for (const auto& document : this->parts.cluster.AllInForce()) {
      const std::string& name = document->document.name.Text();
      if (!wanted.empty() && wanted != name) {
        continue;
      }
      Json here{ { "host", this->parts.settings.host.Text() },
                 { "revision", document->revision },
                 { "confirmed", this->ConfirmedAge() } };
      services.push_back({ { "service", name },
                           { "daemons", Json::array({ std::move(here) }) } });
    }
    co_return Json{ { "services", std::move(services) } };
  }

  Task<std::optional<Json>> Timeline(const Json& aParams, LastReason&)
  {
    const RequestId request(TextOf(aParams, "request"));
    const auto events = this->parts.events.Ring().Events(request);
    co_return Json{ { "events", Json::parse(PrintTimelineJson(events)) },
                    { "dropped", this->parts.events.Ring().Dropped() } };
  }

  Task<std::optional<Json>> Explain(const Json& aParams, LastReason& aReason)
  {
    const std::string request = TextOf(aParams, "request");
    const auto lines = this->parts.view.explain.Find(RequestId(request));
    if (lines.empty()) {
      co_return Fail(aReason,
                     ReasonCode::NotFound,
                     "this daemon did not place the request or no longer keeps "
                     "its placement",
                     "request");
    }
    co_return Json{ { "request", request }, { "lines", lines } };
  }

  Task<std::optional<Json>> Drain(const Json& aParams, LastReason& aReason)
  {
    const std::string text = TextOf(aParams, "timeout");
    const auto timeout = ParseDurationText(text);
    if (!text.empty() && !timeout) {
      co_return Fail(aReason,
                     ReasonCode::InvalidArgument,
                     "expected a duration such as \"30s\"",
                     "timeout");
    }
    this->parts.drain(timeout);
    co_return Json{ { "requestsOpen", this->parts.requestsOpen() } };
  }

  // Serves /metrics and /health on a connection that speaks HTTP.
  Task<> ServeHttp(boost::asio::ip::tcp::socket aSocket)
  {
    HttpConnection connection = AdoptConnection(std::move(aSocket), {});
    bool open = true;
    while (open) {
      LastReason reason;
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
OperatorFace::Start(LastReason& aReason)
{
  State& face = *this->state;
  if (face.parts.settings.operatorAddress.empty()) {
    return true;
  }
  face.Add("status", &State::Status);
  face.Add("documents.get", &State::DocumentsGet);
  face.Add("documents.apply", &State::DocumentsApply);
  face.Add("documents.history", &State::DocumentsHistory);
  face.Add("documents.status", &State::DocumentsStatus);
  face.Add("timeline", &State::Timeline);
  face.Add("explain", &State::Explain);
  face.Add("drain", &State::Drain);
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
