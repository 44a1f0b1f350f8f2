#ifndef BUCKTHORNDECK_FAULTS_TEMPORARYDIRECTORY_H
#define BUCKTHORNDECK_FAULTS_TEMPORARYDIRECTORY_H

#include <string>

namespace buckthorndeck::faults {

//! A new directory for settings and logs, which the caller removes. Throws if
//! it cannot be made.
std::string makeTemporaryDirectory();

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_TEMPORARYDIRECTORY_H
