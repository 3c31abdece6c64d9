// Transfers pieces of KV cache between engines and store hosts: restores before
// a request's prefill, and exports after its answer.
//
//   std::size_t restored =
//     co_await mover.Restore(document, organisation, pieces, engine);
#pragma once

#include "wigeonwalk/cache/piece_key.h"
#include "wigeonwalk/cache/retention.h"
#include "wigeonwalk/ports/event_sink.h"
#include "wigeonwalk/serving/cache_state.h"
#include "wigeonwalk/serving/directory_service.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <vector>

namespace wigeonwalk {

// Time for the calls that restore or export one piece. If a restore takes
// longer, the engine computes the piece instead.
inline constexpr Duration kPieceTimeout = std::chrono::seconds(2);

// Number of pieces that one request restores concurrently.
inline constexpr std::size_t kRestoreConcurrency = 4;

// Returns the client of the store host that a specification describes.
template<typename T>
concept StoreProvider = requires(T& aProvider, const StoreSpec& aStore)
{
  {
    aProvider.StoreOf(aStore)
    } -> std::same_as<typename T::Store&>;
}
&&StoreHost<typename T::Store>;

// Looks up and announces stored copies of pieces; see
// serving/directory_service.h.
template<typename T>
concept PieceLocator = requires(T& aLocator,
                                const std::vector<PieceKey>& aChain,
                                DirectoryUpdate aUpdate)
{
  {
    aLocator.Lookup(aChain)
    } -> std::same_as<Task<ChainCopies>>;
  {
    aLocator.Announce(aUpdate)
    } -> std::same_as<void>;
};

// Transfers pieces for one daemon. The references must outlive it.
template<Timer Time,
         StoreProvider Stores,
         PieceLocator Locator,
         EventSink Events>
class CacheMover
{
public:
  CacheMover(CacheState& aCache,
             Time& aTime,
             Stores& aStores,
             Locator& aLocator,
             Events& aEvents)
    : cache(aCache)
    , time(aTime)
    , stores(aStores)
    , locator(aLocator)
    , events(aEvents)
  {
  }

  // Returns the stored copies of a prompt's leading pieces.
  Task<ChainCopies> Locate(const std::vector<PieceKey>& aChain)
  {
    co_return co_await this->locator.Lookup(aChain);
  }

  // Restores consecutive pieces of a chain to an engine. Returns the number of
  // leading pieces that the engine then holds. The first failed piece ends the
  // prefix, because the engine cannot use any piece after it.
  template<CacheTransferEngine Engine>
  Task<std::size_t> Restore(const ServiceDocument& aDocument,
                            const OrganisationId& aOrganisation,
                            std::span<const SealedPiece> aPieces,
                            Engine& aEngine)
  {
    using namespace boost::asio::experimental::awaitable_operators;
    Progress progress{ aDocument, aOrganisation, aPieces, aPieces.size() };
    co_await (this->RestoreStripe(progress, 0, aEngine) &&
              this->RestoreStripe(progress, 1, aEngine) &&
              this->RestoreStripe(progress, 2, aEngine) &&
              this->RestoreStripe(progress, 3, aEngine));
    co_return progress.usable;
  }

  // Exports the pieces of a chain that no store host holds yet, up to the first
  // one that is not worth keeping or fails. Returns the number of exported
  // pieces. Restores for callers take precedence on each link.
  template<CacheTransferEngine Engine>
  Task<std::size_t> Export(const ServiceDocument& aDocument,
                           const OrganisationId& aOrganisation,
                           std::vector<PieceKey> aChain,
                           double aReturnChance,
                           Engine& aEngine)
  {
    const ChainCopies known = co_await this->locator.Lookup(aChain);
    DirectoryUpdate update;
    for (std::size_t i = known.size(); i < aChain.size(); ++i) {
      const auto sealed = co_await this->ExportPiece(
        aDocument, aOrganisation, aChain, i, aReturnChance, aEngine);
      if (!sealed) {
        break;
      }
      update.added.push_back(*sealed);
    }
    const std::size_t exported = update.added.size();
    this->locator.Announce(std::move(update));
    co_return exported;
  }

private:
  struct Progress
  {
    const ServiceDocument& document;
    const OrganisationId& organisation;
    std::span<const SealedPiece> pieces;
    // Number of leading pieces that can still be used, if none of them fails.
    std::size_t usable;
  };

  static const StoreSpec* FindStore(const ServiceDocument& aDocument,
                                    const UpstreamId& aStore)
  {
    for (const StoreSpec& store : aDocument.stores) {
      if (store.id == aStore) {
        return &store;
      }
    }
    return nullptr;
  }

  // Restores every kRestoreConcurrency-th piece from `aFirst` on.
  template<CacheTransferEngine Engine>
  Task<void> RestoreStripe(Progress& aProgress,
                           std::size_t aFirst,
                           Engine& aEngine)
  {
    for (std::size_t i = aFirst; i < aProgress.usable;
         i += kRestoreConcurrency) {
      const bool restored =
        co_await this->RestorePiece(aProgress, aProgress.pieces[i], aEngine);
      if (!restored) {
        aProgress.usable = std::min(aProgress.usable, i);
      }
    }
  }

  template<CacheTransferEngine Engine>
  Task<bool> RestorePiece(const Progress& aProgress,
                          const SealedPiece& aPiece,
                          Engine& aEngine)
  {
    const StoreSpec* spec = FindStore(aProgress.document, aPiece.store);
    if (spec == nullptr) {
      co_return false;
    }
    auto slot = co_await this->cache.LinkOf(*spec, aPiece.tier)
                  .Enter(TransferKind::CallerRestore,
                         aProgress.organisation,
                         aPiece.bytes,
                         this->time);
    auto& store = this->stores.StoreOf(*spec);
    FailureReason reason;
    const TimePoint deadline = this->time.Now() + kPieceTimeout;
    const auto lease = co_await store.Acquire(aPiece, deadline, reason);
    if (!lease) {
      this->DropCopy(aPiece, reason);
      co_return false;
    }
    const bool imported = co_await aEngine.Import(*lease, deadline, reason);
    FailureReason ignored;
    co_await store.Release(*lease, deadline, ignored);
    if (!imported) {
      this->DropCopy(aPiece, reason);
      co_return false;
    }
    slot.Complete();
    co_return true;
  }

  template<CacheTransferEngine Engine>
  Task<std::optional<SealedPiece>> ExportPiece(
    const ServiceDocument& aDocument,
    const OrganisationId& aOrganisation,
    const std::vector<PieceKey>& aChain,
    std::size_t aIndex,
    double aReturnChance,
    Engine& aEngine)
  {
    const StoreSpec* spec = this->ChooseStore(aDocument, aChain.front());
    if (spec == nullptr) {
      co_return std::nullopt;
    }
    const auto tier = this->ChooseTier(aDocument, *spec, aReturnChance);
    if (!tier) {
      co_return std::nullopt;
    }
    const std::uint64_t bytes =
      aDocument.model.cacheBytesPerToken * kPieceTokens;
    auto slot =
      co_await this->cache.LinkOf(*spec, *tier)
        .Enter(TransferKind::Export, aOrganisation, bytes, this->time);
    auto& store = this->stores.StoreOf(*spec);
    FailureReason reason;
    const TimePoint deadline = this->time.Now() + kPieceTimeout;
    const auto ticket =
      co_await store.Reserve(aChain[aIndex], bytes, *tier, deadline, reason);
    if (!ticket) {
      this->RecordFailure(spec->id, reason);
      co_return std::nullopt;
    }
    auto sealed = co_await aEngine.Export(*ticket, deadline, reason);
    if (!sealed) {
      this->RecordFailure(spec->id, reason);
      co_return std::nullopt;
    }
    sealed->store = spec->id;
    sealed->root = aChain.front();
    sealed->index = static_cast<std::uint32_t>(aIndex);
    const bool visible = co_await store.Seal(*sealed, deadline, reason);
    if (!visible) {
      this->RecordFailure(spec->id, reason);
      co_return std::nullopt;
    }
    slot.Complete();
    this->Record(EventKind::PieceExported, spec->id);
    co_return sealed;
  }

  // Returns the store host of a chain. It depends only on the chain's root, so
  // that all daemons choose the same one.
  static const StoreSpec* ChooseStore(const ServiceDocument& aDocument,
                                      const PieceKey& aRoot)
  {
    if (aDocument.stores.empty()) {
      return nullptr;
    }
    return &aDocument.stores[aRoot.low % aDocument.stores.size()];
  }

  std::optional<StoreTier> ChooseTier(const ServiceDocument& aDocument,
                                      const StoreSpec& aStore,
                                      double aReturnChance)
  {
    const std::uint64_t bytes =
      aDocument.model.cacheBytesPerToken * kPieceTokens;
    PieceValue value;
    value.bytes = bytes;
    value.recomputeSeconds =
      kPieceTokens / std::max(aDocument.model.prefillTokensPerSecond, 1.0);
    value.memoryReadSeconds = ReadSeconds(bytes, aStore.memoryLinkRate);
    value.diskReadSeconds = ReadSeconds(bytes, aStore.diskLinkRate);
    value.returnChance = aReturnChance;
    switch (Retention(RetentionPrices()).BeforeEviction(value, Scarcity())) {
      case RetentionAction::KeepInMemory:
        return StoreTier::Memory;
      case RetentionAction::KeepOnDisk:
        return StoreTier::Disk;
      case RetentionAction::Drop:
        break;
    }
    return std::nullopt;
  }

  static double ReadSeconds(std::uint64_t aBytes, std::uint64_t aRate)
  {
    return static_cast<double>(aBytes) /
           static_cast<double>(std::max<std::uint64_t>(aRate, 1));
  }

  void DropCopy(const SealedPiece& aPiece, const FailureReason& aReason)
  {
    DirectoryUpdate update;
    update.removed.push_back(aPiece);
    this->locator.Announce(std::move(update));
    this->RecordFailure(aPiece.store, aReason);
  }

  void RecordFailure(const UpstreamId& aStore, const FailureReason& aReason)
  {
    this->events.Record({ EventKind::PieceDropped,
                          this->time.Now(),
                          RequestId(),
                          aStore.Text(),
                          std::nullopt,
                          std::string(NameOf(aReason.code)) });
  }

  void Record(EventKind aKind, const UpstreamId& aStore)
  {
    this->events.Record(
      { aKind, this->time.Now(), RequestId(), aStore.Text(), {}, {} });
  }

  CacheState& cache;
  Time& time;
  Stores& stores;
  Locator& locator;
  Events& events;
};

} // namespace wigeonwalk
