#include "wigeonwalk/adapters/peer/asio_spawner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include <exception>
#include <utility>

namespace wigeonwalk {

AsioSpawner::AsioSpawner(boost::asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
{
}

void
AsioSpawner::Spawn(Task<void> aTask)
{
  boost::asio::co_spawn(
    this->executor, std::move(aTask), [](std::exception_ptr aError) {
      if (!aError) {
        return;
      }
      try {
        std::rethrow_exception(aError);
      } catch (const boost::system::system_error& error) {
        if (error.code() != boost::asio::error::operation_aborted) {
          throw;
        }
      }
    });
}

} // namespace wigeonwalk
