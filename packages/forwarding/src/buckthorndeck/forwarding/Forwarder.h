#ifndef BUCKTHORNDECK_FORWARDING_FORWARDER_H
#define BUCKTHORNDECK_FORWARDING_FORWARDER_H

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/forwarding/FlowTable.h"
#include "buckthorndeck/forwarding/ForwarderCounters.h"
#include "buckthorndeck/forwarding/Latencies.h"
#include "buckthorndeck/forwarding/OutlierDetection.h"
#include "buckthorndeck/forwarding/OverloadControl.h"
#include "buckthorndeck/forwarding/PendingConnections.h"
#include "buckthorndeck/forwarding/Placement.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"
#include "buckthorndeck/forwarding/ServerMonitor.h"
#include "buckthorndeck/forwarding/WarmupLimits.h"
#include "buckthorndeck/routing/RetryBudget.h"

#include <functional>
#include <map>
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
  WarmupMargin Warmup;
  bool OutlierDetection = true; //!< On routes with a target latency.
  //! Both apply to routes with a target latency only.
  bool OverloadControl = true;
  bool AdaptiveSlowStart = true;
  std::map<std::string, RegionName> Regions; //!< By failure domain.
};

enum class PacketAction { Forward, Reset, Drop };

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

/**
 * Decides where each packet goes.
 *
 * placeFlow() chooses the server of a new flow. Later packets go to the server
 * that their token names, so any host can forward them. The flow table only
 * serves to detect servers that do not answer.
 */
class Forwarder {
public:
  explicit Forwarder(const ForwarderOptions &Options);
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

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
  //! The server gets no new flows from FallbackUntil on, not even as a
  //! fallback.
  void removeServer(const std::string &Name, StorePosition Position,
                    TimePoint Now, TimePoint FallbackUntil = TimePoint::max());
  //! Takes over that a peer saw an entry removed, see ServerDirectory.
  void mergeRemoval(RegistryEntry Removed, TimePoint Now);
  //! Removes the servers that are not in Present, the names that a complete
  //! read of the registry found. FallbackUntil as for removeServer().
  void retainServers(std::vector<std::string> Present, StorePosition Position,
                     TimePoint Now, TimePoint FallbackUntil = TimePoint::max());
  //! Ends the confirmation time of Era: withheld entries are applied unless
  //! they have changed, and servers without an entry of Era are removed.
  void confirmServers(StoreEra Era, TimePoint Now);
  //! See ServerMonitor. A server that was failed before starts slowly.
  void recordHealthCheck(ServerToken Token, HealthCheckOutcome Outcome,
                         TimePoint Started, TimePoint Now);
  HealthCheckKind healthCheckKind(ServerToken Token) {
    return Monitor.healthCheckKind(Token);
  }
  std::optional<std::string> identityPath(ServerToken Token) {
    return Monitor.identityPath(Token);
  }
  Server *referenceServerFor(ServerToken Checked) {
    return Monitor.referenceServerFor(Checked);
  }

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
  WarmupLimits &warmups() { return Warmups; }
  const OverloadControl &overload() const { return Overload; }
  std::size_t flowCount() const { return Flows.size(); }

private:
  struct ResponseTimer {
    TimePoint DueAt;
    FlowKey Flow;
    TimePoint WaitingSince;

    bool operator>(const ResponseTimer &Other) const {
      return DueAt > Other.DueAt;
    }
  };

  Server *serverOfOpenFlow(const PacketHeader &Syn);
  PendingConnection *connectionTo(const ServiceName &Service,
                                  const PacketHeader &Syn);
  PacketDecision handleSyn(ByteView Packet, const PacketHeader &Header,
                           TimePoint Now, bool MayBeLate);
  PacketDecision handleRetransmittedSyn(PendingConnection &Known,
                                        const PacketHeader &Header,
                                        const Route &Matched, TimePoint Now);
  PacketDecision refusePlacement(PacketAction Action, Ineligibility Excluded,
                                 const FlowKey &Flow, const Route &Matched,
                                 TimePoint Now);
  void recordSyn(Server &Target, TimePoint Now);
  void refreshWarmups(TimePoint Now);
  PacketDecision refuse(PacketAction Action, PacketRefusal Reason,
                        const FlowKey &Flow, const Server *Target,
                        TimePoint Now);
  Placement place(const FlowKey &Flow, const Route &Matched,
                  std::span<const ServerToken> Tried, TimePoint Now,
                  const LoadDecision &Load = {});
  void logUnknownRegions() const;
  void recordFlow(const PacketHeader &Header, Server &Target, TimePoint Now);
  void recordProgress(Server &Target, const FlowKey &Key,
                      const FlowUpdate &Update, TimePoint Now);
  void recordResponse(Server &Target, double SampleMs, TimePoint Now);
  void recordRejection(Server &Target, TimePoint Now);
  void recordAnswer(Server &Target, Flow &Tracked, const FlowKey &Key,
                    const FlowUpdate &Update, TimePoint Now);
  void assign(Flow &Tracked, ServerToken Token);
  void releaseServer(ServerToken Token);
  void eraseFlow(const FlowKey &Key);
  void hedgeSyn(const FlowKey &Key, TimePoint Now);
  void recordRemoval(Server &Target, const char *Cause, TimePoint Now);
  void resetFlowsOf(const Server &Target, PacketRefusal Reason, TimePoint Now);
  bool hasLostRoute(const FlowKey &Flow) const;
  void processResponseTimers(TimePoint Now);
  void removeExpired(TimePoint Now);

  ForwarderOptions Options;
  RouteTable Routes;
  ServerDirectory Servers;
  FlowMap Flows;
  PendingConnections Pending;
  //! The first one due is on top.
  std::priority_queue<ResponseTimer, std::vector<ResponseTimer>, std::greater<>>
      ResponseTimers;
  DueActions Actions;
  ForwarderCounters Counters;
  ServerMonitor Monitor;
  WarmupLimits Warmups;
  OutlierDetection Outliers;
  OverloadControl Overload;
  std::unique_ptr<Latencies> Histograms = std::make_unique<Latencies>();
  routing::RetryBudget HedgeBudget;
  RandomEngine Random;
  TimePoint NextExpiryAt;
  bool RefreshRequested = false;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_FORWARDER_H
