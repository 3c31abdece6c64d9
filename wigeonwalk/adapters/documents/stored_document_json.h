// JSON encoding of service documents in the key-value service.
//
//   StoredDocumentJson codec;
//   std::string value = codec.Encode(stored);
#pragma once

#include "wigeonwalk/documents/stored_document.h"

namespace wigeonwalk {

// Stateless.
class StoredDocumentJson
{
public:
  std::string Encode(const StoredDocument& aStored) const;
  std::optional<StoredDocument> Decode(const std::string& aText,
                                       FailureReason& aReason) const;

  // Parses and validates the text of a document as its team wrote it.
  std::optional<ServiceDocument> Parse(
    const std::string& aText,
    std::vector<FailureReason>& aReasons) const;
};

static_assert(DocumentCodec<StoredDocumentJson>);

} // namespace wigeonwalk
