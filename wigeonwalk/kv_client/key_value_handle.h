// The key-value service as seen by one user of the daemon's client.
//
//   KeyValueHandle claims = client.For(KeyValueUser::Claims);
//   auto read = co_await claims.Get("claim-floors/07", deadline, reason);
#pragma once

#include "wigeonwalk/kv_client/key_value_user.h"
#include "wigeonwalk/ports/key_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Satisfies KeyValueService and forwards to a KeyValueClient, which must
// outlive it.
template<typename Client>
class KeyValueHandle
{
public:
  KeyValueHandle(Client& aClient, KeyValueUser aUser)
    : client(&aClient)
    , user(aUser)
  {
  }

  Task<std::optional<ReadResult>> Get(std::string aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason)
  {
    return this->client->Get(this->user, std::move(aKey), aDeadline, aReason);
  }

  Task<std::optional<std::vector<KeyValueEntry>>> List(std::string aPrefix,
                                                       TimePoint aDeadline,
                                                       FailureReason& aReason)
  {
    return this->client->List(
      this->user, std::move(aPrefix), aDeadline, aReason);
  }

  Task<WriteResult> Put(PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason)
  {
    return this->client->Put(this->user, std::move(aPut), aDeadline, aReason);
  }

  Task<WriteResult> Delete(std::string aKey,
                           std::optional<std::int64_t> aExpectedRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason)
  {
    return this->client->Delete(
      this->user, std::move(aKey), aExpectedRevision, aDeadline, aReason);
  }

  Task<std::optional<LeaseId>> GrantLease(Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    return this->client->GrantLease(
      this->user, aTimeToLive, aDeadline, aReason);
  }

  Task<std::optional<Duration>> KeepAlive(LeaseId aLease,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    return this->client->KeepAlive(this->user, aLease, aDeadline, aReason);
  }

  Task<std::optional<WatchBatch>> Watch(std::string aPrefix,
                                        std::int64_t aRevision,
                                        TimePoint aDeadline,
                                        FailureReason& aReason)
  {
    return this->client->Watch(
      this->user, std::move(aPrefix), aRevision, aDeadline, aReason);
  }

private:
  Client* client;
  KeyValueUser user;
};

} // namespace wigeonwalk
