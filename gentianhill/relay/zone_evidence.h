#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/relay/daemon_directory.h"
#include "gentianhill/relay/relay_messages.h"
#include "gentianhill/relay/relay_port.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Timing of requests for evidence.
struct zone_evidence_settings {
    /// Longest wait for an answer. The instances are asked directly afterwards, so it is a small part of the
    /// latency that a statement may have.
    duration timeout = std::chrono::milliseconds(60);
    /// Time for which a daemon that did not answer is left alone.
    duration pause = std::chrono::milliseconds(1000);
};

/// Requests evidence about groups from the daemons of the own zone that collect it: for each group the first
/// live one in the rendezvous order, which is the same on all daemons of the zone.
class zone_evidence {
public:
    using answer_handler =
        std::function<void(const std::optional<evidence_answer>& answer, time_point asked_at)>;

    /// `directory`, `port` and `log` must outlive the object.
    zone_evidence(const zone_evidence_settings& settings, const daemon_directory& directory, relay_port& port,
                  logger& log, metrics& registry);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;

    /// Requests evidence. Returns false if this daemon is the one that collects it, or no other answers;
    /// otherwise `done` is called once, not from within this call.
    [[nodiscard]] bool ask(const std::string& group, const evidence_need& need, answer_handler done);
    /// Daemon that collects the evidence about a group at present; the own name if it is this one.
    [[nodiscard]] std::string source_of(const std::string& group) const;

private:
    void on_answer(const std::string& source, const std::optional<nlohmann::json>& message,
                   const error& reason, time_point asked_at, const answer_handler& done);

    zone_evidence_settings settings_;
    const daemon_directory& directory_;
    relay_port& port_;
    logger& log_;
    counter& asked_;
    counter& failed_;
    /// Daemons that did not answer, and until when they are left alone.
    std::map<std::string, time_point> paused_until_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
