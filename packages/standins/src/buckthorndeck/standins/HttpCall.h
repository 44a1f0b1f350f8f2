#ifndef BUCKTHORNDECK_STANDINS_HTTPCALL_H
#define BUCKTHORNDECK_STANDINS_HTTPCALL_H

#include "buckthorndeck/net/HttpMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthorndeck::standins {

//! An HTTP request with its target taken apart.
struct HttpCall {
  std::string Method;
  std::string Path; //!< Decoded, like the query.
  std::map<std::string, std::string> Query;
};

//! No value if the target cannot be read.
std::optional<HttpCall> parseHttpCall(const HttpRequest &Request);

//! Number under Name in the query, or Default if it is not there. No value if
//! it is not a number.
std::optional<std::uint64_t> numberIn(const HttpCall &Received,
                                      const std::string &Name,
                                      std::optional<std::uint64_t> Default);

//! Text under Name in the query; empty if it is not there.
std::string textIn(const HttpCall &Received, const std::string &Name);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_HTTPCALL_H
