#include "gentianhill/consistency/group_view.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

constexpr std::int64_t max_number = INT64_MAX;
// Reports older than this are sent without an age.
constexpr duration max_report_age = std::chrono::hours{24};

std::vector<std::string> instance_names(const group_configuration& configuration) {
    std::vector<std::string> names;
    names.reserve(configuration.instances.size());
    for (const instance_configuration& instance : configuration.instances) {
        names.push_back(instance.name);
    }
    return names;
}

} // namespace

nlohmann::json to_json(const instance_report& report, time_point now) {
    nlohmann::json value{{"instance", report.instance},        {"accepted_term", report.accepted_term},
                         {"log_term", report.last_entry.term}, {"position", report.last_entry.position},
                         {"term_start", report.term_start},    {"is_primary", report.is_primary},
                         {"initialised", report.initialised},  {"leaving", report.leaving}};
    if (!report.primary.empty()) {
        value["primary"] = report.primary;
    }
    if (!report.state_id.empty()) {
        value["state_id"] = report.state_id;
    }
    if (report.requested_at != time_point::min() && now - report.requested_at <= max_report_age) {
        value["age_us"] = std::max(duration::zero(), now - report.requested_at).count();
    }
    return value;
}

std::optional<instance_report> report_from_json(const nlohmann::json& value, const std::string& path,
                                                std::optional<time_point> asked_at, error& reason) {
    object_reader reader{value, path, reason};
    instance_report report;
    report.instance = reader.text("instance");
    report.accepted_term = static_cast<term_number>(reader.integer("accepted_term", 0, max_number));
    report.last_entry.term = static_cast<term_number>(reader.integer("log_term", 0, max_number));
    report.last_entry.position = static_cast<std::uint64_t>(reader.integer("position", 0, max_number));
    report.term_start = static_cast<std::uint64_t>(reader.integer("term_start", 0, max_number));
    report.is_primary = reader.boolean("is_primary", false);
    report.initialised = reader.boolean("initialised", false);
    report.leaving = reader.boolean("leaving", false);
    report.primary = reader.optional_text("primary").value_or("");
    report.state_id = reader.optional_text("state_id").value_or("");
    const std::optional<std::int64_t> age = reader.optional_integer("age_us", 0, max_report_age.count());
    if (!reader.finish()) {
        return std::nullopt;
    }
    report.requested_at = asked_at && age ? *asked_at - duration{*age} : time_point::min();
    return report;
}

group_view::group_view(const group_configuration& configuration, const position_tracker_settings& positions,
                       const staleness_tracker_settings& staleness)
    : configuration_(configuration),
      positions_(instance_names(configuration), positions),
      staleness_(staleness) {}

void group_view::apply(const instance_report& report) {
    positions_.apply(report);
    update_staleness(report);
}

void group_view::update_staleness(const instance_report& report) {
    if (report.requested_at == time_point::min() || !report.initialised) {
        return;
    }
    // When the request was sent, the log of the primary ended at or before the reported position.
    if (report.is_primary && report.last_entry.term == report.accepted_term) {
        staleness_.add_sample(report.last_entry, report.requested_at);
    }
    const std::optional<time_point> seen_at = positions_.majority_seen_at(report.accepted_term);
    if (seen_at) {
        staleness_.set_majority_seen(report.accepted_term, *seen_at);
    }
}

bool group_view::merge(const nlohmann::json& view, std::optional<time_point> asked_at, time_point now,
                       error& reason) {
    // All reports are parsed before any is applied, so that a malformed view changes nothing.
    object_reader reader{view, "view", reason};
    const std::string group = reader.text("group");
    const nlohmann::json& listed = reader.array("reports");
    if (!reader.finish()) {
        return false;
    }
    if (group != configuration_.name) {
        reader.fail(error_code::unknown_group, "group", group, configuration_.name);
        return false;
    }
    std::vector<instance_report> reports;
    for (std::size_t index = 0; index < listed.size(); ++index) {
        std::optional<instance_report> report =
            report_from_json(listed[index], fmt::format("view.reports[{}]", index), asked_at, reason);
        if (!report) {
            return false;
        }
        report->received_at = now;
        reports.push_back(std::move(*report));
    }

    for (const instance_report& report : reports) {
        if (configuration_.find(report.instance) != nullptr) {
            positions_.apply_relayed(report);
            update_staleness(report);
        }
    }
    return true;
}

nlohmann::json group_view::to_json(time_point now) const {
    nlohmann::json reports = nlohmann::json::array();
    for (const instance_configuration& instance : configuration_.instances) {
        const instance_report* report = positions_.report_of(instance.name);
        if (report != nullptr) {
            reports.push_back(gentianhill::to_json(*report, now));
        }
    }
    return nlohmann::json{{"group", configuration_.name}, {"reports", std::move(reports)}};
}

std::optional<duration> group_view::age(log_position position, time_point now) const {
    return staleness_.age(position, now);
}

} // namespace gentianhill
