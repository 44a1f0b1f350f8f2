#ifndef BUCKTHORNDECK_SYNC_TESTS_SAMPLEVERSIONS_H
#define BUCKTHORNDECK_SYNC_TESTS_SAMPLEVERSIONS_H

#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/sync/PeerTransfer.h"
#include "buckthorndeck/sync/VersionHistory.h"

namespace buckthorndeck::sync {

//! The object set that the tests publish as Version.
inline config::ObjectSet setAt(unsigned Version) {
  config::ObjectSet Set;
  const ObjectName Place("exchange/kita");
  Set.Places[Place] =
      config::Place{.Name = Place,
                    .Region = RegionName("doo-central"),
                    .FailureDomain = FailureDomainName("sapporo-kita")};
  for (unsigned I = 0; I < 3; ++I) {
    const ObjectName Name("exchange/service-" + std::to_string(Version + I));
    Set.Services[Name] = config::Service{
        .Name = Name,
        .Address = ServiceAddress("10.0.0.1:" + std::to_string(1000 + I))};
  }
  return Set;
}

inline Digest digestAt(unsigned Version) {
  return config::digestOf(setAt(Version));
}

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_TESTS_SAMPLEVERSIONS_H
