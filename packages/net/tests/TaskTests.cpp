#include "buckthorndeck/net/Task.h"

#include "RunTask.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/net/Notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <vector>

using namespace buckthorndeck;
namespace asio = boost::asio;

namespace {

Task<> failWithException() {
  throw std::runtime_error("first failure");
  co_return;
}

Task<> failWithNumber() {
  throw 5;
  co_return;
}

Task<> waitOnce(Notifier &Changed, std::vector<int> &Woken, int Number) {
  co_await Changed.wait();
  Woken.push_back(Number);
}

Task<> waitUntil(Notifier &Changed, TimePoint Deadline,
                 std::optional<bool> &Result) {
  Result = co_await Changed.waitUntil(Deadline);
}

Task<> consume(Notifier &Changed, const int &Produced, int Count,
               int &Consumed) {
  while (Consumed < Count) {
    while (Consumed == Produced)
      co_await Changed.wait();
    ++Consumed;
  }
}

Task<> produce(Notifier &Changed, int &Produced, int Count) {
  const Executor Where = co_await asio::this_coro::executor;
  for (int Index = 0; Index < Count; ++Index) {
    ++Produced;
    Changed.notifyOne();
    // Yields on some rounds only, so that notifications meet consumers in
    // every state.
    if (Index % 3 != 0)
      co_await asio::post(Where, asio::use_awaitable);
  }
}

} // namespace

TEST_CASE("An exception that leaves a task is logged and ends only the task",
          "[task]") {
  std::ostringstream Captured;
  std::streambuf *Previous = std::cerr.rdbuf(Captured.rdbuf());
  initLogging({.Program = "test"});
  asio::io_context Context;
  spawn(Context.get_executor(), "first", failWithException());
  spawn(Context.get_executor(), "second", failWithNumber());
  CHECK_NOTHROW(Context.run());
  std::cerr.rdbuf(Previous);
  const std::string Text = Captured.str();
  INFO(Text);
  CHECK(Text.find("event=task_failed task=first error=\"first failure\"") !=
        std::string::npos);
  CHECK(Text.find("event=task_failed task=second error=") != std::string::npos);
}

TEST_CASE("notifyOne wakes the waiter that has waited longest", "[notifier]") {
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  std::vector<int> Woken;
  Changed.notifyOne();
  for (int Number : {1, 2, 3})
    spawn(Context.get_executor(), "wait", waitOnce(Changed, Woken, Number));
  Context.poll();
  CHECK(Woken.empty());
  Changed.notifyOne();
  Context.poll();
  CHECK(Woken == std::vector<int>{1});
  Changed.notifyAll();
  Context.poll();
  CHECK(Woken == std::vector<int>{1, 2, 3});
}

TEST_CASE("Two notifications in a row wake two waiters", "[notifier]") {
  // Guards against a second notification that goes to the waiter which the
  // first has woken but which has not run yet.
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  std::vector<int> Woken;
  for (int Number : {1, 2})
    spawn(Context.get_executor(), "wait", waitOnce(Changed, Woken, Number));
  Context.poll();
  Changed.notifyOne();
  Changed.notifyOne();
  Context.poll();
  CHECK(Woken == std::vector<int>{1, 2});
}

TEST_CASE("No notification is lost between many waiters", "[notifier]") {
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  constexpr int Count = 3000;
  int Produced = 0;
  int Consumed = 0;
  for (int Index = 0; Index < 2; ++Index)
    spawn(Context.get_executor(), "consume",
          consume(Changed, Produced, Count, Consumed));
  runTask(Context, produce(Changed, Produced, Count));
  std::size_t Ran = 1;
  while (Ran == 1 && Consumed < Count)
    Ran = Context.run_one();
  CHECK(Consumed == Count);
}

TEST_CASE("A wait ends at its deadline without a notification", "[notifier]") {
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  std::optional<bool> Early;
  std::optional<bool> Late;
  runTask(Context, waitUntil(Changed, Clock::now(), Early));
  CHECK(Early == false);
  std::vector<int> Woken;
  spawn(Context.get_executor(), "wait", waitOnce(Changed, Woken, 1));
  spawn(Context.get_executor(), "wait",
        waitUntil(Changed, TimePoint::max(), Late));
  Context.poll();
  Changed.notifyOne();
  Changed.notifyOne();
  Context.poll();
  CHECK(Woken == std::vector<int>{1});
  CHECK(Late == true);
}

TEST_CASE("A notification at the deadline counts as a notification",
          "[notifier]") {
  // Guards against a wake-up that goes to a waiter which then reports that its
  // deadline passed.
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  std::optional<bool> Result;
  spawn(Context.get_executor(), "wait",
        waitUntil(Changed, Clock::now(), Result));
  Context.poll_one();
  const bool Started = !Result;
  Changed.notifyOne();
  Context.run();
  REQUIRE(Started);
  CHECK(Result == true);
}

TEST_CASE("A cancelled waiter takes no notification", "[notifier]") {
  asio::io_context Context;
  Notifier Changed(Context.get_executor());
  asio::cancellation_signal Cancel;
  std::vector<int> Woken;
  asio::co_spawn(Context, waitOnce(Changed, Woken, 1),
                 asio::bind_cancellation_slot(
                     Cancel.slot(), [](const std::exception_ptr &) {}));
  spawn(Context.get_executor(), "wait", waitOnce(Changed, Woken, 2));
  Context.poll();
  Cancel.emit(asio::cancellation_type::terminal);
  Context.poll();
  Woken.clear();
  Changed.notifyOne();
  Context.poll();
  CHECK(Woken == std::vector<int>{2});
}

TEST_CASE("A waiter destroyed before its notifier leaves nothing behind",
          "[notifier]") {
  auto Context = std::make_unique<asio::io_context>();
  Notifier Changed(Context->get_executor());
  std::vector<int> Woken;
  spawn(Context->get_executor(), "wait", waitOnce(Changed, Woken, 1));
  Context->poll();
  SECTION("by the end of its context") { Context.reset(); }
  SECTION("after a notification that it has not seen") {
    Changed.notifyOne();
    Context.reset();
  }
  CHECK(Woken.empty());
}

TEST_CASE("Destroying a notifier wakes its waiters", "[notifier]") {
  asio::io_context Context;
  std::vector<int> Woken;
  {
    Notifier Changed(Context.get_executor());
    for (int Number : {1, 2})
      spawn(Context.get_executor(), "wait", waitOnce(Changed, Woken, Number));
    Context.poll();
  }
  Context.run();
  CHECK(Woken == std::vector<int>{1, 2});
}
