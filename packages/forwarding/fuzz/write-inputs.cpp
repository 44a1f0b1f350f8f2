// Writes one valid message of each type, for the fuzz targets to mutate:
// write-forwarding-inputs DIRECTORY

#include "../../base/fuzz/InputFiles.h"
#include "buckthorndeck/forwarding/Peers.h"
#include "buckthorndeck/forwarding/RelayedChanges.h"
#include "buckthorndeck/forwarding/Snapshot.h"

using namespace buckthorndeck;
using namespace buckthorndeck::forwarding;

int main(int Count, char **Arguments) {
  InputFiles Files = inputFilesFrom(Count, Arguments);
  const Peer Sender{.Name = EntryHostName("front-1"),
                    .Domain = FailureDomainName("hella"),
                    .Heartbeat = *parseUdpEndpoint("10.0.0.1:7000", "input"),
                    .Snapshot = *parseTcpEndpoint("10.0.0.1:7001", "input")};
  Files.write(encodeHeartbeat({.Sender = Sender, .KnownPeers = {Sender}}));

  const ServiceName Floor("floor");
  ServerDirectory Servers;
  const ServerRecord Record{.Name = "i-7f",
                            .Id = ServerId(0x7f),
                            .StartTime = Incarnation(5),
                            .Service = Floor,
                            .Address =
                                *parseUdpEndpoint("10.0.0.2:8080", "input"),
                            .Domain = FailureDomainName("hella"),
                            .Slots = 2};
  Servers.update(Record, {.Revision = StoreRevision(3)}, TimePoint());
  RouteTable Routes;
  RouteSet Configuration{.Version = ConfigVersion(7)};
  Configuration.Routes.push_back(
      {.Address = {.Ip = 1, .Port = 443},
       .Services = {{.Service = Floor, .Weight = 2}}});
  Configuration.ServiceRules.push_back({.Service = Floor, .Path = "/health"});
  Routes.apply(Configuration, TimePoint());
  Files.write(encodeSnapshot(Servers, Routes, {.Revision = StoreRevision(9)},
                             TimePoint()));
  Files.write(encodeChanges(Servers, Routes, ChangeQuery(),
                            {.Revision = StoreRevision(9)}, Milliseconds(250),
                            TimePoint()));
  return 0;
}
