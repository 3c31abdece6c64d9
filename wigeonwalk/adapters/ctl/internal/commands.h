// Implementations of the subcommands.
//
//   RunDaemonCommand(context);
#pragma once

#include "wigeonwalk/adapters/ctl/internal/ctl_context.h"

namespace wigeonwalk::ctl_internal {

// Runs status, timeline, explain or drain.
void
RunDaemonCommand(CtlContext& aContext);

// Runs one of the doc commands, or one of the settings commands.
void
RunDocumentCommand(CtlContext& aContext);

} // namespace wigeonwalk::ctl_internal
