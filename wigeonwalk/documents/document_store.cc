#include "wigeonwalk/documents/document_store.h"

#include "wigeonwalk/base/hash128.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {
namespace {

// Returns the contribution of one service to the digest's hash. Contributions
// are combined by XOR, so their order does not matter.
std::uint64_t
DigestContribution(const DocumentCopy& aCopy)
{
  return HashBytes(aCopy.service.Text(), aCopy.revision).low;
}

} // namespace

bool
DocumentStore::IsNewer(const DocumentCopy& aCopy) const
{
  const DocumentCopy* known = this->Find(aCopy.service);
  return aCopy.revision > (known ? known->revision : 0);
}

bool
DocumentStore::Offer(const DocumentCopy& aCopy,
                     std::optional<ServiceDocument> aParsed)
{
  if (!this->IsNewer(aCopy)) {
    return false;
  }
  Entry& entry = this->entries[aCopy.service];
  if (entry.newest.revision > 0) {
    this->hash ^= DigestContribution(entry.newest);
    this->revisionSum -= entry.newest.revision;
  }
  entry.newest = aCopy;
  this->hash ^= DigestContribution(aCopy);
  this->revisionSum += aCopy.revision;
  entry.valid = aParsed.has_value();
  if (aParsed) {
    auto document = std::make_shared<AcceptedDocument>();
    document->revision = aCopy.revision;
    document->editId = aCopy.editId;
    document->text = aCopy.text;
    document->document = std::move(*aParsed);
    entry.inForce = std::move(document);
  }
  return true;
}

DocumentStore::Snapshot
DocumentStore::InForce(const ServiceName& aService) const
{
  const auto found = this->entries.find(aService);
  return found == this->entries.end() ? nullptr : found->second.inForce;
}

std::vector<DocumentStore::Snapshot>
DocumentStore::AllInForce() const
{
  std::vector<Snapshot> all;
  for (const auto& [service, entry] : this->entries) {
    if (entry.inForce) {
      all.push_back(entry.inForce);
    }
  }
  return all;
}

const DocumentCopy*
DocumentStore::Find(const ServiceName& aService) const
{
  const auto found = this->entries.find(aService);
  return found == this->entries.end() ? nullptr : &found->second.newest;
}

std::vector<DocumentVersion>
DocumentStore::Rejected() const
{
  std::vector<DocumentVersion> rejected;
  for (const auto& [service, entry] : this->entries) {
    if (!entry.valid) {
      rejected.push_back({ service, entry.newest.revision });
    }
  }
  return rejected;
}

std::vector<DocumentVersion>
DocumentStore::Versions() const
{
  std::vector<DocumentVersion> versions;
  for (const auto& [service, entry] : this->entries) {
    versions.push_back({ service, entry.newest.revision });
  }
  return versions;
}

std::vector<DocumentCopy>
DocumentStore::NewerThan(const std::vector<DocumentVersion>& aVersions,
                         std::size_t aMaxBytes) const
{
  std::map<ServiceName, std::uint64_t> known;
  for (const DocumentVersion& version : aVersions) {
    known[version.service] = version.revision;
  }
  std::vector<DocumentCopy> newer;
  std::size_t bytes = 0;
  for (const auto& [service, entry] : this->entries) {
    const auto found = known.find(service);
    if (found != known.end() && entry.newest.revision <= found->second) {
      continue;
    }
    bytes += entry.newest.text.size();
    if (bytes > aMaxBytes && !newer.empty()) {
      break;
    }
    newer.push_back(entry.newest);
  }
  return newer;
}

void
DocumentStore::Confirm(TimePoint aTime)
{
  this->confirmedAt = std::max(this->confirmedAt.value_or(aTime), aTime);
}

DocumentDigest
DocumentStore::Digest(TimePoint aNow) const
{
  DocumentDigest digest;
  digest.revisionSum = this->revisionSum;
  digest.hash = this->hash;
  if (this->confirmedAt) {
    digest.confirmedAge = std::max(Duration(0), aNow - *this->confirmedAt);
  }
  return digest;
}

} // namespace wigeonwalk
