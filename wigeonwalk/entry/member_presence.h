// Keeps this daemon registered as a member of the cluster.
//
//   MemberPresence presence(mirror, store, timer, log, key, value);
//   spawn(presence.Run());
#pragma once

#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

// Writes one key with a lease and keeps the lease alive. Writes it again when
// the mirror shows that it is gone or that the registry was restored from a
// copy, in which the lease may be missing. One task.
template<KeyValueService S, Timer T, StructuredLog L>
class MemberPresence
{
public:
  // A killed daemon disappears from the membership after this time.
  static constexpr Duration kTimeToLive = std::chrono::seconds(8);
  static constexpr Duration kRenewInterval = kTimeToLive / 3;
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

  // How often the mirror is checked for the key.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
  // Daemons that miss their keys at the same time write them over this time.
  static constexpr Duration kAnnounceSpread = std::chrono::milliseconds(500);

  MemberPresence(const ItemMirror& aMirror,
                 S& aStore,
                 T& aTimer,
                 L& aLog,
                 std::string aKey,
                 std::string aValue)
    : mirror(aMirror)
    , store(aStore)
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
      co_await this->WaitWhilePresent(this->timer.Now() + pause);
    }
  }

private:
  // Waits until `aUntil`, or until the lease is found to be lost.
  Task<void> WaitWhilePresent(TimePoint aUntil)
  {
    while (this->timer.Now() < aUntil) {
      co_await this->timer.WaitUntil(
        std::min(aUntil, this->timer.Now() + kCheckInterval));
      if (this->lease && this->IsLost()) {
        this->lease.reset();
        this->log.Write(this->timer.Now(),
                        LogLevel::Warning,
                        "membership lost in the registry",
                        {},
                        { { LogKey::Revision, this->mirror.Revision() } });
        co_await this->timer.WaitUntil(this->timer.Now() +
                                       this->AnnounceDelay());
        co_return;
      }
    }
  }

  // Returns true if the registry was restored since the key was written, or the
  // mirror, which is up to date with that write, lacks the key.
  bool IsLost() const
  {
    const std::int64_t revision = this->mirror.Revision();
    return IncarnationOf(revision) > LeaseIncarnationOf(*this->lease) ||
           (revision >= this->writtenAt &&
            this->mirror.Find(this->key) == nullptr);
  }

  Duration AnnounceDelay() const
  {
    constexpr std::uint64_t kSteps = 1'024;
    const std::uint64_t step = HashBytes(this->key, 0).low % kSteps;
    return kAnnounceSpread * step / kSteps;
  }

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
    this->writtenAt = result.revision;
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

  const ItemMirror& mirror;
  S& store;
  T& timer;
  L& log;
  std::string key;
  std::string value;
  std::optional<LeaseId> lease;
  // Revision at which the key was written.
  std::int64_t writtenAt = 0;
};

} // namespace wigeonwalk
