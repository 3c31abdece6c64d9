#include "wigeonwalk/adapters/ctl/internal/commands.h"

#include "wigeonwalk/adapters/ctl/internal/table.h"
#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"
#include "wigeonwalk/adapters/settings/settings_reference.h"

#include <array>
#include <cstdio>
#include <random>
#include <utility>

namespace wigeonwalk::ctl_internal {

namespace {

// Fetches the text and revision of a document; revision 0 means the one in
// force.
std::optional<DaemonAnswer>
Fetch(CtlContext& aContext, std::uint64_t aRevision)
{
  Json params{ { "service", aContext.Options().service } };
  if (aRevision > 0) {
    params["revision"] = aRevision;
  }
  auto answer = aContext.CallFirst("documents.get", params);
  if (answer && (!answer->result.is_object() ||
                 !answer->result.value("text", Json()).is_string())) {
    aContext.Report({ ReasonCode::MalformedResponse,
                      "the answer contains no document",
                      answer->address });
    return std::nullopt;
  }
  return answer;
}

// Returns a random id of an edit, by which its outcome can be found after its
// answer was lost.
std::string
NewEditId()
{
  std::random_device device;
  std::array<char, 33> text{};
  for (std::size_t i = 0; i < 4; ++i) {
    std::snprintf(text.data() + 8 * i, 9, "%08x", device());
  }
  return text.data();
}

// Parses a document. On failure, reports every error and returns nothing.
std::optional<ServiceDocument>
Check(CtlContext& aContext, const std::string& aText, const std::string& aFile)
{
  std::vector<FailureReason> reasons;
  auto document = ParseServiceDocument(aText, reasons);
  if (!document) {
    aContext.ReportFile(aFile, reasons);
  }
  return document;
}

std::optional<std::string>
ReadOrReport(CtlContext& aContext)
{
  FailureReason reason;
  auto text = ReadFile(aContext.Options().file, reason);
  if (!text) {
    aContext.Report(reason);
  }
  return text;
}

// Checks and sends a document. Every daemon gets the same edit id, so that
// trying the next daemon after a lost answer is safe.
void
Apply(CtlContext& aContext,
      const std::string& aText,
      const std::string& aFile,
      std::uint64_t aBaseRevision)
{
  const auto document = Check(aContext, aText, aFile);
  if (!document) {
    return;
  }
  const std::string editId = NewEditId();
  const auto answer =
    aContext.CallFirst("documents.apply",
                       { { "service", document->name.Text() },
                         { "text", aText },
                         { "editId", editId },
                         { "author", aContext.Options().author },
                         { "baseRevision", aBaseRevision } });
  if (!answer) {
    return;
  }
  if (Cell(answer->result, "outcome") != "accepted") {
    aContext.Report(
      { ReasonCode::ResponseTimeout,
        "edit " + editId + " is " + Cell(answer->result, "outcome"),
        answer->address });
    return;
  }
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(answer->result) << "\n";
    return;
  }
  aContext.Out() << "accepted " << document->name.Text() << " revision "
                 << Cell(answer->result, "revision") << "\n";
}

void
Get(CtlContext& aContext)
{
  const auto answer = Fetch(aContext, aContext.Options().revision);
  if (!answer) {
    return;
  }
  aContext.Out() << (aContext.Options().json
                       ? PrintJson(answer->result) + "\n"
                       : answer->result["text"].get<std::string>());
}

// Applies "POINTER=JSON" to a document. A value that is not valid JSON is taken
// as a string.
bool
ApplyChange(Json& aDocument, const std::string& aChange, FailureReason& aReason)
{
  const std::size_t equals = aChange.find('=');
  try {
    const Json::json_pointer pointer(aChange.substr(0, equals));
    const std::string text =
      equals == std::string::npos ? "" : aChange.substr(equals + 1);
    Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded()) {
      value = text;
    }
    aDocument[pointer] = std::move(value);
    return true;
  } catch (const Json::exception&) {
    Fail(aReason,
         ReasonCode::InvalidArgument,
         "expected POINTER=JSON such as /minimumServing=2",
         "--set " + aChange);
    return false;
  }
}

// With --set, applies the changes to the document in force. Without, writes
// that document to a file for the user to edit: the program starts no editor,
// as no process of this project starts another process.
void
Edit(CtlContext& aContext)
{
  const auto& options = aContext.Options();
  const auto answer = Fetch(aContext, 0);
  if (!answer) {
    return;
  }
  const std::string text = answer->result["text"];
  const std::uint64_t revision = answer->result.value("revision", 0ULL);
  FailureReason reason;
  if (options.changes.empty()) {
    if (!WriteFile(options.file, text, reason)) {
      aContext.Report(reason);
      return;
    }
    aContext.Out() << "wrote revision " << revision << " to " << options.file
                   << "; edit it, then run\n  wigeonwalkctl doc apply "
                   << options.file << " --base " << revision << "\n";
    return;
  }
  Json document = Json::parse(text, nullptr, false);
  for (const auto& change : options.changes) {
    if (!ApplyChange(document, change, reason)) {
      aContext.Report(reason);
      return;
    }
  }
  Apply(aContext, document.dump(2) + "\n", "edited document", revision);
}

void
History(CtlContext& aContext)
{
  const auto answer = aContext.CallFirst(
    "documents.history", { { "service", aContext.Options().service } });
  if (!answer) {
    return;
  }
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(answer->result) << "\n";
    return;
  }
  Table table({ "revision", "edit", "author", "accepted" });
  for (const auto& entry : ListOf(answer->result, "entries")) {
    table.Add({ Cell(entry, "revision"),
                Cell(entry, "editId"),
                Cell(entry, "author"),
                Cell(entry, "acceptedAt") });
  }
  aContext.Out() << table.Print();
}

// Prints the differences between two documents, one per line.
void
PrintDifference(CtlContext& aContext,
                const std::string& aBefore,
                const std::string& aAfter)
{
  const Json before = Json::parse(aBefore, nullptr, false);
  const Json after = Json::parse(aAfter, nullptr, false);
  const Json changes = Json::diff(before, after);
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(changes) << "\n";
    return;
  }
  if (changes.empty()) {
    aContext.Out() << "no difference\n";
  }
  for (const auto& change : changes) {
    const std::string path = change["path"];
    const std::string operation = change["op"];
    if (operation == "remove") {
      aContext.Out() << "- " << path << "\n";
    } else if (operation == "add") {
      aContext.Out() << "+ " << path << ": " << PrintJson(change["value"])
                     << "\n";
    } else {
      aContext.Out() << "~ " << path << ": "
                     << PrintJson(before[Json::json_pointer(path)]) << " -> "
                     << PrintJson(change["value"]) << "\n";
    }
  }
}

// Compares a file with the document in force, or two revisions.
void
Diff(CtlContext& aContext)
{
  const auto& options = aContext.Options();
  if (!options.file.empty()) {
    const auto text = ReadOrReport(aContext);
    if (!text || !Check(aContext, *text, options.file)) {
      return;
    }
    const auto current = Fetch(aContext, 0);
    if (current) {
      PrintDifference(aContext, current->result["text"], *text);
    }
    return;
  }
  const auto before = Fetch(aContext, options.fromRevision);
  const auto after = before ? Fetch(aContext, options.revision) : std::nullopt;
  if (after) {
    PrintDifference(aContext, before->result["text"], after->result["text"]);
  }
}

void
DocumentStatus(CtlContext& aContext)
{
  Json params = Json::object();
  if (!aContext.Options().service.empty()) {
    params["service"] = aContext.Options().service;
  }
  const auto answers = aContext.CallAll("documents.status", params);
  Json services = Json::array();
  for (const auto& answer : answers) {
    for (const auto& service : ListOf(answer.result, "services")) {
      services.push_back(service);
    }
  }
  if (aContext.Options().json) {
    aContext.Out() << PrintJson(services) << "\n";
    return;
  }
  Table table({ "service", "host", "revision", "confirmed" });
  for (const auto& service : services) {
    for (const auto& daemon : ListOf(service, "daemons")) {
      table.Add({ Cell(service, "service"),
                  Cell(daemon, "host"),
                  Cell(daemon, "revision"),
                  Cell(daemon, "confirmed") });
    }
  }
  aContext.Out() << table.Print();
}

void
CheckSettings(CtlContext& aContext)
{
  const auto text = ReadOrReport(aContext);
  std::vector<FailureReason> reasons;
  if (!text) {
    return;
  }
  if (!ParseDaemonSettings(*text, reasons)) {
    aContext.ReportFile(aContext.Options().file, reasons);
    return;
  }
  aContext.Out() << aContext.Options().file << ": valid settings\n";
}

void
CheckDocumentFile(CtlContext& aContext)
{
  const auto text = ReadOrReport(aContext);
  if (text && Check(aContext, *text, aContext.Options().file)) {
    aContext.Out() << aContext.Options().file << ": valid document\n";
  }
}

void
ApplyFile(CtlContext& aContext)
{
  const auto& options = aContext.Options();
  const auto text = ReadOrReport(aContext);
  if (text) {
    Apply(aContext, *text, options.file, options.baseRevision);
  }
}

} // namespace

void
RunDocumentCommand(CtlContext& aContext)
{
  switch (aContext.Options().command) {
    case CtlCommand::DocGet:
      return Get(aContext);
    case CtlCommand::DocEdit:
      return Edit(aContext);
    case CtlCommand::DocApply:
      return ApplyFile(aContext);
    case CtlCommand::DocHistory:
      return History(aContext);
    case CtlCommand::DocDiff:
      return Diff(aContext);
    case CtlCommand::DocCheck:
      return CheckDocumentFile(aContext);
    case CtlCommand::SettingsCheck:
      return CheckSettings(aContext);
    case CtlCommand::SettingsReference:
      aContext.Out() << PrintSettingsReference();
      return;
    default:
      return DocumentStatus(aContext);
  }
}

} // namespace wigeonwalk::ctl_internal
