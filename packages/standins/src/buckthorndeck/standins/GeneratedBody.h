#ifndef BUCKTHORNDECK_STANDINS_GENERATEDBODY_H
#define BUCKTHORNDECK_STANDINS_GENERATEDBODY_H

#include "buckthorndeck/base/Bytes.h"
#include "buckthorndeck/base/Ids.h"

#include <string_view>

//! Bodies that both ends compute, so that the receiver can check every byte.
namespace buckthorndeck::standins {

//! Length bytes that depend on Seed alone.
Bytes generatedBody(std::uint64_t Seed, std::size_t Length);

//! Length bytes that depend on Seed and on the request's body, so that an
//! answer that belongs to another request is recognised.
Bytes generatedAnswer(std::uint64_t Seed, ByteView RequestBody,
                      std::size_t Length);

//! Body of an event; the same on every backend server.
Bytes eventBody(std::string_view Operation, Sequence Number);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_GENERATEDBODY_H
