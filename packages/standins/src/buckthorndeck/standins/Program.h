#ifndef BUCKTHORNDECK_STANDINS_PROGRAM_H
#define BUCKTHORNDECK_STANDINS_PROGRAM_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

//! What the programs of this package have in common.
namespace buckthorndeck::standins {

struct Program {
  std::string Name;
  std::string Summary; //!< One line for the help text.
  Json Schema;         //!< Of the settings file.
};

//! Runs with the checked settings and returns the exit code.
using ProgramBody = std::function<Task<int>(Json Settings)>;

/**
 * Reads the command line and the settings file, and runs Body to its end.
 *
 * Every error in the settings is printed, and the exit code is then 2.
 */
int runProgram(int Argc, char **Argv, const Program &What,
               const ProgramBody &Body);

/**
 * Writes the "ready" log line, and the ports file if the settings name one.
 *
 * Addresses is an object of "address:port" texts. The file appears whole or
 * not at all, so that a reader may poll for it.
 */
Expected<void> announceReady(const Json &Settings, const Json &Addresses);

//! Next signal of the set; 0 if waiting for it failed.
Task<int> nextSignal(boost::asio::signal_set &Signals);

//! Schema of an IPv4 address with port.
Json addressRule(const std::string &Description);

//! Address under Key, which the schema has checked; loopback with a port that
//! the kernel chooses if there is none.
TcpEndpoint tcpEndpointAt(const Json &Settings, const std::string &Key);
UdpEndpoint udpEndpointAt(const Json &Settings, const std::string &Key);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_PROGRAM_H
