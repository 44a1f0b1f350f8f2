#ifndef BUCKTHORNDECK_MEMBERSHIP_WATCHERS_H
#define BUCKTHORNDECK_MEMBERSHIP_WATCHERS_H

#include "buckthorndeck/membership/Member.h"

#include <vector>

namespace buckthorndeck::membership {

//! The Count hosts of a failure domain that watch the platform for new
//! versions: those with the highest rendezvous scores among the alive and
//! suspect ones. Hosts whose member tables differ may choose different
//! watchers, which is harmless.
std::vector<EntryHostName>
choosePlatformWatchers(const std::vector<Member> &Members,
                       const FailureDomainName &Domain, std::size_t Count);

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_WATCHERS_H
