#include "buckthorndeck/entryhost/PacketMetrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace buckthorndeck::entryhost {

using forwarding::PacketRefusal;
using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

namespace {

//! Builds the metric families for one scrape. Counting in the packet path then
//! costs only an increment.
class FamilyList {
public:
  MetricFamily &add(const char *Name, const char *Help, MetricType Type) {
    Families.push_back({.name = Name, .help = Help, .type = Type});
    return Families.back();
  }

  void counter(const char *Name, const char *Help, std::uint64_t Value) {
    addCounter(add(Name, Help, MetricType::Counter), "", "", Value);
  }

  void gauge(const char *Name, const char *Help, double Value) {
    ClientMetric Metric;
    Metric.gauge.value = Value;
    add(Name, Help, MetricType::Gauge).metric.push_back(Metric);
  }

  void histogram(const char *Name, const char *Help,
                 const prometheus::Histogram &Source) {
    add(Name, Help, MetricType::Histogram).metric.push_back(Source.Collect());
  }

  static void addCounter(MetricFamily &Family, const char *Label,
                         const char *LabelValue, std::uint64_t Value) {
    ClientMetric Metric;
    if (*Label != '\0')
      Metric.label.push_back({.name = Label, .value = LabelValue});
    Metric.counter.value = static_cast<double>(Value);
    Family.metric.push_back(Metric);
  }

  std::string text() const {
    return prometheus::TextSerializer().Serialize(Families);
  }

private:
  std::vector<MetricFamily> Families;
};

void addRefused(FamilyList &Out, const forwarding::ForwarderCounters &Counters,
                const PacketHostState &State) {
  MetricFamily &Refused = Out.add("buckthorndeck_packets_refused_total",
                                  "Packets that were not forwarded, by reason",
                                  MetricType::Counter);
  for (std::size_t Index = 1; Index < forwarding::PacketRefusalCount; ++Index)
    FamilyList::addCounter(Refused, "reason",
                           toString(static_cast<PacketRefusal>(Index)),
                           Counters.PacketsRefused[Index]);
  FamilyList::addCounter(Refused, "reason", "undecodable",
                         State.MalformedMessages);
}

void addResets(FamilyList &Out, const forwarding::ForwarderCounters &Counters) {
  MetricFamily &Resets =
      Out.add("buckthorndeck_resets_total", "Resets sent to callers, by reason",
              MetricType::Counter);
  for (std::size_t Index = 1; Index < forwarding::PacketRefusalCount; ++Index)
    FamilyList::addCounter(Resets, "reason",
                           toString(static_cast<PacketRefusal>(Index)),
                           Counters.Resets[Index]);
}

void addHealthChecks(FamilyList &Out,
                     const forwarding::ForwarderCounters &Counters) {
  MetricFamily &Outcomes =
      Out.add("buckthorndeck_health_check_outcomes_total",
              "Health checks that ended, by outcome", MetricType::Counter);
  for (std::size_t Index = 0; Index < forwarding::HealthCheckOutcomeCount;
       ++Index)
    FamilyList::addCounter(
        Outcomes, "outcome",
        toString(static_cast<forwarding::HealthCheckOutcome>(Index)),
        Counters.HealthCheckOutcomes[Index]);
}

void addEjections(FamilyList &Out,
                  const forwarding::ForwarderCounters &Counters) {
  MetricFamily &Ejections =
      Out.add("buckthorndeck_server_ejections_total",
              "Times that a server was ejected, by what most of its failed "
              "answers were",
              MetricType::Counter);
  for (std::size_t Index = 0; Index < forwarding::EjectionReasonCount; ++Index)
    FamilyList::addCounter(
        Ejections, "reason",
        toString(static_cast<forwarding::EjectionReason>(Index)),
        Counters.Ejections[Index]);
}

void addOverload(FamilyList &Out,
                 const forwarding::OverloadCounters &Counters) {
  MetricFamily &Refused = Out.add(
      "buckthorndeck_flows_shed_total",
      "New flows refused in overload, by priority of their route; 0 is highest",
      MetricType::Counter);
  for (const auto &[Priority, Count] : Counters.RefusedByPriority)
    FamilyList::addCounter(Refused, "priority",
                           std::to_string(Priority.value()).c_str(), Count);
  Out.counter("buckthorndeck_flows_spilled_total",
              "New flows sent to another failure domain since the own one "
              "queues",
              Counters.FlowsSpilled);
}

void addServers(FamilyList &Out, forwarding::Forwarder &Source) {
  std::uint64_t Registered = 0;
  std::uint64_t Unresponsive = 0;
  std::uint64_t Ejected = 0;
  Source.servers().forEach([&](const forwarding::Server &Entry) {
    Registered += Entry.Registered ? 1 : 0;
    Unresponsive +=
        Entry.State == forwarding::Reachability::Unresponsive ? 1 : 0;
    Ejected += Entry.Registered && Entry.Outlier.Ejected ? 1 : 0;
  });
  Out.gauge("buckthorndeck_servers_registered",
            "Backend servers with a registry entry",
            static_cast<double>(Registered));
  Out.gauge(
      "buckthorndeck_evacuated_failure_domains",
      "Failure domains whose servers get no new flows",
      static_cast<double>(Source.servers().evacuations().evacuated().size()));
  Out.gauge("buckthorndeck_servers_silent",
            "Backend servers that do not answer this host",
            static_cast<double>(Unresponsive));
  Out.gauge("buckthorndeck_servers_ejected",
            "Backend servers that get no new flows because they reject",
            static_cast<double>(Ejected));
}

} // namespace

std::string formatMetrics(forwarding::Forwarder &Source,
                          const PacketHostState &State) {
  const forwarding::ForwarderCounters &Counters = Source.counters();
  FamilyList Out;
  Out.counter("buckthorndeck_packets_forwarded_total",
              "Packets sent to backend servers", Counters.Forwarded);
  addRefused(Out, Counters, State);
  addResets(Out, Counters);
  Out.counter("buckthorndeck_flows_opened_total", "Flows placed on a server",
              Counters.FlowsOpened);
  Out.counter("buckthorndeck_flows_established_total",
              "Flows whose server answered the SYN", Counters.FlowsEstablished);
  Out.counter("buckthorndeck_open_copies_total",
              "SYNs retransmitted by callers", Counters.SynRetransmissions);
  Out.counter("buckthorndeck_opens_hedged_total",
              "SYNs that this host also sent to another server",
              Counters.SynsHedged);
  Out.counter("buckthorndeck_retransmissions_total",
              "Data packets that callers sent again", Counters.Retransmissions);
  Out.counter("buckthorndeck_cold_syns_total",
              "SYNs sent to cold servers of services with a limit",
              Counters.SynsToColdServers);
  Out.counter("buckthorndeck_cold_diverted_total",
              "Flows placed elsewhere while the limit excluded a cold server",
              Counters.FlowsDivertedFromCold);
  Out.gauge("buckthorndeck_servers_cold",
            "Servers whose new flows are limited because they are cold",
            static_cast<double>(Source.warmups().coldServers()));
  Out.counter("buckthorndeck_flows_reset_total",
              "Flows reset because their server stopped answering",
              Counters.FlowsReset);
  Out.counter("buckthorndeck_health_checks_total",
              "Health checks of suspected servers", Counters.HealthChecks);
  addHealthChecks(Out, Counters);
  addEjections(Out, Counters);
  Out.counter("buckthorndeck_servers_silenced_total",
              "Times that a server was found unresponsive",
              Counters.ServersMarkedUnresponsive);
  Out.counter("buckthorndeck_sends_dropped_total",
              "Datagrams that the kernel refused to send", State.SendsDropped);
  Out.counter("buckthorndeck_pauses_total",
              "Times that this host did not run for a while", State.Pauses);
  Out.counter("buckthorndeck_store_calls_total",
              "Calls to the platform's store", State.Registry.StoreCalls);
  Out.counter("buckthorndeck_relay_calls_total",
              "Calls to relays for changes of the store",
              State.Registry.Relay.Calls);
  Out.counter("buckthorndeck_relay_failures_total",
              "Calls to relays that gave no changes",
              State.Registry.Relay.Failures);
  Out.gauge("buckthorndeck_registry_age_seconds",
            "Time since servers and configuration were known to be current",
            State.RegistryAgeSeconds);
  Out.gauge("buckthorndeck_store_era",
            "Era of the store that servers and configuration are known from",
            static_cast<double>(State.Registry.Knowledge.Era.value()));
  Out.gauge("buckthorndeck_registry_confirming",
            "1 while entries from before a restoration of the store may be "
            "written again",
            State.Registry.Knowledge.Confirming ? 1 : 0);
  Out.gauge("buckthorndeck_store_answer_age_seconds",
            "Time since the store last answered", State.StoreAnswerAgeSeconds);
  Out.gauge("buckthorndeck_config_version", "Configuration in force",
            static_cast<double>(Source.routes().version().value()));
  Out.gauge("buckthorndeck_flows", "Flows in the flow table",
            static_cast<double>(Source.flowCount()));
  Out.gauge("buckthorndeck_ready", "1 while this host takes packets",
            State.Ready ? 1 : 0);
  Out.histogram("buckthorndeck_handshake_seconds",
                "Time from a SYN to the caller's next packet",
                Source.latencies().Handshake);
  Out.histogram("buckthorndeck_response_seconds",
                "Time from a request to the first packet that acknowledges a "
                "response",
                Source.latencies().Response);
  addOverload(Out, Source.overload().counters());
  addServers(Out, Source);
  return Out.text();
}

} // namespace buckthorndeck::entryhost
