#ifndef BUCKTHORNDECK_ROUTING_TESTS_FIXTURE_H
#define BUCKTHORNDECK_ROUTING_TESTS_FIXTURE_H

#include "FakeServer.h"
#include "buckthorndeck/routing/Dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <initializer_list>

// g++ 12 inlines operator new but not operator delete for some coroutine frames
// and then reports them as mismatched.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif

namespace buckthorndeck::routing {

//! A dispatcher, its fake servers and the io_context that runs both.
class Fixture {
public:
  Executor where() { return Context.get_executor(); }

  FakeServer &server(const std::string &Name, FakeServer::OnCommand Answer,
                     std::uint32_t Slots = 2) {
    Servers.push_back(
        std::make_unique<FakeServer>(where(), Name, std::move(Answer), Slots));
    declare(*Servers.back());
    return *Servers.back();
  }

  void declare(const FakeServer &Server) {
    const config::BackendServer Declared = Server.declaration();
    Objects.BackendServers[Declared.Name] = Declared;
  }

  //! Puts a declared server into a failure domain.
  void place(const std::string &Server, const std::string &Domain) {
    const ObjectName Place("ns/" + Domain);
    Objects.Places[Place] = {.Name = Place,
                             .FailureDomain = FailureDomainName(Domain)};
    Objects.BackendServers.at(ObjectName("ns/" + Server)).Place = Place;
  }

  //! Applies a configuration that evacuates these failure domains.
  void evacuate(const std::vector<std::string> &Domains) {
    Objects.Evacuations.clear();
    for (const std::string &Domain : Domains) {
      const ObjectName Name("ns/" + Domain);
      Objects.Evacuations[Name] = {.Name = Name,
                                   .FailureDomain = FailureDomainName(Domain)};
    }
    TestDispatcher.apply(Objects);
  }

  //! Applies the configuration and waits until Count servers are connected.
  Task<> connect(std::size_t Count) {
    Objects.Rules[Rule.Name] = Rule;
    TestDispatcher.apply(Objects);
    co_await waitUntil([Count](Fixture &Self) {
      return Self.countInState("connected") >= Count;
    });
  }

  std::size_t countInState(const std::string &State) const {
    const auto All = TestDispatcher.status();
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const ServerStatus &Server) {
          return Server.State == State;
        }));
  }

  //! Number of this host's requests in flight at all servers.
  std::uint32_t inFlight() const {
    std::uint32_t Sum = 0;
    for (const ServerStatus &Server : TestDispatcher.status())
      Sum += Server.InFlight;
    return Sum;
  }

  //! Lets other tasks run until Condition holds. The dispatcher reports no
  //! event for these conditions, so they are polled every 1 ms.
  Task<> waitUntil(std::function<bool(Fixture &)> Condition) {
    while (!Condition(*this))
      co_await sleepFor(Milliseconds(1));
  }

  Job job(bool Idempotent = false, Milliseconds TimeLeft = Minute) {
    return Job{.Service = ObjectName("ns/service"),
               .Operation = "op",
               .Idempotent = Idempotent,
               .Deadline = Clock::now() + TimeLeft,
               .Body = toBytes("body")};
  }

  //! Gives the service an address in the next configuration.
  void declareAddress(const std::string &Address) {
    const ObjectName Service("ns/service");
    Objects.Services[Service] = {.Name = Service,
                                 .Address = ServiceAddress(Address)};
  }

  //! A job that a caller sent to Address.
  Job jobFor(const std::string &Address, bool Idempotent = false) {
    Job Request = job(Idempotent);
    Request.Address = ServiceAddress(Address);
    return Request;
  }

  //! Starts a job; the returned object receives its result.
  std::shared_ptr<std::optional<JobResult>>
  start(Job Request, std::shared_ptr<CancelSignal> Signal = nullptr) {
    auto Result = std::make_shared<std::optional<JobResult>>();
    spawn(where(), "test_job",
          runInto(this, std::move(Request), std::move(Signal), Result));
    return Result;
  }
  Task<JobResult> resultOf(std::shared_ptr<std::optional<JobResult>> Result) {
    while (!*Result)
      co_await Finished.wait();
    co_return **Result;
  }

  //! Runs the body of a test and rethrows an exception that it throws.
  void run(Task<> (*Body)(Fixture &)) {
    std::exception_ptr Failure;
    bool Ended = false;
    boost::asio::co_spawn(Context, Body(*this),
                          [&](const std::exception_ptr &Thrown) {
                            Failure = Thrown;
                            Ended = true;
                            Context.stop();
                          });
    Context.run_for(Limit);
    if (Failure)
      std::rethrow_exception(Failure);
    REQUIRE(Ended);
  }

  static constexpr Milliseconds Minute{60'000};
  //! A test that has not ended after this time fails.
  static constexpr std::chrono::seconds Limit{60};

  boost::asio::io_context Context{1};
  config::ObjectSet Objects;
  config::Rule Rule{.Name = ObjectName("ns/rule"),
                    .Service = ObjectName("ns/service")};
  Notifier Finished{where()};
  std::vector<std::unique_ptr<FakeServer>> Servers;
  Dispatcher TestDispatcher{where(),
                            DispatcherOptions{.Host = EntryHostName("host")}};

private:
  static Task<> runInto(Fixture *Self, Job Request,
                        std::shared_ptr<CancelSignal> Signal,
                        std::shared_ptr<std::optional<JobResult>> Result) {
    *Result = co_await Self->TestDispatcher.run(std::move(Request),
                                                std::move(Signal));
    Self->Finished.notifyAll();
  }
};

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_TESTS_FIXTURE_H
