#ifndef BUCKTHORNDECK_ROUTING_SERVERLOAD_H
#define BUCKTHORNDECK_ROUTING_SERVERLOAD_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/wire/ServerMessage.h"

#include <cstdint>

namespace buckthorndeck::routing {

/**
 * What one entry host has observed of one backend server.
 *
 * Times of "not yet" and "never" are the clock's epoch.
 */
struct ServerLoad {
  std::uint32_t Slots = 1;    //!< Hard limit on InFlight.
  std::uint32_t InFlight = 0; //!< Requests of this host, also abandoned ones.
  bool Connected = false;     //!< The channel is open and `hello` was right.
  bool Draining = false;      //!< Announced or declared.
  TimePoint AdmittedAt;       //!< Start of the slow start.
  TimePoint HoldUntil;        //!< No new request before this time.
  double ServiceTimeMs = 0;   //!< Moving average; 0 before the first answer.
  double OtherLoad = 0;       //!< Requests of other hosts, as of OtherLoadAt.
  TimePoint OtherLoadAt;
  double UsageMs = 0; //!< Decaying sum of service times, as of UsageAt.
  TimePoint UsageAt;
};

//! A new channel. UsagePerSlot is the service's mean, so that the newcomer
//! gets its share of new requests and not also those that it missed.
void recordConnected(ServerLoad &Load, std::uint32_t Slots, double UsagePerSlot,
                     TimePoint Now);

//! The server may take requests again from Start on, with a slow start.
void readmit(ServerLoad &Load, double UsagePerSlot, TimePoint Start);

void recordSent(ServerLoad &Load);

//! The server finished a request; Ok is false for an error of its own.
void recordDone(ServerLoad &Load, bool Ok, Clock::duration ServiceTime,
                TimePoint Now);

//! The server refused a request that was counted by recordSent.
void recordRefused(ServerLoad &Load, wire::Refusal Reason, TimePoint Now,
                   RandomEngine &Random);

//! The server gave a request up after a cancel or a deadline.
void recordCancelled(ServerLoad &Load);

//! Estimated requests in flight from other hosts.
double otherHostsLoad(const ServerLoad &Load, TimePoint Now);

//! Service time of this host's recent requests, in ms per slot.
double usagePerSlot(const ServerLoad &Load, TimePoint Now);

//! Service time in ms; a default before the first answer.
double expectedServiceTime(const ServerLoad &Load);

//! Share of full traffic that the server gets after it was connected; rises
//! from 0.1 to 1 over 5 s.
double slowStartShare(const ServerLoad &Load, TimePoint Now);

} // namespace buckthorndeck::routing

#endif // BUCKTHORNDECK_ROUTING_SERVERLOAD_H
