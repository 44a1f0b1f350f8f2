#ifndef BUCKTHORNDECK_NET_HTTPCLIENT_H
#define BUCKTHORNDECK_NET_HTTPCLIENT_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/HttpMessage.h"
#include "buckthorndeck/net/Task.h"

namespace buckthorndeck {

/**
 * Sends one HTTP/1.1 request over a new connection and reads the response.
 *
 * Unavailable means that the connection was never made, so the request had no
 * effect; Invalid that the method is unknown; Timeout covers everything after
 * that, when it may have had one.
 */
Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      Milliseconds Timeout);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_HTTPCLIENT_H
