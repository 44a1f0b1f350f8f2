#ifndef BUCKTHORNDECK_NET_TCPPROBE_H
#define BUCKTHORNDECK_NET_TCPPROBE_H

#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

namespace buckthorndeck {

enum class ProbeResult { Connected, Refused, TimedOut, Failed };

const char *toString(ProbeResult Result);

//! Opens a TCP connection and closes it again. Refused means that the host
//! answered and nothing listens; TimedOut that nothing answered in Timeout;
//! Failed that this host could not try, which says nothing about Peer.
Task<ProbeResult> probeTcp(TcpEndpoint Peer, Milliseconds Timeout);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_TCPPROBE_H
