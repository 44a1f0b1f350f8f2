#ifndef BUCKTHORNDECK_STANDINS_FLOWSERVER_H
#define BUCKTHORNDECK_STANDINS_FLOWSERVER_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/standins/FlowPacket.h"

#include <functional>
#include <memory>
#include <vector>

namespace buckthorndeck::standins {

struct FlowServerOptions {
  //! Address has the port 0 if the kernel is to choose one.
  forwarding::ServerRecord Record;
  FlowPacketFormat Format;
  std::uint16_t CallerPort = 0; //!< At which all callers receive packets.
  std::string NameHeader;       //!< Of a health check's answer; holds the name.
  Milliseconds WorkTime{5};     //!< Of one request.
  std::uint64_t RandomSeed = 1;
};

//! The first packet of a flow, as a server that took it saw it.
struct FlowOpening {
  forwarding::FlowKey Flow;
  UdpEndpoint Host; //!< Which sent it on.
  TimePoint At;
};

//! A request that a server has begun to work on.
struct FlowRun {
  std::uint64_t Request = 0;
  forwarding::FlowKey Flow;
  bool Intact = true; //!< The request's body is what its caller sends.
};

/**
 * A backend server that ends flows and answers their callers directly.
 *
 * Its health check, over TCP at the same address, names the server.
 */
class FlowServer {
public:
  static Expected<std::unique_ptr<FlowServer>> start(const Executor &Where,
                                                     FlowServerOptions Options);
  //! Stops like crash().
  ~FlowServer();

  const forwarding::ServerRecord &record() const;
  //! Closes each flow after its next answer.
  void drain();
  //! Forgets all flows and closes the sockets.
  void crash();
  //! A frozen server handles nothing; packets wait in its socket.
  void setFrozen(bool Frozen);
  //! Drops packets from entry hosts that Accepts refuses.
  void setFilter(std::function<bool(const UdpEndpoint &Host)> Accepts);

  bool alive() const;
  bool holds(const forwarding::FlowKey &Flow) const;
  const std::vector<FlowOpening> &openings() const;
  const std::vector<FlowRun> &runs() const;
  //! Packets that were changed on their way.
  std::size_t damaged() const;

private:
  struct State;
  explicit FlowServer(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FLOWSERVER_H
