#ifndef BUCKTHORNDECK_OPERATOR_COMMANDS_H
#define BUCKTHORNDECK_OPERATOR_COMMANDS_H

#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/operator/CommandLine.h"

#include <iosfwd>

namespace buckthorndeck::operators {

//! Output streams of a command.
struct Streams {
  std::ostream &Out; //!< For results.
  std::ostream &Err; //!< For errors and progress.
};

//! Executes one command and returns its exit code.
Task<ExitCode> runCommand(Invocation CommandLine, Streams Output);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_COMMANDS_H
