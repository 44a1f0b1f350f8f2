#ifndef BUCKTHORNDECK_SYNC_SYNCMESSAGE_H
#define BUCKTHORNDECK_SYNC_SYNCMESSAGE_H

#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/wire/Envelope.h"

#include <optional>
#include <string>

//! Messages that distribute configurations between entry hosts.
namespace buckthorndeck::sync {

inline constexpr unsigned AnnouncementType = 23;

//! Datagram: the sender has this version in force.
struct Announce {
  EntryHostName From;
  ConfigVersion Version;
  Digest Objects;
};

Bytes encode(const Announce &Message);
Expected<Announce> decodeAnnounce(const wire::Envelope &Envelope,
                                  const std::string &Peer);

//! WebSocket: asks for what leads from this version to the current one.
//! Version 0 asks for the whole set.
struct SyncRequest {
  ConfigVersion Version;
  Digest Objects;
};

inline constexpr const char *SyncRequestName = "sync_request";

Json encode(const SyncRequest &Message);
Expected<SyncRequest> decodeSyncRequest(const Json &Message,
                                        const std::string &Peer);

enum class SyncAnswerKind {
  Delta,   //!< Body holds the steps from the requested version on.
  Full,    //!< Body holds the whole set.
  Current, //!< There is nothing newer.
  Busy,    //!< Try another host.
};

//! An answer, put together from its pages.
struct SyncAnswer {
  SyncAnswerKind Kind = SyncAnswerKind::Busy;
  ConfigVersion Version; //!< Of the set that the answer leads to.
  Digest Objects;
  Bytes Body;
};

//! Largest body accepted.
inline constexpr std::size_t MaxSyncBodyBytes = 16 * 1024 * 1024;

//! Part of an answer, as sent in one WebSocket message.
Json encodePage(const SyncAnswer &Answer, ByteView Part, bool Last);

/**
 * Puts the pages of one answer together.
 *
 * Memory grows with the bytes received, never with an announced size.
 */
class SyncAnswerReader {
public:
  //! Adds a page. Returns true once the answer is complete.
  Expected<bool> add(const Json &Page, const std::string &Peer);
  //! The answer, once complete.
  SyncAnswer take() { return std::move(Answer); }

private:
  SyncAnswer Answer;
  bool Started = false;
};

} // namespace buckthorndeck::sync

#endif // BUCKTHORNDECK_SYNC_SYNCMESSAGE_H
