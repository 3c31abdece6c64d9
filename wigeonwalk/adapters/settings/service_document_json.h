// Parses and prints service documents as JSON.
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

// Parses and validates a JSON text. On failure, returns nothing and adds every
// error with the path of its key. Checks between keys run only once each key is
// valid by itself.
std::optional<ServiceDocument>
ParseServiceDocument(std::string_view aText,
                     std::vector<FailureReason>& aReasons);

// Returns the document as indented JSON with a final newline. Parsing it yields
// an equal document.
std::string
PrintServiceDocument(const ServiceDocument& aDocument);

} // namespace wigeonwalk
