#ifndef BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H
#define BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H

#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/net/Task.h"

#include <map>
#include <optional>
#include <vector>

//! Decisions on the member table. The time is an argument, so that tests
//! drive it.
namespace buckthorndeck::membership {

//! A member with what this host needs to keep it up to date.
struct MemberEntry {
  Member Info;
  TimePoint StateSince;       //!< When State last changed here.
  TimePoint LastQueued;       //!< When news of it was last queued for sending.
  bool SuspectedHere = false; //!< This host itself missed it.
};

//! Everything one host knows about the fleet.
struct MemberTable {
  Member Self;
  std::map<EntryHostName, MemberEntry> Others;
  //! News still to be sent, with the number of times it was sent.
  std::map<EntryHostName, unsigned> Pending;
  //! Members still to be probed in this round, in random order.
  std::vector<EntryHostName> Round;
  //! The same for members in other regions.
  std::vector<EntryHostName> RemoteRound;
};

//! What a claim about a member did to the table.
enum class MergeResult {
  Unchanged, //!< Nothing new.
  Outdated,  //!< The table knows better; the claimant needs an update.
  Changed,
  Refuted,  //!< The claim was about this host, which raised its refutation.
  Replaced, //!< A process with a higher start runs under this host's name.
};

//! Whether a changed member is news for others. Members read from another
//! host's table are known to the fleet already.
enum class Spread { No, Yes };

/**
 * Merges a claim about a member, whoever made it.
 *
 * A higher start wins over a lower one. For one start, left is final, then a
 * higher refutation wins, then the worse state. Dead and left are not recorded
 * for unknown members: the news would otherwise outlive the members.
 */
MergeResult merge(MemberTable &Table, const Member &Claim, TimePoint Now,
                  Spread Forward = Spread::Yes);

//! Records the configuration version that the member itself reported. Returns
//! true if it changed.
bool noteVersion(MemberTable &Table, const Member &From);

//! Marks a member that missed its probe, if it is still the process Start.
bool suspect(MemberTable &Table, const EntryHostName &Name, Incarnation Start,
             TimePoint Now);

/**
 * Declares members dead that have been suspect for Timeout. Returns them.
 *
 * Members that others suspect get twice the time: the host that missed them
 * asks them directly and spreads their death, while a refutation reaches this
 * host only by chance.
 */
std::vector<Member> expireSuspicions(MemberTable &Table, TimePoint Now,
                                     Milliseconds Timeout);

//! Starts every suspicion anew. For a host that was itself stopped: the
//! refutations that it missed may still be on the way.
void restartSuspicions(MemberTable &Table, TimePoint Now);

//! Removes members that have been dead or left for Retention.
void removeExpiredMembers(MemberTable &Table, TimePoint Now,
                          Milliseconds Retention);

//! Changes this host's own state and queues the news.
void setOwnState(MemberTable &Table, MemberState State);

//! True for alive, suspect and leaving.
bool isReachable(const Member &Candidate);

//! Next member of the round in this host's region, if any.
std::optional<Member> nextProbeTarget(MemberTable &Table, RandomEngine &Random);

//! Next member of the round over the other regions, if any.
std::optional<Member> nextRemoteTarget(MemberTable &Table,
                                       RandomEngine &Random);

//! Up to Count hosts that can probe Target for this host: in the target's
//! region, reachable and neither this host nor the target.
std::vector<Member> chooseHelpers(const MemberTable &Table,
                                  const Member &Target, std::size_t Count,
                                  RandomEngine &Random);

//! How often news is sent before it is taken as known: 3 log2 n.
unsigned transmissionLimit(std::size_t Members);

//! Up to Count news, least sent first.
std::vector<Member> chooseUpdates(const MemberTable &Table, std::size_t Count);

//! Counts the news as sent and drops what was sent often enough.
void recordSent(MemberTable &Table, const std::vector<Member> &Updates);

/**
 * Reachable members after a name, for a host that fills its table.
 *
 * The order starts after the reader's own name and wraps around, so that hosts
 * which join together read different parts first.
 */
std::vector<Member> membersAfter(const MemberTable &Table,
                                 const EntryHostName &Reader,
                                 const EntryHostName &After, std::size_t Count);

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_MEMBERTABLE_H
