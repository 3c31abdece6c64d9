// Consistency checks between the keys of a service document.
//
//   CheckDocument(document, reasons);   // adds "/runners/2/zone: ..."
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/documents/service_document.h"

#include <vector>

namespace wigeonwalk::settings_internal {

// Adds an error for each inconsistency between keys. Each key must already be
// valid by itself.
void
CheckDocument(const ServiceDocument& aDocument,
              std::vector<FailureReason>& aReasons);

} // namespace wigeonwalk::settings_internal
