#include "wigeonwalk/adapters/ctl/internal/commands.h"

#include "wigeonwalk/adapters/ctl/internal/table.h"
#include "wigeonwalk/adapters/timeline/stamped_event.h"

#include <utility>

namespace wigeonwalk::ctl_internal {

namespace {

void
Status(CtlContext& aContext)
{
  const auto answers = aContext.CallAll("status", Json::object());
  if (aContext.Options().json) {
    Json list = Json::array();
    for (const auto& answer : answers) {
      list.push_back(
        { { "daemon", answer.address }, { "status", answer.result } });
    }
    aContext.Out() << PrintJson(list) << "\n";
    return;
  }
  if (answers.empty()) {
    return;
  }
  Table daemons(
    { "daemon", "host", "zone", "state", "key-value", "members", "requests" });
  Table documents({ "host", "service", "revision", "confirmed" });
  for (const auto& answer : answers) {
    const Json& status = answer.result;
    daemons.Add({ answer.address,
                  Cell(status, "host"),
                  Cell(status, "zone"),
                  Cell(status, "state"),
                  Cell(status, "keyValue"),
                  std::to_string(ListOf(status, "members").size()),
                  Cell(status, "requestsOpen") });
    for (const auto& document : ListOf(status, "documents")) {
      documents.Add({ Cell(status, "host"),
                      Cell(document, "service"),
                      Cell(document, "revision"),
                      Cell(document, "confirmed") });
    }
  }
  aContext.Out() << daemons.Print() << "\n" << documents.Print();
}

// Returns the merged events of all daemons. On failure, reports the error and
// returns nothing.
std::optional<std::vector<StampedEvent>>
GatherEvents(CtlContext& aContext)
{
  Json params = Json::object();
  if (!aContext.Options().request.empty()) {
    params["request"] = aContext.Options().request;
  }
  const auto answers = aContext.CallAll("timeline", params);
  if (answers.empty()) {
    return std::nullopt;
  }
  std::vector<std::vector<StampedEvent>> timelines;
  for (const auto& answer : answers) {
    FailureReason reason;
    auto events =
      ParseTimelineJson(PrintJson(ListOf(answer.result, "events")), reason);
    if (!events) {
      reason.place = answer.address + " /events" + reason.place;
      aContext.Report(reason);
      return std::nullopt;
    }
    timelines.push_back(std::move(*events));
  }
  return MergeTimelines(std::move(timelines));
}

void
Timeline(CtlContext& aContext)
{
  const auto events = GatherEvents(aContext);
  if (!events) {
    return;
  }
  const auto& options = aContext.Options();
  if (!options.chromeFile.empty()) {
    FailureReason reason;
    if (!WriteFile(options.chromeFile, PrintChromeTrace(*events), reason)) {
      aContext.Report(reason);
    }
    return;
  }
  aContext.Out() << (options.json ? PrintTimelineJson(*events) + "\n"
                                  : PrintTimeline(*events));
}

void
Explain(CtlContext& aContext)
{
  const auto answer = aContext.CallFirst(
    "explain", { { "request", aContext.Options().request } });
  if (!answer) {
    return;
  }
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(answer->result) << "\n";
    return;
  }
  Table lines({ "request " + Cell(answer->result, "request") });
  for (const auto& line : ListOf(answer->result, "lines")) {
    lines.Add({ line.is_string() ? line.get<std::string>() : PrintJson(line) });
  }
  aContext.Out() << lines.Print();
}

void
Drain(CtlContext& aContext)
{
  // Drains exactly one daemon. With several addresses, it would be a matter of
  // chance which daemon answers first and is drained.
  if (aContext.Options().daemons.size() != 1) {
    aContext.Report({ ReasonCode::InvalidArgument,
                      "drain one daemon at a time",
                      "--daemon" });
    return;
  }
  Json params = Json::object();
  if (!aContext.Options().drainTimeout.empty()) {
    params["timeout"] = aContext.Options().drainTimeout;
  }
  const auto answer = aContext.CallFirst("drain", params);
  if (!answer) {
    return;
  }
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(answer->result) << "\n";
    return;
  }
  aContext.Out() << "draining; " << Cell(answer->result, "requestsOpen")
                 << " requests in progress\n";
}

} // namespace

void
RunDaemonCommand(CtlContext& aContext)
{
  switch (aContext.Options().command) {
    case CtlCommand::Timeline:
      return Timeline(aContext);
    case CtlCommand::Explain:
      return Explain(aContext);
    case CtlCommand::Drain:
      return Drain(aContext);
    default:
      return Status(aContext);
  }
}

} // namespace wigeonwalk::ctl_internal
