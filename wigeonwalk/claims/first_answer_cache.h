// Bounded cache of the first answers to recent claimed calls, from which their
// duplicates are answered.
//
//   answers.Add(key, body, { 201, "application/json", text });
//   if (const FirstAnswer* first = answers.Find(key, body)) { ... }
#pragma once

#include "wigeonwalk/claims/claim.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

// The upstream's answer to the call that held the claim.
struct FirstAnswer
{
  std::uint16_t status = 0;
  std::string contentType;
  std::string body;
};

// Keeps answers up to a total size in bytes and evicts the oldest first. Not
// thread-safe.
class FirstAnswerCache
{
public:
  explicit FirstAnswerCache(std::size_t aMaxBytes)
    : maxBytes(aMaxBytes)
  {
  }

  void Add(const ClaimKey& aKey, BodyFingerprint aBody, FirstAnswer aAnswer)
  {
    const std::size_t size = SizeOf(aAnswer);
    if (size > this->maxBytes || this->answers.contains(aKey)) {
      return;
    }
    this->bytes += size;
    this->order.push_back(aKey);
    this->answers.emplace(aKey, CachedAnswer{ aBody, std::move(aAnswer) });
    while (this->bytes > this->maxBytes) {
      const auto oldest = this->answers.find(this->order.front());
      this->bytes -= SizeOf(oldest->second.answer);
      this->answers.erase(oldest);
      this->order.pop_front();
    }
  }

  // Returns the answer stored for the key, or nullptr if there is none or if it
  // was given to a different body.
  const FirstAnswer* Find(const ClaimKey& aKey, BodyFingerprint aBody) const
  {
    const auto found = this->answers.find(aKey);
    const bool same =
      found != this->answers.end() && found->second.bodyFingerprint == aBody;
    return same ? &found->second.answer : nullptr;
  }

  std::size_t Bytes() const { return this->bytes; }

private:
  struct CachedAnswer
  {
    BodyFingerprint bodyFingerprint = 0;
    FirstAnswer answer;
  };

  static std::size_t SizeOf(const FirstAnswer& aAnswer)
  {
    // Approximate size of the nodes of the map and the queue.
    constexpr std::size_t kNodeBytes = 160;
    return kNodeBytes + aAnswer.contentType.size() + aAnswer.body.size();
  }

  std::size_t maxBytes;
  std::size_t bytes = 0;
  std::unordered_map<ClaimKey, CachedAnswer> answers;
  std::deque<ClaimKey> order;
};

} // namespace wigeonwalk
