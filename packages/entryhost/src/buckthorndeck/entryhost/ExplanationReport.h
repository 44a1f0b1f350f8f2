#ifndef BUCKTHORNDECK_ENTRYHOST_EXPLANATIONREPORT_H
#define BUCKTHORNDECK_ENTRYHOST_EXPLANATIONREPORT_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/routing/Dispatcher.h"

namespace buckthorndeck::entryhost {

//! Service that an explain_request asks about. Fails with Invalid.
Expected<ObjectName> serviceOfExplainRequest(const Json &Request,
                                             const std::string &Peer);

//! The answer to an explain_request.
Json toJson(const routing::Explanation &Found, const EntryHostName &Host,
            const ObjectName &Service);

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_EXPLANATIONREPORT_H
