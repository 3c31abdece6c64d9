// The service document as JSON.
//
//   std::vector<FailureReason> reasons;
//   auto document = ParseServiceDocument(text, reasons);
//   std::string text = PrintServiceDocument(*document);
//
// docs/settings.md lists every key with its type, unit, default and range.
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/documents/service_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Returns the document of a JSON text, or nothing and every error with the path
// of its key. Cross checks run once each key is valid by itself.
std::optional<ServiceDocument>
ParseServiceDocument(std::string_view aText,
                     std::vector<FailureReason>& aReasons);

// Returns the document as indented JSON with a final newline. Parsing it yields
// an equal document.
std::string
PrintServiceDocument(const ServiceDocument& aDocument);

} // namespace wigeonwalk
