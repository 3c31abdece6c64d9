// A stand-in for a plain booking service. It counts the runs of each
// idempotency key, so that a test can detect a call that ran twice.
//
//   PlainStandin service("127.0.0.1:9100", timer, executor);
//   co_await service.Run(reason);
#pragma once

#include "wigeonwalk/adapters/http/http_connection.h"

#include <cstdint>
#include <map>
#include <string>

namespace wigeonwalk {

// Faults that POST /standin/fault injects; the request body is the name. A
// fault lasts until the next such request.
enum class PlainFault
{
  None,
  // Runs the call and closes the connection without an answer.
  LoseAnswer,
  // Refuses the call without running it.
  Refuse,
  // Runs the call and never answers.
  Silent,
};

template<>
struct EnumNames<PlainFault>
{
  static constexpr std::array<EnumName<PlainFault>, 4> kTable{ {
    { PlainFault::None, "none" },
    { PlainFault::LoseAnswer, "lose-answer" },
    { PlainFault::Refuse, "refuse" },
    { PlainFault::Silent, "silent" },
  } };
};
static_assert(HasCompleteTable<PlainFault>());

// One stand-in service. Runs on one I/O thread.
class PlainStandin
{
public:
  PlainStandin(std::string aAddress, boost::asio::any_io_executor aExecutor);

  // Serves until cancelled. Returns early with the reason if the address cannot
  // be used.
  Task<void> Run(FailureReason& aReason);

private:
  Task<void> ServeConnection(HttpConnection aConnection);

  // Runs a call and returns its answer.
  HttpResponse RunCall(const HttpRequest& aRequest);
  HttpResponse RunCounts() const;

  std::string address;
  boost::asio::any_io_executor executor;
  PlainFault fault = PlainFault::None;
  std::map<std::string, std::uint64_t> runs;
};

} // namespace wigeonwalk
