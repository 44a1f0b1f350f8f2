#ifndef BUCKTHORNDECK_OPERATOR_REPORT_H
#define BUCKTHORNDECK_OPERATOR_REPORT_H

#include "buckthorndeck/base/Json.h"
#include "buckthorndeck/config/Changes.h"
#include "buckthorndeck/config/ObjectFiles.h"
#include "buckthorndeck/config/Publisher.h"
#include "buckthorndeck/operator/HostSurvey.h"

#include <string>
#include <vector>

//! Text and JSON for what the commands report.
namespace buckthorndeck::operators {

//! Each mistake as {"file", "object", "field", "message"}.
Json mistakesToJson(const std::vector<config::ConfigError> &Mistakes);

//! One line per change; a changed object is followed by its changed fields.
std::string changesToText(const config::ObjectSet &Before,
                          const config::ObjectSet &After);
Json changesToJson(const std::vector<config::ObjectChange> &Changes);

//! One object a line, by kind.
std::string objectsToText(const config::ObjectSet &Objects);

std::string auditToText(const config::AuditEntry &Entry);

//! {"code", "message"} and, for a conflict, "winner" and "both_changed".
Json failureToJson(const config::PublishFailure &Failure);

//! Hosts with Version in force, hosts behind it and hosts not heard from.
Json rolloutToJson(const SurveyResult &Survey, ConfigVersion Version);

std::string hostsToText(const SurveyResult &Survey);
Json hostsToJson(const SurveyResult &Survey);

} // namespace buckthorndeck::operators

#endif // BUCKTHORNDECK_OPERATOR_REPORT_H
