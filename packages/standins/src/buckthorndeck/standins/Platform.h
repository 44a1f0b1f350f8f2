#ifndef BUCKTHORNDECK_STANDINS_PLATFORM_H
#define BUCKTHORNDECK_STANDINS_PLATFORM_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace buckthorndeck::standins {

//! Faults are switched or counted, so that a test sees each exactly when it
//! asks for it.
struct PlatformFaults {
  bool Outage = false; //!< Connections are closed without an answer.
  Milliseconds Delay{0};
  //! The next writes to keys take effect and get no answer.
  std::uint32_t LoseWriteAnswers = 0;
  //! The next reads of one key answer its state before the last write.
  std::uint32_t StaleReads = 0;
  //! The next writes that would wake waiting watches do not.
  std::uint32_t MissedWatchEvents = 0;
};

struct PlatformOptions {
  //! Port 0 lets the kernel choose.
  TcpEndpoint Listen{boost::asio::ip::address_v4::loopback(), 0};
  //! Calls a second, with a burst of one second's worth; 0 for no limit. The
  //! host list and the admin calls are not limited.
  double WritesPerSecond = 0;
  double ReadsPerSecond = 0;
  std::size_t MaxValueBytes = 1024 * 1024;
  Json Hosts = Json::array(); //!< As in `GET /v1/hosts`.
  Milliseconds HostsLag{0};   //!< Until a new host list is visible.
  PlatformFaults Faults;
};

/**
 * The platform's key-value service with leases and watches, and its list of
 * hosts, over HTTP/1.1 and JSON.
 *
 * Revisions come from one counter for the whole store, so that a key that is
 * deleted and made again never repeats a revision.
 */
class Platform {
public:
  static Expected<Platform> start(const Executor &Where,
                                  PlatformOptions Options);
  Platform(Platform &&) = default;
  Platform &operator=(Platform &&) = delete;
  //! Stops like stop().
  ~Platform();

  TcpEndpoint endpoint() const;

  void setFaults(const PlatformFaults &Faults);
  const PlatformFaults &faults() const;
  //! Calls so far by kind, refused ones included.
  const std::map<std::string, std::uint64_t> &calls() const;
  //! Calls that were refused because of a rate limit.
  std::uint64_t limitedCalls() const;

  //! Value of a key as it is, whatever the faults; none if it does not exist.
  std::optional<std::string> value(const std::string &Key) const;
  //! Writes without limits or faults. Returns the revision.
  std::uint64_t put(const std::string &Key, const std::string &Value);
  //! Keeps a copy of the keys and of the revision counter.
  void keepCopy();
  //! Comes back from the copy: later writes are lost, their revisions are given
  //! out again, leases end with their keys, and waiting watches get no answer.
  void restoreCopy();
  //! Ends a lease as if its time had run out. Returns false if there is none.
  bool expireLease(const std::string &Id);
  //! Leases that have not ended.
  std::size_t leases() const;
  //! Replaces the host list, visible after the lag.
  void setHosts(const Json &Hosts);
  //! Makes the last host list visible now.
  void publishHosts();

  std::uint32_t waitingWatches() const;
  //! Waits until exactly Count watches wait.
  Task<> waitForWatches(std::uint32_t Count);
  void stop();

private:
  struct State;
  explicit Platform(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_PLATFORM_H
