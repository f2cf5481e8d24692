#pragma once

#include "gentianhill/consistency/group_configuration.h"
#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/consistency/position_tracker.h"
#include "gentianhill/consistency/staleness_tracker.h"
#include "gentianhill/core/error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace gentianhill {

/// State of a database group as known to this daemon, from its own reports and those relayed by peers.
///
/// Daemons exchange reports with ages because their clocks are not synchronized. A peer computes the ages
/// after it has received the request of this daemon, so `asked_at - age` is never later than the time at
/// which the peer sent its own request to the instance. The arrival time of the view is not used: it would
/// make a report look newer by the network delay, and a superseded primary look current. An unsolicited view
/// has no such bound: its reports are used for terms, positions and confirmation, which do not depend on
/// time, and never for ages, admission or reachability. Clocks of daemons are assumed to run at the same
/// rate.
class group_view {
public:
    group_view(const group_configuration& configuration, const position_tracker_settings& positions,
               const staleness_tracker_settings& staleness);

    /// Applies a report that this daemon received from the instance itself.
    void apply(const instance_report& report);
    /// Applies the reports of a peer's view. `asked_at` is when this daemon sent the request that the view
    /// answers; nullopt for an unsolicited view. Reports of unknown instances are skipped. Returns false and
    /// changes nothing on a malformed view. Errors: those of object_reader; unknown_group for another group.
    bool merge(const nlohmann::json& view, std::optional<time_point> asked_at, time_point now, error& reason);
    /// JSON form of the latest reports of all instances, with their ages at `now`.
    [[nodiscard]] nlohmann::json to_json(time_point now) const;

    [[nodiscard]] const group_configuration& configuration() const { return configuration_; }
    [[nodiscard]] const position_tracker& positions() const { return positions_; }
    [[nodiscard]] position_tracker& positions() { return positions_; }
    [[nodiscard]] const staleness_tracker& staleness() const { return staleness_; }
    /// Upper bound of the age of the data at a log position; nullopt when unknown.
    [[nodiscard]] std::optional<duration> age(log_position position, time_point now) const;

private:
    void update_staleness(const instance_report& report);

    group_configuration configuration_;
    position_tracker positions_;
    staleness_tracker staleness_;
};

/// JSON form of a report as exchanged between daemons, with its age in microseconds when it is known.
[[nodiscard]] nlohmann::json to_json(const instance_report& report, time_point now);
/// Parses a report from its JSON form; `path` identifies it in errors. requested_at is set to `asked_at`
/// minus the age, or to time_point::min() when either is missing. Errors: those of object_reader.
[[nodiscard]] std::optional<instance_report> report_from_json(const nlohmann::json& value,
                                                              const std::string& path,
                                                              std::optional<time_point> asked_at,
                                                              error& reason);

} // namespace gentianhill
