#include "wigeonwalk/adapters/http/message_memory.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

MessageMemory::Share::Share(MessageMemory& aMemory, std::function<void()> aEnd)
  : memory(aMemory)
  , end(std::move(aEnd))
{
  this->memory.shares.push_back(this);
}

MessageMemory::Share::~Share()
{
  this->SetCounted(0);
  std::erase(this->memory.shares, this);
}

void
MessageMemory::Share::SetCounted(std::size_t aBytes)
{
  this->memory.bytes += aBytes;
  this->memory.bytes -= this->counted;
  this->counted = aBytes;
}

void
MessageMemory::Share::NoteWaiting(std::function<void()> aGiveUp, TimePoint aNow)
{
  this->isComplete = true;
  this->end = std::move(aGiveUp);
  this->waitsSince = aNow;
}

void
MessageMemory::Share::End()
{
  this->isEnded = true;
  this->SetCounted(0);
  this->end();
}

bool
MessageMemory::Share::Resize(std::size_t aBytes, TimePoint aNow)
{
  if (this->isEnded) {
    return false;
  }
  this->SetCounted(aBytes - std::min(aBytes, this->memory.uncounted));
  while (this->memory.bytes > this->memory.maxBytes && this->counted > 0) {
    Share* ended = this->memory.ToEnd(*this, aNow);
    if (ended == nullptr) {
      break;
    }
    if (ended == this) {
      this->isEnded = true;
      this->SetCounted(0);
    } else {
      ended->End();
    }
  }
  return !this->isEnded;
}

MessageMemory::Share*
MessageMemory::ToEnd(Share& aGrown, TimePoint aNow) const
{
  const bool isUrgent = this->bytes > kUrgentFactor * this->maxBytes;
  if (Share* slowest = this->Slowest(isUrgent ? Duration(0) : kMaxWait, aNow)) {
    return slowest;
  }
  const std::size_t spared = isUrgent ? 0 : this->ordinary;
  if (Share* largest = this->Largest(spared)) {
    return largest;
  }
  return aGrown.counted > spared ? &aGrown : nullptr;
}

MessageMemory::Share*
MessageMemory::Slowest(Duration aMaxWait, TimePoint aNow) const
{
  Share* slowest = nullptr;
  for (Share* share : this->shares) {
    const bool isCandidate = share->waitsSince && !share->isEnded &&
                             share->counted > 0 &&
                             aNow - *share->waitsSince >= aMaxWait;
    if (isCandidate &&
        (slowest == nullptr || share->waitsSince < slowest->waitsSince)) {
      slowest = share;
    }
  }
  return slowest;
}

MessageMemory::Share*
MessageMemory::Largest(std::size_t aOrdinary) const
{
  Share* largest = nullptr;
  for (Share* share : this->shares) {
    const bool isCandidate =
      !share->isComplete && !share->isEnded && share->counted > aOrdinary;
    if (isCandidate &&
        (largest == nullptr || share->counted > largest->counted)) {
      largest = share;
    }
  }
  return largest;
}

} // namespace wigeonwalk
