#ifndef BUCKTHORNDECK_NET_TASK_H
#define BUCKTHORNDECK_NET_TASK_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace buckthorndeck {

//! A coroutine that runs on the process's one io_context thread.
template <typename T = void> using Task = boost::asio::awaitable<T>;

using Executor = boost::asio::any_io_executor;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

//! Suspends the calling coroutine.
Task<> sleepFor(Milliseconds Delay);

/**
 * Starts Work on its own; an exception that leaves it is logged under Name
 * and ends only this task.
 */
void spawn(const Executor &Where, const char *Name, Task<> Work);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TASK_H
