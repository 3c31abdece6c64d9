// Admits requests of one service to its upstreams in weighted fair order.
//
//   AdmissionQueue queue(capacity);
//   auto slot = co_await queue.Enter(caller, tokens, deadline, time);
//   if (!slot) { ... the deadline passed ... }
//   slot->Leave();   // at the first token
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/placement/fair_queue.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/signal.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace wigeonwalk {

// The queue of one service at one daemon. One thread only; must outlive its
// slots.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(double aCapacity)
    : queue(FairQueueLimits{ .capacity = aCapacity })
  {
  }

private:
  // A request's state, shared with the queue because the caller may disconnect
  // while the request waits.
  struct Waiter
  {
    std::optional<QueuedRequest<std::shared_ptr<Waiter>>> dispatched;
    bool abandoned = false;
  };
  using Item = std::shared_ptr<Waiter>;

public:
  // A request's place in the queue, and once dispatched, the capacity that it
  // holds. The destructor gives both up.
  class Slot
  {
  public:
    Slot(AdmissionQueue& aOwner, Item aWaiter, std::function<TimePoint()> aNow)
      : owner(&aOwner)
      , waiter(std::move(aWaiter))
      , now(std::move(aNow))
    {
    }
    Slot(Slot&& aOther) noexcept = default;
    Slot& operator=(Slot&& aOther) = delete;
    ~Slot() { this->Leave(); }

    // Gives up the place or the capacity. Further calls have no effect.
    void Leave()
    {
      if (const Item mine = std::exchange(this->waiter, nullptr)) {
        this->owner->Leave(*mine, this->now());
      }
    }

  private:
    AdmissionQueue* owner;
    Item waiter;
    std::function<TimePoint()> now;
  };

  // Waits until the request is dispatched. Returns nullopt once the deadline
  // has passed.
  template<Timer Time>
  Task<std::optional<Slot>> Enter(const OrganisationSpec& aOrganisation,
                                  double aTokens,
                                  TimePoint aDeadline,
                                  Time& aTime)
  {
    using namespace boost::asio::experimental::awaitable_operators;
    const Item waiter = std::make_shared<Waiter>();
    Slot slot(*this, waiter, [&aTime] { return aTime.Now(); });
    this->queue.SetWeight(aOrganisation.id, aOrganisation.weight);
    this->queue.Push(aOrganisation.id,
                     aOrganisation.requestClass,
                     aTokens,
                     waiter,
                     aTime.Now());
    this->Dispatch(aTime.Now());
    while (!waiter->dispatched) {
      co_await (this->changed.Wait() || aTime.WaitUntil(aDeadline));
      if (aTime.Now() >= aDeadline) {
        co_return std::nullopt;
      }
    }
    co_return slot;
  }

  std::size_t Waiting() const { return this->queue.Size(); }

private:
  void Dispatch(TimePoint aNow)
  {
    bool dispatchedAny = false;
    while (auto next = this->queue.Pop(aNow)) {
      const Item waiter = next->item;
      if (waiter->abandoned) {
        this->queue.Finish(*next);
        continue;
      }
      waiter->dispatched = std::move(next);
      // Breaks the cycle of the request and its own waiter, which would leak
      // both.
      waiter->dispatched->item.reset();
      dispatchedAny = true;
    }
    if (dispatchedAny) {
      this->changed.Notify();
    }
  }

  void Leave(Waiter& aWaiter, TimePoint aNow)
  {
    if (aWaiter.dispatched) {
      this->queue.Finish(*aWaiter.dispatched);
    }
    aWaiter.abandoned = true;
    this->Dispatch(aNow);
  }

  FairQueue<Item> queue;
  Signal changed;
};

} // namespace wigeonwalk
