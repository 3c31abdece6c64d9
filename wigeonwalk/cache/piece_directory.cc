#include "wigeonwalk/cache/piece_directory.h"

#include <algorithm>

namespace wigeonwalk {

PieceDirectory::PieceDirectory(std::size_t aMaxRecords)
  : maxRecords(std::max<std::size_t>(aMaxRecords, 1))
{
}

PieceDirectory::Chain&
PieceDirectory::Touch(const PieceKey& aRoot)
{
  auto [chain, added] = this->chains.try_emplace(aRoot);
  if (added) {
    this->lruOrder.push_front(aRoot);
    chain->second.lruPosition = this->lruOrder.begin();
  } else {
    this->lruOrder.splice(
      this->lruOrder.begin(), this->lruOrder, chain->second.lruPosition);
  }
  return chain->second;
}

void
PieceDirectory::Drop(const PieceKey& aRoot)
{
  const auto chain = this->chains.find(aRoot);
  this->records -= chain->second.records;
  this->lruOrder.erase(chain->second.lruPosition);
  this->chains.erase(chain);
}

void
PieceDirectory::EvictToLimit()
{
  while (this->records > this->maxRecords && this->lruOrder.size() > 1) {
    this->Drop(PieceKey(this->lruOrder.back()));
  }
}

void
PieceDirectory::Record(const SealedPiece& aPiece)
{
  Chain& chain = this->Touch(aPiece.root);
  // A single chain that fills the shard keeps the copies it has and gets no new
  // ones.
  const bool full = chain.records >= this->maxRecords;
  if (full && !chain.pieces.contains(aPiece.piece)) {
    return;
  }
  std::vector<SealedPiece>& copies = chain.pieces[aPiece.piece];
  const auto same =
    std::find_if(copies.begin(), copies.end(), [&](const SealedPiece& aCopy) {
      return aCopy.store == aPiece.store;
    });
  if (same != copies.end()) {
    if (aPiece.generation > same->generation) {
      *same = aPiece;
    }
    return;
  }
  if (full || copies.size() >= kMaxCopies) {
    return;
  }
  copies.push_back(aPiece);
  ++chain.records;
  ++this->records;
  this->EvictToLimit();
}

void
PieceDirectory::Remove(const SealedPiece& aPiece)
{
  const auto chain = this->chains.find(aPiece.root);
  if (chain == this->chains.end()) {
    return;
  }
  const auto copies = chain->second.pieces.find(aPiece.piece);
  if (copies == chain->second.pieces.end()) {
    return;
  }
  const auto removed =
    std::erase_if(copies->second, [&](const SealedPiece& aCopy) {
      return aCopy.store == aPiece.store &&
             aCopy.generation == aPiece.generation;
    });
  chain->second.records -= removed;
  this->records -= removed;
  if (copies->second.empty()) {
    chain->second.pieces.erase(copies);
  }
  if (chain->second.records == 0) {
    this->Drop(aPiece.root);
  }
}

std::vector<std::vector<PieceCopy>>
PieceDirectory::Lookup(std::span<const PieceKey> aChain)
{
  std::vector<std::vector<PieceCopy>> found;
  if (aChain.empty() || !this->chains.contains(aChain.front())) {
    return found;
  }
  const Chain& chain = this->Touch(aChain.front());
  for (const PieceKey& key : aChain) {
    const auto copies = chain.pieces.find(key);
    if (copies == chain.pieces.end() || copies->second.empty()) {
      break;
    }
    std::vector<PieceCopy>& row = found.emplace_back();
    for (const SealedPiece& piece : copies->second) {
      const bool certain = !this->doubtful.contains(piece.store);
      row.push_back({ piece, certain ? 1.0 : kDoubtfulWeight });
    }
    std::stable_sort(
      row.begin(), row.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.weight > aRight.weight;
      });
  }
  return found;
}

void
PieceDirectory::MarkDoubtful(const UpstreamId& aStore)
{
  this->doubtful.insert(aStore);
}

void
PieceDirectory::Forget(const UpstreamId& aStore)
{
  this->doubtful.erase(aStore);
  std::vector<PieceKey> empty;
  for (auto& [root, chain] : this->chains) {
    for (auto& [key, copies] : chain.pieces) {
      const auto removed = std::erase_if(copies, [&](const SealedPiece& aCopy) {
        return aCopy.store == aStore;
      });
      chain.records -= removed;
      this->records -= removed;
    }
    std::erase_if(chain.pieces,
                  [](const auto& aRow) { return aRow.second.empty(); });
    if (chain.records == 0) {
      empty.push_back(root);
    }
  }
  for (const PieceKey& root : empty) {
    this->Drop(root);
  }
}

} // namespace wigeonwalk
