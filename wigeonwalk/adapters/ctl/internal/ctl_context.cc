#include "wigeonwalk/adapters/ctl/internal/ctl_context.h"

#include "wigeonwalk/adapters/jsonrpc/operator_client.h"

namespace wigeonwalk::ctl_internal {

namespace {

// Returns what an operator can do about a failure.
std::string_view
RemedyFor(ReasonCode aCode)
{
  switch (aCode) {
    case ReasonCode::ConnectRefused:
    case ReasonCode::ConnectTimeout:
      return "check --daemon against operatorAddress in the daemon's settings, "
             "and that the daemon is running";
    case ReasonCode::ConnectionLostAfterWrite:
    case ReasonCode::ResponseTimeout:
      return "the outcome is unknown; repeat the command, with a longer "
             "--timeout or another --daemon";
    case ReasonCode::Conflict:
      return "another edit was accepted first; compare with 'doc diff', then "
             "edit the document in force and apply it with its revision as "
             "--base";
    case ReasonCode::NotFound:
      return "check the name and --daemon; 'doc status' lists services, "
             "'timeline' requests";
    case ReasonCode::Unavailable:
      return "the key-value service or the file is unavailable; try again "
             "later";
    case ReasonCode::InvalidArgument:
    case ReasonCode::UnknownKey:
    case ReasonCode::AlreadyExists:
    case ReasonCode::TooLarge:
      return "correct the named place and try again; docs/settings.md lists "
             "every "
             "key";
    case ReasonCode::MalformedResponse:
      return "check that the address is a daemon's operatorAddress and that "
             "both programs are of one release";
    case ReasonCode::Expired:
      return "the record is no longer kept; repeat the request and ask at once";
    default:
      return "see 'wigeonwalkctl status' and the daemon's log";
  }
}

} // namespace

CtlContext::CtlContext(const CtlOptions& aOptions,
                       std::ostream& aOut,
                       std::ostream& aErr)
  : options(aOptions)
  , out(aOut)
  , err(aErr)
{
}

void
CtlContext::Print(const FailureReason& aReason)
{
  this->err << "wigeonwalkctl " << NameOf(this->options.command) << ": "
            << aReason.ToString() << "\n  remedy: " << RemedyFor(aReason.code)
            << "\n";
}

void
CtlContext::Report(const FailureReason& aReason)
{
  this->Print(aReason);
  this->exitCode =
    IsUnreachable(aReason.code) ? CtlExit::Unreachable : CtlExit::Refused;
}

void
CtlContext::ReportFile(const std::string& aFile,
                       const std::vector<FailureReason>& aReasons)
{
  for (FailureReason reason : aReasons) {
    reason.place = aFile + (reason.place.empty() ? "" : " " + reason.place);
    this->Report(reason);
  }
}

std::optional<DaemonAnswer>
CtlContext::TryFirst(const std::string& aMethod,
                     const Json& aParams,
                     FailureReason& aReason)
{
  for (const auto& address : this->options.daemons) {
    OperatorClient client(address, this->options.timeout);
    aReason = {};
    const auto text = client.Call(aMethod, PrintJson(aParams), aReason);
    if (text) {
      return DaemonAnswer{ address, Json::parse(*text, nullptr, false) };
    }
    if (aReason.place.empty()) {
      aReason.place = address;
    }
    if (!IsUnreachable(aReason.code)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<DaemonAnswer>
CtlContext::CallFirst(const std::string& aMethod, const Json& aParams)
{
  FailureReason reason;
  auto answer = this->TryFirst(aMethod, aParams, reason);
  if (!answer) {
    this->Report(reason);
  }
  return answer;
}

std::vector<DaemonAnswer>
CtlContext::CallAll(const std::string& aMethod, const Json& aParams)
{
  std::vector<DaemonAnswer> answers;
  CtlExit failed = CtlExit::Unreachable;
  for (const auto& address : this->options.daemons) {
    OperatorClient client(address, this->options.timeout);
    FailureReason reason;
    const auto text = client.Call(aMethod, PrintJson(aParams), reason);
    if (text) {
      answers.push_back({ address, Json::parse(*text, nullptr, false) });
      continue;
    }
    reason.place = address + (reason.place.empty() || reason.place == address
                                ? ""
                                : " " + reason.place);
    this->Print(reason);
    if (!IsUnreachable(reason.code)) {
      failed = CtlExit::Refused;
    }
  }
  if (answers.empty()) {
    this->exitCode = failed;
  }
  return answers;
}

std::string
PrintJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
Cell(const Json& aObject, const char* aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey)) {
    return "-";
  }
  const Json& value = aObject[aKey];
  return value.is_string() ? value.get<std::string>() : PrintJson(value);
}

const Json&
ListOf(const Json& aObject, const char* aKey)
{
  static const Json kEmpty = Json::array();
  if (!aObject.is_object() || !aObject.contains(aKey) ||
      !aObject[aKey].is_array()) {
    return kEmpty;
  }
  return aObject[aKey];
}

} // namespace wigeonwalk::ctl_internal
