#include "wigeonwalk/standins/key_value_standin.h"
#include "wigeonwalk/standins/accept_loop.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <utility>

namespace wigeonwalk {

namespace {

constexpr Duration kSlowAnswer = std::chrono::seconds(2);

HttpResponse
JsonAnswer(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.push_back({ "Content-Type", "application/json" });
  response.body = std::move(aBody);
  return response;
}

HttpResponse
BadRequest()
{
  return JsonAnswer(400, R"({"error":"malformed request"})");
}

bool
InRange(const std::string& aKey, const EtcdRange& aRange)
{
  if (aRange.rangeEnd.empty()) {
    return aKey == aRange.key;
  }
  const bool open = aRange.rangeEnd == std::string(1, '\0');
  return aKey >= aRange.key && (open || aKey < aRange.rangeEnd);
}

std::vector<HttpHeader>
StreamHeaders()
{
  return { { "Content-Type", "application/json" } };
}

} // namespace

KeyValueStandin::KeyValueStandin(std::string aAddress,
                                 SystemTimer& aTimer,
                                 boost::asio::any_io_executor aExecutor)
  : address(std::move(aAddress))
  , timer(aTimer)
  , executor(std::move(aExecutor))
{
}

Task<void>
KeyValueStandin::Run(FailureReason& aReason)
{
  const auto serve = [this](HttpConnection aConnection) {
    return this->ServeConnection(std::move(aConnection));
  };
  co_await AcceptAll(this->executor, this->address, serve, aReason);
}

Task<void>
KeyValueStandin::ServeConnection(HttpConnection aConnection)
{
  while (true) {
    FailureReason reason;
    const auto request = co_await aConnection.ReadRequest(reason);
    if (!request) {
      co_return;
    }
    const bool command = request->target.rfind("/standin/", 0) == 0;
    if (!command && this->fault == KeyValueStandinFault::Down) {
      aConnection.Close();
      co_return;
    }
    if (!command && this->fault == KeyValueStandinFault::Slow) {
      co_await this->timer.WaitUntil(this->timer.Now() + kSlowAnswer);
    }
    if (request->target == "/v3/watch") {
      co_await this->ServeWatch(aConnection, request->body);
      co_return;
    }
    Reply reply = this->Answer(*request);
    if (!reply.answered) {
      aConnection.Close();
      co_return;
    }
    const bool written = co_await aConnection.WriteResponse(
      std::move(reply.response), request->keepAlive);
    if (!written || !request->keepAlive) {
      co_return;
    }
  }
}

Task<void>
KeyValueStandin::ServeWatch(HttpConnection& aConnection,
                            const std::string& aBody)
{
  using namespace boost::asio::experimental::awaitable_operators;
  FailureReason reason;
  const auto watch = DecodeWatch(aBody, reason);
  if (!watch) {
    co_return;
  }
  ++this->calls;
  bool open = co_await aConnection.BeginStream(200, StreamHeaders());
  std::int64_t next = watch->startRevision;
  WatchBatch batch;
  batch.nextRevision = this->revision + 1;
  bool first = true;
  while (open) {
    batch.events.clear();
    for (const WatchEvent& event : this->history) {
      if (event.entry.modRevision >= next &&
          InRange(event.entry.key, watch->range)) {
        batch.events.push_back(event);
      }
    }
    next = this->revision + 1;
    batch.nextRevision = next;
    const bool quiet = this->fault == KeyValueStandinFault::QuietWatches;
    if (first || (!batch.events.empty() && !quiet)) {
      std::string line = EncodeWatchLine(batch);
      open = co_await aConnection.WriteChunk(std::move(line));
      first = false;
    }
    const auto ended =
      co_await (this->changed.Wait() || aConnection.WaitClosed());
    open = open && ended.index() == 0;
  }
}

KeyValueStandin::Reply
KeyValueStandin::Answer(const HttpRequest& aRequest)
{
  this->ExpireLeases();
  const std::string& target = aRequest.target;
  if (target == "/standin/fault") {
    const auto wanted = ParseName<KeyValueStandinFault>(aRequest.body);
    this->fault = wanted.value_or(this->fault);
    return { JsonAnswer(wanted ? 200 : 400, "{}") };
  }
  if (target == "/standin/calls") {
    return { JsonAnswer(200, std::to_string(this->calls)) };
  }
  ++this->calls;
  if (target == "/v3/kv/range") {
    return { this->Range(aRequest.body) };
  }
  if (target == "/v3/kv/txn") {
    HttpResponse response = this->Transact(aRequest.body);
    return { std::move(response),
             this->fault != KeyValueStandinFault::LoseAnswers };
  }
  if (target == "/v3/lease/grant") {
    return { this->Grant(aRequest.body) };
  }
  if (target == "/v3/lease/keepalive") {
    return { this->Renew(aRequest.body) };
  }
  return { JsonAnswer(404, "{}") };
}

HttpResponse
KeyValueStandin::Range(const std::string& aBody)
{
  FailureReason reason;
  const auto range = DecodeRange(aBody, reason);
  if (!range) {
    return BadRequest();
  }
  std::vector<KeyValueEntry> found;
  for (const auto& [key, entry] : this->entries) {
    if (InRange(key, *range)) {
      found.push_back(entry);
    }
  }
  return JsonAnswer(200, EncodeRangeAnswer(found, this->revision));
}

HttpResponse
KeyValueStandin::Transact(const std::string& aBody)
{
  FailureReason reason;
  const auto transaction = DecodeTransaction(aBody, reason);
  if (!transaction || transaction->value.size() > kMaxValueBytes) {
    return BadRequest();
  }
  if (transaction->lease != 0 && !this->leases.contains(transaction->lease)) {
    return JsonAnswer(404, R"({"error":"no such lease"})");
  }
  const auto present = this->entries.find(transaction->key);
  const bool exists = present != this->entries.end();
  const std::int64_t actual = exists ? present->second.modRevision : 0;
  WriteResult result;
  if (transaction->expectedRevision.value_or(actual) != actual) {
    result.outcome = WriteOutcome::Conflict;
    result.revision = this->revision;
    if (exists) {
      result.current = present->second;
    }
    return JsonAnswer(200, EncodeTransactionAnswer(result));
  }
  if (transaction->action == EtcdAction::Delete) {
    this->Erase(transaction->key);
  } else {
    this->Store({ transaction->key,
                  transaction->value,
                  exists ? present->second.createRevision : 0,
                  0,
                  transaction->lease });
  }
  result.outcome = WriteOutcome::Applied;
  result.revision = this->revision;
  return JsonAnswer(200, EncodeTransactionAnswer(result));
}

void
KeyValueStandin::Store(KeyValueEntry aEntry)
{
  ++this->revision;
  aEntry.modRevision = this->revision;
  if (aEntry.createRevision == 0) {
    aEntry.createRevision = this->revision;
  }
  this->history.push_back({ false, aEntry });
  this->entries[aEntry.key] = std::move(aEntry);
  this->changed.Notify();
}

void
KeyValueStandin::Erase(const std::string& aKey)
{
  if (this->entries.erase(aKey) == 0) {
    return;
  }
  ++this->revision;
  KeyValueEntry gone;
  gone.key = aKey;
  gone.modRevision = this->revision;
  this->history.push_back({ true, std::move(gone) });
  this->changed.Notify();
}

HttpResponse
KeyValueStandin::Grant(const std::string& aBody)
{
  FailureReason reason;
  const auto wanted = DecodeLeaseMessage(aBody, reason);
  if (!wanted || wanted->seconds <= 0) {
    return BadRequest();
  }
  const Duration timeToLive = std::chrono::seconds(wanted->seconds);
  const LeaseId id = ++this->lastLease;
  this->leases[id] = { timeToLive, this->timer.Now() + timeToLive };
  return JsonAnswer(200, EncodeLeaseAnswer({ id, wanted->seconds }));
}

HttpResponse
KeyValueStandin::Renew(const std::string& aBody)
{
  FailureReason reason;
  const auto wanted = DecodeLeaseMessage(aBody, reason);
  if (!wanted) {
    return BadRequest();
  }
  const auto lease = this->leases.find(wanted->id);
  if (lease == this->leases.end()) {
    return JsonAnswer(200, EncodeLeaseAnswer({ wanted->id, 0 }));
  }
  lease->second.expiresAt = this->timer.Now() + lease->second.timeToLive;
  const auto seconds =
    std::chrono::floor<std::chrono::seconds>(lease->second.timeToLive);
  return JsonAnswer(200, EncodeLeaseAnswer({ wanted->id, seconds.count() }));
}

void
KeyValueStandin::ExpireLeases()
{
  const TimePoint now = this->timer.Now();
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.expiresAt > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : this->entries) {
      if (entry.lease == lease->first) {
        keys.push_back(key);
      }
    }
    lease = this->leases.erase(lease);
    for (const std::string& key : keys) {
      this->Erase(key);
    }
  }
}

} // namespace wigeonwalk
