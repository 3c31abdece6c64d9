// Data of the fake key-value service, shared by its connections.
//
//   auto state = std::make_shared<KeyValueState>(time);
//   state->Write({ .key = "a", .value = "x" });
#pragma once

#include "wigeonwalk/testing/fake_key_value.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwalk::testing_internal {

// One granted lease.
struct FakeLease
{
  Duration timeToLive{ 0 };
  TimePoint expiresAt;
};

struct KeyValueState : std::enable_shared_from_this<KeyValueState>
{
  explicit KeyValueState(VirtualTime& aTime);

  // Writes a key and returns its new revision.
  std::int64_t Write(const PutRequest& aPut);

  // Deletes a key if it exists.
  void Erase(const std::string& aKey);

  // Ends a lease and deletes the keys attached to it.
  void Lapse(LeaseId aLease);

  // Keeps a copy of the data; replaces the data by the last copy.
  void TakeCopy();
  void RestoreCopy();

  // Returns a conflict if the key's revision is not the expected one.
  WriteResult Compare(const std::string& aKey,
                      std::optional<std::int64_t> aExpected) const;

  // Returns the changes under a prefix, starting at a revision.
  std::vector<WatchEvent> EventsFrom(const std::string& aPrefix,
                                     std::int64_t aRevision) const;

  VirtualTime& time;
  std::map<std::string, KeyValueEntry> entries;
  // All changes, in ascending order of revision.
  std::vector<WatchEvent> history;
  std::map<LeaseId, FakeLease> leases;
  std::vector<KeyValueFaultRow> faults;
  // Wakes a watch: its timer is cancelled when a key under the prefix changes.
  struct Signal
  {
    std::string prefix;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  std::vector<Signal> signals;
  std::array<std::uint64_t, EnumNames<KeyValueCall>::kTable.size()> counts{};
  std::map<std::int64_t, std::uint64_t> perSecond;
  std::int64_t revision = 0;
  LeaseId nextLease = 1;

private:
  struct Copy
  {
    std::map<std::string, KeyValueEntry> entries;
    std::map<LeaseId, FakeLease> leases;
    std::int64_t revision = 0;
    LeaseId nextLease = 1;
  };

  void RecordChange(bool aDeleted, const KeyValueEntry& aEntry);

  Copy copy;
};

// Ends a lease when its time to live passes without a renewal.
Task<void>
ExpireLease(std::shared_ptr<KeyValueState> aState, LeaseId aLease);

// Ends the leases of all keys under a prefix at the given time.
Task<void>
LapseAt(std::shared_ptr<KeyValueState> aState,
        TimePoint aTime,
        std::string aPrefix);

} // namespace wigeonwalk::testing_internal
