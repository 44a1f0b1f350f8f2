#ifndef BUCKTHORNDECK_OPERATOR_REPORT_H
#define BUCKTHORNDECK_OPERATOR_REPORT_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Changes.h"
#include "buckthorndeck/config/ObjectFiles.h"
#include "buckthorndeck/config/PublishedReader.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/operator/HostSurvey.h"

#include <optional>
#include <string>
#include <vector>

//! Text and JSON output of the commands.
namespace buckthorndeck::operators {

//! Each error as {"file", "object", "field", "message"}.
Json declarationErrorsToJson(const std::vector<config::ConfigError> &Errors);

//! One line per change, followed by the changed fields of a changed object.
std::string changesToText(const config::ObjectSet &Before,
                          const config::ObjectSet &After);
Json changesToJson(const std::vector<config::ObjectChange> &Changes);

//! One line per object, ordered by kind and name.
std::string objectsToText(const config::ObjectSet &Objects);

std::string auditToText(const config::AuditEntry &Entry);

//! {"code", "message"} and, for a conflict, "winner" and "both_changed".
Json failureToJson(const config::PublishFailure &Failure);

//! {"in_force", "behind", "not_heard"}: hosts that have Version or a later one
//! in force, hosts that have an older one, and hosts that did not answer.
Json rolloutToJson(const SurveyResult &Survey, ConfigVersion Version);

//! One line for each host that has an older version or did not answer.
std::string rolloutToText(const SurveyResult &Survey, ConfigVersion Version);

//! Status of the hosts, and version and evacuations published; Published is
//! empty if the store did not answer.
std::string statusToText(const SurveyResult &Survey,
                         const std::optional<config::PublishedSet> &Published);
Json statusToJson(const SurveyResult &Survey,
                  const std::optional<config::PublishedSet> &Published);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_REPORT_H
