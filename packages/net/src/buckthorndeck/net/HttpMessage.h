#ifndef BUCKTHORNDECK_NET_HTTPMESSAGE_H
#define BUCKTHORNDECK_NET_HTTPMESSAGE_H

#include <string>
#include <vector>

namespace buckthorndeck {

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/"; //!< Path and query, percent-encoded.
  std::string Body;         //!< JSON text or empty.
};

struct HttpHeader {
  std::string Name; //!< As sent; names are compared without case.
  std::string Value;
};

struct HttpResponse {
  unsigned Status = 200;
  std::string Body; //!< Of the content type below, or empty.
  std::string ContentType = "application/json";
  //! All of a received response; further ones of a response to be sent.
  std::vector<HttpHeader> Headers;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_NET_HTTPMESSAGE_H
