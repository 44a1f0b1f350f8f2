#include "buckthorndeck/operator/HostSurvey.h"

#include "buckthorndeck/net/Notifier.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <deque>
#include <memory>
#include <set>

namespace buckthorndeck::operators {

namespace {

//! State shared by the queries of one survey.
struct SurveyState {
  SurveyState(const Executor &Where, SurveyOptions Options,
              std::function<void(const SurveyResult &)> Progress)
      : Options(std::move(Options)), Progress(std::move(Progress)),
        Changed(Where) {}

  SurveyOptions Options;
  std::function<void(const SurveyResult &)> Progress;
  Notifier Changed;
  std::set<TcpEndpoint> KnownHosts;
  std::set<TcpEndpoint> UnfinishedHosts;
  std::deque<TcpEndpoint> QueuedHosts;
  std::map<TcpEndpoint, unsigned> Failures;
  std::size_t RunningQueries = 0;
  SurveyResult Result;
};

using SurveyPointer = std::shared_ptr<SurveyState>;

void addHost(SurveyState &State, const TcpEndpoint &Host) {
  if (!State.KnownHosts.insert(Host).second)
    return;
  State.UnfinishedHosts.insert(Host);
  State.QueuedHosts.push_back(Host);
}

void addMembers(SurveyState &State, const HostStatus &Answer) {
  for (const MemberStatus &Member : Answer.Members) {
    const auto Address = parseTcpEndpoint(Member.SyncAddress, "read member");
    if (Address && Member.State != "dead" && Member.State != "left")
      addHost(State, *Address);
  }
}

//! Records the result of a query. Returns whether the host needs no
//! further queries.
bool recordAnswer(SurveyState &State, const TcpEndpoint &Host,
                  const Expected<HostStatus> &Answer) {
  if (Answer) {
    State.Result.Unanswered.erase(Host);
    State.Result.Answered.insert_or_assign(Host, *Answer);
    addMembers(State, *Answer);
    State.Progress(State.Result);
    return Answer->Version >= State.Options.TargetVersion;
  }
  // A host that has answered before is queried until the deadline.
  if (State.Result.Answered.contains(Host))
    return false;
  State.Result.Unanswered.insert_or_assign(Host, Answer.error());
  return ++State.Failures[Host] >= State.Options.MaxFailures;
}

//! Queries one host once, and queues it again after the interval if needed.
Task<> queryHost(SurveyPointer State, TcpEndpoint Host) {
  const auto Answer = co_await queryStatus(Host, State->Options.QueryTimeout);
  const bool Done =
      recordAnswer(*State, Host, Answer) ||
      Clock::now() + State->Options.QueryInterval >= State->Options.Deadline;
  if (Done)
    State->UnfinishedHosts.erase(Host);
  --State->RunningQueries;
  State->Changed.notifyAll();
  if (Done)
    co_return;
  co_await sleepFor(State->Options.QueryInterval);
  State->QueuedHosts.push_back(Host);
  State->Changed.notifyAll();
}

void startQueuedQueries(const Executor &Where, const SurveyPointer &State) {
  while (!State->QueuedHosts.empty() &&
         State->RunningQueries < State->Options.MaxParallel) {
    const TcpEndpoint Host = State->QueuedHosts.front();
    State->QueuedHosts.pop_front();
    ++State->RunningQueries;
    spawn(Where, "ask_host", queryHost(State, Host));
  }
}

} // namespace

std::size_t SurveyResult::countWithVersion(ConfigVersion Version) const {
  return static_cast<std::size_t>(
      std::count_if(Answered.begin(), Answered.end(), [&](const auto &Entry) {
        return Entry.second.Version >= Version;
      }));
}

std::optional<ConfigVersion>
SurveyResult::highestOther(ConfigVersion Version, Digest ObjectsDigest) const {
  std::optional<ConfigVersion> Highest;
  for (const auto &[Address, Host] : Answered) {
    const bool Differs = Host.Version == Version && Host.ObjectsDigest &&
                         *Host.ObjectsDigest != ObjectsDigest;
    if (Host.Version > Version || Differs)
      Highest = std::max(Highest.value_or(Version), Host.Version);
  }
  return Highest;
}

Task<SurveyResult>
surveyHosts(SurveyOptions Options,
            std::function<void(const SurveyResult &)> Progress) {
  const Executor Where = co_await boost::asio::this_coro::executor;
  const auto State = std::make_shared<SurveyState>(Where, std::move(Options),
                                                   std::move(Progress));
  for (const TcpEndpoint &Host : State->Options.Hosts)
    addHost(*State, Host);
  startQueuedQueries(Where, State);
  while (!State->UnfinishedHosts.empty()) {
    co_await State->Changed.wait();
    startQueuedQueries(Where, State);
  }
  co_return State->Result;
}

} // namespace buckthorndeck::operators
