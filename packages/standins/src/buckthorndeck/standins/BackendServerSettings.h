#ifndef BUCKTHORNDECK_STANDINS_BACKENDSERVERSETTINGS_H
#define BUCKTHORNDECK_STANDINS_BACKENDSERVERSETTINGS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/standins/BackendServer.h"

namespace buckthorndeck::standins {

//! Schema of the settings file of standin-server.
Json backendServerSchema();

//! Options from settings that the schema has checked.
BackendServerOptions readBackendServerOptions(const Json &Settings);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_BACKENDSERVERSETTINGS_H
