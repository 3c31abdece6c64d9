#include "wigeonwalk/adapters/key_value/etcd_gateway.h"

#include "wigeonwalk/adapters/key_value/etcd_codec.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

namespace {

HttpRequest
MakePostRequest(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body = std::move(aBody);
  return request;
}

// True if no byte of a call can have reached the service.
bool
WasNotSent(ReasonCode aCode)
{
  return aCode == ReasonCode::ConnectRefused ||
         aCode == ReasonCode::ConnectTimeout;
}

} // namespace

EtcdGateway::EtcdGateway(HttpPool& aPool, std::vector<std::string> aAddresses)
  : pool(aPool)
  , addresses(std::move(aAddresses))
{
}

Task<std::optional<std::string>>
EtcdGateway::Call(std::string aTarget,
                  std::string aBody,
                  TimePoint aDeadline,
                  FailureReason& aReason)
{
  if (this->addresses.empty()) {
    co_return Fail(aReason,
                   ReasonCode::ConnectRefused,
                   "no key-value service address in the settings",
                   "/keyValueAddresses");
  }
  const std::string address =
    this->addresses[this->addressIndex % this->addresses.size()];
  const HttpRequest request =
    MakePostRequest(std::move(aTarget), std::move(aBody));
  auto response = co_await this->pool.Exchange(
    address, request, Reuse::Allowed, aDeadline, aReason);
  if (!response) {
    ++this->addressIndex;
    co_return std::nullopt;
  }
  if (response->status != 200) {
    co_return Fail(aReason,
                   response->status >= 500 ? ReasonCode::StatusServerError
                                           : ReasonCode::StatusClientError,
                   "key-value service answered with status " +
                     std::to_string(response->status),
                   address);
  }
  co_return std::move(response->body);
}

Task<std::optional<ReadResult>>
EtcdGateway::Get(const std::string& aKey,
                 TimePoint aDeadline,
                 FailureReason& aReason)
{
  std::string target("/v3/kv/range");
  std::string body = EncodeRange({ aKey, {} });
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  ReadResult result;
  auto entries = DecodeRangeAnswer(*answer, result.revision, aReason);
  if (!entries) {
    co_return std::nullopt;
  }
  if (!entries->empty()) {
    result.entry = std::move(entries->front());
  }
  co_return result;
}

Task<std::optional<std::vector<KeyValueEntry>>>
EtcdGateway::List(const std::string& aPrefix,
                  TimePoint aDeadline,
                  FailureReason& aReason)
{
  std::string target("/v3/kv/range");
  std::string body = EncodeRange({ aPrefix, PrefixEnd(aPrefix) });
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  std::int64_t revision = 0;
  co_return answer ? DecodeRangeAnswer(*answer, revision, aReason)
                   : std::nullopt;
}

Task<WriteResult>
EtcdGateway::Write(std::string aBody,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  std::string target("/v3/kv/txn");
  FailureReason reason;
  const auto answer =
    co_await this->Call(std::move(target), std::move(aBody), aDeadline, reason);
  if (answer) {
    co_return DecodeTransactionAnswer(*answer, aReason);
  }
  aReason = reason;
  WriteResult result;
  result.outcome =
    WasNotSent(reason.code) ? WriteOutcome::NotSent : WriteOutcome::Unknown;
  co_return result;
}

Task<WriteResult>
EtcdGateway::Put(const PutRequest& aPut,
                 TimePoint aDeadline,
                 FailureReason& aReason)
{
  if (aPut.value.size() > kMaxValueBytes) {
    Fail(aReason, ReasonCode::TooLarge, "value exceeds 1 MB", aPut.key);
    co_return WriteResult();
  }
  std::string body = EncodeTransaction({ aPut.key,
                                         aPut.expectedRevision,
                                         EtcdAction::Put,
                                         aPut.value,
                                         aPut.lease });
  co_return co_await this->Write(std::move(body), aDeadline, aReason);
}

Task<WriteResult>
EtcdGateway::Delete(const std::string& aKey,
                    std::optional<std::int64_t> aExpectedRevision,
                    TimePoint aDeadline,
                    FailureReason& aReason)
{
  std::string body = EncodeTransaction(
    { aKey, aExpectedRevision, EtcdAction::Delete, std::string(), 0 });
  co_return co_await this->Write(std::move(body), aDeadline, aReason);
}

Task<std::optional<LeaseId>>
EtcdGateway::GrantLease(Duration aTimeToLive,
                        TimePoint aDeadline,
                        FailureReason& aReason)
{
  std::string target("/v3/lease/grant");
  // The API expresses times to live in whole seconds.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aTimeToLive);
  std::string body = EncodeLeaseRequest({ 0, seconds.count() });
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  const auto lease =
    answer ? DecodeLeaseMessage(*answer, aReason) : std::nullopt;
  if (!lease) {
    co_return std::nullopt;
  }
  co_return lease->id;
}

Task<std::optional<Duration>>
EtcdGateway::KeepAlive(LeaseId aLease,
                       TimePoint aDeadline,
                       FailureReason& aReason)
{
  std::string target("/v3/lease/keepalive");
  std::string body = EncodeLeaseRequest({ aLease, 0 });
  const auto answer =
    co_await this->Call(std::move(target), std::move(body), aDeadline, aReason);
  const auto lease =
    answer ? DecodeLeaseMessage(*answer, aReason) : std::nullopt;
  if (!lease) {
    co_return std::nullopt;
  }
  if (lease->seconds <= 0) {
    co_return Fail(aReason, ReasonCode::Expired, "the lease has expired");
  }
  co_return std::chrono::seconds(lease->seconds);
}

Task<std::optional<WatchBatch>>
EtcdGateway::Watch(const std::string& aPrefix,
                   std::int64_t aRevision,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  WatchBatch batch;
  batch.nextRevision = aRevision;
  if (this->addresses.empty()) {
    co_return Fail(aReason,
                   ReasonCode::ConnectRefused,
                   "no key-value service address in the settings");
  }
  const std::string address =
    this->addresses[this->addressIndex % this->addresses.size()];
  const HttpRequest request = MakePostRequest(
    "/v3/watch", EncodeWatch({ { aPrefix, PrefixEnd(aPrefix) }, aRevision }));
  auto connection =
    co_await this->pool.Acquire(address, Reuse::FreshOnly, aDeadline, aReason);
  bool open = false;
  if (connection) {
    open = co_await connection->Send(request, aDeadline, aReason);
  }
  if (open) {
    const auto head = co_await connection->ReadHead(aDeadline, aReason);
    open = head && head->status == 200;
  }
  if (!open) {
    ++this->addressIndex;
    co_return std::nullopt;
  }
  std::string buffer;
  while (true) {
    const bool readable = co_await connection->WaitReadable(aDeadline);
    if (!readable) {
      co_return batch;
    }
    const auto bytes = co_await connection->ReadSome(aDeadline, aReason);
    if (!bytes || bytes->empty()) {
      ++this->addressIndex;
      co_return std::nullopt;
    }
    buffer += *bytes;
    if (!connection->Hold(buffer.size(), aReason)) {
      ++this->addressIndex;
      co_return std::nullopt;
    }
    for (std::size_t end = buffer.find('\n'); end != std::string::npos;
         end = buffer.find('\n')) {
      const auto line = DecodeWatchLine(buffer.substr(0, end), aReason);
      buffer.erase(0, end + 1);
      if (!line) {
        co_return std::nullopt;
      }
      batch.nextRevision = std::max(batch.nextRevision, line->nextRevision);
      batch.events.insert(
        batch.events.end(), line->events.begin(), line->events.end());
    }
    if (!batch.events.empty()) {
      co_return batch;
    }
  }
}

static_assert(KeyValueService<EtcdGateway>);

} // namespace wigeonwalk
