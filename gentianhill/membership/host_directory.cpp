#include "gentianhill/membership/host_directory.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array state_names{
    std::pair{daemon_state::live, std::string_view{"live"}},
    std::pair{daemon_state::draining, std::string_view{"draining"}},
    std::pair{daemon_state::leaving, std::string_view{"leaving"}},
    std::pair{daemon_state::silent, std::string_view{"silent"}},
};

} // namespace

std::string_view to_string(daemon_state state) {
    for (const std::pair<daemon_state, std::string_view>& entry : state_names) {
        if (entry.first == state) {
            return entry.second;
        }
    }
    return "unexpected";
}

host_directory::host_directory(const host_directory_settings& settings) : settings_(settings) {}

bool host_directory::apply_list(const std::vector<listed_host>& hosts, std::uint64_t revision, time_point now,
                                std::uint64_t era) {
    // An outdated list must not mark a leaving host as live again.
    if (list_applied_at_ && std::pair{era, revision} < std::pair{list_era_, list_revision_}) {
        return false;
    }
    list_era_ = era;
    list_revision_ = revision;
    list_applied_at_ = now;
    std::set<std::string> listed;
    for (const listed_host& host : hosts) {
        listed.insert(host.name);
        if (host.role == host_role::entry_host) {
            apply_listed_daemon(host);
        } else {
            servers_[host.name].listed = host;
        }
    }
    for (std::pair<const std::string, daemon_record>& entry : daemons_) {
        if (listed.count(entry.first) == 0) {
            entry.second.listed.reset();
        }
    }
    for (std::pair<const std::string, server_record>& entry : servers_) {
        if (listed.count(entry.first) == 0) {
            entry.second.listed.reset();
        }
    }
    remove_expired(now);
    return true;
}

void host_directory::apply_listed_daemon(const listed_host& host) {
    daemon_record& record = daemons_[host.name];
    const bool was_leaving = record.listed && record.listed->state == host_state::leaving;
    if (host.state == host_state::leaving && !was_leaving) {
        record.leaving_incarnation = record.incarnation;
    }
    record.listed = host;
    record.zone = host.zone;
}

membership_event host_directory::record_message(const daemon_announcement& announcement, time_point now) {
    daemon_record& record = daemons_[announcement.daemon];
    if (announcement.incarnation < record.incarnation) {
        return membership_event::none;
    }
    const bool is_first = !record.last_heard_at;
    const bool is_restart = !is_first && announcement.incarnation > record.incarnation;
    const bool was_draining = record.draining;
    const bool was_silent = is_silent(record, now);
    record.last_heard_at = now;
    record.zone = announcement.zone;
    record.incarnation = announcement.incarnation;
    record.draining = announcement.draining;
    if (!announcement.draining) {
        // The announcement of the daemon itself supersedes an earlier refusal.
        record.last_refused_at.reset();
    }
    if (is_first) {
        return membership_event::joined;
    }
    if (is_restart) {
        return membership_event::restarted;
    }
    if (announcement.draining != was_draining) {
        return announcement.draining ? membership_event::draining : membership_event::returned;
    }
    return was_silent ? membership_event::returned : membership_event::none;
}

void host_directory::record_daemon_refusal(const std::string& daemon, time_point now) {
    daemons_[daemon].last_refused_at = now;
}

void host_directory::record_server_refusal(const std::string& server, time_point now) {
    servers_[server].last_refused_at = now;
}

void host_directory::clear_server_refusal(const std::string& server) {
    const std::map<std::string, server_record>::iterator found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.last_refused_at.reset();
    }
}

void host_directory::expect_heartbeats(const std::set<std::string>& daemons, time_point now) {
    for (std::pair<const std::string, daemon_record>& entry : daemons_) {
        if (daemons.count(entry.first) == 0) {
            entry.second.expected_since.reset();
        }
    }
    for (const std::string& name : daemons) {
        daemon_record& record = daemons_[name];
        if (!record.expected_since) {
            record.expected_since = now;
        }
    }
}

std::optional<daemon_view> host_directory::find_daemon(const std::string& name, time_point now) const {
    const std::map<std::string, daemon_record>::const_iterator found = daemons_.find(name);
    if (found == daemons_.end() || !is_known(found->second, now)) {
        return std::nullopt;
    }
    return view_of(name, found->second, now);
}

std::vector<daemon_view> host_directory::daemons(time_point now) const {
    std::vector<daemon_view> views;
    for (const std::pair<const std::string, daemon_record>& entry : daemons_) {
        if (is_known(entry.second, now)) {
            views.push_back(view_of(entry.first, entry.second, now));
        }
    }
    return views;
}

std::vector<daemon_view> host_directory::live_daemons(time_point now) const {
    std::vector<daemon_view> views = daemons(now);
    views.erase(std::remove_if(views.begin(), views.end(),
                               [](const daemon_view& view) { return view.state != daemon_state::live; }),
                views.end());
    return views;
}

std::vector<server_view> host_directory::servers(time_point now) const {
    std::vector<server_view> views;
    for (const std::pair<const std::string, server_record>& entry : servers_) {
        server_view view;
        view.name = entry.first;
        if (entry.second.listed) {
            view.zone = entry.second.listed->zone;
            view.address = entry.second.listed->address;
        }
        view.leaving = is_leaving(entry.second, now);
        views.push_back(std::move(view));
    }
    return views;
}

std::set<std::string> host_directory::excluded_servers(time_point now) const {
    std::set<std::string> names;
    for (const std::pair<const std::string, server_record>& entry : servers_) {
        if (is_leaving(entry.second, now)) {
            names.insert(entry.first);
        }
    }
    return names;
}

bool host_directory::accepts_new_work(const std::string& server, time_point now) const {
    const std::map<std::string, server_record>::const_iterator found = servers_.find(server);
    return found == servers_.end() || !is_leaving(found->second, now);
}

bool host_directory::is_list_stale(time_point now) const {
    return !list_applied_at_ || now - *list_applied_at_ > settings_.list_age_limit;
}

std::optional<duration> host_directory::list_age(time_point now) const {
    return list_applied_at_ ? std::optional<duration>{now - *list_applied_at_} : std::nullopt;
}

bool host_directory::is_fresh(const std::optional<time_point>& evidence_at, time_point now) const {
    return evidence_at && now - *evidence_at <= settings_.direct_evidence_lifetime;
}

bool host_directory::is_known(const daemon_record& record, time_point now) const {
    return record.listed || is_fresh(record.last_heard_at, now) || is_fresh(record.last_refused_at, now);
}

bool host_directory::is_silent(const daemon_record& record, time_point now) const {
    if (!record.expected_since) {
        return false;
    }
    const time_point since =
        std::max(*record.expected_since, record.last_heard_at.value_or(*record.expected_since));
    return now - since > settings_.silence_limit;
}

bool host_directory::is_leaving(const server_record& record, time_point now) const {
    // Either source suffices: avoiding a healthy server only costs capacity, but new work on a leaving one is
    // lost.
    const bool is_listed_leaving = record.listed && record.listed->state == host_state::leaving;
    return is_listed_leaving || is_fresh(record.last_refused_at, now);
}

daemon_state host_directory::state_of(const daemon_record& record, time_point now) const {
    const bool is_heard = is_fresh(record.last_heard_at, now);
    if ((is_heard && record.draining) || is_fresh(record.last_refused_at, now)) {
        return daemon_state::draining;
    }
    if (record.listed && record.listed->state == host_state::leaving) {
        // A message from a later incarnation shows that the host was replaced and the list lags behind.
        const bool is_replaced =
            is_heard && record.leaving_incarnation != 0 && record.incarnation > record.leaving_incarnation;
        if (!is_replaced) {
            return daemon_state::leaving;
        }
    }
    return is_silent(record, now) ? daemon_state::silent : daemon_state::live;
}

daemon_view host_directory::view_of(const std::string& name, const daemon_record& record,
                                    time_point now) const {
    daemon_view view;
    view.name = name;
    view.zone = record.zone;
    view.address = record.listed ? record.listed->address : std::string{};
    view.incarnation = record.incarnation;
    if (record.last_heard_at) {
        view.last_heard_age = now - *record.last_heard_at;
    }
    view.state = state_of(record, now);
    return view;
}

void host_directory::remove_expired(time_point now) {
    for (std::map<std::string, daemon_record>::iterator entry = daemons_.begin(); entry != daemons_.end();) {
        const bool is_needed = is_known(entry->second, now) || entry->second.expected_since;
        entry = is_needed ? std::next(entry) : daemons_.erase(entry);
    }
    for (std::map<std::string, server_record>::iterator entry = servers_.begin(); entry != servers_.end();) {
        const bool is_needed = entry->second.listed || is_fresh(entry->second.last_refused_at, now);
        entry = is_needed ? std::next(entry) : servers_.erase(entry);
    }
}

} // namespace gentianhill
