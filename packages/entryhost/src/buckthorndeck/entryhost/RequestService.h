#ifndef BUCKTHORNDECK_ENTRYHOST_REQUESTSERVICE_H
#define BUCKTHORNDECK_ENTRYHOST_REQUESTSERVICE_H

#include "buckthorndeck/entryhost/HostContext.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/routing/DeduplicationTable.h"
#include "buckthorndeck/wire/Body.h"

#include <map>
#include <memory>
#include <set>

namespace buckthorndeck::entryhost {

//! The sender of a request, and what its token and service say about it.
struct RequestOrigin {
  UdpEndpoint Caller;
  TokenStatus Status = TokenStatus::OtherOwner;
  //! When the token was issued if this process issued it and it is valid, else
  //! the current time.
  TimePoint IssuedAt;
  std::optional<routing::Affinity> Preferred;
  bool Repeatable = false;
};

struct RequestServiceOptions {
  std::uint32_t MaxRequestRecords = 200'000;
  //! Bytes of requests whose parts have not all arrived.
  std::size_t MaxPartialBytes = 64 * 1024 * 1024;
  //! A request whose next part does not arrive within this time is dropped.
  Milliseconds PartialTimeout{10'000};
};

/**
 * Executes the requests of the flows that this host owns.
 *
 * Only this class sends requests to backend servers, and it looks each of them
 * up in the deduplication table first, so that a request that may not be
 * repeated never runs twice.
 */
class RequestService {
public:
  RequestService(HostContext &Context, RequestServiceOptions Options);

  //! Processes one part of a request; the last one starts it.
  void handlePart(const wire::Request &Request, const RequestOrigin &Origin);
  //! Ends a request early. A request that has not arrived yet is recorded as
  //! not run.
  void handleCancel(const wire::Cancel &Request, const RequestOrigin &Origin);
  //! Removes expired request records and requests whose parts stopped arriving.
  void expire();
  //! Waits until no request is in progress and no answer is being sent.
  Task<> waitUntilIdle();

  std::size_t inProgress() const { return Executions.size(); }
  std::size_t requestRecords() const { return Deduplication.recordCount(); }

private:
  struct Execution {
    UdpEndpoint Caller; //!< Sender of the latest attempt.
    std::shared_ptr<routing::CancelSignal> Signal;
    //! No other host can have run the request, so this one may answer not_run.
    bool OnlyExecutor = false;
  };
  //! A request whose parts have not all arrived.
  struct PartialRequest {
    wire::BodyAssembler Body;
    TimePoint LastPart;
  };

  bool answerFromRecords(const routing::RequestKey &Key,
                         const wire::Request &Request,
                         const RequestOrigin &Origin);
  bool refuseUnrecorded(const wire::Request &Request,
                        const RequestOrigin &Origin);
  std::optional<Bytes> assemble(const routing::RequestKey &Key,
                                const wire::Request &Request);
  void removePartialRequest(const routing::RequestKey &Key);
  void start(const routing::RequestKey &Key, const wire::Request &Request,
             const RequestOrigin &Origin, Bytes Body);
  //! Why this host cannot run the request; empty if it can.
  std::string refusalReason(const wire::Request &Request) const;
  void sendAdmissionAnswer(const routing::RequestKey &Key,
                           const ServiceAddress &Service,
                           const UdpEndpoint &Caller,
                           const routing::Admission &Decision);
  Task<> execute(routing::RequestKey Key, ServiceAddress Service,
                 routing::Job Job);
  void sendAnswer(const UdpEndpoint &Caller, const routing::RequestKey &Key,
                  const ServiceAddress &Service, routing::JobResult Result);
  Task<> sendParts(UdpEndpoint Caller, routing::RequestKey Key,
                   ServiceAddress Service, routing::JobResult Result);

  HostContext &Context;
  RequestServiceOptions Options;
  routing::DeduplicationTable Deduplication;
  std::map<routing::RequestKey, Execution> Executions;
  std::map<routing::RequestKey, PartialRequest> PartialRequests;
  //! Answers whose parts are being sent. A repeated attempt during that time
  //! does not send the answer again.
  std::set<routing::RequestKey> Sending;
  std::size_t PartialBytes = 0;
  Notifier RequestEnded;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_REQUESTSERVICE_H
