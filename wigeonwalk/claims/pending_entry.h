// An entry that waits to be appended to the claim log.
//
//   auto pending = std::make_shared<PendingEntry>(executor, entry);
//   co_await pending->WaitForDecision();
#pragma once

#include "wigeonwalk/claims/claim_answer.h"
#include "wigeonwalk/ports/task.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace wigeonwalk {

// A queued entry. A claim has a caller who waits for its decision; releases and
// outcomes have none. One thread only.
class PendingEntry
{
public:
  PendingEntry(const boost::asio::any_io_executor& aExecutor, ClaimEntry aEntry)
    : entry(std::move(aEntry))
    , signal(aExecutor, boost::asio::steady_timer::time_point::max())
  {
  }

  // Sets the decision, unless there is one or the caller was told that the call
  // did not run, and wakes the caller.
  void Decide(const ClaimDecision& aDecision)
  {
    if (!this->decision && !this->withdrawn) {
      this->decision = aDecision;
      this->signal.cancel();
    }
  }

  // Wakes the caller without a decision, unless there is one.
  void Withdraw()
  {
    if (!this->decision) {
      this->withdrawn = true;
      this->signal.cancel();
    }
  }

  // Returns at the decision or withdrawal, or when the coroutine is cancelled.
  Task<void> WaitForDecision()
  {
    if (this->decision || this->withdrawn) {
      co_return;
    }
    boost::system::error_code error;
    co_await this->signal.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  const ClaimMade* Made() const { return std::get_if<ClaimMade>(&this->entry); }
  // True where the entry needs no append any more.
  bool Settled() const
  {
    return this->landed || this->withdrawn || this->decision.has_value();
  }

  ClaimEntry entry;
  std::optional<ClaimDecision> decision;
  // The caller was told that the call did not run.
  bool withdrawn = false;
  bool landed = false;

private:
  // Never expires; cancelled to wake the caller.
  boost::asio::steady_timer signal;
};

// One write of the log: a batch and the entries in it, in order.
struct AppendAttempt
{
  std::uint64_t batch = 0;
  // The tail that the write expects; it can land while the tail is this one.
  std::uint64_t tailIndex = 0;
  std::int64_t tailRevision = 0;
  std::vector<std::shared_ptr<PendingEntry>> items;
};

} // namespace wigeonwalk
