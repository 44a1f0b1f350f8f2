#ifndef BUCKTHORNDECK_NET_ENDPOINT_H
#define BUCKTHORNDECK_NET_ENDPOINT_H

#include "buckthorndeck/base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>
#include <string_view>

namespace buckthorndeck {

using TcpEndpoint = boost::asio::ip::tcp::endpoint;
using UdpEndpoint = boost::asio::ip::udp::endpoint;

//! Parses "a.b.c.d:port". Names are not resolved. Step goes into the error.
Expected<TcpEndpoint> parseTcpEndpoint(std::string_view Text,
                                       const std::string &Step);
Expected<UdpEndpoint> parseUdpEndpoint(std::string_view Text,
                                       const std::string &Step);

std::string toString(const TcpEndpoint &Where);
std::string toString(const UdpEndpoint &Where);

//! Whether datagrams can be sent to Where: the address of one host, and a port
//! other than 0.
bool isUnicast(const UdpEndpoint &Where);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_ENDPOINT_H
