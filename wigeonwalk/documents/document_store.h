// Holds the service documents that are in force in one daemon.
//
//   if (store.Offer(copy, parsed)) { ... }   // a higher revision
//   auto document = store.InForce(ServiceName("orders"));
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/peer_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace wigeonwalk {

// Holds the newest known text of each service's document, and the newest one
// that is valid in this release, which is in force. The revisions of both only
// increase. Texts that this release cannot parse are still passed on to other
// daemons. Not thread-safe; returned documents may outlive their replacement.
class DocumentStore
{
public:
  using Snapshot = std::shared_ptr<const AcceptedDocument>;

  // Returns true if the copy has a higher revision than the known one.
  bool IsNewer(const DocumentCopy& aCopy) const;

  // Stores a copy with its parsed form, or without one if the text is not
  // valid. Returns false, and changes nothing, if the copy is not newer.
  bool Offer(const DocumentCopy& aCopy, std::optional<ServiceDocument> aParsed);

  // Returns the document in force, or null.
  Snapshot InForce(const ServiceName& aService) const;
  std::vector<Snapshot> AllInForce() const;

  // Returns the newest known text, or null.
  const DocumentCopy* Find(const ServiceName& aService) const;

  // Returns the services whose newest text is not valid in this release.
  std::vector<DocumentVersion> Rejected() const;

  std::vector<DocumentVersion> Versions() const;

  // Returns copies that are newer than the listed versions, until their texts
  // exceed `aMaxBytes`; at least one if any is newer.
  std::vector<DocumentCopy> NewerThan(
    const std::vector<DocumentVersion>& aVersions,
    std::size_t aMaxBytes) const;

  // Records that every edit accepted up to a time is known.
  void Confirm(TimePoint aTime);
  std::optional<TimePoint> ConfirmedAt() const { return this->confirmedAt; }

  DocumentDigest Digest(TimePoint aNow) const;

private:
  struct Entry
  {
    DocumentCopy newest;
    bool valid = false;
    Snapshot inForce;
  };

  std::map<ServiceName, Entry> entries;
  std::optional<TimePoint> confirmedAt;
  std::uint64_t revisionSum = 0;
  std::uint64_t hash = 0;
};

} // namespace wigeonwalk
