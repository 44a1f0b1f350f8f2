#include "buckthorndeck/forwarding/PacketRefusal.h"

namespace buckthorndeck::forwarding {

const char *toString(PacketRefusal Reason) {
  switch (Reason) {
  case PacketRefusal::None:
    return "none";
  case PacketRefusal::NotReady:
    return "not_ready";
  case PacketRefusal::NoRoute:
    return "no_route";
  case PacketRefusal::RouteRemoved:
    return "route_removed";
  case PacketRefusal::NoServer:
    return "no_server";
  case PacketRefusal::UnknownToken:
    return "unknown_token";
  case PacketRefusal::ServerUnresponsive:
    return "server_silent";
  case PacketRefusal::ServerReplaced:
    return "server_replaced";
  case PacketRefusal::Evacuated:
    return "evacuated";
  case PacketRefusal::Region:
    return "region";
  case PacketRefusal::WarmupLimit:
    return "warmup_limit";
  case PacketRefusal::Overload:
    return "overload";
  }
  return "unknown";
}

} // namespace buckthorndeck::forwarding
