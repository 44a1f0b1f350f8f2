#ifndef BUCKTHORNDECK_FORWARDING_SERVERMONITOR_H
#define BUCKTHORNDECK_FORWARDING_SERVERMONITOR_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/forwarding/ForwarderCounters.h"
#include "buckthorndeck/forwarding/PacketRefusal.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthorndeck::forwarding {

//! How long a request to Target may be unanswered before Target is suspected.
Milliseconds responseSuspicionDelay(const Server &Target);
//! Why packets of Target's flows must be answered by a reset now.
PacketRefusal serverRefusal(const Server &Target, TimePoint Now);

/**
 * Decides what this host believes of each server: whether it can be reached and
 * whether its flows must be reset.
 *
 * A server is suspected when a SYN or a request is not answered. If its health
 * check also fails while another server can be reached, the server is unhealthy
 * and gets no new flows. Its flows are reset only once a second check has
 * failed, since an answer may be late by chance, and the failure score, the
 * weight of its unanswered packets, has reached a limit, since false health
 * reports occur. The reset lets callers try another server at once rather than
 * at their deadline. A failed check counts only for a limited time: later
 * packets are forwarded again until another check fails.
 */
class ServerMonitor {
public:
  //! Resets all flows of a server, for the given reason.
  using FlowReset =
      std::function<void(const Server &, PacketRefusal, TimePoint Now)>;

  //! The references must outlive the monitor. Domain is the failure domain of
  //! this host.
  ServerMonitor(ServerDirectory &Servers, const RouteTable &Routes,
                FailureDomainName Domain, ForwarderCounters &Counters,
                FlowReset ResetFlows)
      : Servers(Servers), Routes(Routes), Domain(std::move(Domain)),
        Counters(Counters), ResetFlows(std::move(ResetFlows)) {}

  //! Target has answered a packet. Flow appears in the log.
  void recordAnswer(Server &Target, const FlowKey &Flow, TimePoint Now);
  //! Target has left a SYN unanswered.
  void recordUnansweredSyn(Server &Target, TimePoint Now);
  //! Target has left a request unanswered for responseSuspicionDelay().
  void recordUnansweredRequest(Server &Target, TimePoint Now);
  //! A caller has sent a request again that Target did not answer.
  void recordRetransmission(Server &Target, TimePoint Now);
  //! The registry entry of Target, which has flows, was removed.
  void recordRemoval(Server &Target, TimePoint Now);
  //! The registry entry of Target has changed, which shows that it runs.
  void recordEntry(Server &Target, TimePoint Now);

  //! Started is the start of the check: a failure is ignored if the server made
  //! progress since then.
  void recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
                         TimePoint Started, TimePoint Now);
  //! How to check the server now; a server that failed a check needs a
  //! confirmation.
  HealthCheckKind healthCheckKind(ServerToken Token);
  //! Path of the HTTP request that identifies the server at the address of
  //! Token's server. No value if a TCP connection is sufficient: only after
  //! unanswered packets may the address belong to another server.
  std::optional<std::string> identityPath(ServerToken Token);
  //! The reference server for a check of Checked: if it answers, this host's
  //! own network works. Null if no other server is reachable. Prefers this
  //! host's failure domain.
  Server *referenceServerFor(ServerToken Checked);

  //! Checks a server that gets a packet although its last check failed some
  //! time ago or its address may belong to another server.
  void recheckIfDoubtful(Server &Target, TimePoint Now);
  //! Discards the failures that this host observed before a time in which it
  //! did not run. Health checks that began before Now become inconclusive.
  //! Returns the number of servers with discarded failures.
  std::size_t recordPause(TimePoint Now);

  //! Starts the health checks that are due.
  void processHealthChecks(TimePoint Now);
  //! The servers to check now; each is returned once.
  std::vector<ServerToken> takeHealthChecks() {
    return std::exchange(DueChecks, {});
  }
  //! When processHealthChecks() should be called next.
  TimePoint nextCheckTime() const { return NextFailedCheckAt; }
  //! Whether no server at all has answered for some time.
  bool isolated(TimePoint Now) const;

private:
  void suspect(Server &Target, const char *Cause, TimePoint Now);
  void startHealthCheck(Server &Target);
  void addFailureScore(Server &Target, unsigned Score, TimePoint Now);
  void markUnhealthy(Server &Target, HealthCheckOutcome Outcome, TimePoint Now);
  void markUnresponsive(Server &Target, TimePoint Now);
  bool mayHaveBeenReplaced(const Server &Target) const;

  ServerDirectory &Servers;
  const RouteTable &Routes;
  FailureDomainName Domain;
  ForwarderCounters &Counters;
  FlowReset ResetFlows;
  std::vector<ServerToken> DueChecks;
  //! Unhealthy and unresponsive servers, to be checked again.
  std::vector<ServerToken> FailedServers;
  //! Last progress or conclusive health check of any server.
  TimePoint LastAnswerAt;
  TimePoint LastInconclusiveAt; //!< Last inconclusive health check.
  TimePoint LastPauseAt;        //!< End of the last pause of this host.
  //! Earliest next health check of a failed server.
  TimePoint NextFailedCheckAt = TimePoint::max();
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_SERVERMONITOR_H
