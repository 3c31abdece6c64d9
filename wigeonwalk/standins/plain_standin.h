// A stand-in for a plain service that books things: it counts each run by its
// idempotency key, so that a test sees a call that ran twice.
//
//   PlainStandin service("127.0.0.1:9100", timer, executor);
//   co_await service.Run(reason);
#pragma once

#include "wigeonwalk/adapters/http/http_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace wigeonwalk {

// Faults that a stand-in service can be told to show, by POST /standin/fault
// with the name as the body. Each lasts until the next fault command.
enum class PlainFault
{
  None,
  // Runs the call and closes the connection without an answer.
  LoseAnswer,
  // Refuses the call before it runs.
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

  // Listens until cancelled. Returns early with the reason where the address
  // cannot be used.
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
