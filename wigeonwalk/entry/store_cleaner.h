// Frees obsolete KV cache in stores.
//
//   StoreCleaner cleaner(state, leader, control, timer, log);
//   spawn(cleaner.Run());
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/order_authority.h"
#include "wigeonwalk/fleet/cache_salt.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/runner_control.h"
#include "wigeonwalk/ports/structured_log.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// A store that never evicts keeps the cache of old weights until it is freed.
// Cache is freed once every runner of the model has newer weights: each request
// names the weights that it expects, so none can fetch the older cache any
// more. So is the cache of domains that the configuration has no more, once all
// daemons use the new one and the requests that were placed under the former
// one have ended. Partially written parts are freed as well. Active only while
// the daemon holds the lease on orders. One task.
template<OrderAuthority O, RunnerControl C, Timer T, StructuredLog L>
class StoreCleaner
{
public:
  static constexpr Duration kLoopInterval = std::chrono::milliseconds(500);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
  // Delay after the end of a rollout, for fetches by a runner's last requests
  // on its old weights.
  static constexpr Duration kFreeDelay = std::chrono::seconds(1);
  // Most parts that one call frees.
  static constexpr std::size_t kMaxPartsPerCall = 256;

  StoreCleaner(EntryState& aState, O& aLeader, C& aControl, T& aTimer, L& aLog)
    : state(aState)
    , leader(aLeader)
    , control(aControl)
    , timer(aTimer)
    , log(aLog)
  {
  }

  Task<void> Run()
  {
    while (true) {
      if (this->leader.FencingNumber() && this->state.Routes() != nullptr) {
        co_await this->CleanStores();
      } else {
        this->cleaned.clear();
      }
      const TimePoint next = this->timer.Now() + kLoopInterval;
      co_await this->timer.WaitUntil(next);
    }
  }

private:
  using Versions = std::map<ModelName, WeightNumber>;

  // What decides which cache is obsolete.
  struct CacheInUse
  {
    Versions oldest;
    // The cache domains of the configuration, unless they changed a short time
    // ago; then empty.
    std::set<std::string> domains;

    bool operator==(const CacheInUse&) const = default;
  };

  // Returns the oldest version of each model's weights at any runner; zero if a
  // runner's version is unknown.
  Versions OldestWeights() const
  {
    Versions oldest;
    for (const auto& runner : this->state.fleet.All()) {
      for (const LoadedModel& loaded : runner->entry.models) {
        const auto [entry, isNew] =
          oldest.try_emplace(loaded.model, loaded.version);
        entry->second = std::min(entry->second, loaded.version);
      }
    }
    return oldest;
  }

  // Returns the time within which all daemons use a new configuration and the
  // requests that were placed before have ended.
  Duration DomainFreeDelay() const
  {
    Duration longest{ 0 };
    for (const Route& route : this->state.Routes()->Configuration().routes) {
      longest = std::max(longest, route.timeout);
    }
    return this->state.Settings().bounds.configurationPropagation + longest;
  }

  // Returns the cache that is in use, or nothing for kFreeDelay after a change
  // of weights.
  std::optional<CacheInUse> StableCacheInUse()
  {
    const TimePoint now = this->timer.Now();
    Versions oldest = this->OldestWeights();
    std::set<std::string> domains = this->state.Routes()->Domains().All();
    if (oldest != this->seen) {
      this->seen = oldest;
      this->seenSince = now;
    }
    if (domains != this->seenDomains) {
      this->seenDomains = domains;
      this->domainsSince = now;
    }
    if (now - this->seenSince < kFreeDelay) {
      return std::nullopt;
    }
    if (now - this->domainsSince < this->DomainFreeDelay()) {
      domains.clear();
    }
    return CacheInUse{ std::move(oldest), std::move(domains) };
  }

  Task<void> CleanStores()
  {
    const auto used = this->StableCacheInUse();
    if (!used) {
      co_return;
    }
    std::vector<std::string> addresses;
    for (const auto& service : this->state.Routes()->Configuration().services) {
      if (service.cacheStore && service.cacheStore->freedByCaller) {
        addresses.push_back(service.cacheStore->address);
      }
    }
    for (const std::string& address : addresses) {
      if (this->cleaned[address] == *used) {
        continue;
      }
      const bool done = co_await this->CleanStore(address, *used);
      if (done) {
        this->cleaned[address] = *used;
      }
    }
  }

  static bool IsObsolete(const PartName& aPart, const CacheInUse& aUsed)
  {
    const auto owner = ParseCacheSalt(aPart.salt);
    if (!owner) {
      return false;
    }
    if (!aUsed.domains.empty() && !aUsed.domains.contains(owner->domain)) {
      return true;
    }
    const auto model = aUsed.oldest.find(owner->model);
    return model != aUsed.oldest.end() && owner->version < model->second;
  }

  Task<bool> CleanStore(std::string aAddress, CacheInUse aUsed)
  {
    FailureReason reason;
    const TimePoint listBy = this->timer.Now() + kCallTimeout;
    const auto listing =
      co_await this->control.ListParts(aAddress, listBy, reason);
    if (!listing) {
      co_return false;
    }
    std::vector<PartName> obsolete;
    for (const PartEvent& part : listing->complete) {
      if (IsObsolete(part.name, aUsed)) {
        obsolete.push_back(part.name);
      }
    }
    for (const PartName& part : listing->incomplete) {
      if (IsObsolete(part, aUsed)) {
        obsolete.push_back(part);
      }
    }
    for (std::size_t i = 0; i < obsolete.size(); i += kMaxPartsPerCall) {
      const auto first = obsolete.begin() + static_cast<std::ptrdiff_t>(i);
      const auto count = std::min(kMaxPartsPerCall, obsolete.size() - i);
      const std::vector<PartName> some(
        first, first + static_cast<std::ptrdiff_t>(count));
      const TimePoint freeBy = this->timer.Now() + kCallTimeout;
      const bool freed = co_await this->control.FreeParts(
        aAddress, some, listing->epoch, freeBy, reason);
      if (!freed) {
        co_return false;
      }
    }
    this->log.Write(this->timer.Now(),
                    LogLevel::Info,
                    "store cleaned",
                    {},
                    { LogField::Name(LogKey::Address, aAddress),
                      { LogKey::Count, obsolete.size() } });
    co_return true;
  }

  EntryState& state;
  O& leader;
  C& control;
  T& timer;
  L& log;
  Versions seen;
  TimePoint seenSince;
  std::set<std::string> seenDomains;
  TimePoint domainsSince;
  // For each store, the cache that was in use when all other was freed.
  std::map<std::string, CacheInUse> cleaned;
};

} // namespace wigeonwalk
