#include "wigeonwalk/testing/fake_key_value.h"

#include "wigeonwalk/testing/internal/key_value_state.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace wigeonwalk {

using testing_internal::ExpireLease;
using testing_internal::KeyValueState;
using testing_internal::LapseAt;

namespace {

std::int64_t
SecondOf(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aTime.time_since_epoch())
    .count();
}

// Applies a call that the service handles after its caller has timed out.
template<typename F>
Task<void>
ApplyLater(std::shared_ptr<KeyValueState> aState, TimePoint aTime, F aApply)
{
  co_await aState->time.WaitUntil(aTime);
  aApply();
}

} // namespace

// The service's reply to a write: the result, and the reason of a refusal.
struct FakeKeyValue::Reply
{
  WriteResult result;
  FailureReason reason;
};

FakeKeyValue::FakeKeyValue(VirtualTime& aTime)
  : state(std::make_shared<KeyValueState>(aTime))
{
}

FakeKeyValue::FakeKeyValue(std::shared_ptr<KeyValueState> aState)
  : state(std::move(aState))
{
}

FakeKeyValue
FakeKeyValue::Connect() const
{
  return FakeKeyValue(this->state);
}

void
FakeKeyValue::AddFault(KeyValueFaultRow aRow)
{
  if (aRow.fault == KeyValueFault::LeaseLapsed) {
    this->state->time.Spawn(LapseAt(this->state, aRow.from, aRow.keyPrefix));
    return;
  }
  this->state->faults.push_back(std::move(aRow));
}

void
FakeKeyValue::AddLinkFault(KeyValueFaultRow aRow)
{
  this->linkFaults.push_back(std::move(aRow));
}

void
FakeKeyValue::LapseLease(LeaseId aLease)
{
  this->state->Lapse(aLease);
}

void
FakeKeyValue::TakeCopy()
{
  this->state->TakeCopy();
}

void
FakeKeyValue::RestoreCopy()
{
  this->state->RestoreCopy();
}

std::uint64_t
FakeKeyValue::Count(KeyValueCall aCall) const
{
  return this->state->counts[static_cast<std::size_t>(aCall)];
}

std::uint64_t
FakeKeyValue::CountAll() const
{
  std::uint64_t sum = 0;
  for (const std::uint64_t count : this->state->counts) {
    sum += count;
  }
  return sum;
}

std::uint64_t
FakeKeyValue::PeakPerSecond() const
{
  std::uint64_t peak = 0;
  for (const auto& [second, count] : this->state->perSecond) {
    peak = std::max(peak, count);
  }
  return peak;
}

std::uint64_t
FakeKeyValue::CountBetween(TimePoint aFrom, TimePoint aUntil) const
{
  std::uint64_t sum = 0;
  const auto& perSecond = this->state->perSecond;
  for (auto row = perSecond.lower_bound(SecondOf(aFrom));
       row != perSecond.end() && row->first < SecondOf(aUntil);
       ++row) {
    sum += row->second;
  }
  return sum;
}

std::vector<WatchEvent>
FakeKeyValue::Changes(const std::string& aPrefix) const
{
  return this->state->EventsFrom(aPrefix, 0);
}

std::optional<KeyValueEntry>
FakeKeyValue::Peek(const std::string& aKey) const
{
  const auto found = this->state->entries.find(aKey);
  if (found == this->state->entries.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::int64_t
FakeKeyValue::Store(const std::string& aKey, const std::string& aValue)
{
  return this->state->Write({ .key = aKey, .value = aValue });
}

const KeyValueFaultRow*
FakeKeyValue::FindFault(KeyValueFault aFault, const std::string& aKey) const
{
  const TimePoint now = this->state->time.Now();
  using Rows = std::vector<KeyValueFaultRow>;
  const std::array<const Rows*, 2> tables{ &this->linkFaults,
                                           &this->state->faults };
  for (const Rows* rows : tables) {
    for (const KeyValueFaultRow& row : *rows) {
      if (row.fault == aFault && row.from <= now && now < row.until &&
          aKey.starts_with(row.keyPrefix)) {
        return &row;
      }
    }
  }
  return nullptr;
}

bool
FakeKeyValue::ReplaceDeadConnection()
{
  const TimePoint now = this->state->time.Now();
  return std::erase_if(this->linkFaults, [now](const KeyValueFaultRow& aRow) {
           return aRow.fault == KeyValueFault::DeadConnection &&
                  aRow.from <= now;
         }) > 0;
}

void
FakeKeyValue::CountCall(KeyValueCall aCall)
{
  ++this->state->counts[static_cast<std::size_t>(aCall)];
  ++this->state->perSecond[SecondOf(this->state->time.Now())];
}

// Callers pass `aApply` as a named variable: g++ 12 destroys a temporary lambda
// in a co_await expression twice.
template<typename R, typename F>
Task<std::optional<R>>
FakeKeyValue::Call(KeyValueCall aCall,
                   std::string aKey,
                   TimePoint aDeadline,
                   FailureReason& aReason,
                   F aApply)
{
  co_await this->WaitForPauseEnd();
  auto answer = co_await this->Deliver<R>(
    aCall, std::move(aKey), aDeadline, aReason, std::move(aApply));
  co_await this->WaitForPauseEnd();
  co_return answer;
}

Task<void>
FakeKeyValue::WaitForPauseEnd()
{
  if (this->pause) {
    VirtualTime& time = this->state->time;
    co_await time.WaitUntil(this->pause->ResumeTime(time.Now()));
  }
}

template<typename R, typename F>
Task<std::optional<R>>
FakeKeyValue::Deliver(KeyValueCall aCall,
                      std::string aKey,
                      TimePoint aDeadline,
                      FailureReason& aReason,
                      F aApply)
{
  const std::shared_ptr<KeyValueState> shared = this->state;
  VirtualTime& time = shared->time;
  this->CountCall(aCall);
  if (this->FindFault(KeyValueFault::Down, aKey)) {
    co_await time.WaitUntil(std::min(aDeadline, time.Now() + kLatency / 2));
    co_return Fail(aReason, ReasonCode::ConnectRefused, "connection refused");
  }
  if (this->ReplaceDeadConnection() ||
      this->FindFault(KeyValueFault::Silent, aKey)) {
    co_await time.WaitUntil(aDeadline);
    this->ReplaceDeadConnection();
    co_return Fail(aReason, ReasonCode::ResponseTimeout, "no answer in time");
  }
  const KeyValueFaultRow* slow = this->FindFault(KeyValueFault::Slow, aKey);
  const bool lost = this->FindFault(KeyValueFault::AnswerLost, aKey) != nullptr;
  const TimePoint handled =
    time.Now() + kLatency / 2 + (slow ? slow->delay : Duration(0));
  if (aDeadline < handled + kLatency / 2) {
    time.Spawn(ApplyLater(shared, handled, std::move(aApply)));
    co_await time.WaitUntil(aDeadline);
    co_return Fail(aReason, ReasonCode::ResponseTimeout, "no answer in time");
  }
  co_await time.WaitUntil(handled);
  R answer = aApply();
  if (lost) {
    co_return Fail(
      aReason, ReasonCode::ConnectionLostAfterWrite, "connection lost");
  }
  co_await time.WaitUntil(handled + kLatency / 2);
  co_return answer;
}

Task<WriteResult>
FakeKeyValue::Write(KeyValueCall aCall,
                    std::string aKey,
                    TimePoint aDeadline,
                    FailureReason& aReason,
                    std::function<Reply()> aApply)
{
  FailureReason failure;
  auto reply = co_await this->Call<Reply>(
    aCall, std::move(aKey), aDeadline, failure, std::move(aApply));
  if (!reply) {
    aReason = failure;
    WriteResult result;
    result.outcome = failure.code == ReasonCode::ConnectRefused
                       ? WriteOutcome::NotSent
                       : WriteOutcome::Unknown;
    co_return result;
  }
  if (reply->result.outcome != WriteOutcome::Applied) {
    aReason = reply->reason;
  }
  co_return reply->result;
}

Task<std::optional<ReadResult>>
FakeKeyValue::Get(std::string aKey, TimePoint aDeadline, FailureReason& aReason)
{
  const auto shared = this->state;
  const auto apply = [shared, aKey] {
    ReadResult result;
    const auto found = shared->entries.find(aKey);
    if (found != shared->entries.end()) {
      result.entry = found->second;
    }
    result.revision = shared->revision;
    return result;
  };
  co_return co_await this->Call<ReadResult>(
    KeyValueCall::Get, aKey, aDeadline, aReason, apply);
}

Task<std::optional<std::vector<KeyValueEntry>>>
FakeKeyValue::List(std::string aPrefix,
                   TimePoint aDeadline,
                   FailureReason& aReason)
{
  const auto shared = this->state;
  const auto apply = [shared, aPrefix] {
    std::vector<KeyValueEntry> result;
    for (const auto& [key, entry] : shared->entries) {
      if (key.starts_with(aPrefix)) {
        result.push_back(entry);
      }
    }
    return result;
  };
  co_return co_await this->Call<std::vector<KeyValueEntry>>(
    KeyValueCall::List, aPrefix, aDeadline, aReason, apply);
}

Task<WriteResult>
FakeKeyValue::Put(PutRequest aPut, TimePoint aDeadline, FailureReason& aReason)
{
  const auto shared = this->state;
  const std::function<Reply()> apply = [shared, aPut]() -> Reply {
    Reply reply;
    reply.result = shared->Compare(aPut.key, aPut.expectedRevision);
    if (reply.result.outcome == WriteOutcome::Conflict) {
      reply.reason = { ReasonCode::Conflict, "revision differs", aPut.key };
      return reply;
    }
    if (aPut.lease != 0 && !shared->leases.contains(aPut.lease)) {
      reply.reason = { ReasonCode::Expired, "the lease has lapsed", aPut.key };
      return reply;
    }
    if (aPut.value.size() > kMaxValueBytes) {
      reply.reason = { ReasonCode::TooLarge, "value is too large", aPut.key };
      return reply;
    }
    reply.result.revision = shared->Write(aPut);
    reply.result.outcome = WriteOutcome::Applied;
    return reply;
  };
  co_return co_await this->Write(
    KeyValueCall::Put, aPut.key, aDeadline, aReason, apply);
}

Task<WriteResult>
FakeKeyValue::Delete(std::string aKey,
                     std::optional<std::int64_t> aExpectedRevision,
                     TimePoint aDeadline,
                     FailureReason& aReason)
{
  const auto shared = this->state;
  const std::function<Reply()> apply =
    [shared, aKey, aExpectedRevision]() -> Reply {
    Reply reply;
    reply.result = shared->Compare(aKey, aExpectedRevision);
    if (reply.result.outcome == WriteOutcome::Conflict) {
      reply.reason = { ReasonCode::Conflict, "revision differs", aKey };
      return reply;
    }
    shared->Erase(aKey);
    reply.result.outcome = WriteOutcome::Applied;
    reply.result.revision = shared->revision;
    return reply;
  };
  co_return co_await this->Write(
    KeyValueCall::Delete, aKey, aDeadline, aReason, apply);
}

Task<std::optional<LeaseId>>
FakeKeyValue::GrantLease(Duration aTimeToLive,
                         TimePoint aDeadline,
                         FailureReason& aReason)
{
  const auto shared = this->state;
  const auto apply = [shared, aTimeToLive] {
    const LeaseId lease = shared->nextLease++;
    shared->leases[lease] = { aTimeToLive, shared->time.Now() + aTimeToLive };
    shared->time.Spawn(ExpireLease(shared, lease));
    return lease;
  };
  co_return co_await this->Call<LeaseId>(
    KeyValueCall::GrantLease, "", aDeadline, aReason, apply);
}

Task<std::optional<Duration>>
FakeKeyValue::KeepAlive(LeaseId aLease,
                        TimePoint aDeadline,
                        FailureReason& aReason)
{
  const auto shared = this->state;
  const auto apply = [shared, aLease] {
    const auto found = shared->leases.find(aLease);
    if (found == shared->leases.end()) {
      return Duration(0);
    }
    found->second.expiresAt = shared->time.Now() + found->second.timeToLive;
    return found->second.timeToLive;
  };
  auto remaining = co_await this->Call<Duration>(
    KeyValueCall::KeepAlive, "", aDeadline, aReason, apply);
  if (remaining && *remaining == Duration(0)) {
    co_return Fail(aReason, ReasonCode::Expired, "the lease has lapsed");
  }
  co_return remaining;
}

Task<std::optional<WatchBatch>>
FakeKeyValue::Watch(std::string aPrefix,
                    std::int64_t aRevision,
                    TimePoint aDeadline,
                    FailureReason& aReason)
{
  using boost::asio::experimental::awaitable_operators::operator||;
  const auto shared = this->state;
  if (this->FindFault(KeyValueFault::QuietWatch, aPrefix)) {
    this->CountCall(KeyValueCall::Watch);
    co_await shared->time.WaitUntil(aDeadline);
    co_return WatchBatch{ {}, aRevision };
  }
  const auto apply = [] { return true; };
  auto opened = co_await this->Call<bool>(
    KeyValueCall::Watch, aPrefix, aDeadline, aReason, apply);
  if (!opened) {
    co_return std::nullopt;
  }
  WatchBatch batch;
  while (true) {
    if (IncarnationOf(aRevision) != IncarnationOf(shared->revision)) {
      co_return Fail(aReason, ReasonCode::Stale, "revision is not available");
    }
    batch.events = shared->EventsFrom(aPrefix, aRevision);
    if (!batch.events.empty() || shared->time.Now() >= aDeadline) {
      break;
    }
    auto signal = std::make_shared<boost::asio::steady_timer>(
      shared->time.Context(), boost::asio::steady_timer::time_point::max());
    shared->signals.push_back({ aPrefix, signal });
    boost::system::error_code ignored;
    co_await (signal->async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, ignored)) ||
              shared->time.WaitUntil(aDeadline));
    std::erase_if(shared->signals,
                  [&](const auto& aRow) { return aRow.timer == signal; });
  }
  batch.nextRevision = std::max(aRevision, shared->revision + 1);
  co_return batch;
}

} // namespace wigeonwalk
