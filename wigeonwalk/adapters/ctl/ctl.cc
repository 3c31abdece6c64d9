#include "wigeonwalk/adapters/ctl/ctl.h"

#include "wigeonwalk/adapters/ctl/internal/commands.h"
#include "wigeonwalk/adapters/ctl/internal/ctl_options.h"

#include <CLI/CLI.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace wigeonwalk {

namespace {

using namespace ctl_internal;

// Adds a subcommand that selects a command.
CLI::App*
AddCommand(CLI::App& aParent,
           CtlOptions& aOptions,
           CtlCommand aCommand,
           const std::string& aName,
           const std::string& aHelp)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  command->fallthrough();
  command->callback([&aOptions, aCommand] { aOptions.command = aCommand; });
  return command;
}

void
AddDocumentCommands(CLI::App& aApp, CtlOptions& aOptions)
{
  CLI::App* doc = aApp.add_subcommand("doc", "Service documents");
  doc->require_subcommand(1);
  doc->fallthrough();
  const auto add =
    [&](CtlCommand aCommand, const char* aName, const char* aHelp) {
      return AddCommand(*doc, aOptions, aCommand, aName, aHelp);
    };
  const auto service = [&](CLI::App* aCommand) {
    return aCommand->add_option(
      "service", aOptions.service, "Name of the service");
  };
  const auto file = [&](CLI::App* aCommand) {
    return aCommand->add_option("file", aOptions.file, "Document file");
  };
  CLI::App* get = add(CtlCommand::DocGet, "get", "Print a document");
  service(get)->required();
  get->add_option(
    "--revision", aOptions.revision, "Revision; default: the one in force");

  CLI::App* edit = add(
    CtlCommand::DocEdit, "edit", "Write a document to a file, or change it");
  service(edit)->required();
  auto* editFile = file(edit);
  edit->add_option("--set", aOptions.changes, "Change POINTER=JSON; repeatable")
    ->excludes(editFile);

  CLI::App* apply =
    add(CtlCommand::DocApply, "apply", "Check a document and put it in force");
  file(apply)->required();
  apply->add_option(
    "--base",
    aOptions.baseRevision,
    "Revision that the edit started from; default 0 creates the document");

  service(add(CtlCommand::DocHistory, "history", "List accepted edits"))
    ->required();

  CLI::App* diff = add(CtlCommand::DocDiff,
                       "diff",
                       "Compare a file with the document in force, or two "
                       "revisions");
  service(diff)->required();
  auto* diffFile = file(diff);
  diff->add_option("--from", aOptions.fromRevision, "Earlier revision")
    ->excludes(diffFile);
  diff
    ->add_option(
      "--to", aOptions.revision, "Later revision; default: the one in force")
    ->excludes(diffFile);

  service(add(CtlCommand::DocStatus, "status", "Revision on each daemon"));
  file(add(CtlCommand::DocCheck, "check", "Check a document file"))->required();
}

void
AddDaemonCommands(CLI::App& aApp, CtlOptions& aOptions)
{
  AddCommand(
    aApp, aOptions, CtlCommand::Status, "status", "State of the daemons");

  CLI::App* timeline = AddCommand(aApp,
                                  aOptions,
                                  CtlCommand::Timeline,
                                  "timeline",
                                  "Merged events of the daemons");
  timeline->add_option("--request", aOptions.request, "Only this request");
  timeline->add_option(
    "--chrome", aOptions.chromeFile, "Write a Chrome trace to this file");

  AddCommand(aApp,
             aOptions,
             CtlCommand::Explain,
             "explain",
             "Candidates of a request's placement with their costs")
    ->add_option("request", aOptions.request, "Id of the request")
    ->required();

  AddCommand(aApp,
             aOptions,
             CtlCommand::Drain,
             "drain",
             "Stop one daemon without interrupting a request")
    ->add_option("--drain-timeout",
                 aOptions.drainTimeout,
                 "Longest time for open streams to end, such as 10m");

  CLI::App* settings = aApp.add_subcommand("settings", "Settings of a daemon");
  settings->require_subcommand(1);
  settings->fallthrough();
  AddCommand(*settings,
             aOptions,
             CtlCommand::SettingsCheck,
             "check",
             "Check a settings file")
    ->add_option("file", aOptions.file, "Settings file")
    ->required();
  AddCommand(*settings,
             aOptions,
             CtlCommand::SettingsReference,
             "reference",
             "Print the reference page of settings and documents");
}

bool
NeedsDaemon(CtlCommand aCommand)
{
  return aCommand != CtlCommand::DocCheck &&
         aCommand != CtlCommand::SettingsCheck &&
         aCommand != CtlCommand::SettingsReference;
}

// Returns an error message for an invalid combination of options, or an empty
// text.
std::string
UsageError(const CtlOptions& aOptions)
{
  if (NeedsDaemon(aOptions.command) && aOptions.daemons.empty()) {
    return "--daemon is required: the operatorAddress of a daemon; or set "
           "WIGEONWALK_DAEMONS";
  }
  if (aOptions.command == CtlCommand::DocEdit && aOptions.file.empty() &&
      aOptions.changes.empty()) {
    return "doc edit needs a file to write, or --set POINTER=JSON";
  }
  if (aOptions.command == CtlCommand::DocDiff && aOptions.file.empty() &&
      aOptions.fromRevision == 0) {
    return "doc diff needs a file, or --from REVISION";
  }
  return {};
}

void
Run(CtlContext& aContext)
{
  switch (aContext.Options().command) {
    case CtlCommand::Status:
    case CtlCommand::Timeline:
    case CtlCommand::Explain:
    case CtlCommand::Drain:
      return RunDaemonCommand(aContext);
    default:
      return RunDocumentCommand(aContext);
  }
}

} // namespace

int
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aErr)
{
  CtlOptions options;
  CLI::App app("Operates wigeonwalk daemons", "wigeonwalkctl");
  double timeoutSeconds = ToSeconds(options.timeout);
  app.require_subcommand(1);
  app
    .add_option(
      "--daemon", options.daemons, "Operator address IP:port; repeatable")
    ->envname("WIGEONWALK_DAEMONS")
    ->delimiter(',')
    // Otherwise the option also consumes the positional argument after it.
    ->allow_extra_args(false);
  app.add_option("--timeout", timeoutSeconds, "Seconds to wait for a daemon")
    ->check(CLI::Range(0.01, 3600.0));
  app.add_flag("--json", options.json, "Print JSON");
  app
    .add_option(
      "--author", options.author, "Author of an edit, for the history")
    ->envname("USER");
  AddDaemonCommands(app, options);
  AddDocumentCommands(app, options);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error, aOut, aErr);
    // CLI11 reports a missing subcommand without naming a mistyped one, so that
    // the words it did not parse are printed here.
    for (const auto& word :
         code == 0 ? std::vector<std::string>() : app.remaining(true)) {
      aErr << "argument not recognised: " << word << "\n";
    }
    return static_cast<int>(code == 0 ? CtlExit::Success : CtlExit::Usage);
  }
  options.timeout = FromSeconds(timeoutSeconds);
  const std::string usage = UsageError(options);
  if (!usage.empty()) {
    aErr << "wigeonwalkctl " << NameOf(options.command) << ": " << usage
         << "\n";
    return static_cast<int>(CtlExit::Usage);
  }
  CtlContext context(options, aOut, aErr);
  Run(context);
  return static_cast<int>(context.ExitCode());
}

} // namespace wigeonwalk
