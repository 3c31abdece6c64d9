// Starts transfers on a link in the order that its model decides.
//
//   LinkScheduler scheduler(limits);
//   auto slot = co_await scheduler.Enter(kind, organisation, bytes, time);
//   slot.Complete();   // the transfer succeeded
#pragma once

#include "wigeonwalk/placement/link_model.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/signal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>
#include <utility>

namespace wigeonwalk {

// Schedules the transfers of one link. One thread only; must outlive its slots.
class LinkScheduler
{
public:
  explicit LinkScheduler(LinkLimits aLimits)
    : link(aLimits)
  {
  }

  // One transfer that may use the link. The destructor ends it. Only a
  // completed transfer updates the link's estimated rate.
  class Slot
  {
  public:
    Slot(LinkScheduler& aOwner,
         std::uint64_t aId,
         std::function<TimePoint()> aNow)
      : owner(&aOwner)
      , id(aId)
      , now(std::move(aNow))
    {
    }
    Slot(Slot&& aOther) noexcept
      : owner(std::exchange(aOther.owner, nullptr))
      , id(aOther.id)
      , now(std::move(aOther.now))
      , completed(aOther.completed)
    {
    }
    Slot& operator=(Slot&&) = delete;
    ~Slot()
    {
      if (this->owner != nullptr) {
        this->owner->Leave(this->id, this->completed, this->now());
      }
    }

    void Complete() { this->completed = true; }

  private:
    LinkScheduler* owner;
    std::uint64_t id;
    std::function<TimePoint()> now;
    bool completed = false;
  };

  // Waits until the transfer may start.
  template<Clock Time>
  Task<Slot> Enter(TransferKind aKind,
                   OrganisationId aOrganisation,
                   std::uint64_t aBytes,
                   Time& aTime)
  {
    const std::uint64_t id = ++this->lastId;
    Transfer transfer{ id, aKind, std::move(aOrganisation), aBytes };
    Slot slot(*this, id, [&aTime] { return aTime.Now(); });
    this->link.Submit(std::move(transfer), aTime.Now());
    this->StartNext(aTime.Now());
    while (!this->started.contains(id)) {
      co_await this->changed.Wait();
    }
    co_return slot;
  }

  const LinkModel& Model() const { return this->link; }

private:
  void StartNext(TimePoint aNow)
  {
    bool startedAny = false;
    while (const auto next = this->link.Start(aNow)) {
      this->started.insert(next->id);
      startedAny = true;
    }
    if (startedAny) {
      this->changed.Notify();
    }
  }

  void Leave(std::uint64_t aId, bool aCompleted, TimePoint aNow)
  {
    this->started.erase(aId);
    this->link.Finish(aId, aCompleted, aNow);
    this->StartNext(aNow);
  }

  LinkModel link;
  std::unordered_set<std::uint64_t> started;
  std::uint64_t lastId = 0;
  Signal changed;
};

} // namespace wigeonwalk
