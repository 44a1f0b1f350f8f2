#include "buckthorndeck/sync/SyncMessage.h"

#include "buckthorndeck/base/FieldReader.h"

#include <array>
#include <utility>

namespace buckthorndeck::sync {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxTypeBytes = 16;
constexpr std::array<std::pair<SyncAnswerKind, const char *>, 4> Kinds = {
    {{SyncAnswerKind::Delta, "sync_delta"},
     {SyncAnswerKind::Full, "sync_full"},
     {SyncAnswerKind::Current, "sync_current"},
     {SyncAnswerKind::Busy, "sync_busy"}}};

const char *nameOf(SyncAnswerKind Kind) {
  for (const auto &[Value, Name] : Kinds)
    if (Value == Kind)
      return Name;
  return "invalid";
}

std::optional<SyncAnswerKind> kindOf(const std::string &Name) {
  for (const auto &[Value, Text] : Kinds)
    if (Name == Text)
      return Value;
  return std::nullopt;
}

} // namespace

Bytes encode(const Announcement &Message) {
  return wire::encodeEnvelope(AnnouncementType,
                              {{"host", Message.From.value()},
                               {"version", Message.Version.value()},
                               {"digest", Message.ObjectsDigest.value()}});
}

Expected<Announcement> decodeAnnouncement(const wire::Envelope &Envelope,
                                          const std::string &Peer) {
  FieldReader Reader(Envelope.Fields, "decode announcement", Peer);
  if (Envelope.Type != AnnouncementType)
    Reader.fail("type", "an announce");
  Announcement Message{.From =
                           EntryHostName(Reader.text("host", MaxNameBytes, 1)),
                       .Version = ConfigVersion(Reader.number("version")),
                       .ObjectsDigest = Digest(Reader.number("digest"))};
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Message;
}

Json encode(const SyncRequest &Message) {
  return {{"type", SyncRequestName},
          {"version", Message.Version.value()},
          {"digest", Message.ObjectsDigest.value()}};
}

Expected<SyncRequest> decodeSyncRequest(const Json &Message,
                                        const std::string &Peer) {
  FieldReader Reader(Message, "decode sync request", Peer);
  if (Reader.text("type", MaxTypeBytes) != SyncRequestName)
    Reader.fail("type", SyncRequestName);
  SyncRequest Request{.Version = ConfigVersion(Reader.number("version")),
                      .ObjectsDigest = Digest(Reader.number("digest"))};
  if (Reader.failed())
    return Unexpected(Reader.error());
  return Request;
}

Json encodePage(const SyncAnswer &Answer, ByteView Part, bool Last) {
  return {{"type", nameOf(Answer.Kind)},
          {"version", Answer.Version.value()},
          {"digest", Answer.ObjectsDigest.value()},
          {"last", Last},
          {"body", binary(Bytes(Part.begin(), Part.end()))}};
}

Expected<bool> SyncAnswerReader::add(const Json &Page,
                                     const std::string &Peer) {
  FieldReader Reader(Page, "decode sync answer", Peer);
  const auto Kind = kindOf(Reader.text("type", MaxTypeBytes));
  if (!Kind)
    Reader.fail("type", "sync_delta, sync_full, sync_current or sync_busy");
  const ConfigVersion Version(Reader.number("version"));
  const Digest ObjectsDigest(Reader.number("digest"));
  const bool Last = Reader.flag("last");
  const Bytes Part = Reader.bytes("body", MaxSyncBodyBytes);
  if (Started && (Kind != Answer.Kind || Version != Answer.Version ||
                  ObjectsDigest != Answer.ObjectsDigest))
    Reader.fail(
        "version",
        "the type, version and digest of the page that started the answer");
  if (Answer.Body.size() + Part.size() > MaxSyncBodyBytes)
    Reader.fail("body", "at most " + std::to_string(MaxSyncBodyBytes) +
                            " bytes in all pages of the answer");
  if (Reader.failed())
    return Unexpected(Reader.error());
  Started = true;
  Answer.Kind = *Kind;
  Answer.Version = Version;
  Answer.ObjectsDigest = ObjectsDigest;
  Answer.Body.insert(Answer.Body.end(), Part.begin(), Part.end());
  return Last;
}

} // namespace buckthorndeck::sync
