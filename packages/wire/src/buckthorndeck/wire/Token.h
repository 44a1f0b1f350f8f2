#ifndef BUCKTHORNDECK_WIRE_TOKEN_H
#define BUCKTHORNDECK_WIRE_TOKEN_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Mac.h"

#include <chrono>

namespace buckthorndeck::wire {

/**
 * What any entry host needs to route a packet without flow state.
 *
 * The service address is not a field: it is part of the MAC input, and the
 * packet states it, so that a token works for one service only.
 */
struct Token {
  EntryHostName Owner; //!< Host that executes the flow's requests.
  Incarnation OwnerIncarnation;
  FlowId Flow;
  ObjectName Server; //!< Affinity server; empty for none.
  Generation ServerGeneration;
  std::chrono::milliseconds IssuedAt{0}; //!< On the home's monotonic clock.
};

//! Encodes and signs. The result has at most MaxTokenBytes if the names are
//! within MaxHostNameBytes and MaxObjectNameBytes.
Bytes issueToken(const MacKey &Key, const Token &Contents,
                 const ServiceAddress &Service);

//! Checks the MAC for this service and flow before decoding anything.
Expected<Token> verifyToken(const MacKey &Key, ByteView Sealed,
                            const ServiceAddress &Service, FlowId Flow,
                            const std::string &Peer);

} // namespace buckthorndeck::wire

#endif // BUCKTHORNDECK_WIRE_TOKEN_H
