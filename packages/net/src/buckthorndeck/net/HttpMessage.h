#ifndef BUCKTHORNDECK_NET_HTTPMESSAGE_H
#define BUCKTHORNDECK_NET_HTTPMESSAGE_H

#include <string>

namespace buckthorndeck {

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/"; //!< Path and query, percent-encoded.
  std::string Body;         //!< JSON text or empty.
};

struct HttpResponse {
  unsigned Status = 200;
  std::string Body; //!< Of the content type below, or empty.
  std::string ContentType = "application/json";
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_HTTPMESSAGE_H
