// The context that all commands share: options, output streams and daemon
// calls.
//
//   CtlContext context(options, std::cout, std::cerr);
//   auto answer = context.CallFirst("documents.get", params);
//   if (!answer) { return context.ExitCode(); }
#pragma once

#include "wigeonwalk/adapters/ctl/ctl.h"
#include "wigeonwalk/adapters/ctl/internal/ctl_options.h"
#include "wigeonwalk/base/failure_reason.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace wigeonwalk::ctl_internal {

using Json = nlohmann::ordered_json;

// The answer of one daemon.
struct DaemonAnswer
{
  std::string address;
  Json result;
};

// Calls daemons and reports errors.
class CtlContext
{
public:
  CtlContext(const CtlOptions& aOptions,
             std::ostream& aOut,
             std::ostream& aErr);

  const CtlOptions& Options() const { return this->options; }
  std::ostream& Out() { return this->out; }

  // Returns the answer of the first daemon that can be reached. On failure,
  // reports the error and returns nothing.
  std::optional<DaemonAnswer> CallFirst(const std::string& aMethod,
                                        const Json& aParams);

  // Like CallFirst, but leaves it to the caller to report the error.
  std::optional<DaemonAnswer> TryFirst(const std::string& aMethod,
                                       const Json& aParams,
                                       FailureReason& aReason);

  // Returns the answers of all daemons that can be reached, and reports the
  // errors of the others. If no daemon answered, sets the exit code: to
  // Unreachable if none could be reached, and otherwise to Refused.
  std::vector<DaemonAnswer> CallAll(const std::string& aMethod,
                                    const Json& aParams);

  // Prints an error with its place and a remedy, and sets the exit code.
  void Report(const FailureReason& aReason);

  // Reports every error of a file, with the file as part of its place.
  void ReportFile(const std::string& aFile,
                  const std::vector<FailureReason>& aReasons);

  CtlExit ExitCode() const { return this->exitCode; }

private:
  void Print(const FailureReason& aReason);

  const CtlOptions& options;
  std::ostream& out;
  std::ostream& err;
  CtlExit exitCode = CtlExit::Success;
};

// Returns a field as text: strings without quotes, other values as JSON, and
// "-" if the field is absent.
std::string
Cell(const Json& aObject, const char* aKey);

// Returns a list field, or an empty list.
const Json&
ListOf(const Json& aObject, const char* aKey);

// Returns compact JSON, with invalid UTF-8 replaced.
std::string
PrintJson(const Json& aJson);

} // namespace wigeonwalk::ctl_internal
