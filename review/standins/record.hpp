// The record of a case: one line for each thing that a client, a server or the
// platform saw, with the milliseconds since the start.
//
//   Record record("record.txt");
//   record.Line("client", "sent request 7");
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

using Millis = std::int64_t;

inline Millis
NowMs()
{
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - kStart)
    .count();
}

class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath, std::ios::trunc)
  {
    NowMs();
  }

  void Line(const std::string& aWho, const std::string& aWhat)
  {
    const std::lock_guard lock(this->mutex);
    this->file << NowMs() << " ms  " << aWho << ": " << aWhat << std::endl;
  }

  // A line that is also printed.
  void Print(const std::string& aWhat)
  {
    this->Line("case", aWhat);
    std::cout << aWhat << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

} // namespace review
