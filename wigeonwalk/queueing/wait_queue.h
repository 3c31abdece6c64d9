// Order in which requests that wait for engine memory are served.
//
// Answers bursts and sustained overload of one service: when the runners have
// no memory left, requests wait here rather than in an engine, which would
// preempt runs to admit them and compute their prompts again.
//
//   const WaitQueue::Ticket ticket = queue.Enter({ rank, organisation, tokens
//   }); if (queue.IsFirst(ticket)) { ... place it ... } queue.Leave(ticket);
#pragma once

#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

namespace wigeonwalk {

// A request that waits.
struct QueuedWork
{
  // Priority, 0 for the most urgent.
  std::uint32_t rank = 0;
  OrganisationId organisation;
  // Engine memory that the request takes.
  std::uint64_t tokens = 0;
};

// Serves lower ranks first, and within a rank the organisations in proportion
// to the memory that they ask for (start-time fair queueing): an organisation
// that sends many requests waits behind one that sends few. Requests of one
// organisation and rank are served in order of arrival. Not thread-safe.
class WaitQueue
{
public:
  using Ticket = std::uint64_t;

  Ticket Enter(const QueuedWork& aWork);

  // Removes a request that was placed or gave up.
  void Leave(Ticket aTicket);

  // Returns true if no waiting request precedes this one.
  bool IsFirst(Ticket aTicket) const;

  // Returns true if a request of this rank would wait behind another one.
  bool HasWaiting(std::uint32_t aRank) const;

  // Returns the memory, in tokens, of this request and of those that precede
  // it.
  std::uint64_t TokensUpTo(Ticket aTicket) const;

  std::size_t Size() const { return this->positions.size(); }

private:
  // Rank, finish tag in tokens, and ticket.
  using Position = std::tuple<std::uint32_t, std::uint64_t, Ticket>;

  std::map<Position, std::uint64_t> waiting;
  std::map<Ticket, Position> positions;
  // The last finish tag of each organisation that has requests in the queue or
  // was served ahead of the others.
  std::map<OrganisationId, std::uint64_t> finishTags;
  std::uint64_t virtualTime = 0;
  Ticket lastTicket = 0;
};

} // namespace wigeonwalk
