#ifndef BUCKTHORNDECK_FORWARDING_PACKETREFUSAL_H
#define BUCKTHORNDECK_FORWARDING_PACKETREFUSAL_H

#include <cstddef>

namespace buckthorndeck::forwarding {

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
  Evacuated,          //!< Only evacuated failure domains have usable servers.
  Region,             //!< No server is in a region that the route allows.
  WarmupLimit,        //!< Only cold servers could serve, and they get no more.
  Overload,           //!< No server can answer within the route's time.
};
inline constexpr std::size_t PacketRefusalCount = 12;

const char *toString(PacketRefusal Reason);

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_PACKETREFUSAL_H
