// Client of the key-value service over the published etcd v3 JSON gateway API:
// ranges, transactions, leases and watches over HTTP.
//
//   EtcdGateway service(pool, { "127.0.0.1:2379" });
//   auto read = co_await service.Get("documents/orders", deadline, reason);
#pragma once

#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/ports/key_value.h"

#include <string>
#include <vector>

namespace wigeonwalk {

// One key-value service with several addresses. Each call uses one address;
// after a call without a response, later calls use the next address. Not
// thread-safe. The pool must outlive this object.
class EtcdGateway
{
public:
  EtcdGateway(HttpPool& aPool, std::vector<std::string> aAddresses);

  Task<std::optional<ReadResult>> Get(const std::string& aKey,
                                      TimePoint aDeadline,
                                      FailureReason& aReason);
  Task<std::optional<std::vector<KeyValueEntry>>>
  List(const std::string& aPrefix, TimePoint aDeadline, FailureReason& aReason);

  // The outcome of a write is NotSent only if no byte of it reached the
  // service.
  Task<WriteResult> Put(const PutRequest& aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason);
  Task<WriteResult> Delete(const std::string& aKey,
                           std::optional<std::int64_t> aExpectedRevision,
                           TimePoint aDeadline,
                           FailureReason& aReason);
  Task<std::optional<LeaseId>> GrantLease(Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason);
  Task<std::optional<Duration>> KeepAlive(LeaseId aLease,
                                          TimePoint aDeadline,
                                          FailureReason& aReason);
  Task<std::optional<WatchBatch>> Watch(const std::string& aPrefix,
                                        std::int64_t aRevision,
                                        TimePoint aDeadline,
                                        FailureReason& aReason);

private:
  Task<std::optional<std::string>> Call(std::string aTarget,
                                        std::string aBody,
                                        TimePoint aDeadline,
                                        FailureReason& aReason);
  Task<WriteResult> Write(std::string aBody,
                          TimePoint aDeadline,
                          FailureReason& aReason);

  HttpPool& pool;
  std::vector<std::string> addresses;
  std::size_t addressIndex = 0;
};

} // namespace wigeonwalk
