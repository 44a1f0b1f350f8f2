#ifndef BUCKTHORNDECK_FAULTS_PACKETTRAFFIC_H
#define BUCKTHORNDECK_FAULTS_PACKETTRAFFIC_H

#include "buckthorndeck/faults/PacketSite.h"
#include "buckthorndeck/standins/FlowCaller.h"

#include <deque>

namespace buckthorndeck::faults {

//! One attempt of a request as its caller saw it.
struct PacketCall {
  std::uint64_t Request = 0; //!< The same for each attempt.
  forwarding::SocketAddress Service;
  forwarding::FlowKey Flow; //!< Unless it was not opened.
  bool IdleFlow = false;    //!< The flow was idle for seconds before it.
  standins::FlowResult Result;
};

struct PacketTrafficOptions {
  std::uint64_t Seed = 1;
  unsigned LongFlows = 12;   //!< Callers that keep a flow for many requests.
  unsigned ShortFlows = 6;   //!< Callers that open a flow for each request.
  unsigned IdleFlows = 60;   //!< Callers whose flows are idle for seconds.
  Milliseconds Budget{2000}; //!< Of one attempt, after its flow has opened.
};

/**
 * Callers on open and new flows. A request that may not be repeated is tried
 * again only if its flow never opened.
 */
class PacketTraffic {
public:
  PacketTraffic(PacketSite &Target, PacketTrafficOptions Options);
  ~PacketTraffic();

  void start();
  //! Waits until all callers have ended.
  Task<> stop();

  const std::deque<PacketCall> &calls() const { return Calls; }
  standins::FlowCaller &caller() { return *Caller; }

private:
  struct User;

  Task<> run(User &Who);
  Task<> pauseAfter(User &Who);
  Task<> callUntilDone(User &Who, forwarding::SocketAddress Service);
  Task<standins::FlowOutcome> callOnce(User &Who, standins::FlowRequest Request,
                                       PacketCall Record);

  PacketSite &Target;
  PacketTrafficOptions Options;
  std::unique_ptr<standins::FlowCaller> Caller;
  std::deque<User> Users;
  std::deque<PacketCall> Calls;
  std::uint64_t NextRequest = 1;
  unsigned Running = 0;
  bool Stopping = false;
};

} // namespace buckthorndeck::faults

#endif // BUCKTHORNDECK_FAULTS_PACKETTRAFFIC_H
