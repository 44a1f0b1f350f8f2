// Writes one valid message of each type, for the fuzz targets to mutate:
// write-fuzz-inputs DIRECTORY

#include "../tests/Samples.h"
#include "Check.h"
#include "buckthorndeck/wire/Relay.h"
#include "buckthorndeck/wire/Token.h"

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

void write(const std::filesystem::path &Directory, Bytes Message,
           std::size_t TrailerBytes = 0) {
  static int Count = 0;
  // The targets add the MAC themselves.
  Message.resize(Message.size() - TrailerBytes);
  std::ofstream(Directory / std::to_string(Count++), std::ios::binary)
      << toText(Message);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: write-fuzz-inputs DIRECTORY\n";
    return 2;
  }
  const std::filesystem::path Directory(Arguments[1]);
  std::filesystem::create_directories(Directory);
  for (const Datagram &Message : longestDatagrams())
    write(Directory, encode(Message));
  for (const ServerMessage &Message : serverMessages())
    write(Directory, encodeCbor(encode(Message)));
  for (const ServerCommand &Command : serverCommands())
    write(Directory, encodeCbor(encode(Command)));
  const Token Contents{.Home = EntryHostName("hella-1"),
                       .Flow = FlowId(77),
                       .Server = ObjectName("exchange/floor-1")};
  write(Directory,
        mintToken(fuzzKey(), Contents, ServiceAddress("10.0.0.1:443")),
        MacBytes);
  write(Directory,
        encodeRelay(fuzzKey(), {.Caller = "10.0.0.2:99", .Payload = {1, 2}}),
        MacBytes);
  return 0;
}
