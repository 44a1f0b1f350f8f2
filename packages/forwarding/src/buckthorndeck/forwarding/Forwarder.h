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
#include <memory>
#include <optional>
#include <vector>

namespace buckthorndeck::forwarding {

struct ForwarderOptions {
  FailureDomainName Domain;
  std::size_t DomainCount = 1;
  //! Age after which a flow may be forgotten.
  std::chrono::seconds FlowLifetime{60};
  std::uint64_t RandomSeed = 1;
};

enum class PacketAction { Forward, Reset, Drop };

//! Why a packet was not forwarded.
enum class PacketRefusal {
  None,
  NotReady,           //!< No configuration yet.
  NoRoute,            //!< No route to the address.
  RouteRemoved,       //!< The configuration dropped the flow's route.
  NoServer,           //!< The service has no server that a flow may be sent to.
  UnknownToken,       //!< No server with this token is known.
  ServerUnresponsive, //!< The flow's server does not answer.
  ServerReplaced,     //!< The flow's server is gone; another has its address.
};
inline constexpr std::size_t PacketRefusalCount = 8;

const char *toString(PacketRefusal Reason);

//! What to do with a received packet.
struct PacketDecision {
  PacketAction Action = PacketAction::Drop;
  Server *Target = nullptr; //!< Set with Forward.
  PacketRefusal Reason = PacketRefusal::None;
};

//! A packet to send to a server, for example another copy of an open.
struct OutgoingPacket {
  Bytes Packet;
  ServerToken Target;
};

struct OutgoingReset {
  FlowKey Flow;
  std::uint32_t Sequence = 0;
};

//! What became due and needs a socket.
struct DueActions {
  std::vector<OutgoingPacket> Packets;
  std::vector<OutgoingReset> Resets;
  std::vector<ServerToken> HealthChecks; //!< Servers to connect to.
};

struct ForwarderCounters {
  std::uint64_t Forwarded = 0;
  std::uint64_t FlowsOpened = 0;        //!< Flows placed.
  std::uint64_t SynRetransmissions = 0; //!< Opens repeated by callers.
  std::uint64_t SynsHedged = 0;         //!< Opens repeated by this host.
  std::uint64_t FlowsEstablished = 0;   //!< Opens that a server answered.
  std::uint64_t Retransmissions = 0;
  std::uint64_t FlowsReset = 0; //!< Resets of flows without a packet.
  std::uint64_t HealthChecks = 0;
  std::uint64_t ServersMarkedUnresponsive = 0;
  std::array<std::uint64_t, PacketRefusalCount> PacketsRefused{};
};

/**
 * Decides where each packet goes.
 *
 * A new flow gets a server by placeFlow(). Packets of open flows go to the
 * server that their token names, so that it does not matter which host
 * receives them. The flow table only serves to notice servers that do not
 * answer.
 *
 * A server is doubted when an open or a request stays unanswered. If a health
 * check fails too while another server can be reached, it is unhealthy and gets
 * no new flows. Health checks can be wrong, so that its flows are reset only
 * once enough packets went unanswered as well; their callers then turn
 * elsewhere at once instead of at their deadline.
 */
class Forwarder {
public:
  explicit Forwarder(const ForwarderOptions &Options);

  //! The packet is kept only to repeat an open.
  PacketDecision handle(ByteView Packet, const PacketHeader &Header,
                        TimePoint Now);

  //! Ignores a version that is not higher than the one in force.
  void applyRoutes(RouteSet Next);
  //! Level is that of the log line; a bulk of changes is summed up elsewhere.
  void updateServer(ServerRecord Record, StoreRevision Revision, TimePoint Now,
                    LogLevel Level = LogLevel::Info);
  void removeServer(const std::string &Name, StoreRevision Revision,
                    TimePoint Now);
  //! Ends a complete read of the registry.
  void retainServers(std::vector<std::string> Present, StoreRevision Revision,
                     TimePoint Now);
  void recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
                         TimePoint Started, TimePoint Now);
  //! Path of the request that tells which server answers at the address of
  //! Token's; none if a connection is proof enough. An address may have been
  //! given to another server once packets went unanswered.
  std::optional<std::string> identityPath(ServerToken Token);
  //! A server whose answer shows that this host can reach servers at all; null
  //! if there is none besides Checked. Prefers the own failure domain.
  Server *referenceServerFor(ServerToken Checked);

  //! Does what is due and returns what needs a socket.
  DueActions takeDueActions(TimePoint Now);
  //! When takeDueActions() should be called next.
  TimePoint nextActionTime() const;

  //! Whether new flows can be served.
  bool ready(TimePoint Now) const;
  //! True once after a packet named a server that is not known.
  bool takeRefreshRequest();

  const ForwarderCounters &counters() const { return Counters; }
  const Latencies &latencies() const { return *Times; }
  const RouteTable &routes() const { return Routes; }
  ServerDirectory &servers() { return Servers; }
  std::size_t flowCount() const { return Flows.size(); }

private:
  //! An open that no server has answered yet.
  struct Opening {
    Bytes Packet;
    std::vector<ServerToken> Tried;
    TimePoint StartedAt;
  };
  struct DueOpening {
    TimePoint DueAt;
    FlowKey Flow;
  };
  struct DueResponse {
    TimePoint DueAt;
    FlowKey Flow;
    TimePoint WaitingSince;
  };

  PacketDecision handleOpen(ByteView Packet, const PacketHeader &Header,
                            TimePoint Now);
  PacketDecision repeatOpen(Opening &Known, const PacketHeader &Header,
                            const Route &Entry, TimePoint Now);
  PacketDecision refuse(PacketAction Action, PacketRefusal Reason,
                        const FlowKey &Flow, const Server *Target);
  Placement place(const FlowKey &Flow, const Route &Entry,
                  std::span<const ServerToken> Tried, TimePoint Now);
  void recordFlow(const PacketHeader &Header, Server &Target, TimePoint Now);
  void recordProgress(Server &Target, const FlowKey &Key,
                      const FlowUpdate &Update, TimePoint Now);
  void assign(Flow &Known, ServerToken Token);
  void releaseServer(ServerToken Token);
  void eraseFlow(const FlowKey &Key);
  void hedgeOpen(const FlowKey &Key, TimePoint Now);
  void doubt(Server &Target, const char *Cause, TimePoint Now);
  void startCheck(Server &Target);
  void recordRemoval(Server &Target, const char *Cause, TimePoint Now);
  void addEvidence(Server &Target, unsigned Points, TimePoint Now);
  void markUnhealthy(Server &Target, HealthCheckOutcome Outcome, TimePoint Now);
  void silence(Server &Target, TimePoint Now);
  void resetFlowsOf(const Server &Target);
  PacketRefusal deadReason(const Server &Target) const;
  bool isolated(TimePoint Now) const;
  void doubtUnanswered(TimePoint Now);
  void hedgeDue(TimePoint Now);
  void checkDue(TimePoint Now);
  void sweep(TimePoint Now);

  ForwarderOptions Options;
  RouteTable Routes;
  ServerDirectory Servers;
  FlowMap Flows;
  boost::unordered_flat_map<FlowKey, Opening, FlowKeyHash> Openings;
  std::deque<DueOpening> DueOpenings;
  std::deque<DueResponse> DueResponses;
  std::vector<ServerToken> FailedServers; //!< To be checked again.
  DueActions Work;
  ForwarderCounters Counters;
  std::unique_ptr<Latencies> Times = std::make_unique<Latencies>();
  routing::RetryBudget HedgeBudget;
  RandomEngine Random;
  TimePoint NextSweep;
  TimePoint AnsweredAt;  //!< Last sign of any server.
  TimePoint UnreachedAt; //!< Last inconclusive health check.
  bool RefreshWish = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FORWARDER_H
