#include "wigeonwalk/queueing/wait_queue.h"

#include <algorithm>

namespace wigeonwalk {

WaitQueue::Ticket
WaitQueue::Enter(const QueuedWork& aWork)
{
  // An organisation without requests in the queue starts at the present virtual
  // time, so that it gets no credit for its idle time.
  std::uint64_t& tag = this->finishTags[aWork.organisation];
  tag =
    std::max(tag, this->virtualTime) + std::max<std::uint64_t>(aWork.tokens, 1);
  const Ticket ticket = ++this->lastTicket;
  const Position position{ aWork.rank, tag, ticket };
  this->waiting.emplace(position, aWork.tokens);
  this->positions.emplace(ticket, position);
  return ticket;
}

void
WaitQueue::Leave(Ticket aTicket)
{
  const auto found = this->positions.find(aTicket);
  if (found == this->positions.end()) {
    return;
  }
  this->virtualTime = std::max(this->virtualTime, std::get<1>(found->second));
  this->waiting.erase(found->second);
  this->positions.erase(found);
  if (this->positions.empty()) {
    this->finishTags.clear();
  }
}

bool
WaitQueue::IsFirst(Ticket aTicket) const
{
  return !this->waiting.empty() &&
         std::get<2>(this->waiting.begin()->first) == aTicket;
}

bool
WaitQueue::HasWaiting(std::uint32_t aRank) const
{
  return !this->waiting.empty() &&
         std::get<0>(this->waiting.begin()->first) <= aRank;
}

std::uint64_t
WaitQueue::TokensUpTo(Ticket aTicket) const
{
  const auto found = this->positions.find(aTicket);
  if (found == this->positions.end()) {
    return 0;
  }
  std::uint64_t tokens = 0;
  for (const auto& [position, needed] : this->waiting) {
    tokens += needed;
    if (position == found->second) {
      break;
    }
  }
  return tokens;
}

} // namespace wigeonwalk
