#include "buckthorndeck/config/Publisher.h"

#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/Shards.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/config/TimeText.h"
#include "buckthorndeck/config/Validation.h"

#include <algorithm>
#include <random>

namespace buckthorndeck::config {

namespace {

constexpr std::size_t MaxAuthorLength = 128;

Error failure(ErrorCode Code, const std::string &Message) {
  return {
      .Code = Code, .Step = "publish", .Peer = ManifestKey, .Message = Message};
}

tl::unexpected<PublishFailure> failed(Error Reason) {
  return tl::unexpected(PublishFailure{.Reason = std::move(Reason)});
}

//! A failure before the manifest was written. A timeout then concerns a read or
//! the write of a shard, so it is certain that nothing was published.
tl::unexpected<PublishFailure> failedBeforeWrite(Error Reason) {
  if (Reason.Code == ErrorCode::Timeout)
    Reason.Code = ErrorCode::Unavailable;
  return failed(std::move(Reason));
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= 0x20 && C < 0x7f; });
}

//! The error of a request that is invalid whatever the store holds.
std::optional<Error> checkRequest(const PublishRequest &Request) {
  if (!isValidName(Request.OperationId))
    return failure(ErrorCode::Invalid,
                   "the operation id is invalid: expected 1 to 63 lower-case "
                   "letters, digits and inner hyphens");
  if (Request.Author.empty() || Request.Author.size() > MaxAuthorLength ||
      !isPrintable(Request.Author))
    return failure(ErrorCode::Invalid,
                   "the author is invalid: expected 1 to 128 printable ASCII "
                   "characters");
  const auto Errors = validate(Request.Objects);
  if (!Errors.empty())
    return failure(ErrorCode::Invalid,
                   "the object set has " + std::to_string(Errors.size()) +
                       " errors; the first is: " + describe(Errors[0]));
  return std::nullopt;
}

//! Changes of all versions after Base; no value unless the audit entries list
//! every one of them.
std::optional<std::vector<ObjectChange>> changesSince(const Manifest &Content,
                                                      ConfigVersion Base) {
  std::vector<ObjectChange> Changes;
  std::uint64_t Next = Base.value() + 1;
  for (const AuditEntry &Entry : Content.Audit) {
    if (Entry.Version <= Base)
      continue;
    if (Entry.Version.value() != Next++ ||
        Entry.Changes.size() != Entry.ChangeCount)
      return std::nullopt;
    Changes.insert(Changes.end(), Entry.Changes.begin(), Entry.Changes.end());
  }
  return Changes;
}

PublishFailure conflict(const Manifest &Current,
                        std::vector<ObjectId> BothChanged) {
  PublishConflict Details{.Current = Current.Version,
                          .BothChanged = std::move(BothChanged)};
  if (!Current.Audit.empty())
    Details.Winner = Current.Audit.back();
  Error Reason = failure(ErrorCode::Conflict, describe(Details));
  return {.Reason = std::move(Reason), .Conflict = std::move(Details)};
}

//! Conflict of a request whose base was no longer current when it started.
PublishFailure conflictBeforeWrite(const PublishedSet &Current,
                                   const PublishRequest &Request) {
  const auto RequestedChanges =
      changesBetween(Current.Objects, Request.Objects);
  const auto PublishedChanges =
      changesSince(Current.ManifestContent, Request.Base);
  return conflict(Current.ManifestContent,
                  changedInBoth(RequestedChanges, PublishedChanges
                                                      ? *PublishedChanges
                                                      : RequestedChanges));
}

//! The version that a publish creates on top of the published one.
ConfigVersion nextVersion(const Manifest &Before,
                          const PublishRequest &Request) {
  const ConfigVersion Highest =
      std::max(Before.Version, Request.LostVersion.value_or(ConfigVersion()));
  return ConfigVersion(Highest.value() + 1);
}

Manifest makeManifest(const PublishedSet &Before, const PublishRequest &Request,
                      std::vector<ShardReference> Shards) {
  Manifest Next{.Version = nextVersion(Before.ManifestContent, Request),
                .OperationId = Request.OperationId,
                .Author = Request.Author,
                .TimeMs = Request.TimeMs,
                .ObjectsDigest = digestOf(Request.Objects),
                .Shards = std::move(Shards),
                .Audit = Before.ManifestContent.Audit};
  AuditEntry Entry{.Version = Next.Version,
                   .Base = Request.Base,
                   .OperationId = Request.OperationId,
                   .Author = Request.Author,
                   .TimeMs = Request.TimeMs,
                   .Changes = changesBetween(Before.Objects, Request.Objects)};
  Entry.ChangeCount = Entry.Changes.size();
  Entry.Changes.resize(std::min(Entry.Changes.size(), MaxListedChanges));
  if (Next.Audit.size() >= MaxAuditEntries)
    Next.Audit.erase(Next.Audit.begin(),
                     Next.Audit.end() - (MaxAuditEntries - 1));
  Next.Audit.push_back(std::move(Entry));
  return Next;
}

//! Writes one shard. No other publish writes this key, so if the key already
//! holds the text, an earlier attempt took effect.
Task<Expected<void>> writeShard(StoreClient &Store, std::string Key,
                                std::string Text, TimePoint Deadline) {
  for (unsigned Attempt = 0;; ++Attempt) {
    const auto Written = co_await Store.compareAndSwap(Key, Text, 0, Deadline);
    if (Written && Written->Written)
      co_return Expected<void>();
    if (!Written && Written.error().Code != ErrorCode::Timeout)
      co_return Unexpected(Written.error());
    const auto Existing = co_await Store.get(Key, Deadline);
    if (!Existing)
      co_return Unexpected(Existing.error());
    if (*Existing && (*Existing)->Value == Text)
      co_return Expected<void>();
    if (*Existing)
      co_return Unexpected(
          Error{.Code = ErrorCode::Conflict,
                .Step = "write shard",
                .Peer = Key,
                .Message = "the shard's key already holds another value"});
    if (!co_await Store.waitBeforeRetry(Attempt, Deadline))
      co_return Unexpected(Error{
          .Code = ErrorCode::Unavailable,
          .Step = "write shard",
          .Peer = Key,
          .Message = "the store does not have the shard, and the deadline or "
                     "the retry budget allows no retry"});
  }
}

//! Writes the shards of Objects that the base manifest does not have. Only
//! shards of the direct base are reused; removeOrphans() relies on that.
Task<Expected<std::vector<ShardReference>>>
writeShards(StoreClient &Store, const Manifest &Base,
            const PublishRequest &Request, TimePoint Deadline) {
  const ConfigVersion TargetVersion = nextVersion(Base, Request);
  std::vector<ShardReference> Shards;
  for (std::string &Text : splitIntoShards(Request.Objects)) {
    const Digest TextDigest = buckthorndeck::digestOf(std::string_view(Text));
    const auto Existing = std::find_if(Base.Shards.begin(), Base.Shards.end(),
                                       [&](const ShardReference &Shard) {
                                         return Shard.TextDigest == TextDigest;
                                       });
    if (Existing != Base.Shards.end()) {
      Shards.push_back(*Existing);
      continue;
    }
    std::string Key =
        shardKey(TargetVersion, Request.OperationId, Shards.size());
    const auto Written =
        co_await writeShard(Store, Key, std::move(Text), Deadline);
    if (!Written)
      co_return Unexpected(Written.error());
    Shards.push_back({.Key = std::move(Key), .TextDigest = TextDigest});
  }
  co_return Shards;
}

Error unknownOutcome(const PublishRequest &Request, const Error &Cause) {
  return failure(
      ErrorCode::Timeout,
      "it is not known whether operation " + Request.OperationId +
          " took effect; search the history for its id: " + describe(Cause));
}

//! Conflict with the versions that were published between Before and Current
//! while the request was in progress.
Task<PublishFailure> conflictAfterSwap(StoreClient &Store,
                                       const PublishedSet &Before,
                                       StoredManifest Current,
                                       const PublishRequest &Request,
                                       TimePoint Deadline) {
  const auto RequestedChanges = changesBetween(Before.Objects, Request.Objects);
  const auto Objects =
      co_await readObjects(Store, Current.ManifestContent, Deadline);
  if (Objects)
    co_return conflict(Current.ManifestContent,
                       changedInBoth(RequestedChanges,
                                     changesBetween(Before.Objects, *Objects)));
  const auto PublishedChanges =
      changesSince(Current.ManifestContent, Before.ManifestContent.Version);
  co_return conflict(Current.ManifestContent,
                     changedInBoth(RequestedChanges, PublishedChanges
                                                         ? *PublishedChanges
                                                         : RequestedChanges));
}

//! Replaces the manifest with Next if it is still the one of Before.
Task<PublishOutcome> swapManifest(StoreClient &Store,
                                  const PublishedSet &Before,
                                  const PublishRequest &Request, Manifest Next,
                                  TimePoint Deadline) {
  const std::string Text = toJson(Next).dump();
  bool MayHaveWritten = false;
  for (unsigned Attempt = 0;; ++Attempt) {
    const auto Swapped = co_await Store.compareAndSwap(
        ManifestKey, Text, Before.Revision, Deadline);
    if (Swapped && Swapped->Written)
      co_return PublishResult{.Version = Next.Version};
    if (!Swapped && Swapped.error().Code != ErrorCode::Timeout)
      co_return MayHaveWritten
          ? failed(unknownOutcome(Request, Swapped.error()))
          : failedBeforeWrite(Swapped.error());
    MayHaveWritten = MayHaveWritten || !Swapped;
    // A refused compare-and-swap proves that a newer manifest exists, so an
    // older one read after it is stale.
    const std::uint64_t MinRevision =
        Swapped ? std::max(Swapped->Revision, Before.Revision + 1) : 0;
    auto Current = co_await readManifest(Store, Deadline, MinRevision);
    if (!Current)
      co_return MayHaveWritten
          ? failed(unknownOutcome(Request, Current.error()))
          : failedBeforeWrite(Current.error());
    if (const auto *OwnEntry =
            findAuditEntry(Current->ManifestContent, Request.OperationId))
      co_return PublishResult{.Version = OwnEntry->Version};
    if (Current->Revision > Before.Revision)
      co_return tl::unexpected(co_await conflictAfterSwap(
          Store, Before, std::move(*Current), Request, Deadline));
    // The manifest that was read is still the old one. The compare-and-swap can
    // be sent again: both attempts expect the same revision, so at most one of
    // them takes effect.
    if (!co_await Store.waitBeforeRetry(Attempt, Deadline))
      co_return failed(unknownOutcome(
          Request, failure(ErrorCode::Unavailable,
                           "the manifest is unchanged after the write, and the "
                           "deadline or the retry budget allows no retry")));
  }
}

//! Reads the current set. A version below Base may be a stale answer, so the
//! read is repeated.
Task<Expected<PublishedSet>>
readVersionAtLeast(StoreClient &Store, ConfigVersion Base, TimePoint Deadline) {
  std::optional<ConfigVersion> OlderVersion;
  for (unsigned Attempt = 0;; ++Attempt) {
    auto Current = co_await readPublished(Store, Deadline);
    if (Current && Current->ManifestContent.Version >= Base)
      co_return Current;
    if (!Current && !OlderVersion)
      co_return Current;
    if (Current)
      OlderVersion = Current->ManifestContent.Version;
    if (!Current || !co_await Store.waitBeforeRetry(Attempt, Deadline))
      co_return Unexpected(
          failure(ErrorCode::Invalid,
                  "base version " + std::to_string(Base.value()) +
                      " was never published, the current version is " +
                      std::to_string(OlderVersion->value())));
  }
}

void logPublished(const PublishRequest &Request,
                  const PublishOutcome &Outcome) {
  if (Outcome)
    log(LogLevel::Info, "published",
        {{"version", Outcome->Version.value()},
         {"operation", Request.OperationId},
         {"author", Request.Author}});
}

Task<PublishOutcome> checkAndPublish(StoreClient &Store,
                                     const PublishRequest &Request,
                                     TimePoint Deadline) {
  const auto RequestError = checkRequest(Request);
  if (RequestError)
    co_return failed(*RequestError);
  const auto Before =
      co_await readVersionAtLeast(Store, Request.Base, Deadline);
  if (!Before)
    co_return failedBeforeWrite(Before.error());
  if (const auto *OwnEntry =
          findAuditEntry(Before->ManifestContent, Request.OperationId))
    co_return PublishResult{.Version = OwnEntry->Version};
  if (Before->ManifestContent.Version != Request.Base)
    co_return tl::unexpected(conflictBeforeWrite(*Before, Request));
  if (Before->Objects == Request.Objects && !Request.LostVersion)
    co_return PublishResult{.Version = Request.Base, .Changed = false};
  auto Shards =
      co_await writeShards(Store, Before->ManifestContent, Request, Deadline);
  if (!Shards)
    co_return failedBeforeWrite(Shards.error());
  Manifest Next = makeManifest(*Before, Request, std::move(*Shards));
  co_return co_await swapManifest(Store, *Before, Request, std::move(Next),
                                  Deadline);
}

} // namespace

std::string describe(const PublishConflict &Conflict) {
  std::string Line = "version " + std::to_string(Conflict.Current.value()) +
                     " was published first by " + Conflict.Winner.Author +
                     " at " + formatTime(Conflict.Winner.TimeMs) +
                     " (operation " + Conflict.Winner.OperationId + ")";
  if (Conflict.BothChanged.empty())
    return Line + "; no object was changed by both publishes";
  Line += "; changed by both publishes:";
  for (std::size_t Index = 0; Index < Conflict.BothChanged.size(); ++Index)
    Line += (Index == 0 ? " " : ", ") + describe(Conflict.BothChanged[Index]);
  return Line;
}

std::string makeOperationId() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::random_device Source;
  std::string Id;
  for (unsigned Count = 0; Count < 32; ++Count)
    Id += Digits[Source() % Digits.size()];
  return Id;
}

Task<PublishOutcome> publish(StoreClient &Store, PublishRequest Request,
                             TimePoint Deadline) {
  const PublishOutcome Outcome =
      co_await checkAndPublish(Store, Request, Deadline);
  logPublished(Request, Outcome);
  co_return Outcome;
}

} // namespace buckthorndeck::config
