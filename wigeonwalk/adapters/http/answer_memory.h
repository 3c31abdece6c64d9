// Bounds the memory of answers that are received and held as a whole.
//
//   AnswerMemory memory;
//   AnswerMemory::Share share(memory, [&] { connection.Close(); });
//   if (!share.Resize(body.size())) { ... the answer was ended ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace wigeonwalk {

// Largest response body that is accepted, in bytes.
inline constexpr std::uint64_t kMaxResponseBytes = 16 * 1024 * 1024;

// Answers of several faulty peers may each stay below the limit on one answer
// and together use up the memory. Above the limit on all, the largest answer
// that is still being received is ended; answers of ordinary size never are.
// Not thread-safe.
class AnswerMemory
{
public:
  // Limit on the counted bytes of all answers.
  static constexpr std::size_t kMaxBytes = kMaxResponseBytes;
  // Bytes of each answer that are not counted.
  static constexpr std::size_t kUncountedBytes = 64 * 1024;

  // The bytes held of one answer.
  class Share
  {
  public:
    // `aEnd` is called if the answer is ended in favour of another one.
    Share(AnswerMemory& aMemory, std::function<void()> aEnd);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Sets the number of bytes held. Returns false if the answer was ended, or
    // if it is the largest one that can be and the limit is exceeded.
    bool Resize(std::size_t aBytes);

    // The whole answer has been received. It still counts, but is not ended.
    void NoteComplete() { this->isComplete = true; }

    bool IsEnded() const { return this->isEnded; }

  private:
    friend class AnswerMemory;

    void SetCounted(std::size_t aBytes);

    AnswerMemory& memory;
    std::function<void()> end;
    std::size_t counted = 0;
    bool isComplete = false;
    bool isEnded = false;
  };

  AnswerMemory() = default;
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

  // The counted bytes of all answers.
  std::size_t Bytes() const { return this->bytes; }

private:
  // Returns the largest answer that is still being received, or null.
  Share* Largest() const;

  std::vector<Share*> shares;
  std::size_t bytes = 0;
};

} // namespace wigeonwalk
