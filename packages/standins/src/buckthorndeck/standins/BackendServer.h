#ifndef BUCKTHORNDECK_STANDINS_BACKENDSERVER_H
#define BUCKTHORNDECK_STANDINS_BACKENDSERVER_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/standins/ServiceTime.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::standins {

//! What a run of an operation answers.
enum class AnswerBody : std::uint8_t {
  Echo,      //!< The body of the request.
  Fixed,     //!< A set text.
  Generated, //!< generatedAnswer() of a seed and the request's body.
};

//! How one operation behaves.
struct OperationBehaviour {
  AnswerBody Body = AnswerBody::Echo;
  std::string Text;                //!< For Fixed.
  std::uint64_t Seed = 0;          //!< For Generated.
  std::size_t Length = 0;          //!< For Generated.
  bool Fails = false;              //!< Runs and then reports an error.
  bool Held = false;               //!< Runs until releaseRuns().
  std::optional<ServiceTime> Time; //!< In place of the server's own.
};

enum class ColdStart : std::uint8_t {
  None,
  Refuse, //!< Refuses all work as cold.
  Slow,   //!< Takes work and needs longer for it.
};

//! What the health and load endpoint reports in place of the truth.
struct FalseLoad {
  std::string Status = "ok";
  std::uint32_t InUse = 0;
};

struct BackendServerOptions {
  //! Port 0 lets the kernel choose.
  TcpEndpoint Listen{boost::asio::ip::address_v4::loopback(), 0};
  //! Health and load endpoint; none by default.
  std::optional<TcpEndpoint> HealthListen;
  ObjectName Name;
  Generation ServerGeneration{1};
  ObjectName Service;
  std::uint32_t Slots = 2;
  std::uint32_t MaxSubscriptions = 2000;
  ServiceTime Time;
  double SpeedFactor = 1; //!< Divides every service time.
  std::uint64_t RandomSeed = 1;
  ColdStart Cold = ColdStart::None;
  //! Time from the start until the server is warm; none lasts until warmUp().
  std::optional<Milliseconds> ColdFor;
  double ColdSlowdown = 4; //!< Multiplies service times while cold and slow.
  std::map<std::string, OperationBehaviour> Operations; //!< Others echo.
  //! Event n of every subscription exists since n intervals after the epoch.
  Milliseconds EventInterval{1000};
  Milliseconds EventEpoch{0}; //!< Since the Unix epoch.
  std::string RunLogFile;     //!< JSON lines; empty for none.
  Milliseconds HealthLag{0};  //!< Age of what the health endpoint reports.
  std::optional<FalseLoad> HealthLie;
};

//! A request whose run was started.
struct RunRecord {
  ObjectName Service;
  std::string Operation;
  Digest BodyDigest;
  Milliseconds StartedAt{0}; //!< Since the Unix epoch.
  ObjectName Server;
};

/**
 * A backend server that speaks the server channel over WebSocket.
 *
 * Like the real ones it never deduplicates: what is sent twice runs twice, and
 * the run log shows it.
 */
class BackendServer {
public:
  static Expected<BackendServer> start(const Executor &Where,
                                       BackendServerOptions Options);
  BackendServer(BackendServer &&) = default;
  BackendServer &operator=(BackendServer &&) = delete;
  //! Stops like stop().
  ~BackendServer();

  TcpEndpoint endpoint() const;
  std::optional<TcpEndpoint> healthEndpoint() const;
  const BackendServerOptions &options() const;

  //! Announces `draining`, refuses new work, finishes what runs and ends the
  //! subscriptions.
  void drain();
  //! Ends a cold start.
  void warmUp();
  //! Changes how an operation behaves from the next run on.
  void setOperation(const std::string &Operation, OperationBehaviour Behaviour);
  //! Lets all held runs finish.
  void releaseRuns();
  //! Cuts all connections and goes on listening. Runs go on without an answer.
  void disconnect();
  //! Cuts all connections and stops listening, like a host that dies.
  void stop();

  //! All runs started so far.
  const std::vector<RunRecord> &runs() const;
  std::uint32_t runsInProgress() const;
  std::uint32_t subscriptions() const;
  std::uint64_t refusals() const;
  //! Runs that were cancelled or overran their deadline.
  std::uint64_t cancellations() const;
  //! Latest event that exists now.
  Sequence latestEvent() const;

  //! Waits until at least Count runs were started.
  Task<> waitForRuns(std::size_t Count);
  //! Waits until nothing runs.
  Task<> waitForIdle();
  //! Waits until exactly Count subscriptions are open.
  Task<> waitForSubscriptions(std::uint32_t Count);

private:
  struct State;
  explicit BackendServer(std::shared_ptr<State> Shared);

  std::shared_ptr<State> Shared;
};

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_BACKENDSERVER_H
