#ifndef BUCKTHORNDECK_FORWARDING_OUTLIERDETECTION_H
#define BUCKTHORNDECK_FORWARDING_OUTLIERDETECTION_H

#include "buckthorndeck/forwarding/AnswerBaseline.h"
#include "buckthorndeck/forwarding/FlowTable.h"
#include "buckthorndeck/forwarding/ForwarderCounters.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <vector>

namespace buckthorndeck::forwarding {

/**
 * Detects servers that reject requests or leave them unanswered.
 *
 * Each answer on a route with a target latency is compared with the usual ones
 * of the route. A sequential test adds up per server how much more likely the
 * answers are if it rejects many than if it is like the others. A suspected
 * server first gets fewer flows, then it is ejected, and then it gets few flows
 * until it has shown good answers. Nothing is done while most servers of a
 * service look so.
 */
class OutlierDetection {
public:
  OutlierDetection(ServerDirectory &Servers, ForwarderCounters &Counters,
                   bool Enabled);

  //! Compares answers on these routes from now on.
  void applyRoutes(const RouteTable &Routes);

  //! Usual answers of a service on a route. Null if it is not compared.
  AnswerBaseline *baselineOf(const SocketAddress &Route,
                             const ServiceName &Service);
  //! Records that a request was answered with Bytes, 0 for no answer.
  void recordAnswer(Server &Target, AnswerBaseline &Baseline,
                    std::uint32_t Bytes, TimePoint Now);
  //! Records the answer of a flow whose caller has reset it (Ended) or may be
  //! silent, if the answer has ended or stays away.
  void recordSilence(const FlowKey &Key, Flow &Tracked, bool Ended,
                     TimePoint Now);

  //! Reduces, ejects and readmits servers. To be called often; it does nothing
  //! if no review is due.
  void review(TimePoint Now);
  //! When review() has to be called next.
  TimePoint nextReviewTime() const;

private:
  struct ServiceAnswers {
    ServiceName Service;
    AnswerBaseline Baseline;
  };
  struct RouteAnswers {
    //! A request has got no answer if its caller is silent for this long.
    Milliseconds UnansweredDelay{0};
    std::vector<ServiceAnswers> Services;
  };
  //! What review() finds of the servers of a service.
  struct Census {
    const ServiceName *Service = nullptr;
    std::size_t Candidates = 0; //!< Usable servers with recent answers.
    std::size_t Suspected = 0;  //!< Candidates that look rejecting.
    std::size_t Ejected = 0;
    float FailedShare = 0; //!< Median of the candidates' shares.

    bool disbelieved() const;
  };

  RouteAnswers *routeOf(const SocketAddress &Address);
  Census takeCensus(const ServiceName &Service, TimePoint Now) const;
  void reviewServer(Server &Target, Census &Service, TimePoint Now);
  void eject(Server &Target, const Census &Service, TimePoint Now);
  void readmit(Server &Target, const char *Cause, const Census &Service,
               TimePoint Now);

  ServerDirectory &Servers;
  ForwarderCounters &Counters;
  bool Enabled;
  boost::unordered_flat_map<SocketAddress, RouteAnswers, SocketAddressHash>
      Routes;
  std::vector<ServerToken> Suspects; //!< Servers that are Listed.
  bool ReviewRequested = false;
  TimePoint LastReviewAt;
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_OUTLIERDETECTION_H
