#ifndef BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H
#define BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/net/Task.h"

#include <map>
#include <optional>
#include <vector>

//! Functions that read and change the member table. They take the current time
//! as an argument, so that tests control it.
namespace buckthorndeck::membership {

//! A member and this host's bookkeeping about it.
struct MemberEntry {
  Member Info;
  TimePoint StateSince;       //!< When this host last changed the state.
  TimePoint LastQueued;       //!< When an update about it was last queued.
  bool SuspectedHere = false; //!< It did not answer a probe of this host.
};

//! The members that one host knows.
struct MemberTable {
  Member Self;
  std::map<EntryHostName, MemberEntry> Others;
  //! Members with updates still to be sent, and how many times each was sent.
  std::map<EntryHostName, unsigned> PendingUpdates;
  //! Members of this host's region still to be probed in this round, in random
  //! order.
  std::vector<EntryHostName> ProbeRound;
  //! The same for members in other regions.
  std::vector<EntryHostName> RemoteProbeRound;
};

//! Effect of a claim about a member on the table.
enum class MergeResult {
  Unchanged, //!< The claim says nothing new.
  Outdated,  //!< The table has newer data; the claimant needs an update.
  Changed,
  Refuted,  //!< The claim was about this host, which raised its refutation.
  Replaced, //!< A process with a later start time has this host's name.
};

//! Whether a changed member is queued as an update for other members. Members
//! read from another host's table are known to the fleet already.
enum class Propagate { No, Yes };

/**
 * Merges a claim about a member, made by the member itself or by another one.
 *
 * A later start time wins. For equal start times, left is final, then a higher
 * refutation wins, then the more severe state. Dead and left are not recorded
 * for unknown members, because such updates would circulate for ever after the
 * members were removed.
 */
MergeResult merge(MemberTable &Table, const Member &Claim, TimePoint Now,
                  Propagate ToOthers = Propagate::Yes);

//! Records the configuration version that the member itself reported. Returns
//! true if it changed.
bool recordVersion(MemberTable &Table, const Member &From);

//! Marks a member that did not answer a probe as suspect, if its start time is
//! still Start. Returns true if its state changed.
bool suspect(MemberTable &Table, const EntryHostName &Name, Incarnation Start,
             TimePoint Now);

/**
 * Declares members dead that have been suspect for Timeout, and returns them.
 *
 * Members that other hosts suspect get twice the time: the host whose probe
 * failed contacts them directly and reports their death, while a refutation
 * reaches this host only by chance.
 */
std::vector<Member> expireSuspicions(MemberTable &Table, TimePoint Now,
                                     Milliseconds Timeout);

//! Restarts the timeout of every suspicion. Called after this process itself
//! was suspended: the refutations that it missed may still arrive.
void restartSuspicions(MemberTable &Table, TimePoint Now);

//! Removes members that have been dead or left for Retention.
void removeExpiredMembers(MemberTable &Table, TimePoint Now,
                          Milliseconds Retention);

//! Changes this host's own state and queues the update.
void setOwnState(MemberTable &Table, MemberState State);

//! True for alive, suspect and leaving.
bool isReachable(const Member &Candidate);

//! Next member to probe in this host's region, if any.
std::optional<Member> nextProbeTarget(MemberTable &Table, RandomEngine &Random);

//! Next member to probe in the other regions, if any.
std::optional<Member> nextRemoteTarget(MemberTable &Table,
                                       RandomEngine &Random);

//! Up to Count random hosts that can probe Target on behalf of this host:
//! reachable, in the target's region, and neither this host nor the target.
std::vector<Member> chooseIndirectProbers(const MemberTable &Table,
                                          const Member &Target,
                                          std::size_t Count,
                                          RandomEngine &Random);

//! How many times an update is sent before it counts as known to all: 3 log2 n
//! for n members.
unsigned transmissionLimit(std::size_t Members);

//! Up to Count pending updates, least sent first.
std::vector<Member> chooseUpdates(const MemberTable &Table, std::size_t Count);

//! Counts one transmission of each update and drops those that reached the
//! limit.
void recordSent(MemberTable &Table, const std::vector<Member> &Updates);

/**
 * Up to Count reachable members that follow the name After, for a host that
 * reads this table.
 *
 * The order starts after the reader's own name and wraps around, so that hosts
 * that join at the same time read different parts first.
 */
std::vector<Member> membersAfter(const MemberTable &Table,
                                 const EntryHostName &Reader,
                                 const EntryHostName &After, std::size_t Count);

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H
