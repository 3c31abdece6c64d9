// Worker threads for CPU work that is too long for the I/O thread.
//
//   CpuPool pool(settings.workerThreads);
//   auto chain =
//     co_await pool.RunOnPool([&] { return PieceChain(salt, text); });
#pragma once

#include "wigeonwalk/ports/task.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

namespace wigeonwalk {

// Worker threads in a oneTBB arena. Idle workers block in the kernel.
// Thread-safe.
class CpuPool
{
public:
  // Zero threads means one for each core.
  explicit CpuPool(std::uint32_t aThreads);

  // Waits until all submitted jobs have finished. The io_context of the
  // coroutines that await them must still exist.
  ~CpuPool();

  CpuPool(const CpuPool&) = delete;
  CpuPool& operator=(const CpuPool&) = delete;

  // Runs a function on a worker thread and resumes the calling coroutine with
  // the result on the coroutine's own executor. An exception from the function
  // is rethrown in the coroutine. Objects that the function refers to must live
  // until the coroutine resumes; cancelling the coroutine does not stop the
  // function.
  template<std::invocable F>
  Task<std::invoke_result_t<F>> RunOnPool(F aFunction);

private:
  struct Queue;

  void Enqueue(std::function<void()> aJob);

  std::unique_ptr<Queue> queue;
};

namespace cpu_internal {

// Holds the result of a function, or a monostate if the function returns void.
template<typename Result>
using Slot = std::conditional_t<std::is_void_v<Result>,
                                std::optional<std::monostate>,
                                std::optional<Result>>;

// Runs the function and stores its result in the slot. Returns the exception
// that the function threw, or null.
template<typename F, typename ResultSlot>
std::exception_ptr
RunInto(F& aFunction, ResultSlot& aSlot)
{
  try {
    if constexpr (std::is_void_v<std::invoke_result_t<F>>) {
      aFunction();
      aSlot.emplace();
    } else {
      aSlot.emplace(aFunction());
    }
  } catch (...) {
    return std::current_exception();
  }
  return nullptr;
}

} // namespace cpu_internal

template<std::invocable F>
Task<std::invoke_result_t<F>>
CpuPool::RunOnPool(F aFunction)
{
  using Result = std::invoke_result_t<F>;
  using ResultSlot = cpu_internal::Slot<Result>;
  using Signature = void(std::exception_ptr, ResultSlot);
  auto slot =
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                         Signature>(
      [this, &aFunction](auto aHandler) {
        auto executor = boost::asio::get_associated_executor(aHandler);
        // std::function requires a copyable callable and the handler is
        // move-only, so a shared_ptr holds it.
        auto handler =
          std::make_shared<decltype(aHandler)>(std::move(aHandler));
        this->Enqueue(
          [&aFunction,
           handler = std::move(handler),
           guard = boost::asio::make_work_guard(executor)]() mutable {
            ResultSlot result;
            std::exception_ptr error = cpu_internal::RunInto(aFunction, result);
            boost::asio::post(guard.get_executor(),
                              [handler = std::move(handler),
                               error,
                               result = std::move(result)]() mutable {
                                (*handler)(error, std::move(result));
                              });
          });
      },
      boost::asio::use_awaitable);
  if constexpr (!std::is_void_v<Result>) {
    co_return std::move(*slot);
  }
}

} // namespace wigeonwalk
