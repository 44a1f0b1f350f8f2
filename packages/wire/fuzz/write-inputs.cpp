// Writes one valid message of each type, for the fuzz targets to mutate:
// write-wire-inputs DIRECTORY

#include "../../base/fuzz/InputFiles.h"
#include "../tests/Samples.h"
#include "FuzzKey.h"
#include "buckthorndeck/wire/Relay.h"
#include "buckthorndeck/wire/Token.h"

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

//! Writes a message without its MAC, which the targets add themselves.
void writeUnsealed(InputFiles &Files, Bytes Message) {
  Message.resize(Message.size() - MacBytes);
  Files.write(Message);
}

} // namespace

int main(int Count, char **Arguments) {
  InputFiles Files = inputFilesFrom(Count, Arguments);
  for (const Datagram &Message : longestDatagrams())
    Files.write(encode(Message));
  for (const ServerMessage &Message : serverMessages())
    Files.write(encodeCbor(encode(Message)));
  for (const ServerCommand &Command : serverCommands())
    Files.write(encodeCbor(encode(Command)));
  const Token Contents{.Owner = EntryHostName("hella-1"),
                       .Flow = FlowId(77),
                       .Server = ObjectName("exchange/floor-1")};
  writeUnsealed(
      Files, issueToken(fuzzKey(), Contents, ServiceAddress("10.0.0.1:443")));
  writeUnsealed(Files, encodeRelay(fuzzKey(), {.Caller = "10.0.0.2:99",
                                               .Payload = {1, 2}}));
  return 0;
}
