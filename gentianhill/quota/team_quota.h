#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/quota/allocator_claim.h"
#include "gentianhill/quota/grant_holder.h"
#include "gentianhill/quota/quota_port.h"
#include "gentianhill/quota/quota_settings.h"
#include "gentianhill/quota/share_ledger.h"
#include "gentianhill/quota/zone_counter.h"
#include "gentianhill/relay/daemon_directory.h"
#include "gentianhill/relay/relay_port.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Keeps the limits of teams over all daemons. Each daemon has three roles:
/// - it admits the operations of its clients with tokens that it holds;
/// - for some teams it may be the counter of its zone, which gives tokens out of leased shares;
/// - one daemon of the deployment, which holds a claim in the metadata store, leases the shares.
/// Passes the messages between them on and logs their decisions; docs/design/quotas.md explains the protocol.
class team_quota {
public:
    /// All references must outlive the object. `started_at` is of the clock `now`.
    team_quota(const quota_settings& settings, const daemon_directory& directory, relay_port& port,
               metadata_store& store, logger& log, metrics& registry, std::string incarnation,
               time_point started_at);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    std::function<void(duration delay, std::function<void()> action)> call_after;
    /// Limit of a team by the configuration in effect; nothing for one without a limit or that is not
    /// configured.
    std::function<std::optional<team_rate>(const std::string& team)> find_limit;
    /// True when the configuration in effect limits some team.
    std::function<bool()> has_limits;

    /// Returns the decision about operations; empty when the settings keep no limits.
    [[nodiscard]] quota_port make_port();
    /// Answers a request of another daemon.
    void on_request(relay_request_kind kind, const nlohmann::json& message,
                    const relay_answer_handler& respond);
    /// Asks and renews what is due; call it periodically.
    void tick();
    /// Gives up the claim and the shares of this daemon, for a planned stop. Operations of its clients are
    /// still admitted by other counters.
    void stop();

    /// True while this daemon leases shares.
    [[nodiscard]] bool is_allocating() const { return claim_.may_act(); }
    /// Counter of a team in the own zone at present; the own name if it is this daemon.
    [[nodiscard]] std::string counter_of(const std::string& team) const;

private:
    /// Refused operations of a team that have not been logged yet.
    struct refusal_record {
        time_point logged_at;
        std::uint64_t count = 0;
        quota_refusal reason = quota_refusal::none;
    };

    void admit(const std::shared_ptr<const team>& caller, const std::function<void(bool)>& done);
    void count(const std::string& team, quota_refusal refusal);
    void log_refusals();
    void schedule_waits();

    void ask_counter(const tokens_request& request);
    void on_tokens_message(const std::string& counter, const std::string& team, time_point asked_at,
                           const std::optional<nlohmann::json>& message, const error& reason);
    void on_tokens_request(const nlohmann::json& message, const relay_answer_handler& respond);

    void ask_allocator_if_due();
    void ask_allocator();
    [[nodiscard]] std::string choose_allocator() const;
    void on_shares_message(const std::string& allocator, std::uint64_t number, time_point asked_at,
                           const std::optional<nlohmann::json>& message, const error& reason);
    void on_shares_answer(const shares_answer& answer, time_point asked_at);
    void on_shares_request(const nlohmann::json& message, const relay_answer_handler& respond);
    [[nodiscard]] std::optional<shares_answer> answer_shares(const shares_request& request, error& reason);

    void on_holdings_request(const nlohmann::json& message, const relay_answer_handler& respond);
    void ask_holdings(const std::string& daemon, const holdings_request& request,
                      const std::function<void(const holdings_answer&)>& done);
    void begin_allocation(const std::set<share_holder>& former_holders, bool is_complete);
    void ask_unreported();
    [[nodiscard]] std::set<share_holder> recorded_holders();

    void claim_at_start();
    [[nodiscard]] bool is_paused(const std::string& daemon) const;
    void pause(const std::string& daemon, duration length);
    [[nodiscard]] std::optional<quota_share> whole(const std::string& team) const;

    quota_settings settings_;
    const daemon_directory& directory_;
    relay_port& port_;
    logger& log_;
    std::string incarnation_;
    time_point started_at_;
    grant_holder grants_;
    zone_counter counter_;
    allocator_claim claim_;
    share_ledger ledger_;

    /// Daemons that did not answer, and until when they are left alone.
    std::map<std::string, time_point> paused_until_;
    /// Daemon that allocates, as far as known.
    std::optional<std::string> allocator_;
    std::uint64_t open_request_ = 0;
    time_point next_allocator_request_;
    /// Holders that are to be recorded in the claim.
    std::map<share_holder, time_point> awaiting_record_;
    time_point next_holdings_request_;
    time_point last_shares_request_;
    bool claimed_at_start_ = false;
    bool stopped_ = false;
    std::optional<time_point> wake_at_;
    std::map<std::string, refusal_record> refusals_;

    counter& admitted_;
    std::map<quota_refusal, counter*> refused_;
    counter& tokens_asked_;
    counter& tokens_failed_;
    counter& shares_asked_;
    counter& shares_failed_;
    counter& shares_answered_;
    counter& messages_refused_;
    gauge& tokens_held_;
    gauge& waiting_;
    gauge& teams_counted_;
    gauge& allocating_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
