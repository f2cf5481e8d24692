#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/quota/demand_rate.h"
#include "gentianhill/quota/quota_messages.h"
#include "gentianhill/quota/quota_settings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Why an operation was not admitted.
enum class quota_refusal : std::uint8_t {
    none,
    /// The team has reached its limit, or the part of it that this zone has at present.
    exhausted,
    /// No counter that answers has a share of the limit.
    unassigned,
};

/// Returns the name of a refusal for logs and metrics.
[[nodiscard]] std::string_view to_string(quota_refusal refusal);

/// Tokens of this daemon by team, and the operations that wait for some. An operation that finds a token
/// starts at once; otherwise the counter of the zone is asked, once for all that wait. Operations that wait
/// are bounded by what arrives within their longest wait.
class grant_holder {
public:
    using decision_handler = std::function<void(quota_refusal)>;

    explicit grant_holder(const quota_settings& settings) : settings_(settings) {}

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    /// Sends a request to the counter of a team; its result is passed to `on_answer`, never from within the
    /// call. Must be set.
    std::function<void(const tokens_request& request)> ask;

    /// Decides about one operation; `done` is called once, possibly from within the call.
    void admit(const std::string& team, decision_handler done);
    /// Applies the result of a request that was sent at `asked_at`; nothing when no valid answer arrived.
    void on_answer(const std::string& team, time_point asked_at, const std::optional<tokens_answer>& answer);
    /// Repeats requests and ends waits that are due; call it often.
    void tick();
    /// Time of the next action of `tick`; nothing when no operation waits.
    [[nodiscard]] std::optional<time_point> next_action() const;
    /// Refuses all operations that wait.
    void refuse_all();

    /// Number of tokens that can be used at present.
    [[nodiscard]] std::int64_t tokens() const;
    /// Number of operations that wait.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct grant {
        time_point ends_at;
        std::int64_t tokens = 0;
    };
    struct waiting_operation {
        time_point since;
        decision_handler done;
    };
    struct team_state {
        std::deque<grant> grants;
        std::deque<waiting_operation> waiting;
        demand_rate arrivals;
        demand_rate granted;
        /// Operations that arrived since the last request.
        std::int64_t unreported = 0;
        bool is_asking = false;
        /// The next request is not sent before.
        time_point ask_at;
        /// Result of the last request, and how often in a row no token was given.
        quota_refusal last_refusal = quota_refusal::none;
        unsigned failures = 0;
    };

    void expire(team_state& state) const;
    [[nodiscard]] static std::int64_t count(const team_state& state);
    [[nodiscard]] bool use_token(team_state& state) const;
    [[nodiscard]] bool may_wait(const team_state& state) const;
    [[nodiscard]] duration longest_wait(const team_state& state) const;
    /// Tokens wanted beyond those for the operations that wait.
    [[nodiscard]] std::int64_t spare_wanted(const team_state& state) const;
    void ask_if_needed(const std::string& team, team_state& state);
    void serve_waiting(const std::string& team);
    void refuse_late(const std::string& team);

    quota_settings settings_;
    std::map<std::string, team_state, std::less<>> teams_;
};

} // namespace gentianhill
