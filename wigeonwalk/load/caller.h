// A client for load runs: sends completions and bookings to the entry addresses
// in turn, as the platform's load balancer would, and checks the answers.
//
//   Caller caller(timer, executor, { "127.0.0.1:8000" }, key, 0);
//   CallResult result = co_await caller.Complete(call);
#pragma once

#include "wigeonwalk/adapters/http/http_pool.h"
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
  // Weight version of the stand-in engines, which determines the expected text.
  // Empty to skip the check.
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

// Outcome of a call.
struct CallResult
{
  // HTTP status of the last response, or zero if there was none.
  unsigned status = 0;
  Verdict verdict = Verdict::NotRun;
  // Whether the complete answer arrived and is as expected.
  bool correct = false;
  Duration firstToken{ 0 };
  // Longest time between two consecutive tokens.
  Duration longestGap{ 0 };
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  // Number of failed attempts. Each one moves the call to the next entry.
  std::uint32_t moved = 0;
};

// Sends calls. When an entry fails, the call is retried at the next one; a
// booking keeps its idempotency key.
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

  // Reads one streamed answer. Returns false if the connection failed.
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
