#ifndef BUCKTHORNDECK_FORWARDING_WARMUPLIMITS_H
#define BUCKTHORNDECK_FORWARDING_WARMUPLIMITS_H

#include "buckthorndeck/forwarding/DomainView.h"
#include "buckthorndeck/forwarding/FlowWindow.h"
#include "buckthorndeck/forwarding/RouteTable.h"
#include "buckthorndeck/forwarding/ServerDirectory.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <string_view>
#include <vector>

namespace buckthorndeck::forwarding {

//! Hosts that may send flows to one cold server.
inline constexpr std::size_t MaxAdmittedHosts = 6;

//! What all hosts together may send to a cold server within a second: its
//! service's rate times Overage plus Slack.
struct WarmupMargin {
  double Overage = 1;
  double Slack = 0;
};

//! What one host may send to a cold server: Flows within any Window.
struct WarmupShare {
  std::size_t AdmittedHosts = 0; //!< 0: no host may send.
  std::uint32_t Flows = 0;
  Clock::duration Window = std::chrono::seconds(1);
};

//! The share of each admitted host of a failure domain of HostCount hosts.
//! RemainingShare is that of DomainView.
WarmupShare warmupShare(double RequestsPerSecond, const WarmupMargin &Margin,
                        std::size_t HostCount, double RemainingShare);

//! Hosts with a differing view that may send Share in addition, without more
//! than the margin allows.
std::size_t toleratedHosts(double RequestsPerSecond, const WarmupMargin &Margin,
                           const WarmupShare &Share);

//! Whether rendezvous hashing puts the host of View among the first
//! AdmittedHosts for this server.
bool isAdmitted(const DomainView &View, std::string_view ServerName,
                std::size_t AdmittedHosts);

/**
 * Limits the flows that this host sends to cold servers, by
 * Server::WarmupShareAt.
 *
 * A server is cold while its registry entry says so. One that this host found
 * failed, or whose entry was removed, may have been started again, so it is
 * cold for WarmupRule::Duration afterwards or until its entry is read anew.
 * Only services with WarmupRule::RequestsPerSecond are limited; without any,
 * all functions return at once.
 */
class WarmupLimits {
public:
  //! Flows of a service that the limit concerned.
  struct Summary {
    ServiceName Service;
    std::uint64_t Sent = 0;     //!< SYNs to cold servers.
    std::uint64_t Diverted = 0; //!< Placed while the limit excluded a server.
    std::uint64_t Refused = 0;
  };

  //! The references must outlive the limits. Domain is the failure domain of
  //! this host.
  WarmupLimits(ServerDirectory &Servers, FailureDomainName Domain,
               WarmupMargin Margin)
      : Servers(Servers), Domain(std::move(Domain)), Margin(Margin) {}

  //! Takes over the rules of the configuration. They take effect with the next
  //! refresh().
  void applyRules(const std::vector<ServiceRule> &Rules);
  void setView(DomainView Next, TimePoint Now);
  //! See DomainView::update().
  void updateView(std::vector<std::string> PeerNames, bool HeardAny,
                  TimePoint Now);

  //! The server's entry was read anew.
  void recordEntry(Server &Target, TimePoint Now);
  //! The server's entry was removed, or another process has taken its name.
  void recordRemoval(Server &Target, TimePoint Now);
  //! The server's reachability may have changed.
  void recordState(Server &Target, TimePoint Now);
  //! Charges a SYN that is sent to the server. Returns whether the server is
  //! cold.
  bool recordSyn(Server &Target, TimePoint Now);
  void recordDiversion(const ServiceName &Service);
  void recordRefusal(const ServiceName &Service);

  //! Takes note of what time alone has changed: the end of cold periods and a
  //! view that has become steady. Due at nextRefreshTime().
  void refresh(TimePoint Now);
  TimePoint nextRefreshTime() const { return NextRefreshAt; }
  //! What was diverted or refused, at most once a second for each service.
  std::vector<Summary> takeSummaries(TimePoint Now);

  //! Whether any service is limited.
  bool active() const { return !Services.empty(); }
  std::size_t coldServers() const { return States.size(); }
  const DomainView &view() const { return View; }

private:
  struct ServiceState {
    WarmupRule Rule;
    WarmupShare Share;
    Summary Recent;
    TimePoint NextSummaryAt;
  };
  struct ColdState {
    TimePoint DoubtedUntil;       //!< It may have been started again.
    std::uint64_t Generation = 0; //!< Of the view that Admitted is from.
    bool Admitted = false;
    TimePoint DueAt; //!< When time alone may change what holds.
    FlowWindow Window;
  };

  void doubt(Server &Target, TimePoint Now);
  void evaluate(Server &Target, TimePoint Now);
  void evaluateAll(TimePoint Now) { evaluateDue(Now, TimePoint::max()); }
  void evaluateDue(TimePoint Now, TimePoint DueUntil);
  void scheduleRefresh(TimePoint DueAt, TimePoint Now);
  void updateShares();
  void setShareTime(Server &Target, const ServiceState &Service,
                    ColdState &State, TimePoint Now);
  ServiceState *find(const ServiceName &Service);

  ServerDirectory &Servers;
  FailureDomainName Domain;
  WarmupMargin Margin;
  DomainView View;
  bool ViewSteady = false;
  std::uint64_t Generation = 1; //!< Increases when admissions may change.
  boost::unordered_flat_map<std::string, ServiceState> Services;
  boost::unordered_flat_map<std::uint32_t, ColdState> States; //!< By token.
  bool RulesChanged = false;
  TimePoint NextRefreshAt = TimePoint::max();
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_WARMUPLIMITS_H
