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

// A queued entry. A claim has a caller that waits for its decision; releases
// and outcomes have none. Not thread-safe.
class PendingEntry
{
public:
  PendingEntry(const boost::asio::any_io_executor& aExecutor, ClaimEntry aEntry)
    : entry(std::move(aEntry))
    , signal(aExecutor, boost::asio::steady_timer::time_point::max())
  {
  }

  // Sets the decision and wakes the caller. Has no effect if there is a
  // decision already or if the caller was told that the call did not run.
  void Decide(const ClaimDecision& aDecision)
  {
    if (!this->decision && !this->withdrawn) {
      this->decision = aDecision;
      this->signal.cancel();
    }
  }

  // Wakes the caller without a decision. Has no effect if there is one already.
  void Withdraw()
  {
    if (!this->decision) {
      this->withdrawn = true;
      this->signal.cancel();
    }
  }

  // Returns once the entry is decided or withdrawn, or when the coroutine is
  // cancelled.
  Task<void> WaitForDecision()
  {
    if (this->decision || this->withdrawn) {
      co_return;
    }
    boost::system::error_code error;
    co_await this->signal.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  const ClaimMade* AsClaim() const
  {
    return std::get_if<ClaimMade>(&this->entry);
  }
  // Returns true if the entry no longer needs to be appended.
  bool IsResolved() const
  {
    return this->appended || this->withdrawn || this->decision.has_value();
  }

  ClaimEntry entry;
  std::optional<ClaimDecision> decision;
  // The caller was told that the call did not run.
  bool withdrawn = false;
  // The entry is in the log, or its append is no longer needed.
  bool appended = false;

private:
  // Never expires; it is cancelled to wake the caller.
  boost::asio::steady_timer signal;
};

// One append to the log: a batch and its entries, in order.
struct AppendAttempt
{
  std::uint64_t batch = 0;
  // The tail that the write expects. The write can take effect only while the
  // tail has this index and revision.
  std::uint64_t tailIndex = 0;
  std::int64_t tailRevision = 0;
  std::vector<std::shared_ptr<PendingEntry>> items;
};

} // namespace wigeonwalk
