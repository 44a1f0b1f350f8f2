#include "buckthorndeck/operator/HostSurvey.h"

#include "buckthorndeck/net/Notifier.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <deque>
#include <memory>
#include <set>

namespace buckthorndeck::operators {

namespace {

//! Shared by the workers of one survey.
struct Survey {
  Survey(const Executor &Where, SurveyOptions Options,
         std::function<void(const SurveyResult &)> Progress)
      : Options(std::move(Options)), Progress(std::move(Progress)),
        Changed(Where) {}

  SurveyOptions Options;
  std::function<void(const SurveyResult &)> Progress;
  Notifier Changed;
  std::set<TcpEndpoint> Known;
  std::set<TcpEndpoint> Unfinished;
  std::deque<TcpEndpoint> Waiting;
  std::map<TcpEndpoint, unsigned> Failures;
  std::size_t Running = 0;
  SurveyResult Result;
};

using SurveyPointer = std::shared_ptr<Survey>;

void addHost(Survey &State, const TcpEndpoint &Host) {
  if (!State.Known.insert(Host).second)
    return;
  State.Unfinished.insert(Host);
  State.Waiting.push_back(Host);
}

void addMembers(Survey &State, const HostStatus &Answer) {
  for (const MemberStatus &Member : Answer.Members) {
    const auto Address = parseTcpEndpoint(Member.SyncAddress, "read member");
    if (Address && Member.State != "dead" && Member.State != "left")
      addHost(State, *Address);
  }
}

//! Takes in one answer; returns whether the host is done.
bool takeAnswer(Survey &State, const TcpEndpoint &Host,
                const Expected<HostStatus> &Answer) {
  if (Answer) {
    State.Result.NotHeard.erase(Host);
    State.Result.Heard.insert_or_assign(Host, *Answer);
    addMembers(State, *Answer);
    State.Progress(State.Result);
    return Answer->Version >= State.Options.Target;
  }
  // A host that answered before is asked until the deadline.
  if (State.Result.Heard.contains(Host))
    return false;
  State.Result.NotHeard.insert_or_assign(Host, Answer.error());
  return ++State.Failures[Host] >= State.Options.MaxFailures;
}

//! Asks one host once, and puts it back into the queue if it is not done.
Task<> askHost(SurveyPointer State, TcpEndpoint Host) {
  const auto Answer = co_await queryStatus(Host, State->Options.QueryTimeout);
  const bool Done =
      takeAnswer(*State, Host, Answer) ||
      Clock::now() + State->Options.Interval >= State->Options.Deadline;
  if (Done)
    State->Unfinished.erase(Host);
  --State->Running;
  State->Changed.notifyAll();
  if (Done)
    co_return;
  co_await sleepFor(State->Options.Interval);
  State->Waiting.push_back(Host);
  State->Changed.notifyAll();
}

void startWaiting(const Executor &Where, const SurveyPointer &State) {
  while (!State->Waiting.empty() &&
         State->Running < State->Options.MaxParallel) {
    const TcpEndpoint Host = State->Waiting.front();
    State->Waiting.pop_front();
    ++State->Running;
    spawn(Where, "ask_host", askHost(State, Host));
  }
}

} // namespace

std::size_t SurveyResult::countAt(ConfigVersion Version) const {
  return static_cast<std::size_t>(
      std::count_if(Heard.begin(), Heard.end(), [&](const auto &Entry) {
        return Entry.second.Version >= Version;
      }));
}

Task<SurveyResult>
surveyHosts(SurveyOptions Options,
            std::function<void(const SurveyResult &)> Progress) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  const auto State =
      std::make_shared<Survey>(Where, std::move(Options), std::move(Progress));
  for (const TcpEndpoint &Host : State->Options.Hosts)
    addHost(*State, Host);
  startWaiting(Where, State);
  while (!State->Unfinished.empty()) {
    co_await State->Changed.wait();
    startWaiting(Where, State);
  }
  co_return State->Result;
}

} // namespace buckthorndeck::operators
