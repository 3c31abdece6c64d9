// Checks of a service document across its keys.
//
//   CheckDocument(document, reasons);   // adds "/runners/2/zone: ..."
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/documents/service_document.h"

#include <vector>

namespace wigeonwalk::settings_internal {

// Adds an error for each contradiction within a document whose keys are valid
// by themselves.
void
CheckDocument(const ServiceDocument& aDocument,
              std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk::settings_internal
