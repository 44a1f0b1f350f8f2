#ifndef BUCKTHORNDECK_OPERATOR_COMMANDS_H
#define BUCKTHORNDECK_OPERATOR_COMMANDS_H

#include "buckthorndeck/net/Task.h"
#include "buckthorndeck/operator/CommandLine.h"

#include <iosfwd>

namespace buckthorndeck::operators {

//! Where a command writes.
struct Streams {
  std::ostream &Out; //!< Results.
  std::ostream &Err; //!< Errors and progress.
};

//! Runs one command to its end.
Task<ExitCode> runCommand(Invocation Wanted, Streams Output);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_COMMANDS_H
