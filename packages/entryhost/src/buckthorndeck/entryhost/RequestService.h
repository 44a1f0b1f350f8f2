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

//! Where a request came from and what its token says.
struct RequestOrigin {
  UdpEndpoint Caller;
  TokenStanding Standing = TokenStanding::Other;
  //! When the token was minted if it is this home's, else now.
  TimePoint IssuedAt;
  std::optional<routing::Affinity> Preferred;
  bool Repeatable = false;
};

struct RequestServiceOptions {
  std::uint32_t LedgerEntries = 200'000;
  //! Bytes of requests whose parts have not all arrived.
  std::size_t MaxPartialBytes = 64 * 1024 * 1024;
  //! A request whose next part does not come for this long is given up.
  Milliseconds PartialTimeout{10'000};
};

/**
 * Executes the requests of the flows that this host is home of.
 *
 * Every request meets the ledger before it is sent to a backend server, and
 * only this class sends requests there; that is what keeps a request that may
 * not be repeated from running twice.
 */
class RequestService {
public:
  RequestService(HostContext &Context, RequestServiceOptions Options);

  //! Takes one part of a request.
  void handlePart(const wire::Request &Request, const RequestOrigin &Origin);
  //! Ends a request early; one that was never seen is recorded as not run.
  void handleCancel(const wire::Cancel &Request, const RequestOrigin &Origin);
  //! Removes what is overdue.
  void expire();
  //! Waits until no request is in progress.
  Task<> drained();

  std::size_t inProgress() const { return Running.size(); }
  std::size_t ledgerEntries() const { return Records.recordCount(); }

private:
  struct Execution {
    UdpEndpoint Caller; //!< Where the latest attempt came from.
    std::shared_ptr<routing::CancelSignal> Signal;
    //! No other host can have run the request, so this one may say not_run.
    bool SoleRunner = false;
  };
  struct Partial {
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
  void dropPartial(const routing::RequestKey &Key);
  void start(const routing::RequestKey &Key, const wire::Request &Request,
             const RequestOrigin &Origin, Bytes Body);
  //! Why this host cannot run the request; empty if it can.
  std::string refusalReason(const wire::Request &Request) const;
  void answerAdmission(const routing::RequestKey &Key,
                       const ServiceAddress &Service, const UdpEndpoint &Caller,
                       const routing::Admission &Met);
  Task<> execute(routing::RequestKey Key, ServiceAddress Service,
                 routing::Job Work);
  void sendAnswer(const UdpEndpoint &Caller, const routing::RequestKey &Key,
                  const ServiceAddress &Service, routing::JobResult Result);
  Task<> sendParts(UdpEndpoint Caller, routing::RequestKey Key,
                   ServiceAddress Service, routing::JobResult Result);

  HostContext &Context;
  RequestServiceOptions Options;
  routing::DeduplicationTable Records;
  std::map<routing::RequestKey, Execution> Running;
  std::map<routing::RequestKey, Partial> Partials;
  //! Answers whose parts are being sent; a repeated attempt meanwhile does
  //! not start a second copy.
  std::set<routing::RequestKey> Sending;
  std::size_t PartialBytes = 0;
  Notifier Idle;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_REQUESTSERVICE_H
