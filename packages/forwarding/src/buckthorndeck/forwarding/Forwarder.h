#ifndef BUCKTHORNDECK_FORWARDING_FORWARDER_H
#define BUCKTHORNDECK_FORWARDING_FORWARDER_H

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/FlowTable.h"
#include "buckthorndeck/forwarding/Latencies.h"
#include "buckthorndeck/forwarding/Placement.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"
#include "buckthorndeck/routing/RetryBudget.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace buckthorndeck::forwarding {

struct ForwarderOptions {
  FailureDomainName Domain;
  std::size_t DomainCount = 1;
  //! Flows may need their server's address for this long after its registry
  //! entry was removed.
  std::chrono::seconds FlowLifetime{60};
  std::uint64_t RandomSeed = 1;
};

enum class PacketAction { Forward, Reset, Drop };

//! Why a packet was not forwarded.
enum class PacketRefusal {
  None,
  NotReady,           //!< No configuration has been loaded.
  NoRoute,            //!< The address has no route.
  RouteRemoved,       //!< A newer configuration removed the flow's route.
  NoServer,           //!< The service has no usable server.
  UnknownToken,       //!< No server with this token is known.
  ServerUnresponsive, //!< It fails health checks and leaves packets unanswered.
  ServerReplaced,     //!< The server's address now belongs to another server.
};
inline constexpr std::size_t PacketRefusalCount = 8;

const char *toString(PacketRefusal Reason);

//! How to handle a received packet.
struct PacketDecision {
  PacketAction Action = PacketAction::Drop;
  Server *Target = nullptr; //!< Set with Forward.
  PacketRefusal Reason = PacketRefusal::None;
};

//! A packet that this host itself originates: a copy of a SYN for another
//! server.
struct OutgoingPacket {
  Bytes Packet;
  ServerToken Target;
};

struct OutgoingReset {
  FlowKey Flow;
  std::uint32_t Sequence = 0;
};

//! Actions that are due and that the owner of the sockets carries out.
struct DueActions {
  std::vector<OutgoingPacket> Packets;
  std::vector<OutgoingReset> Resets;
  std::vector<ServerToken> HealthChecks; //!< Servers to check.
};

struct ForwarderCounters {
  std::uint64_t Forwarded = 0;
  std::uint64_t FlowsOpened = 0;        //!< Flows that were assigned a server.
  std::uint64_t SynRetransmissions = 0; //!< SYNs retransmitted by callers.
  std::uint64_t SynsHedged = 0; //!< SYNs that this host sent to another server.
  std::uint64_t FlowsEstablished = 0; //!< Flows whose SYN was answered.
  std::uint64_t Retransmissions = 0;
  std::uint64_t FlowsReset = 0; //!< Their server became unresponsive.
  std::uint64_t HealthChecks = 0;
  std::uint64_t ServersMarkedUnresponsive = 0;
  std::array<std::uint64_t, PacketRefusalCount> PacketsRefused{};
  //! Resets by reason, in answer to a packet or of all flows of a server.
  std::array<std::uint64_t, PacketRefusalCount> Resets{};
  std::array<std::uint64_t, HealthCheckOutcomeCount> HealthCheckOutcomes{};
};

/**
 * Decides where each packet goes.
 *
 * placeFlow() chooses the server of a new flow. Later packets go to the server
 * that their token names, so any host can forward them. The flow table only
 * serves to detect servers that do not answer.
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
class Forwarder {
public:
  explicit Forwarder(const ForwarderOptions &Options);

  //! Packet is copied if it is a SYN, for hedging. MayBeLate: the packet may
  //! have waited so long that its caller has sent it again through another
  //! host, so that a SYN is refused without a reset.
  PacketDecision handle(ByteView Packet, const PacketHeader &Header,
                        TimePoint Now, bool MayBeLate = false);

  //! Ignores a version that is not higher than the one in force, which was the
  //! newest one at least until CurrentUntil. Flows that this host received
  //! before then are reset if Next removes their route.
  void applyRoutes(RouteSet Next, TimePoint CurrentUntil = {});
  //! Level is the level of the log line; bulk updates are logged at debug
  //! level.
  void updateServer(ServerRecord Record, StorePosition Position, TimePoint Now,
                    LogLevel Level = LogLevel::Info,
                    EntryOrigin Origin = EntryOrigin::Write);
  void removeServer(const std::string &Name, StorePosition Position,
                    TimePoint Now);
  //! Takes over that a peer saw an entry removed, see ServerDirectory.
  void mergeRemoval(RegistryEntry Removed, TimePoint Now);
  //! Removes the servers that are not in Present, the names that a complete
  //! read of the registry found.
  void retainServers(std::vector<std::string> Present, StorePosition Position,
                     TimePoint Now);
  //! Ends the confirmation time of Era: withheld entries are applied unless
  //! they have changed, and servers without an entry of Era are removed.
  void confirmServers(StoreEra Era, TimePoint Now);
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

  //! Discards the failures that this host observed before a time in which it
  //! did not run. Health checks that began before Now become inconclusive.
  void recordPause(TimePoint Now);

  //! Processes expired timers and returns the actions to carry out.
  DueActions takeDueActions(TimePoint Now);
  //! When takeDueActions() should be called next.
  TimePoint nextActionTime() const;

  //! Whether this host can accept new flows.
  bool ready(TimePoint Now) const;
  //! Whether a packet has had an unknown token since the last call.
  bool takeRefreshRequest();

  const ForwarderCounters &counters() const { return Counters; }
  const Latencies &latencies() const { return *Histograms; }
  const RouteTable &routes() const { return Routes; }
  ServerDirectory &servers() { return Servers; }
  std::size_t flowCount() const { return Flows.size(); }

private:
  //! A flow whose SYN no server has answered.
  struct PendingConnection {
    Bytes Packet;
    std::vector<ServerToken> Tried;
    TimePoint StartedAt;
  };
  struct HedgeTimer {
    TimePoint DueAt;
    FlowKey Flow;
  };
  struct ResponseTimer {
    TimePoint DueAt;
    FlowKey Flow;
    TimePoint WaitingSince;

    bool operator>(const ResponseTimer &Other) const {
      return DueAt > Other.DueAt;
    }
  };

  Server *serverOfOpenFlow(const FlowKey &Flow);
  PacketDecision handleSyn(ByteView Packet, const PacketHeader &Header,
                           TimePoint Now, bool MayBeLate);
  PacketDecision handleRetransmittedSyn(PendingConnection &Pending,
                                        const PacketHeader &Header,
                                        const Route &Matched, TimePoint Now);
  PacketDecision refuse(PacketAction Action, PacketRefusal Reason,
                        const FlowKey &Flow, const Server *Target,
                        TimePoint Now);
  Placement place(const FlowKey &Flow, const Route &Matched,
                  std::span<const ServerToken> Tried, TimePoint Now);
  void recordFlow(const PacketHeader &Header, Server &Target, TimePoint Now);
  void recordProgress(Server &Target, const FlowKey &Key,
                      const FlowUpdate &Update, TimePoint Now);
  void assign(Flow &Tracked, ServerToken Token);
  void releaseServer(ServerToken Token);
  void eraseFlow(const FlowKey &Key);
  void hedgeSyn(const FlowKey &Key, TimePoint Now);
  void suspect(Server &Target, const char *Cause, TimePoint Now);
  void startHealthCheck(Server &Target);
  void recordRemoval(Server &Target, const char *Cause, TimePoint Now);
  void addFailureScore(Server &Target, unsigned Score, TimePoint Now);
  void markUnhealthy(Server &Target, HealthCheckOutcome Outcome, TimePoint Now);
  void markUnresponsive(Server &Target, TimePoint Now);
  void resetFlowsOf(const Server &Target, TimePoint Now);
  bool hasLostRoute(const FlowKey &Flow) const;
  bool mayHaveBeenReplaced(const Server &Target) const;
  void recheckIfDoubtful(Server &Target, TimePoint Now);
  bool isolated(TimePoint Now) const;
  void processResponseTimers(TimePoint Now);
  void processHedgeTimers(TimePoint Now);
  void processHealthChecks(TimePoint Now);
  void removeExpired(TimePoint Now);

  ForwarderOptions Options;
  RouteTable Routes;
  ServerDirectory Servers;
  FlowMap Flows;
  boost::unordered_flat_map<FlowKey, PendingConnection, FlowKeyHash>
      PendingConnections;
  std::deque<HedgeTimer> HedgeTimers;
  //! The first one due is on top.
  std::priority_queue<ResponseTimer, std::vector<ResponseTimer>, std::greater<>>
      ResponseTimers;
  //! Unhealthy and unresponsive servers, to be checked again.
  std::vector<ServerToken> FailedServers;
  DueActions Actions;
  ForwarderCounters Counters;
  std::unique_ptr<Latencies> Histograms = std::make_unique<Latencies>();
  routing::RetryBudget HedgeBudget;
  RandomEngine Random;
  TimePoint NextExpiryAt;
  //! Last progress or conclusive health check of any server.
  TimePoint LastAnswerAt;
  TimePoint LastInconclusiveAt; //!< Last inconclusive health check.
  TimePoint LastPauseAt;        //!< End of the last pause of this host.
  //! Earliest next health check of a failed server.
  TimePoint NextFailedCheckAt = TimePoint::max();
  bool RefreshRequested = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FORWARDER_H
