#ifndef BUCKTHORNDECK_OPERATOR_HOSTEXPLANATION_H
#define BUCKTHORNDECK_OPERATOR_HOSTEXPLANATION_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <string>

namespace buckthorndeck::operators {

//! Asks the entry host at a sync address what a request of the service would
//! meet there now, and checks the fields of its answer.
Task<Expected<Json>> queryExplanation(TcpEndpoint Host, std::string Service,
                                      Milliseconds Timeout);

//! Whether the host knows the service.
bool knowsService(const Json &Explanation);

std::string explanationToText(const Json &Explanation);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_HOSTEXPLANATION_H
