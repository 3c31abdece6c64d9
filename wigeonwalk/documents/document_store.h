// The documents in force in one daemon.
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

// Holds the newest known text of each service's document and the newest one
// that is valid in this release, which is in force. Neither ever moves to a
// lower revision. Texts that this release cannot read are passed on to others
// all the same. One thread only; returned documents may be kept by requests.
class DocumentStore
{
public:
  using Snapshot = std::shared_ptr<const AcceptedDocument>;

  // Returns true where the copy is newer than the known one.
  bool IsNewer(const DocumentCopy& aCopy) const;

  // Takes a copy with its parsed form, or with none where it is not valid.
  // Returns false where it is not newer.
  bool Offer(const DocumentCopy& aCopy, std::optional<ServiceDocument> aParsed);

  // The document in force, or null.
  Snapshot InForce(const ServiceName& aService) const;
  std::vector<Snapshot> AllInForce() const;

  // The newest known text, or null.
  const DocumentCopy* Find(const ServiceName& aService) const;

  // Services whose newest text is not valid in this release.
  std::vector<DocumentVersion> Rejected() const;

  std::vector<DocumentVersion> Versions() const;

  // Copies newer than the listed versions, up to a total size of texts but at
  // least one.
  std::vector<DocumentCopy> NewerThan(
    const std::vector<DocumentVersion>& aVersions,
    std::size_t aMaxBytes) const;

  // Notes that every edit accepted up to a time is known.
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
