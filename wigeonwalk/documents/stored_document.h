// A document as stored in the key-value service, under "documents/<service>".
//
//   std::string value = codec.Encode(stored);
//   auto stored = codec.Decode(value, reason);
#pragma once

#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/peer_messages.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// Key prefix of all documents.
inline constexpr const char* kDocumentPrefix = "documents/";

// Maximum number of accepted edits in the history of a stored document, by
// which the outcome of an edit is found if its answer was lost.
inline constexpr std::size_t kMaxEditRecords = 32;

// One accepted edit.
struct EditRecord
{
  std::uint64_t revision = 0;
  std::string editId;
  std::string author;
  TimePoint acceptedAt;

  bool operator==(const EditRecord&) const = default;
};

// The value of a document's key: the document and its most recent accepted
// edits, oldest first. The last one made this revision.
struct StoredDocument
{
  DocumentCopy copy;
  std::vector<EditRecord> history;

  bool operator==(const StoredDocument&) const = default;
};

// Encodes stored documents and parses the texts that teams write.
template<typename T>
concept DocumentCodec = requires(T& aCodec,
                                 const StoredDocument& aStored,
                                 const std::string& aText,
                                 FailureReason& aReason,
                                 std::vector<FailureReason>& aReasons)
{
  {
    aCodec.Encode(aStored)
    } -> std::same_as<std::string>;
  {
    aCodec.Decode(aText, aReason)
    } -> std::same_as<std::optional<StoredDocument>>;
  // Returns nothing and adds every error if the text is not valid.
  {
    aCodec.Parse(aText, aReasons)
    } -> std::same_as<std::optional<ServiceDocument>>;
};

// Returns the key of a service's document.
inline std::string
DocumentKey(const ServiceName& aService)
{
  return kDocumentPrefix + aService.Text();
}

} // namespace wigeonwalk
