// Starts coroutines on an I/O context.
//
//   AsioSpawner spawner(context.get_executor());
//   spawner.Spawn(RunPeer());
#pragma once

#include "wigeonwalk/ports/peer_channel.h"

#include <boost/asio/any_io_executor.hpp>

namespace wigeonwalk {

// An exception that escapes a coroutine propagates out of io_context::run(),
// except operation_aborted, which a cancelled wait throws.
class AsioSpawner
{
public:
  explicit AsioSpawner(boost::asio::any_io_executor aExecutor);

  void Spawn(Task<void> aTask);

private:
  boost::asio::any_io_executor executor;
};

static_assert(TaskSpawner<AsioSpawner>);

} // namespace wigeonwalk
