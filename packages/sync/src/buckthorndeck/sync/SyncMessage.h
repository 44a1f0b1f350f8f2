#ifndef BUCKTHORNDECK_SYNC_SYNCMESSAGE_H
#define BUCKTHORNDECK_SYNC_SYNCMESSAGE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/wire/Envelope.h"

#include <optional>
#include <string>

//! Messages by which entry hosts distribute configurations among themselves.
namespace buckthorndeck::sync {

inline constexpr unsigned AnnouncementType = 23;

//! Datagram that announces the version in force on the sender.
struct Announcement {
  EntryHostName From;
  ConfigVersion Version;
  Digest ObjectsDigest;
};

Bytes encode(const Announcement &Message);
Expected<Announcement> decodeAnnouncement(const wire::Envelope &Envelope,
                                          const std::string &Peer);

//! WebSocket message that asks for the deltas from the requester's version,
//! whose set has the digest ObjectsDigest, to the newest one. Version 0 asks
//! for the whole set.
struct SyncRequest {
  ConfigVersion Version;
  Digest ObjectsDigest;
};

inline constexpr const char *SyncRequestName = "sync_request";

Json encode(const SyncRequest &Message);
Expected<SyncRequest> decodeSyncRequest(const Json &Message,
                                        const std::string &Peer);

enum class SyncAnswerKind {
  Delta,   //!< Body holds the deltas from the requested version on.
  Full,    //!< Body holds the whole set.
  Current, //!< There is nothing newer.
  Busy,    //!< The peer sends the maximum of answers; ask another host.
};

//! An answer, assembled from its pages.
struct SyncAnswer {
  SyncAnswerKind Kind = SyncAnswerKind::Busy;
  ConfigVersion Version; //!< Of the set after the answer is applied.
  Digest ObjectsDigest;
  Bytes Body;
};

//! Largest body that is accepted, all pages together.
inline constexpr std::size_t MaxSyncBodyBytes = 16 * 1024 * 1024;

//! One page of an answer, sent as one WebSocket message. Last marks the final
//! page.
Json encodePage(const SyncAnswer &Answer, ByteView Part, bool Last);

/**
 * Assembles an answer from its pages.
 *
 * Memory grows with the bytes received, never with a size that the peer states.
 */
class SyncAnswerReader {
public:
  //! Adds a page. Returns true once the answer is complete. Invalid if the page
  //! is malformed, belongs to another answer or exceeds MaxSyncBodyBytes.
  Expected<bool> add(const Json &Page, const std::string &Peer);
  //! The answer, once complete.
  SyncAnswer take() { return std::move(Answer); }

private:
  SyncAnswer Answer;
  bool Started = false;
};

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_SYNCMESSAGE_H
