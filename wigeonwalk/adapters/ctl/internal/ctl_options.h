// The parsed command line.
//
//   CtlOptions options{ .command = CtlCommand::DocGet, .service = "order" };
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonwalk::ctl_internal {

enum class CtlCommand
{
  Status,
  DocGet,
  DocEdit,
  DocApply,
  DocHistory,
  DocDiff,
  DocStatus,
  DocCheck,
  Timeline,
  Explain,
  Drain,
  SettingsCheck,
  SettingsReference,
};

struct CtlOptions
{
  CtlCommand command = CtlCommand::Status;
  // Operator addresses. Given several, a command either queries all of them or
  // tries them in turn.
  std::vector<std::string> daemons;
  Duration timeout = std::chrono::seconds(5);
  bool json = false;
  std::string service;
  std::string file;
  std::string request;
  std::string chromeFile;
  std::string drainTimeout;
  // Author of an edit, for the history.
  std::string author;
  // Revision that an edit is based on; 0 creates the document.
  std::uint64_t baseRevision = 0;
  // Revisions to read or compare; 0 means the one in force.
  std::uint64_t revision = 0;
  std::uint64_t fromRevision = 0;
  // Changes of the form "POINTER=JSON".
  std::vector<std::string> changes;
};

} // namespace wigeonwalk::ctl_internal

namespace wigeonwalk {

// The commands as typed on the command line, for messages.
template<>
struct EnumNames<ctl_internal::CtlCommand>
{
  using Command = ctl_internal::CtlCommand;
  static constexpr std::array<EnumName<Command>, 13> kTable{ {
    { Command::Status, "status" },
    { Command::DocGet, "doc get" },
    { Command::DocEdit, "doc edit" },
    { Command::DocApply, "doc apply" },
    { Command::DocHistory, "doc history" },
    { Command::DocDiff, "doc diff" },
    { Command::DocStatus, "doc status" },
    { Command::DocCheck, "doc check" },
    { Command::Timeline, "timeline" },
    { Command::Explain, "explain" },
    { Command::Drain, "drain" },
    { Command::SettingsCheck, "settings check" },
    { Command::SettingsReference, "settings reference" },
  } };
};
static_assert(HasCompleteTable<ctl_internal::CtlCommand>());

} // namespace wigeonwalk
