#ifndef BUCKTHORNDECK_STANDINS_FABRICSETTINGS_H
#define BUCKTHORNDECK_STANDINS_FABRICSETTINGS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/standins/Fabric.h"

#include <string>
#include <vector>

namespace buckthorndeck::standins {

//! Schema of the settings file of standin-fabric.
Json fabricSchema();

//! Options from settings that the schema has checked.
FabricOptions readFabricOptions(const Json &Settings);

//! Addresses of entry hosts from a JSON file that holds an array of texts.
Expected<std::vector<UdpEndpoint>> readHostsFile(const std::string &File);

//! Addresses for callers from the platform's host list. Leaving hosts are
//! part of the result only on request.
Expected<std::vector<UdpEndpoint>> readHostList(const std::string &Body,
                                                bool WithLeaving);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_FABRICSETTINGS_H
