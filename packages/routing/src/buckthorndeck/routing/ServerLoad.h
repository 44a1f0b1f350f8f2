#ifndef BUCKTHORNDECK_ROUTING_SERVERLOAD_H
#define BUCKTHORNDECK_ROUTING_SERVERLOAD_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <cstdint>

namespace buckthorndeck::routing {

/**
 * Load of one backend server as observed by one entry host.
 *
 * A time that is not set yet is the clock's epoch.
 */
struct ServerLoad {
  std::uint32_t Slots = 1; //!< Hard limit on InFlight.
  //! Requests of this host at the server, abandoned ones included.
  std::uint32_t InFlight = 0;
  bool Connected = false; //!< Open, and `hello` was as declared.
  bool Draining = false; //!< Announced by the server or set in its declaration.
  bool Evacuated = false;   //!< Its failure domain is evacuated.
  TimePoint SlowStartedAt;  //!< Start of the slow start.
  TimePoint BackOffUntil;   //!< No new request before this time.
  double ServiceTimeMs = 0; //!< Moving average; 0 before the first answer.
  //! Estimated requests of other hosts at OtherHostsLoadAt.
  double OtherHostsLoad = 0;
  TimePoint OtherHostsLoadAt;
  double UsageMs = 0; //!< Decaying sum of service times at UsageAt.
  TimePoint UsageAt;
};

//! Records a new connection. UsagePerSlot is the mean of the service, so that a
//! new server gets its share of new requests and none to make up for those
//! before it connected.
void recordConnected(ServerLoad &Load, std::uint32_t Slots, double UsagePerSlot,
                     TimePoint Now);

//! Starts the slow start of the server at Start.
void restartSlowStart(ServerLoad &Load, double UsagePerSlot, TimePoint Start);

void recordSent(ServerLoad &Load);

//! The server finished a request; Ok is false if it reported an error.
void recordDone(ServerLoad &Load, bool Ok, Clock::duration ServiceTime,
                TimePoint Now);

//! The server refused a request that recordSent() counted.
void recordRefused(ServerLoad &Load, wire::Refusal Reason, TimePoint Now,
                   RandomEngine &Random);

//! The server ended a request after a cancel or at the deadline.
void recordCancelled(ServerLoad &Load);

//! Estimated number of requests of other hosts in flight at the server.
double otherHostsLoad(const ServerLoad &Load, TimePoint Now);

//! Service time of this host's recent requests, in ms per slot; decays with a
//! time constant of 10 s.
double usagePerSlot(const ServerLoad &Load, TimePoint Now);

//! Moving average of the service time in ms; 50 ms before the first answer.
double expectedServiceTime(const ServerLoad &Load);

//! Share of its full traffic that the server gets during slow start; rises from
//! 0.1 to 1 over 5 s.
double slowStartShare(const ServerLoad &Load, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SERVERLOAD_H
