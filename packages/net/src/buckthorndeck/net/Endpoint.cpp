#include "buckthorndeck/net/Endpoint.h"

#include <charconv>
#include <cstdint>

namespace buckthorndeck {

namespace {

template <typename Endpoint>
Expected<Endpoint> parse(std::string_view Text, const std::string &Step) {
  const auto Failure =
      Unexpected(Error{.Code = ErrorCode::Invalid,
                       .Step = Step,
                       .Peer = std::string(Text),
                       .Message = "expected an IPv4 address and port"});
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Failure;
  boost::system::error_code Code;
  const auto Address = boost::asio::ip::make_address_v4(
      std::string(Text.substr(0, Colon)), Code);
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, PortCode] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  // The text is also compared with what it was parsed to, because the parser of
  // the C library stops at a NUL byte.
  if (Code || Address.to_string() != Text.substr(0, Colon) ||
      PortCode != std::errc() || End != PortText.data() + PortText.size())
    return Failure;
  return Endpoint(Address, Port);
}

template <typename Endpoint> std::string format(const Endpoint &Where) {
  return Where.address().to_string() + ":" + std::to_string(Where.port());
}

} // namespace

Expected<TcpEndpoint> parseTcpEndpoint(std::string_view Text,
                                       const std::string &Step) {
  return parse<TcpEndpoint>(Text, Step);
}

Expected<UdpEndpoint> parseUdpEndpoint(std::string_view Text,
                                       const std::string &Step) {
  return parse<UdpEndpoint>(Text, Step);
}

std::string toString(const TcpEndpoint &Where) { return format(Where); }
std::string toString(const UdpEndpoint &Where) { return format(Where); }

bool isUnicast(const UdpEndpoint &Where) {
  const auto Address = Where.address().to_v4();
  return Where.port() != 0 && !Address.is_unspecified() &&
         !Address.is_multicast() &&
         Address != boost::asio::ip::address_v4::broadcast();
}

} // namespace buckthorndeck
