#include "buckthorndeck/net/Task.h"

#include "buckthorndeck/base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndeck {

namespace asio = boost::asio;

Task<> sleepFor(Milliseconds Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void spawn(const Executor &Where, const char *Name, Task<> Work) {
  asio::co_spawn(Where, std::move(Work),
                 [Name](const std::exception_ptr &Failure) {
                   if (!Failure)
                     return;
                   std::string Reason = "unknown exception";
                   try {
                     std::rethrow_exception(Failure);
                   } catch (const std::exception &Caught) {
                     Reason = Caught.what();
                   } catch (...) {
                     // Not a standard exception: it has no text.
                   }
                   log(LogLevel::Error, "task_failed",
                       {{"task", Name}, {"error", Reason}});
                 });
}

} // namespace buckthorndeck
