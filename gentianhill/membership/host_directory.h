#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/membership/listed_host.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Periods after which evidence about hosts expires.
struct host_directory_settings {
    /// A daemon that is expected to send heartbeats counts as silent when none arrived for this long.
    duration silence_limit = std::chrono::seconds{3};
    /// A heartbeat or notice received directly takes precedence over a list that contradicts it for this
    /// long.
    duration direct_evidence_lifetime = std::chrono::seconds{60};
    /// The list is reported as stale when its last confirmation is older; its entries stay in use.
    duration list_age_limit = std::chrono::seconds{30};
};

/// What a daemon says about itself in each message.
struct daemon_announcement {
    /// Name, equal to the name of its entry host.
    std::string daemon;
    /// Availability zone.
    std::string zone;
    /// Rises with each start of the process.
    std::uint64_t incarnation = 0;
    /// True once it takes no new work.
    bool draining = false;
};

/// Why a daemon counts as live or not.
enum class daemon_state : std::uint8_t { live, draining, leaving, silent };

/// Name of a state for operators.
[[nodiscard]] std::string_view to_string(daemon_state state);

/// One daemon as the directory sees it.
struct daemon_view {
    /// Name and availability zone.
    std::string name;
    std::string zone;
    /// Peer endpoint as "address:port"; empty when only heartbeats are known.
    std::string address;
    /// Highest incarnation heard directly; 0 when never heard.
    std::uint64_t incarnation = 0;
    /// Time since the last message received directly; nothing when never heard.
    std::optional<duration> last_heard_age;
    /// Combined state.
    daemon_state state = daemon_state::live;
};

/// One backend server as the directory sees it.
struct server_view {
    /// Name, availability zone and address.
    std::string name;
    std::string zone;
    std::string address;
    /// True when it must get no new work.
    bool leaving = false;
};

/// Kind of a change that a notice made.
enum class membership_event : std::uint8_t { none, joined, restarted, draining, returned };

/// Merges the platform's lagging list with heartbeats and refusals seen directly. Pure; a notice that a host
/// is leaving takes effect at once, and a list that is old or unavailable never removes a host.
class host_directory {
public:
    explicit host_directory(const host_directory_settings& settings);

    /// Applies a list of the platform. A list with a lower revision than an applied one is ignored;
    /// returns whether it was applied.
    bool apply_list(const std::vector<listed_host>& hosts, std::uint64_t revision, time_point now);
    /// Records a message received directly from a daemon. A message of an earlier incarnation is ignored.
    membership_event record_message(const daemon_announcement& notice, time_point now);
    /// Records that a daemon refused work because it drains.
    void note_daemon_refused(const std::string& daemon, time_point now);
    /// Records that an instance on this backend server answered `leaving`.
    void note_server_refused(const std::string& server, time_point now);
    /// Records that an instance on this backend server reported that it is not leaving; ends an earlier
    /// refusal, but not a notice in the platform's list.
    void note_server_accepted(const std::string& server);
    /// Sets the daemons that are expected to send heartbeats; the silence of others means nothing.
    void expect_heartbeats(const std::set<std::string>& daemons, time_point now);

    /// State of one daemon; nothing when it is neither listed nor heard.
    [[nodiscard]] std::optional<daemon_view> find_daemon(const std::string& name, time_point now) const;
    /// All known daemons by name.
    [[nodiscard]] std::vector<daemon_view> daemons(time_point now) const;
    /// Daemons that may coordinate and be asked, by name.
    [[nodiscard]] std::vector<daemon_view> live_daemons(time_point now) const;
    /// All known backend servers by name.
    [[nodiscard]] std::vector<server_view> servers(time_point now) const;
    /// Backend servers that must get no new work.
    [[nodiscard]] std::set<std::string> servers_without_new_work(time_point now) const;
    /// False when the server must get no new work; true for servers that are not known.
    [[nodiscard]] bool may_get_new_work(const std::string& server, time_point now) const;
    /// True when the list was never applied or is older than the limit.
    [[nodiscard]] bool is_list_stale(time_point now) const;
    /// Time since the list was last confirmed; nothing when it never was.
    [[nodiscard]] std::optional<duration> list_age(time_point now) const;

private:
    struct daemon_record {
        std::optional<listed_host> listed;
        std::optional<time_point> heard_at;
        std::optional<time_point> expected_since;
        std::optional<time_point> refused_at;
        std::string zone;
        std::uint64_t incarnation = 0;
        /// Incarnation known when the list began to show the host as leaving; a later one has replaced it.
        std::uint64_t leaving_incarnation = 0;
        bool draining = false;
    };
    struct server_record {
        std::optional<listed_host> listed;
        std::optional<time_point> refused_at;
    };

    [[nodiscard]] bool is_recent(const std::optional<time_point>& moment, time_point now) const;
    [[nodiscard]] bool is_known(const daemon_record& record, time_point now) const;
    [[nodiscard]] bool is_silent(const daemon_record& record, time_point now) const;
    void apply_daemon(const listed_host& host);
    [[nodiscard]] bool is_leaving(const server_record& record, time_point now) const;
    [[nodiscard]] daemon_state state_of(const daemon_record& record, time_point now) const;
    [[nodiscard]] daemon_view view_of(const std::string& name, const daemon_record& record,
                                      time_point now) const;
    void forget_expired(time_point now);

    host_directory_settings settings_;
    std::map<std::string, daemon_record> daemons_;
    std::map<std::string, server_record> servers_;
    std::uint64_t list_revision_ = 0;
    std::optional<time_point> list_applied_at_;
};

} // namespace gentianhill
