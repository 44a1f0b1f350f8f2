#ifndef BUCKTHORNDECK_ENTRYHOST_METRICS_H
#define BUCKTHORNDECK_ENTRYHOST_METRICS_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"

#include <memory>
#include <string>

namespace buckthorndeck::entryhost {

/**
 * The host's metrics and the HTTP endpoint that Prometheus reads.
 *
 * Labels are closed sets (message types, reasons, outcomes, states), never
 * callers or flows.
 */
class Metrics {
public:
  //! Binds and serves the endpoint at Where; fails with Unavailable.
  static Expected<std::unique_ptr<Metrics>> start(const TcpEndpoint &Where);
  ~Metrics();

  TcpEndpoint endpoint() const;

  void countDatagram(const std::string &Type);
  void countRefused(const std::string &Reason);
  void countRelay(const std::string &Direction);
  void countOutcome(const std::string &Service, const std::string &Outcome);
  //! Reason comes from this host, never from a caller or server.
  void countNotRun(const std::string &Reason);
  void countTakeover(const std::string &Kind);
  void observeRequestSeconds(const std::string &Service, double Seconds);
  void setGauge(const std::string &Name, double Value);
  void setMembers(const std::string &State, double Count);
  void setControlBytes(const std::string &Direction, double Total);

private:
  struct Instruments;
  explicit Metrics(std::unique_ptr<Instruments> Families);

  std::unique_ptr<Instruments> Families;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_METRICS_H
