#include "buckthorndeck/operator/Commands.h"

#include "buckthorndeck/config/ObjectFiles.h"
#include "buckthorndeck/config/ObjectJson.h"
#include "buckthorndeck/config/OrphanCleaner.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/config/StoreClient.h"
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

//! Publications of a drain that others overtake one after the other before
//! the operator is told.
constexpr unsigned MaxDrainAttempts = 10;

//! What one command works with.
struct Session {
  Invocation Wanted;
  Streams Output;
  std::unique_ptr<StoreClient> Store; //!< Null without a store address.

  TimePoint storeDeadline() const { return Clock::now() + Wanted.StoreTimeout; }
  void print(const Json &Value) const { Output.Out << Value.dump(2) << "\n"; }
};

ExitCode exitCodeOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::Invalid:
  case ErrorCode::NotFound:
    return ExitCode::Mistakes;
  case ErrorCode::Conflict:
    return ExitCode::Conflict;
  case ErrorCode::Timeout:
    return ExitCode::UnknownOutcome;
  case ErrorCode::Unavailable:
  case ErrorCode::Refused:
  case ErrorCode::Expired:
    return ExitCode::Unavailable;
  }
  return ExitCode::Unavailable;
}

ExitCode reportFailure(const Session &Run, const PublishFailure &Failure) {
  Run.Output.Err << "buckthornctl: " << describe(Failure.Reason) << "\n";
  if (Run.Wanted.Json)
    Run.print({{"error", failureToJson(Failure)}});
  return exitCodeOf(Failure.Reason.Code);
}

//! Reading changes nothing, so a read without an answer is never an unknown
//! outcome.
ExitCode reportReadFailure(const Session &Run, Error Failure) {
  if (Failure.Code == ErrorCode::Timeout)
    Failure.Code = ErrorCode::Unavailable;
  return reportFailure(Run, {.Reason = std::move(Failure)});
}

ExitCode reportMistakes(const Session &Run,
                        const config::DeclaredSet &Declared) {
  for (const config::ConfigError &Mistake : Declared.Errors)
    Run.Output.Err << describe(Mistake) << "\n";
  if (Run.Wanted.Json)
    Run.print({{"errors", mistakesToJson(Declared.Errors)}});
  return ExitCode::Mistakes;
}

ExitCode reportWrongUsage(const Session &Run, const std::string &Message) {
  Run.Output.Err << "buckthornctl: " << Message << "\n";
  return ExitCode::WrongUsage;
}

std::uint64_t nowMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(Now).count());
}

ExitCode check(const Session &Run) {
  const config::DeclaredSet Declared = config::checkPaths(Run.Wanted.Paths);
  if (!Declared.Errors.empty())
    return reportMistakes(Run, Declared);
  const std::string Digest =
      config::formatDigest(config::digestOf(Declared.Objects));
  if (Run.Wanted.Json)
    Run.print({{"errors", Json::array()},
               {"objects", Declared.Sources.size()},
               {"digest", Digest}});
  else
    Run.Output.Out << Declared.Sources.size()
                   << " objects without mistakes, digest " << Digest << "\n";
  return ExitCode::Success;
}

Task<ExitCode> diff(Session &Run) {
  const config::DeclaredSet Declared = config::checkPaths(Run.Wanted.Paths);
  if (!Declared.Errors.empty())
    co_return reportMistakes(Run, Declared);
  const auto Current =
      co_await config::readPublished(*Run.Store, Run.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Run, Current.error());
  const auto Changes =
      config::changesBetween(Current->Objects, Declared.Objects);
  const std::uint64_t Version = Current->ManifestContent.Version.value();
  if (Run.Wanted.Json)
    Run.print({{"version", Version}, {"changes", changesToJson(Changes)}});
  else
    Run.Output.Out << changesToText(Current->Objects, Declared.Objects)
                   << Changes.size() << " changes against version " << Version
                   << "\n";
  co_return ExitCode::Success;
}

//! Sync addresses that the platform lists, and those given as arguments.
Task<std::vector<TcpEndpoint>> knownHosts(Session &Run) {
  std::vector<TcpEndpoint> Result = Run.Wanted.Hosts;
  if (!Run.Store)
    co_return Result;
  const auto Listed = co_await Run.Store->hosts(Run.storeDeadline());
  if (!Listed)
    Run.Output.Err << "buckthornctl: " << describe(Listed.error()) << "\n";
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
      << Survey.countAt(Version) << " of " << Survey.Heard.size()
      << " entry hosts heard from\n";
}

void printRollout(std::ostream &Err, const SurveyResult &Survey,
                  ConfigVersion Version) {
  for (const auto &[Address, Host] : Survey.Heard)
    if (Host.Version < Version)
      Err << "entry host " << Host.Name.value() << " at " << toString(Address)
          << " still has version " << Host.Version.value() << "\n";
  for (const auto &[Address, Reason] : Survey.NotHeard)
    Err << "not heard from the entry host at " << toString(Address) << ": "
        << describe(Reason) << "\n";
}

//! Waits until every host that answers has Version.
Task<SurveyResult> awaitRollout(Session &Run, ConfigVersion Version) {
  SurveyOptions Options;
  Options.Hosts = co_await knownHosts(Run);
  Options.Target = Version;
  Options.Deadline = Clock::now() + Run.Wanted.Wait;
  const auto Reported = std::make_shared<std::pair<std::size_t, std::size_t>>();
  std::ostream &Err = Run.Output.Err;
  const std::function<void(const SurveyResult &)> Progress =
      [Reported, Version, &Err](const SurveyResult &Survey) {
        const std::pair Now(Survey.countAt(Version), Survey.Heard.size());
        if (*Reported != Now)
          printProgress(Err, Survey, Version);
        *Reported = Now;
      };
  co_return co_await surveyHosts(std::move(Options), Progress);
}

//! Orphans waste only space, so a failure to remove them is just told.
Task<> cleanUp(Session &Run) {
  const auto Current =
      co_await config::readManifest(*Run.Store, Run.storeDeadline());
  if (!Current)
    co_return;
  const auto Removed = co_await config::removeOrphans(
      *Run.Store, Current->ManifestContent, Run.storeDeadline());
  if (!Removed)
    Run.Output.Err << "buckthornctl: shards of older versions were not "
                      "removed: "
                   << describe(Removed.error()) << "\n";
}

void printPublished(const Session &Run, const config::PublishResult &Published,
                    const std::string &OperationId,
                    const SurveyResult &Survey) {
  if (Run.Wanted.Json) {
    Json Result = rolloutToJson(Survey, Published.Version);
    Result["version"] = Published.Version.value();
    Result["changed"] = Published.Changed;
    if (Published.Changed)
      Result["operation"] = OperationId;
    Run.print(Result);
  } else if (Published.Changed) {
    Run.Output.Out << "published version " << Published.Version.value()
                   << " (operation " << OperationId << ")\n";
  } else {
    Run.Output.Out << "nothing to change, version " << Published.Version.value()
                   << " stays\n";
  }
}

//! Reports a publication and waits for the entry hosts.
Task<ExitCode> finishPublish(Session &Run, config::PublishResult Published,
                             std::string OperationId) {
  SurveyResult Survey;
  if (Run.Wanted.Wait > Milliseconds(0))
    Survey = co_await awaitRollout(Run, Published.Version);
  printRollout(Run.Output.Err, Survey, Published.Version);
  printPublished(Run, Published, OperationId, Survey);
  if (Published.Changed)
    co_await cleanUp(Run);
  const bool InForce = Survey.countAt(Published.Version) == Survey.Heard.size();
  co_return InForce ? ExitCode::Success : ExitCode::NotInForce;
}

config::PublishRequest makeRequest(const Session &Run, ConfigVersion Base,
                                   ObjectSet Objects) {
  return {.OperationId = config::makeOperationId(),
          .Author = Run.Wanted.Author,
          .TimeMs = nowMs(),
          .Base = Base,
          .Objects = std::move(Objects)};
}

Task<ExitCode> publish(Session &Run) {
  config::DeclaredSet Declared = config::checkPaths(Run.Wanted.Paths);
  if (!Declared.Errors.empty())
    co_return reportMistakes(Run, Declared);
  ConfigVersion Base = Run.Wanted.Base.value_or(ConfigVersion(0));
  if (!Run.Wanted.Base) {
    const auto Current =
        co_await config::readManifest(*Run.Store, Run.storeDeadline());
    if (!Current)
      co_return reportReadFailure(Run, Current.error());
    if (!Run.Wanted.BaseIsCurrent &&
        Current->ManifestContent.Version.value() != 0)
      co_return reportWrongUsage(
          Run, "version " +
                   std::to_string(Current->ManifestContent.Version.value()) +
                   " is published: give the version that the files were made "
                   "from as --base");
    Base = Current->ManifestContent.Version;
  }
  const config::PublishRequest Request =
      makeRequest(Run, Base, std::move(Declared.Objects));
  const PublishOutcome Outcome =
      co_await config::publish(*Run.Store, Request, Run.storeDeadline());
  if (!Outcome)
    co_return reportFailure(Run, Outcome.error());
  co_return co_await finishPublish(Run, *Outcome, Request.OperationId);
}

Task<ExitCode> show(Session &Run) {
  const auto Current =
      co_await config::readPublished(*Run.Store, Run.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Run, Current.error());
  const std::uint64_t Version = Current->ManifestContent.Version.value();
  if (!Run.Wanted.Namespace.empty())
    Run.print(config::namespaceToJson(Current->Objects, Run.Wanted.Namespace));
  else if (Run.Wanted.Json)
    Run.print(
        {{"version", Version},
         {"digest", config::formatDigest(config::digestOf(Current->Objects))},
         {"objects", config::toJson(Current->Objects)}});
  else
    Run.Output.Out << "version " << Version << "\n"
                   << objectsToText(Current->Objects);
  co_return ExitCode::Success;
}

Task<ExitCode> history(Session &Run) {
  auto Current = co_await config::readManifest(*Run.Store, Run.storeDeadline());
  if (!Current)
    co_return reportReadFailure(Run, Current.error());
  auto &Audit = Current->ManifestContent.Audit;
  std::reverse(Audit.begin(), Audit.end());
  Audit.resize(std::min(Audit.size(), Run.Wanted.Limit));
  Json Versions = Json::array();
  for (const config::AuditEntry &Entry : Audit) {
    if (Run.Wanted.Json)
      Versions.push_back(config::toJson(Entry));
    else
      Run.Output.Out << auditToText(Entry);
  }
  if (Run.Wanted.Json)
    Run.print({{"versions", std::move(Versions)}});
  co_return ExitCode::Success;
}

//! The object that a drain of this command line changes.
config::ObjectId drainedObject(const Invocation &Wanted) {
  if (Wanted.Target == DrainTarget::BackendServer)
    return {.Kind = "backend_server", .Name = ObjectName(Wanted.Name)};
  return {.Kind = "entry_host_drain",
          .Name = ObjectName(Wanted.Namespace + "/" + Wanted.Name)};
}

//! Changes the drained object; the error says why it cannot be changed.
Expected<void> applyDrain(const Invocation &Wanted, ObjectSet &Objects) {
  const bool Draining = Wanted.Wanted == Command::Drain;
  const config::ObjectId Id = drainedObject(Wanted);
  if (Wanted.Target == DrainTarget::BackendServer) {
    const auto Found = Objects.BackendServers.find(Id.Name);
    if (Found == Objects.BackendServers.end())
      return Unexpected(Error{.Code = ErrorCode::NotFound,
                              .Step = "drain",
                              .Peer = Id.Name.value(),
                              .Message = "no backend_server has this name"});
    Found->second.Draining = Draining;
    return {};
  }
  const EntryHostName Host(Wanted.Name);
  // A drain declared in a file may have any name.
  const bool Declared = std::any_of(
      Objects.EntryHostDrains.begin(), Objects.EntryHostDrains.end(),
      [&](const auto &Entry) { return Entry.second.Host == Host; });
  if (!Draining)
    std::erase_if(Objects.EntryHostDrains,
                  [&](const auto &Entry) { return Entry.second.Host == Host; });
  else if (!Declared)
    Objects.EntryHostDrains.insert_or_assign(
        Id.Name, config::EntryHostDrain{.Name = Id.Name, .Host = Host});
  return {};
}

//! Whether a drain that lost against another publication can be made from the
//! new version without setting anything back.
bool canRepeat(const PublishOutcome &Outcome) {
  return !Outcome && Outcome.error().Conflict &&
         Outcome.error().Conflict->BothChanged.empty();
}

Task<ExitCode> drain(Session &Run) {
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Current =
        co_await config::readPublished(*Run.Store, Run.storeDeadline());
    if (!Current)
      co_return reportReadFailure(Run, Current.error());
    const Expected<void> Applied = applyDrain(Run.Wanted, Current->Objects);
    if (!Applied)
      co_return reportFailure(Run, {.Reason = Applied.error()});
    const config::PublishRequest Request = makeRequest(
        Run, Current->ManifestContent.Version, std::move(Current->Objects));
    const PublishOutcome Outcome =
        co_await config::publish(*Run.Store, Request, Run.storeDeadline());
    if (Outcome)
      co_return co_await finishPublish(Run, *Outcome, Request.OperationId);
    if (Attempt == MaxDrainAttempts || !canRepeat(Outcome))
      co_return reportFailure(Run, Outcome.error());
  }
}

Task<ExitCode> status(Session &Run) {
  SurveyOptions Options;
  Options.Hosts = co_await knownHosts(Run);
  Options.Deadline = Clock::now() + Run.Wanted.StoreTimeout;
  const std::function<void(const SurveyResult &)> Ignored =
      [](const SurveyResult &) {};
  const SurveyResult Survey = co_await surveyHosts(std::move(Options), Ignored);
  std::optional<ConfigVersion> Published;
  if (Run.Store) {
    const auto Current =
        co_await config::readManifest(*Run.Store, Run.storeDeadline());
    if (Current)
      Published = Current->ManifestContent.Version;
    else
      Run.Output.Err << "buckthornctl: " << describe(Current.error()) << "\n";
  }
  if (Run.Wanted.Json) {
    Json Result = hostsToJson(Survey);
    Result["version"] = Published ? Json(Published->value()) : Json();
    Run.print(Result);
  } else {
    if (Published)
      Run.Output.Out << "published version " << Published->value() << "\n";
    Run.Output.Out << hostsToText(Survey);
  }
  co_return !Published && Survey.Heard.empty() ? ExitCode::Unavailable
                                               : ExitCode::Success;
}

Task<ExitCode> dispatch(Session &Run) {
  switch (Run.Wanted.Wanted) {
  case Command::Help:
    Run.Output.Out << usage();
    co_return ExitCode::Success;
  case Command::Version:
    Run.Output.Out << "buckthornctl " << BUCKTHORNDECK_VERSION << "\n";
    co_return ExitCode::Success;
  case Command::Check:
    co_return check(Run);
  case Command::Diff:
    co_return co_await diff(Run);
  case Command::Publish:
    co_return co_await publish(Run);
  case Command::Show:
    co_return co_await show(Run);
  case Command::History:
    co_return co_await history(Run);
  case Command::Drain:
  case Command::Undrain:
    co_return co_await drain(Run);
  case Command::Status:
    co_return co_await status(Run);
  }
  co_return ExitCode::WrongUsage;
}

} // namespace

Task<ExitCode> runCommand(Invocation Wanted, Streams Output) {
  Session Run{.Wanted = std::move(Wanted), .Output = Output};
  if (Run.Wanted.Store) {
    config::StoreClientOptions Options{.Address = *Run.Wanted.Store};
    // Two operators that failed together must not retry in step.
    Options.RandomSeed = std::random_device()();
    Run.Store = std::make_unique<StoreClient>(Options);
  }
  co_return co_await dispatch(Run);
}

} // namespace buckthorndeck::operators
