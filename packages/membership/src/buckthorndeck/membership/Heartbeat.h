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
inline constexpr unsigned HeartbeatRequestType = 22;

//! Longest encoded message, without the MAC. With one heartbeat and one
//! acknowledgement a second in each direction this bounds the control traffic
//! of a host.
inline constexpr std::size_t MaxMessageBytes = 700;
inline constexpr std::size_t MaxUpdates = 8;
//! More entries never fit into one message.
inline constexpr std::size_t MaxPageMembers = 64;
inline constexpr std::size_t MaxNameBytes = 64;

//! Asks whether the receiver is alive.
struct Heartbeat {
  Member From; //!< The sender, with its configuration version.
  std::uint64_t Number = 0;
  std::vector<Member> Updates;
  //! Asks for the members after this name.
  std::optional<EntryHostName> PageAfter;
};

//! A part of the sender's member table.
struct MemberPage {
  std::vector<Member> Members;
  bool Last = false;
  //! The sender does not have the whole table yet.
  bool Partial = false;
};

//! What a host found when it probed another one on request.
struct ProbeReport {
  EntryHostName Subject;
  bool Reached = false;
};

//! Answers a heartbeat or a heartbeat request with the same number.
struct HeartbeatAck {
  Member From;
  std::uint64_t Number = 0;
  std::vector<Member> Updates;
  std::optional<MemberPage> Page;
  std::optional<ProbeReport> Report;
};

//! Asks the receiver to probe Target and to report.
struct HeartbeatRequest {
  Member From;
  std::uint64_t Number = 0;
  Member Target;
};

using Message = std::variant<Heartbeat, HeartbeatAck, HeartbeatRequest>;

/**
 * Encodes an envelope of at most MaxMessageBytes.
 *
 * Updates beyond the limit are left out, then page entries; both vectors are
 * cut in place to what was sent. A cut page is no longer the last one.
 */
Bytes encode(Message &Content);

//! Decodes and checks every field. Peer goes into the error.
Expected<Message> decode(const wire::Envelope &Envelope,
                         const std::string &Peer);

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_HEARTBEAT_H
