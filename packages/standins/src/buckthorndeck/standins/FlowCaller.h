#ifndef BUCKTHORNDECK_STANDINS_FLOWCALLER_H
#define BUCKTHORNDECK_STANDINS_FLOWCALLER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/standins/FlowMessage.h"
#include "buckthorndeck/standins/FlowPacket.h"
#include "buckthorndeck/standins/PacketRouter.h"

#include <functional>
#include <memory>
#include <vector>

namespace buckthorndeck::standins {

//! What happens to a caller's packets before a router takes them.
struct FlowLinkFaults {
  double Drop = 0; //!< Probability per packet, like the next.
  double Duplicate = 0;
};

struct FlowCallerOptions {
  UdpEndpoint Address; //!< All callers of a site have the same port.
  FailureDomainName Domain;
  FlowPacketFormat Format;
  const PacketRouter *Router = nullptr;
  //! Whether the process of a host runs; for flows that keep their host.
  std::function<bool(const UdpEndpoint &Host)> HostRuns;
  std::uint64_t RandomSeed = 1;
};

//! Which hosts the packets of a flow go to.
enum class FlowPath : std::uint8_t {
  Routed,    //!< Those that the routers choose.
  KeepsHost, //!< The first one until its process is gone, in rotation or not.
};

enum class FlowOutcome : std::uint8_t {
  Answered,
  NotOpened, //!< No server took the flow, so that nothing ran.
  Reset,
  Closed, //!< The server ended the flow before it answered.
  TimedOut,
};

const char *toString(FlowOutcome Outcome);

struct FlowResult {
  FlowOutcome Outcome = FlowOutcome::NotOpened;
  FlowAnswer Answer; //!< If there is one.
};

//! A reset that reached an open flow.
struct FlowReset {
  forwarding::FlowKey Flow;
  UdpEndpoint Sender;
  TimePoint At;
  bool FromHost = false; //!< An entry host wrote it, not a server.
};

//! A flow of a caller; see FlowCaller.
struct CallerFlow;

/**
 * Opens flows through the routers and sends requests over them, one at a time
 * on each flow.
 */
class FlowCaller {
public:
  static Expected<std::unique_ptr<FlowCaller>> start(const Executor &Where,
                                                     FlowCallerOptions Options);
  ~FlowCaller();

  void setFaults(const FlowLinkFaults &Faults);

  //! Sends the first packet and its copies until a server answers; null if
  //! none does.
  Task<std::shared_ptr<CallerFlow>> open(forwarding::SocketAddress Service,
                                         FlowPath Path = FlowPath::Routed);
  Task<FlowResult> call(std::shared_ptr<CallerFlow> Flow, FlowRequest Request,
                        Milliseconds Budget);
  //! Whether a further request may be sent.
  static bool usable(const CallerFlow &Flow);
  static forwarding::FlowKey keyOf(const CallerFlow &Flow);
  //! Ends a flow of which nothing more is wanted.
  void close(const std::shared_ptr<CallerFlow> &Flow);

  const std::vector<FlowReset> &resets() const;
  //! Packets that were changed on their way.
  std::size_t damaged() const;

private:
  struct State;
  explicit FlowCaller(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FLOWCALLER_H
