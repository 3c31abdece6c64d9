// Weighted fair queue of requests over organisations and classes.
//
// Capacity is the prefill work, in tokens, that this daemon allows in flight at
// the upstreams. An organisation above its share is served only from capacity
// that no organisation below its share is waiting for.
//
//   FairQueue<Waiting> queue({ .capacity = 200'000 });
//   queue.Push(organisation, RequestClass::Interactive, 4'000, waiting, now);
//   while (auto next = queue.Pop(now)) { Dispatch(next->item); }
//   queue.Finish(*next);
#pragma once

#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/model_engine.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

inline constexpr std::size_t kRequestClasses =
  EnumNames<RequestClass>::kTable.size();

// Limits of one queue.
struct FairQueueLimits
{
  // Prefill tokens in flight over all classes.
  double capacity = 0;
  // Fraction of the capacity that each class may hold, so that long background
  // prefills leave room for short interactive requests.
  std::array<double, kRequestClasses> classFractions{ 1.0, 0.8, 0.4 };
  // Fraction of the capacity that is never lent to an organisation above its
  // share.
  double reservedFraction = 0.1;
  // A request that has waited this long is served with the priority of the
  // first class.
  Duration longestWait = std::chrono::seconds(20);
};

// One request in the queue, or in flight after Pop.
template<typename Item>
struct QueuedRequest
{
  OrganisationId organisation;
  RequestClass requestClass = RequestClass::Standard;
  // Prefill tokens that are expected to be computed.
  double tokens = 0;
  TimePoint queuedAt;
  Item item;
};

// A queue in front of one service's upstreams. One thread only.
template<typename Item>
class FairQueue
{
public:
  explicit FairQueue(FairQueueLimits aLimits)
    : limits(aLimits)
  {
  }

  // Sets an organisation's weight; the default is 1.
  void SetWeight(const OrganisationId& aOrganisation, double aWeight)
  {
    this->organisations[aOrganisation].weight = std::max(aWeight, 0.001);
  }

  void Push(const OrganisationId& aOrganisation,
            RequestClass aClass,
            double aTokens,
            Item aItem,
            TimePoint aNow)
  {
    Organisation& organisation = this->organisations[aOrganisation];
    // An organisation that was idle gets no credit for that time.
    if (organisation.Idle()) {
      organisation.served = std::max(organisation.served, this->virtualTime);
    }
    organisation.QueueOfClass(aClass).push_back(
      { aOrganisation, aClass, aTokens, aNow, std::move(aItem) });
    ++this->size;
  }

  // Removes and returns the request to dispatch next, or returns nullopt if the
  // capacity or the limits of the waiting requests' classes are used up.
  std::optional<QueuedRequest<Item>> Pop(TimePoint aNow)
  {
    Choice best;
    const double activeWeight = this->ActiveWeight();
    for (auto& [id, organisation] : this->organisations) {
      for (std::size_t classIndex = 0; classIndex < kRequestClasses;
           ++classIndex) {
        if (!organisation.classQueues[classIndex].empty()) {
          this->Consider(organisation, classIndex, activeWeight, aNow, best);
        }
      }
    }
    if (best.organisation == nullptr) {
      return std::nullopt;
    }
    return this->Take(*best.organisation, best.classIndex);
  }

  // Releases the capacity of a dispatched request. Call it once the request's
  // first token has arrived or the request has ended.
  void Finish(const QueuedRequest<Item>& aRequest)
  {
    Organisation& organisation = this->organisations[aRequest.organisation];
    const auto classIndex = static_cast<std::size_t>(aRequest.requestClass);
    organisation.inFlight =
      std::max(0.0, organisation.inFlight - aRequest.tokens);
    this->classInFlight[classIndex] =
      std::max(0.0, this->classInFlight[classIndex] - aRequest.tokens);
    this->inFlight = std::max(0.0, this->inFlight - aRequest.tokens);
  }

  std::size_t Size() const { return this->size; }
  double InFlight() const { return this->inFlight; }

private:
  using ClassQueue = std::deque<QueuedRequest<Item>>;

  struct Organisation
  {
    double weight = 1;
    // Tokens dispatched, divided by the weight.
    double served = 0;
    double inFlight = 0;
    std::array<ClassQueue, kRequestClasses> classQueues;

    ClassQueue& QueueOfClass(RequestClass aClass)
    {
      return this->classQueues[static_cast<std::size_t>(aClass)];
    }
    bool Waiting() const
    {
      return std::any_of(this->classQueues.begin(),
                         this->classQueues.end(),
                         [](const auto& aQueue) { return !aQueue.empty(); });
    }
    bool Idle() const { return !this->Waiting() && this->inFlight <= 0; }
  };

  // The best request so far. Requests are compared by (above share, class,
  // served).
  struct Choice
  {
    Organisation* organisation = nullptr;
    std::size_t classIndex = 0;
    bool aboveShare = false;
    std::size_t rank = 0;

    bool WorseThan(bool aAbove, std::size_t aRank, double aServed) const
    {
      if (this->organisation == nullptr) {
        return true;
      }
      if (this->aboveShare != aAbove) {
        return this->aboveShare;
      }
      if (this->rank != aRank) {
        return this->rank > aRank;
      }
      return this->organisation->served > aServed;
    }
  };

  double ActiveWeight() const
  {
    double weight = 0;
    for (const auto& [id, organisation] : this->organisations) {
      weight += organisation.Idle() ? 0 : organisation.weight;
    }
    return weight;
  }

  // Returns true if the tokens fit under a limit. A request larger than the
  // limit fits while nothing else is held, so that it can run at all.
  static bool Fits(double aHeld, double aTokens, double aLimit)
  {
    return aHeld <= 0 || aHeld + aTokens <= aLimit;
  }

  void Consider(Organisation& aOrganisation,
                std::size_t aClassIndex,
                double aActiveWeight,
                TimePoint aNow,
                Choice& aBest)
  {
    const auto& head = aOrganisation.classQueues[aClassIndex].front();
    const double capacity = this->limits.capacity;
    const double share = capacity * aOrganisation.weight / aActiveWeight;
    const bool above = !Fits(aOrganisation.inFlight, head.tokens, share);
    const double lendable =
      above ? capacity * (1 - this->limits.reservedFraction) : capacity;
    const double classLimit =
      capacity * this->limits.classFractions[aClassIndex];
    if (!Fits(this->inFlight, head.tokens, lendable) ||
        !Fits(this->classInFlight[aClassIndex], head.tokens, classLimit)) {
      return;
    }
    const bool overdue = aNow - head.queuedAt >= this->limits.longestWait;
    const std::size_t rank = overdue ? 0 : aClassIndex;
    if (aBest.WorseThan(above, rank, aOrganisation.served)) {
      aBest = { &aOrganisation, aClassIndex, above, rank };
    }
  }

  QueuedRequest<Item> Take(Organisation& aOrganisation, std::size_t aClassIndex)
  {
    ClassQueue& queue = aOrganisation.classQueues[aClassIndex];
    QueuedRequest<Item> request = std::move(queue.front());
    queue.pop_front();
    --this->size;
    this->virtualTime = std::max(this->virtualTime, aOrganisation.served);
    aOrganisation.served += request.tokens / aOrganisation.weight;
    aOrganisation.inFlight += request.tokens;
    this->classInFlight[aClassIndex] += request.tokens;
    this->inFlight += request.tokens;
    return request;
  }

  FairQueueLimits limits;
  std::unordered_map<OrganisationId, Organisation> organisations;
  std::array<double, kRequestClasses> classInFlight{};
  double inFlight = 0;
  double virtualTime = 0;
  std::size_t size = 0;
};

} // namespace wigeonwalk
