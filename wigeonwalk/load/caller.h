// A caller of the system for load runs: sends completions and bookings to entry
// addresses as the platform's balancer would, and checks what comes back.
//
//   Caller caller(timer, executor, { "127.0.0.1:8000" }, key, 0);
//   CallResult result = co_await caller.Complete(call);
#pragma once

#include "wigeonwalk/adapters/http/http_client.h"
#include "wigeonwalk/base/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// One completion to send.
struct CompletionCall
{
  std::string service;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  std::int64_t seed = 0;
  // Weight version of the stand-in engines, from which the expected text
  // follows; empty to skip the check.
  std::string version;
};

// One booking to send.
struct BookingCall
{
  std::string service;
  std::string path;
  std::string body;
  std::string key;
  std::int64_t keyCreatedAt = 0;
};

// What came of a call.
struct CallResult
{
  // Status of the last response; zero where no response came.
  unsigned status = 0;
  Verdict verdict = Verdict::NotRun;
  // The whole answer arrived and is the expected one.
  bool correct = false;
  Duration firstToken{ 0 };
  // Longest gap between two tokens.
  Duration longestGap{ 0 };
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  // Entry addresses that had to be tried after the first one.
  std::uint32_t moved = 0;
};

// Sends calls. A completion whose entry fails is sent to the next one; a
// booking too, under the same key.
class Caller
{
public:
  Caller(SystemTimer& aTimer,
         boost::asio::any_io_executor aExecutor,
         std::vector<std::string> aEntries,
         std::string aKey,
         std::size_t aFirstEntry);

  Task<CallResult> Complete(CompletionCall aCall);
  Task<CallResult> Book(BookingCall aCall);

private:
  HttpRequest MakeRequest(std::string aTarget, std::string aBody) const;
  const std::string& NextEntry();

  // Reads one streamed answer. Returns false where the connection failed.
  Task<bool> ReadStream(HttpClientConnection& aConnection,
                        const CompletionCall& aCall,
                        TimePoint aStart,
                        CallResult& aResult);

  SystemTimer& timer;
  boost::asio::any_io_executor executor;
  std::vector<std::string> entries;
  std::string key;
  std::size_t next;
};

} // namespace wigeonwalk
