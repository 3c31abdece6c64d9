// Keeps this daemon registered as a member of the cluster.
//
//   MemberPresence presence(store, timer, log, key, value);
//   spawn(presence.Run());
#pragma once

#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/structured_log.h"

#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// Writes one key with a lease and keeps the lease alive. One task.
template<KeyValueService S, Timer T, StructuredLog L>
class MemberPresence
{
public:
  // A killed daemon disappears from the membership after this time.
  static constexpr Duration kTimeToLive = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = kTimeToLive / 3;
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

  MemberPresence(S& aStore,
                 T& aTimer,
                 L& aLog,
                 std::string aKey,
                 std::string aValue)
    : store(aStore)
    , timer(aTimer)
    , log(aLog)
    , key(std::move(aKey))
    , value(std::move(aValue))
  {
  }

  Task<void> Run()
  {
    while (true) {
      FailureReason reason;
      bool ok = false;
      if (this->lease) {
        ok = co_await this->Renew(reason);
      } else {
        ok = co_await this->Announce(reason);
      }
      const Duration pause = ok ? kRenewInterval : kRetryDelay;
      co_await this->timer.WaitUntil(this->timer.Now() + pause);
    }
  }

private:
  Task<bool> Announce(FailureReason& aReason)
  {
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    const auto granted =
      co_await this->store.GrantLease(kTimeToLive, deadline, aReason);
    if (!granted) {
      co_return false;
    }
    const PutRequest put{ .key = this->key,
                          .value = this->value,
                          .lease = *granted };
    const WriteResult result = co_await this->store.Put(put, deadline, aReason);
    if (result.outcome != WriteOutcome::Applied) {
      co_return false;
    }
    this->lease = granted;
    co_return true;
  }

  Task<bool> Renew(FailureReason& aReason)
  {
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    FailureReason why;
    const auto left =
      co_await this->store.KeepAlive(*this->lease, deadline, why);
    if (!left && why.code == ReasonCode::Expired) {
      this->lease.reset();
      this->log.Write(this->timer.Now(),
                      LogLevel::Warning,
                      "membership lease expired",
                      {},
                      { LogField(why) });
    }
    aReason = why;
    co_return left.has_value();
  }

  S& store;
  T& timer;
  L& log;
  std::string key;
  std::string value;
  std::optional<LeaseId> lease;
};

} // namespace wigeonwalk
