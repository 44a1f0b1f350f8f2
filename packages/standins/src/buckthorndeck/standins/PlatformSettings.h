#ifndef BUCKTHORNDECK_STANDINS_PLATFORMSETTINGS_H
#define BUCKTHORNDECK_STANDINS_PLATFORMSETTINGS_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/standins/Platform.h"

namespace buckthorndeck::standins {

//! Schema of the settings file of standin-platform.
Json platformSchema();
//! Schema of a host list and of the faults in requests and settings.
const Json &hostListSchema();
const Json &platformFaultsSchema();

//! Options from settings that the schema has checked.
PlatformOptions readPlatformOptions(const Json &Settings);
//! Faults with those in Fields replaced; Fields was checked by the schema.
PlatformFaults readPlatformFaults(const Json &Fields, PlatformFaults Faults);
Json toJson(const PlatformFaults &Faults);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_PLATFORMSETTINGS_H
