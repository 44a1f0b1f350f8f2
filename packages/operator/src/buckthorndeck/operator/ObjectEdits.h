#ifndef BUCKTHORNDECK_OPERATOR_OBJECTEDITS_H
#define BUCKTHORNDECK_OPERATOR_OBJECTEDITS_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/operator/CommandLine.h"

//! Changes that drain, undrain, evacuate and restore make to the published set.
namespace buckthorndeck::operators {

//! Applies the command to the set; a set that is already as the command wants
//! it stays unchanged. Fails with NotFound or Invalid if a name is wrong, and
//! then leaves the set unchanged. The set still has to be validated.
Expected<void> applyEdit(const Invocation &CommandLine,
                         config::ObjectSet &Objects);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_OBJECTEDITS_H
