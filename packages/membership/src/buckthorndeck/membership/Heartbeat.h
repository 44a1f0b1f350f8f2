#ifndef BUCKTHORNDECK_MEMBERSHIP_HEARTBEAT_H
#define BUCKTHORNDECK_MEMBERSHIP_HEARTBEAT_H

#include "buckthorndeck/membership/Member.h"
#include "buckthorndeck/wire/Envelope.h"

#include <optional>
#include <variant>
#include <vector>

namespace buckthorndeck::membership {

inline constexpr unsigned HeartbeatType = 20;
inline constexpr unsigned HeartbeatAckType = 21;
inline constexpr unsigned ProbeRequestType = 22;

//! Longest encoded message, without the MAC. With one heartbeat and one
//! acknowledgement a second in each direction this bounds the control traffic
//! of a host.
inline constexpr std::size_t MaxMessageBytes = 700;
inline constexpr std::size_t MaxUpdates = 8;
//! More members never fit into one message.
inline constexpr std::size_t MaxPageMembers = 64;
inline constexpr std::size_t MaxNameBytes = 64;

//! Asks whether the receiver is alive.
struct Heartbeat {
  Member From; //!< The sender, with its configuration version.
  std::uint64_t Number = 0;
  std::vector<Member> Updates;
  //! If set, asks for the members that follow this name.
  std::optional<EntryHostName> PageAfter;
};

//! A part of the sender's member table.
struct MemberPage {
  std::vector<Member> Members;
  bool Last = false;
  //! The sender does not have the whole table yet.
  bool SenderIncomplete = false;
};

//! Result of a probe that a host made on behalf of another one.
struct ProbeReport {
  EntryHostName Subject;
  bool Reached = false;
};

//! Answers a heartbeat or a probe request that has the same number.
struct HeartbeatAck {
  Member From;
  std::uint64_t Number = 0;
  std::vector<Member> Updates;
  std::optional<MemberPage> Page;
  std::optional<ProbeReport> Report;
};

//! Asks the receiver to probe Target and to report the result.
struct ProbeRequest {
  Member From;
  std::uint64_t Number = 0;
  Member Target;
};

using Message = std::variant<Heartbeat, HeartbeatAck, ProbeRequest>;

/**
 * Encodes an envelope of at most MaxMessageBytes.
 *
 * Updates that do not fit are left out, then members of the page; both vectors
 * are truncated in place to what was encoded. A truncated page is no longer the
 * last one.
 */
Bytes encode(Message &Content);

//! Decodes a message and checks every field. Invalid if a field is missing, has
//! the wrong type or is out of range; the error names Peer.
Expected<Message> decode(const wire::Envelope &Envelope,
                         const std::string &Peer);

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_HEARTBEAT_H
