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

//! Exit codes of buckthornctl; the numbers are documented.
enum class ExitCode : int {
  Success = 0,
  Mistakes = 1,       //!< The declared objects or a name are wrong.
  WrongUsage = 2,     //!< Wrong arguments or settings.
  Unavailable = 3,    //!< The store did not answer; nothing was changed.
  Conflict = 4,       //!< Another operator published first.
  UnknownOutcome = 5, //!< It is not known whether the change was published.
  NotInForce = 6,     //!< Published, but an entry host did not confirm it.
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
  Status,
};

//! What is drained.
enum class DrainTarget { BackendServer, EntryHost };

//! A checked command line, with the settings file merged in.
struct Invocation {
  Command Wanted = Command::Help;
  bool Json = false;
  std::vector<std::string> Paths;
  std::optional<TcpEndpoint> Store;
  std::string Author;
  Milliseconds StoreTimeout{10'000};
  Milliseconds Wait{10'000}; //!< For entry hosts to confirm a version.
  std::vector<TcpEndpoint> Hosts;
  std::optional<ConfigVersion> Base;
  bool BaseIsCurrent = false; //!< Base was given as "current".
  std::string Namespace;
  DrainTarget Target = DrainTarget::BackendServer;
  std::string Name;
  std::size_t Limit = 20; //!< Versions that history prints.
};

//! The text of --help.
const char *usage();

//! Reads arguments, without the program's name, and the settings file. The
//! error is for the user as it stands.
tl::expected<Invocation, std::string>
parseCommandLine(const std::vector<std::string> &Arguments);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_COMMANDLINE_H
