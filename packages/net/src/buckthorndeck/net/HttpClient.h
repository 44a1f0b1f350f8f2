#ifndef BUCKTHORNDECK_NET_HTTPCLIENT_H
#define BUCKTHORNDECK_NET_HTTPCLIENT_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/HttpMessage.h"
#include "buckthorndeck/net/Task.h"

#include <optional>

namespace buckthorndeck {

//! Time limits of a call.
struct CallTimeouts {
  //! Until the response begins, from the start of the call.
  Milliseconds Response;
  //! Between two parts of the response. The time for a whole response depends
  //! on its size and on the link, so that only a pause shows a failure. Without
  //! a value, Response limits the whole call.
  std::optional<Milliseconds> Pause;
};

/**
 * Sends one HTTP/1.1 request over a new connection and reads the response.
 *
 * Unavailable means that the connection was never made, so the request had no
 * effect; Invalid that the method is unknown; TooLarge that the response has
 * more than 4 MiB; Timeout covers everything else after the request was sent.
 * The request may have had an effect with the last two.
 */
Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      CallTimeouts Timeouts);
//! The same with one limit for the whole call.
Task<Expected<HttpResponse>> callHttp(TcpEndpoint Peer, HttpRequest Request,
                                      Milliseconds Timeout);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_HTTPCLIENT_H
