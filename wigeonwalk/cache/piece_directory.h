// One daemon's shard of the directory, which records the store hosts that hold
// each piece.
//
// The directory is soft state. An entry may be wrong at any time; a reader
// detects this at the store host, and the engine recomputes the piece. Entries
// are grouped by the root of their chain, so that one lookup covers a whole
// prompt.
//
//   directory.Record(sealed);
//   auto copies = directory.Lookup(chain);   // copies[i]: copies of chain[i]
#pragma once

#include "wigeonwalk/ports/store_host.h"

#include <list>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wigeonwalk {

// Confidence in a doubtful entry when placements are compared.
inline constexpr double kDoubtfulWeight = 0.5;

// Maximum number of copies of one piece that the directory records.
inline constexpr std::size_t kMaxCopies = 3;

// One store host's copy of a piece. `weight` is the confidence that it is
// still there: 1, or kDoubtfulWeight.
struct PieceCopy
{
  SealedPiece piece;
  double weight = 1;
};

// One shard. One thread only.
class PieceDirectory
{
public:
  // `aMaxRecords` bounds the number of copies. The least recently used chains
  // are dropped first.
  explicit PieceDirectory(std::size_t aMaxRecords);

  // Adds a copy, or replaces an older generation of it on the same store host.
  // A copy whose generation is older than the recorded one is ignored: reports
  // may arrive out of order.
  void Record(const SealedPiece& aPiece);

  // Removes a copy that was freed or could not be read. Does nothing if its
  // generation is not the recorded one.
  void Remove(const SealedPiece& aPiece);

  // Returns, for each leading piece of the chain that has a copy, its copies in
  // descending order of weight. Ends before the first piece that has none.
  std::vector<std::vector<PieceCopy>> Lookup(std::span<const PieceKey> aChain);

  // Marks all copies of a store host as doubtful until its list arrives,
  // because the host is suspected to have failed or returned wrong bytes.
  void MarkDoubtful(const UpstreamId& aStore);

  // Replaces all entries of a store host with its own list. `aOwnsRoot` returns
  // true for the roots of chains that belong to this shard.
  template<typename Predicate>
  void Rebuild(const UpstreamId& aStore,
               std::span<const SealedPiece> aList,
               Predicate aOwnsRoot)
  {
    this->Forget(aStore);
    for (const SealedPiece& piece : aList) {
      if (aOwnsRoot(piece.root)) {
        this->Record(piece);
      }
    }
  }

  // Removes all entries of a store host that died or restarted empty.
  void Forget(const UpstreamId& aStore);

  std::size_t Records() const { return this->records; }

private:
  struct Chain
  {
    std::unordered_map<PieceKey, std::vector<SealedPiece>> pieces;
    std::list<PieceKey>::iterator lruPosition;
    std::size_t records = 0;
  };

  Chain& Touch(const PieceKey& aRoot);
  void Drop(const PieceKey& aRoot);
  void EvictToLimit();

  std::size_t maxRecords;
  std::size_t records = 0;
  std::unordered_map<PieceKey, Chain> chains;
  // Roots, most recently used first.
  std::list<PieceKey> lruOrder;
  std::unordered_set<UpstreamId> doubtful;
};

} // namespace wigeonwalk
