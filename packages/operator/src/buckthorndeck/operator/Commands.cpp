#include "buckthorndeck/operator/Commands.h"

#include "buckthorndeck/config/ObjectFiles.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/OrphanCleaner.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/StoreClient.h"
#include "buckthorndeck/operator/HostExplanation.h"
#include "buckthorndeck/operator/ObjectEdits.h"
#include "buckthorndeck/operator/Report.h"

#include <algorithm>
#include <memory>
#include <ostream>
#include <random>

namespace buckthorndeck::operators {

using config::ObjectSet;
using config::PublishedSet;
using config::PublishFailure;
using config::PublishOutcome;
using config::StoreClient;

namespace {

//! Attempts to publish a drain or an evacuation. After this many conflicts in a
//! row with other operators the command fails.
constexpr unsigned MaxEditAttempts = 10;
//! Attempts to publish above the versions that the store has lost. Hosts that
//! answer late can have a still higher one.
constexpr unsigned MaxLostVersions = 3;

//! Command line, output streams and store client of one command.
struct CommandContext {
  Invocation CommandLine;
  Streams Output;
  std::unique_ptr<StoreClient> Store; //!< Null without a store address.

  TimePoint storeDeadline() const {
    return Clock::now() + CommandLine.StoreTimeout;
  }
  void print(const Json &Value) const { Output.Out << Value.dump(2) << "\n"; }
};

ExitCode exitCodeOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
  case ErrorCode::NotFound:
    return ExitCode::InvalidInput;
  case ErrorCode::Conflict:
    return ExitCode::Conflict;
  case ErrorCode::Timeout:
  case ErrorCode::TooLarge:
    return ExitCode::UnknownOutcome;
  case ErrorCode::Unavailable:
  case ErrorCode::Refused:
  case ErrorCode::Expired:
    return ExitCode::Unavailable;
  }
  return ExitCode::Unavailable;
}

ExitCode reportFailure(const CommandContext &Context,
                       const PublishFailure &Failure) {
  Context.Output.Err << "buckthornctl: " << describe(Failure.Reason) << "\n";
  if (Context.CommandLine.Json)
    Context.print({{"error", failureToJson(Failure)}});
  return exitCodeOf(Failure.Reason.Code);
}

//! Reports a failed read. A read changes nothing, so a timeout does not make
//! the outcome unknown.
ExitCode reportReadFailure(const CommandContext &Context, Error Failure) {
  if (Failure.Code == ErrorCode::Timeout)
    Failure.Code = ErrorCode::Unavailable;
  return reportFailure(Context, {.Reason = std::move(Failure)});
}

ExitCode reportDeclarationErrors(const CommandContext &Context,
                                 const config::DeclaredSet &Declared) {
  for (const config::ConfigError &Mistake : Declared.Errors)
    Context.Output.Err << describe(Mistake) << "\n";
  if (Context.CommandLine.Json)
    Context.print({{"errors", declarationErrorsToJson(Declared.Errors)}});
  return ExitCode::InvalidInput;
}

ExitCode reportWrongUsage(const CommandContext &Context,
                          const std::string &Message) {
  Context.Output.Err << "buckthornctl: " << Message << "\n";
  return ExitCode::WrongUsage;
}

std::uint64_t nowMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(Now).count());
}

ExitCode check(const CommandContext &Context) {
  const config::DeclaredSet Declared =
      config::checkPaths(Context.CommandLine.Paths);
  if (!Declared.Errors.empty())
    return reportDeclarationErrors(Context, Declared);
  const std::string Digest =
      config::formatDigest(config::digestOf(Declared.Objects));
  if (Context.CommandLine.Json)
    Context.print({{"errors", Json::array()},
                   {"objects", Declared.Sources.size()},
                   {"digest", Digest}});
  else
    Context.Output.Out << Declared.Sources.size()
                       << " objects without mistakes, digest " << Digest
                       << "\n";
  return ExitCode::Success;
}

Task<ExitCode> diff(CommandContext &Context) {
  const config::DeclaredSet Declared =
      config::checkPaths(Context.CommandLine.Paths);
  if (!Declared.Errors.empty())
    co_return reportDeclarationErrors(Context, Declared);
  const auto Current =
      co_await config::readPublished(*Context.Store, Context.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Context, Current.error());
  const auto Changes =
      config::changesBetween(Current->Objects, Declared.Objects);
  const std::uint64_t Version = Current->ManifestContent.Version.value();
  if (Context.CommandLine.Json)
    Context.print({{"version", Version}, {"changes", changesToJson(Changes)}});
  else
    Context.Output.Out << changesToText(Current->Objects, Declared.Objects)
                       << Changes.size() << " changes against version "
                       << Version << "\n";
  co_return ExitCode::Success;
}

//! Sync addresses from the command line and from the platform's host list.
Task<std::vector<TcpEndpoint>> hostsToQuery(CommandContext &Context) {
  std::vector<TcpEndpoint> Result = Context.CommandLine.Hosts;
  if (!Context.Store)
    co_return Result;
  const auto Listed = co_await Context.Store->hosts(Context.storeDeadline());
  if (!Listed)
    Context.Output.Err << "buckthornctl: " << describe(Listed.error()) << "\n";
  else
    for (const config::PlatformHost &Host : *Listed) {
      const auto Address = parseTcpEndpoint(Host.SyncAddress, "list hosts");
      if (Address)
        Result.push_back(*Address);
    }
  co_return Result;
}

void printProgress(std::ostream &Err, const SurveyResult &Survey,
                   ConfigVersion Version) {
  Err << "version " << Version.value() << " is in force on "
      << Survey.countWithVersion(Version) << " of " << Survey.Answered.size()
      << " entry hosts that answered\n";
}

//! Waits until every host that answers has Version in force, or until the time
//! limit.
Task<SurveyResult> awaitRollout(CommandContext &Context,
                                ConfigVersion Version) {
  SurveyOptions Options;
  Options.Hosts = co_await hostsToQuery(Context);
  Options.TargetVersion = Version;
  Options.Deadline = Clock::now() + Context.CommandLine.Wait;
  const auto LastPrinted =
      std::make_shared<std::pair<std::size_t, std::size_t>>();
  std::ostream &Err = Context.Output.Err;
  const std::function<void(const SurveyResult &)> Progress =
      [LastPrinted, Version, &Err](const SurveyResult &Survey) {
        const std::pair Counts(Survey.countWithVersion(Version),
                               Survey.Answered.size());
        if (*LastPrinted != Counts)
          printProgress(Err, Survey, Version);
        *LastPrinted = Counts;
      };
  co_return co_await surveyHosts(std::move(Options), Progress);
}

//! Removes shards of older versions. They only take up space, so a failure is
//! printed but does not fail the command.
Task<> removeUnusedShards(CommandContext &Context) {
  const auto Current =
      co_await config::readManifest(*Context.Store, Context.storeDeadline());
  if (!Current)
    co_return;
  const auto Removed = co_await config::removeOrphans(
      *Context.Store, Current->ManifestContent, Context.storeDeadline());
  if (!Removed)
    Context.Output.Err << "buckthornctl: shards of older versions were not "
                          "removed: "
                       << describe(Removed.error()) << "\n";
}

void printPublished(const CommandContext &Context,
                    const config::PublishResult &Published,
                    const std::string &OperationId,
                    const SurveyResult &Survey) {
  if (Context.CommandLine.Json) {
    Json Result = rolloutToJson(Survey, Published.Version);
    Result["version"] = Published.Version.value();
    Result["changed"] = Published.Changed;
    if (Published.Changed)
      Result["operation"] = OperationId;
    Context.print(Result);
  } else if (Published.Changed) {
    Context.Output.Out << "published version " << Published.Version.value()
                       << " (operation " << OperationId << ")\n";
  } else {
    Context.Output.Out << "nothing to change, version "
                       << Published.Version.value() << " stays\n";
  }
}

//! The highest version that entry hosts have in force although the store does
//! not have it: the store came back from a copy. Hosts never go back, so they
//! ignore what is published up to that version.
Task<std::optional<ConfigVersion>> findLostVersion(CommandContext &Context,
                                                   const SurveyResult &Survey,
                                                   ConfigVersion Published,
                                                   Digest ObjectsDigest) {
  const auto Highest = Survey.highestOther(Published, ObjectsDigest);
  if (!Highest)
    co_return std::nullopt;
  // Another operator may have published it meanwhile.
  const auto Current =
      co_await config::readManifest(*Context.Store, Context.storeDeadline());
  if (!Current) {
    Context.Output.Err << "buckthornctl: " << describe(Current.error()) << "\n";
    co_return std::nullopt;
  }
  if (Current->ManifestContent.Version > Published)
    co_return std::nullopt;
  co_return Highest;
}

//! A published version and the hosts that have it in force.
struct Rollout {
  config::PublishResult Published;
  std::string OperationId;
  SurveyResult Survey;
  //! False if hosts keep a version that the store has lost.
  bool Accepted = true;
};

//! Waits for the entry hosts to have the version in force. Publishes again,
//! with a higher version, as long as hosts have one that the store has lost.
Task<Rollout> rollOut(CommandContext &Context, config::PublishResult Published,
                      config::PublishRequest Request) {
  Rollout Result{.Published = Published, .OperationId = Request.OperationId};
  if (Context.CommandLine.Wait <= Milliseconds(0))
    co_return Result;
  const Digest ObjectsDigest = config::digestOf(Request.Objects);
  for (unsigned Attempt = 0;; ++Attempt) {
    const ConfigVersion Version = Result.Published.Version;
    Result.Survey = co_await awaitRollout(Context, Version);
    const auto Lost = co_await findLostVersion(Context, Result.Survey, Version,
                                               ObjectsDigest);
    Result.Accepted = !Lost;
    if (!Lost || Attempt == MaxLostVersions)
      co_return Result;
    Context.Output.Err << "version " << Lost->value()
                       << " is in force, but the store has lost it; publishing "
                          "again with a higher version\n";
    Request.OperationId = config::makeOperationId();
    Request.Base = Version;
    Request.LostVersion = Lost;
    const PublishOutcome Outcome = co_await config::publish(
        *Context.Store, Request, Context.storeDeadline());
    if (!Outcome) {
      Context.Output.Err << "buckthornctl: " << describe(Outcome.error().Reason)
                         << "\n";
      co_return Result;
    }
    Result.Published = *Outcome;
    Result.OperationId = Request.OperationId;
  }
}

//! Waits for the entry hosts to have the version in force and reports the
//! result.
Task<ExitCode> finishPublish(CommandContext &Context,
                             config::PublishResult Published,
                             config::PublishRequest Request) {
  const Rollout Result =
      co_await rollOut(Context, Published, std::move(Request));
  const SurveyResult &Survey = Result.Survey;
  const ConfigVersion Version = Result.Published.Version;
  Context.Output.Err << rolloutToText(Survey, Version);
  printPublished(Context, Result.Published, Result.OperationId, Survey);
  if (Result.Published.Changed)
    co_await removeUnusedShards(Context);
  const bool InForce = Result.Accepted && Survey.countWithVersion(Version) ==
                                              Survey.Answered.size();
  co_return InForce ? ExitCode::Success : ExitCode::NotInForce;
}

config::PublishRequest makeRequest(const CommandContext &Context,
                                   ConfigVersion Base, ObjectSet Objects) {
  return {.OperationId = config::makeOperationId(),
          .Author = Context.CommandLine.Author,
          .TimeMs = nowMs(),
          .Base = Base,
          .Objects = std::move(Objects)};
}

Task<ExitCode> publish(CommandContext &Context) {
  config::DeclaredSet Declared = config::checkPaths(Context.CommandLine.Paths);
  if (!Declared.Errors.empty())
    co_return reportDeclarationErrors(Context, Declared);
  ConfigVersion Base = Context.CommandLine.Base.value_or(ConfigVersion(0));
  if (!Context.CommandLine.Base) {
    const auto Current =
        co_await config::readManifest(*Context.Store, Context.storeDeadline());
    if (!Current)
      co_return reportReadFailure(Context, Current.error());
    if (!Context.CommandLine.BaseIsCurrent &&
        Current->ManifestContent.Version.value() != 0)
      co_return reportWrongUsage(
          Context,
          "version " +
              std::to_string(Current->ManifestContent.Version.value()) +
              " is published: give the version that the files were made "
              "from as --base");
    Base = Current->ManifestContent.Version;
  }
  const config::PublishRequest Request =
      makeRequest(Context, Base, std::move(Declared.Objects));
  const PublishOutcome Outcome = co_await config::publish(
      *Context.Store, Request, Context.storeDeadline());
  if (!Outcome)
    co_return reportFailure(Context, Outcome.error());
  co_return co_await finishPublish(Context, *Outcome, Request);
}

Task<ExitCode> show(CommandContext &Context) {
  const auto Current =
      co_await config::readPublished(*Context.Store, Context.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Context, Current.error());
  const std::uint64_t Version = Current->ManifestContent.Version.value();
  if (!Context.CommandLine.Namespace.empty())
    Context.print(config::namespaceToJson(Current->Objects,
                                          Context.CommandLine.Namespace));
  else if (Context.CommandLine.Json)
    Context.print(
        {{"version", Version},
         {"digest", config::formatDigest(config::digestOf(Current->Objects))},
         {"objects", config::toJson(Current->Objects)}});
  else
    Context.Output.Out << "version " << Version << "\n"
                       << objectsToText(Current->Objects);
  co_return ExitCode::Success;
}

Task<ExitCode> history(CommandContext &Context) {
  auto Current =
      co_await config::readManifest(*Context.Store, Context.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Context, Current.error());
  auto &Audit = Current->ManifestContent.Audit;
  std::reverse(Audit.begin(), Audit.end());
  Audit.resize(std::min(Audit.size(), Context.CommandLine.Limit));
  Json Versions = Json::array();
  for (const config::AuditEntry &Entry : Audit) {
    if (Context.CommandLine.Json)
      Versions.push_back(config::toJson(Entry));
    else
      Context.Output.Out << auditToText(Entry);
  }
  if (Context.CommandLine.Json)
    Context.print({{"versions", std::move(Versions)}});
  co_return ExitCode::Success;
}

//! Whether an edit that conflicted with another publish can be repeated on the
//! new version without reverting any of its changes.
bool canRepublish(const PublishOutcome &Outcome) {
  return !Outcome && Outcome.error().Conflict &&
         Outcome.error().Conflict->BothChanged.empty();
}

//! Publishes the current set with one object changed.
Task<ExitCode> edit(CommandContext &Context) {
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Current =
        co_await config::readPublished(*Context.Store, Context.storeDeadline());
    if (!Current)
      co_return reportReadFailure(Context, Current.error());
    const Expected<void> Applied =
        applyEdit(Context.CommandLine, Current->Objects);
    if (!Applied)
      co_return reportFailure(Context, {.Reason = Applied.error()});
    const config::PublishRequest Request = makeRequest(
        Context, Current->ManifestContent.Version, std::move(Current->Objects));
    const PublishOutcome Outcome = co_await config::publish(
        *Context.Store, Request, Context.storeDeadline());
    if (Outcome)
      co_return co_await finishPublish(Context, *Outcome, Request);
    if (Attempt == MaxEditAttempts || !canRepublish(Outcome))
      co_return reportFailure(Context, Outcome.error());
  }
}

Task<ExitCode> status(CommandContext &Context) {
  SurveyOptions Options;
  Options.Hosts = co_await hostsToQuery(Context);
  Options.Deadline = Clock::now() + Context.CommandLine.StoreTimeout;
  const std::function<void(const SurveyResult &)> IgnoreProgress =
      [](const SurveyResult &) {};
  const SurveyResult Survey =
      co_await surveyHosts(std::move(Options), IgnoreProgress);
  std::optional<PublishedSet> Published;
  if (Context.Store) {
    auto Current =
        co_await config::readPublished(*Context.Store, Context.storeDeadline());
    if (Current)
      Published = std::move(*Current);
    else
      Context.Output.Err << "buckthornctl: " << describe(Current.error())
                         << "\n";
  }
  if (Context.CommandLine.Json)
    Context.print(statusToJson(Survey, Published));
  else
    Context.Output.Out << statusToText(Survey, Published);
  co_return !Published && Survey.Answered.empty() ? ExitCode::Unavailable
                                                  : ExitCode::Success;
}

Task<ExitCode> explain(CommandContext &Context) {
  const Invocation &CommandLine = Context.CommandLine;
  const auto Answer = co_await queryExplanation(
      CommandLine.Hosts.front(), CommandLine.Name, CommandLine.StoreTimeout);
  if (!Answer)
    co_return reportReadFailure(Context, Answer.error());
  if (CommandLine.Json)
    Context.print(*Answer);
  else
    Context.Output.Out << explanationToText(*Answer);
  co_return knowsService(*Answer) ? ExitCode::Success : ExitCode::InvalidInput;
}

Task<ExitCode> dispatch(CommandContext &Context) {
  switch (Context.CommandLine.Action) {
  case Command::Help:
    Context.Output.Out << usage();
    co_return ExitCode::Success;
  case Command::Version:
    Context.Output.Out << "buckthornctl " << BUCKTHORNDECK_VERSION << "\n";
    co_return ExitCode::Success;
  case Command::Check:
    co_return check(Context);
  case Command::Diff:
    co_return co_await diff(Context);
  case Command::Publish:
    co_return co_await publish(Context);
  case Command::Show:
    co_return co_await show(Context);
  case Command::History:
    co_return co_await history(Context);
  case Command::Drain:
  case Command::Undrain:
  case Command::Evacuate:
  case Command::Restore:
    co_return co_await edit(Context);
  case Command::Status:
    co_return co_await status(Context);
  case Command::Explain:
    co_return co_await explain(Context);
  }
  co_return ExitCode::WrongUsage;
}

} // namespace

Task<ExitCode> runCommand(Invocation CommandLine, Streams Output) {
  CommandContext Context{.CommandLine = std::move(CommandLine),
                         .Output = Output};
  if (Context.CommandLine.Store) {
    config::StoreClientOptions Options{.Address = *Context.CommandLine.Store};
    // With equal seeds, operators whose calls fail at the same time would also
    // retry at the same time.
    Options.RandomSeed = std::random_device()();
    Context.Store = std::make_unique<StoreClient>(Options);
  }
  co_return co_await dispatch(Context);
}

} // namespace buckthorndeck::operators
