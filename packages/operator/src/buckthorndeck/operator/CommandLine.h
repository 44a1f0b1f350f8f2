#ifndef BUCKTHORNDECK_OPERATOR_COMMANDLINE_H
#define BUCKTHORNDECK_OPERATOR_COMMANDLINE_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/base/Ids.h"
#include "buckthorndeck/net/Endpoint.h"
#include "buckthorndeck/net/Task.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthorndeck::operators {

//! Exit codes of buckthornctl, listed in its help text.
enum class ExitCode : int {
  Success = 0,
  InvalidInput = 1,   //!< A declared object or a given name is invalid.
  WrongUsage = 2,     //!< Invalid arguments or settings.
  Unavailable = 3,    //!< The store did not answer; nothing was changed.
  Conflict = 4,       //!< Another operator published first.
  UnknownOutcome = 5, //!< The change may or may not have been published.
  NotInForce = 6,     //!< Published; a host that answered has an older one.
};

enum class Command {
  Help,
  Version,
  Check,
  Diff,
  Publish,
  Show,
  History,
  Drain,
  Undrain,
  Evacuate,
  Restore,
  Status,
  Explain,
};

//! Kind of object that drain and undrain apply to.
enum class DrainTarget { BackendServer, EntryHost };

//! A checked command line, combined with the settings file.
struct Invocation {
  Command Action = Command::Help;
  bool Json = false;
  std::vector<std::string> Paths;
  std::optional<TcpEndpoint> Store;
  std::string Author;
  Milliseconds StoreTimeout{10'000};
  Milliseconds Wait{10'000}; //!< For a version to be in force on all hosts.
  std::vector<TcpEndpoint> Hosts; //!< Sync addresses of entry hosts.
  std::optional<ConfigVersion> Base;
  bool BaseIsCurrent = false; //!< Base was given as "current".
  std::string Namespace;
  DrainTarget Target = DrainTarget::BackendServer;
  std::string Name;       //!< Server, host, failure domain or service.
  std::size_t Limit = 20; //!< Number of versions that history prints.
};

//! The text of --help.
const char *usage();

//! Parses arguments, without the program's name, and reads the settings file.
//! The error is the message for the user.
tl::expected<Invocation, std::string>
parseCommandLine(const std::vector<std::string> &Arguments);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_COMMANDLINE_H
