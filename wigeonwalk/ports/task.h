// The coroutine type used throughout the daemons.
//
//   Task<int> Next(Timer auto& aTimer);
//   int value = co_await Next(timer);
#pragma once

#include <boost/asio/awaitable.hpp>

namespace wigeonwalk {

// A coroutine that runs on the daemon's I/O thread and yields a T.
template<typename T = void>
using Task = boost::asio::awaitable<T>;

} // namespace wigeonwalk
