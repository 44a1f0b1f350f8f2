#include "buckthorndeck/entryhost/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace buckthorndeck::entryhost {

namespace {

//! Bucket limits in seconds, from a fast request to the longest deadline.
const prometheus::Histogram::BucketBoundaries RequestBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
    0.5,   1,      2.5,   5,    10,    30,   60.0, 120.0};

template <typename Builder>
auto &family(prometheus::Registry &Registry, Builder &&Build, const char *Name,
             const char *Help) {
  return Build().Name(Name).Help(Help).Register(Registry);
}

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

} // namespace

struct Metrics::Instruments {
  explicit Instruments(const std::string &Address)
      : Registry(std::make_shared<prometheus::Registry>()), Exposer(Address),
        Datagrams(family(*Registry, prometheus::BuildCounter,
                         "buckthorndeck_datagrams_total",
                         "Callers' datagrams received, by message type")),
        Refused(family(*Registry, prometheus::BuildCounter,
                       "buckthorndeck_datagrams_refused_total",
                       "Datagrams dropped, by reason")),
        Relays(family(*Registry, prometheus::BuildCounter,
                      "buckthorndeck_relays_total",
                      "Datagrams relayed between entry hosts, by direction")),
        Outcomes(family(*Registry, prometheus::BuildCounter,
                        "buckthorndeck_requests_total",
                        "Requests ended, by service and outcome")),
        NotRun(family(*Registry, prometheus::BuildCounter,
                      "buckthorndeck_requests_not_run_total",
                      "Requests that this host did not run, by reason")),
        Takeovers(family(*Registry, prometheus::BuildCounter,
                         "buckthorndeck_takeovers_total",
                         "Flows taken over from another owner, by kind")),
        RequestSeconds(
            family(*Registry, prometheus::BuildHistogram,
                   "buckthorndeck_request_seconds",
                   "Time from the last part of a request to its outcome")),
        Gauges(family(*Registry, prometheus::BuildGauge, "buckthorndeck_state",
                      "State of the host, by kind")),
        Members(family(*Registry, prometheus::BuildGauge,
                       "buckthorndeck_members", "Entry hosts, by state")),
        ControlBytes(family(*Registry, prometheus::BuildGauge,
                            "buckthorndeck_control_bytes",
                            "Control traffic since the start, by direction")) {
    Exposer.RegisterCollectable(Registry);
  }

  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Exposer Exposer;
  CounterFamily &Datagrams;
  CounterFamily &Refused;
  CounterFamily &Relays;
  CounterFamily &Outcomes;
  CounterFamily &NotRun;
  CounterFamily &Takeovers;
  HistogramFamily &RequestSeconds;
  GaugeFamily &Gauges;
  GaugeFamily &Members;
  GaugeFamily &ControlBytes;
};

Metrics::Metrics(std::unique_ptr<Instruments> Families)
    : Families(std::move(Families)) {}
Metrics::~Metrics() = default;

Expected<std::unique_ptr<Metrics>> Metrics::start(const TcpEndpoint &Where) {
  try {
    return std::unique_ptr<Metrics>(
        new Metrics(std::make_unique<Instruments>(toString(Where))));
  } catch (const std::exception &Caught) {
    return Unexpected(Error{.Code = ErrorCode::Unavailable,
                            .Step = "start metrics endpoint",
                            .Peer = toString(Where),
                            .Message = Caught.what()});
  }
}

TcpEndpoint Metrics::endpoint() const {
  const std::vector<int> Ports = Families->Exposer.GetListeningPorts();
  return TcpEndpoint(boost::asio::ip::address_v4::loopback(),
                     static_cast<std::uint16_t>(Ports.at(0)));
}

void Metrics::countDatagram(const std::string &Type) {
  Families->Datagrams.Add({{"type", Type}}).Increment();
}

void Metrics::countRefused(const std::string &Reason) {
  Families->Refused.Add({{"reason", Reason}}).Increment();
}

void Metrics::countRelay(const std::string &Direction) {
  Families->Relays.Add({{"direction", Direction}}).Increment();
}

void Metrics::countOutcome(const std::string &Service,
                           const std::string &Outcome) {
  Families->Outcomes.Add({{"service", Service}, {"outcome", Outcome}})
      .Increment();
}

void Metrics::countNotRun(const std::string &Reason) {
  Families->NotRun.Add({{"reason", Reason}}).Increment();
}

void Metrics::countTakeover(const std::string &Kind) {
  Families->Takeovers.Add({{"kind", Kind}}).Increment();
}

void Metrics::observeRequestSeconds(const std::string &Service,
                                    double Seconds) {
  Families->RequestSeconds.Add({{"service", Service}}, RequestBuckets)
      .Observe(Seconds);
}

void Metrics::setGauge(const std::string &Name, double Value) {
  Families->Gauges.Add({{"kind", Name}}).Set(Value);
}

void Metrics::setMembers(const std::string &State, double Count) {
  Families->Members.Add({{"state", State}}).Set(Count);
}

void Metrics::setControlBytes(const std::string &Direction, double Total) {
  Families->ControlBytes.Add({{"direction", Direction}}).Set(Total);
}

} // namespace buckthorndeck::entryhost
