#ifndef BUCKTHORNDECK_STANDINS_TCPPROXY_H
#define BUCKTHORNDECK_STANDINS_TCPPROXY_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <memory>

namespace buckthorndeck::standins {

//! What happens to the connections of one link.
struct TcpLinkFaults {
  bool Refuse = false;       //!< New connections are reset at once.
  bool HoldToServer = false; //!< Bytes to the server do not arrive.
  bool HoldFromServer = false;
  Milliseconds Delay{0}; //!< Of each chunk, in both directions.
};

/**
 * Relays connections to one server and injects faults.
 *
 * Held bytes arrive when the fault ends, like those of a link that was cut.
 */
class TcpProxy {
public:
  static Expected<std::unique_ptr<TcpProxy>> start(const Executor &Where,
                                                   const TcpEndpoint &Server);
  ~TcpProxy();

  TcpEndpoint endpoint() const;
  void setFaults(const TcpLinkFaults &Faults);
  //! Resets all open connections.
  void reset();
  //! Open connections go silent for good; new ones work.
  void silence();

private:
  struct State;
  explicit TcpProxy(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_TCPPROXY_H
