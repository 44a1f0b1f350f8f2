#include "buckthorndeck/forwarding/Packet.h"

#include "buckthorndeck/base/Hash.h"

#include <array>
#include <boost/asio/ip/address_v4.hpp>

namespace buckthorndeck::forwarding {

namespace {

constexpr std::size_t AddressBytes = 6;

void writeAddress(std::uint8_t *Out, const SocketAddress &Address) {
  for (int Index = 0; Index < 4; ++Index)
    Out[Index] = static_cast<std::uint8_t>(Address.Ip >> (24 - 8 * Index));
  Out[4] = static_cast<std::uint8_t>(Address.Port >> 8);
  Out[5] = static_cast<std::uint8_t>(Address.Port);
}

} // namespace

std::string toString(const SocketAddress &Address) {
  return boost::asio::ip::address_v4(Address.Ip).to_string() + ":" +
         std::to_string(Address.Port);
}

std::string toString(const FlowKey &Flow) {
  return toString(Flow.Caller) + ">" + toString(Flow.Service);
}

std::uint64_t hashOf(const SocketAddress &Address) {
  std::array<std::uint8_t, AddressBytes> Buffer{};
  writeAddress(Buffer.data(), Address);
  return digestOf(ByteView(Buffer)).value();
}

std::uint64_t hashOf(const FlowKey &Flow) {
  std::array<std::uint8_t, 2 * AddressBytes> Buffer{};
  writeAddress(Buffer.data(), Flow.Caller);
  writeAddress(Buffer.data() + AddressBytes, Flow.Service);
  return digestOf(ByteView(Buffer)).value();
}

} // namespace buckthorndeck::forwarding
