#include "gentianhill/relay/zone_evidence.h"

#include <utility>

namespace gentianhill {

zone_evidence::zone_evidence(const zone_evidence_settings& settings, const daemon_directory& directory,
                             relay_port& port, logger& log, metrics& registry)
    : settings_(settings),
      directory_(directory),
      port_(port),
      log_(log),
      asked_(registry.add_counter("gentianhill_evidence_requests_total",
                                  "Requests for evidence to other daemons of the zone.")),
      failed_(registry.add_counter("gentianhill_evidence_requests_failed_total",
                                   "Requests for evidence without a valid answer.")) {}

std::string zone_evidence::source_of(const std::string& group) const {
    const time_point current = now();
    for (const std::string& name : directory_.zone_order(group)) {
        const std::map<std::string, time_point>::const_iterator paused = paused_until_.find(name);
        if (paused == paused_until_.end() || current >= paused->second) {
            return name;
        }
    }
    return directory_.name();
}

bool zone_evidence::ask(const std::string& group, const evidence_need& need, answer_handler done) {
    if (!port_.ask) {
        return false;
    }
    const std::string source = source_of(group);
    const std::optional<endpoint> address = directory_.address_of(source);
    if (source == directory_.name() || !address) {
        return false;
    }
    asked_.add();
    port_.ask(*address, relay_request_kind::evidence,
              evidence_request{directory_.name(), group, need}.to_json(), settings_.timeout,
              [this, source, asked_at = now(), done = std::move(done), alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& message, const error& reason) {
                  if (!alive.expired()) {
                      on_answer(source, message, reason, asked_at, done);
                  }
              });
    return true;
}

void zone_evidence::on_answer(const std::string& source, const std::optional<nlohmann::json>& message,
                              const error& reason, time_point asked_at, const answer_handler& done) {
    error failure = reason;
    std::optional<evidence_answer> answer;
    if (message) {
        answer = evidence_answer::from_json(*message, failure);
    }
    if (answer && answer->daemon != source) {
        failure = error{error_code::mismatched_answer, "daemon", answer->daemon, source};
        answer.reset();
    }
    if (!answer) {
        failed_.add();
        paused_until_[source] = now() + settings_.pause;
        log_.write(log_level::warning, "relay", "evidence_source_failed",
                   {{"source", source}, {"reason", failure.describe()}});
    }
    done(answer, asked_at);
}

} // namespace gentianhill
