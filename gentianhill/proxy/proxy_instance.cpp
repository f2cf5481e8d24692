#include "gentianhill/proxy/proxy_instance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Assumed latency of an instance that has not answered yet.
constexpr double initial_latency_ms = 10.0;
/// Weight of the newest sample in the moving average.
constexpr double latency_weight = 0.1;
/// Half-life of the estimate without answers, so that an instance that was slow is tried again.
constexpr double latency_half_life_ms = 2000.0;
/// Mean deviations above the mean latency within which about nine of ten statements are answered.
constexpr double slow_deviations = 2.0;
constexpr double microseconds_per_ms = 1000.0;
constexpr double microseconds_per_second = 1'000'000.0;

std::uint64_t next_connection_number() {
    static std::uint64_t last = 0;
    return ++last;
}

concurrency_limit_settings limit_settings(const instance_pool_settings& settings) {
    concurrency_limit_settings limits;
    limits.ceiling = settings.max_in_flight;
    return limits;
}

/// Number that distinguishes statements by their route and kind.
std::int64_t work_of(const pooled_connection& connection, command_kind kind) {
    constexpr std::int64_t kinds = 16;
    return connection.work_kind * kinds + static_cast<std::int64_t>(kind);
}

bool is_statement(command_kind kind) {
    return kind == command_kind::read || kind == command_kind::write || kind == command_kind::execute ||
           kind == command_kind::commit;
}

} // namespace

proxy_instance::proxy_instance(const listed_instance& listed, instance_network& network, logger& log,
                               const instance_pool_settings& settings, std::function<time_point()> clock)
    : listed_(listed),
      network_(network),
      log_(log),
      settings_(settings),
      clock_(std::move(clock)),
      latency_ms_(initial_latency_ms),
      limit_(limit_settings(settings)),
      listed_since_(clock_()),
      last_answer_(listed_since_),
      open_backoff_(settings.min_open_backoff) {}

proxy_instance::~proxy_instance() = default;

void proxy_instance::update(const listed_instance& listed) {
    const bool restarted = listed.address != listed_.address || listed.started_at_ms != listed_.started_at_ms;
    listed_ = listed;
    if (restarted) {
        close_all();
        position_.reset();
        repeats_answers_ = false;
        errors_.reset();
        lag_.reset();
        listed_since_ = now();
    }
}

void proxy_instance::set_limits(const instance_pool_settings& settings) {
    settings_ = settings;
    limit_.set_bounds(1, settings.max_in_flight);
}

void proxy_instance::close_all() {
    while (!connections_.empty()) {
        drop(*connections_.back(), disconnect_reason::closed_locally);
    }
    if (control_) {
        drop(*control_, disconnect_reason::closed_locally);
    }
    if (single_use_) {
        drop(*single_use_, disconnect_reason::closed_locally);
    }
}

std::size_t proxy_instance::in_flight() const {
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(), [](const std::unique_ptr<pooled_connection>& connection) {
            return connection->open_ && connection->has_unanswered();
        }));
}

bool proxy_instance::has_idle(std::string_view team) const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [team](const std::unique_ptr<pooled_connection>& connection) {
                           return connection->open_ && !connection->used_ && !connection->is_resting() &&
                                  connection->team() == team;
                       });
}

pooled_connection* proxy_instance::take(const session_state& session, std::string_view team) {
    if (!has_room()) {
        return nullptr;
    }
    pooled_connection* best = nullptr;
    pooled_connection* after_error = nullptr;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (!connection->open_ || connection->used_ || connection->is_resting() ||
            connection->team() != team) {
            continue;
        }
        if (connection->may_repeat_error()) {
            after_error = connection.get();
            continue;
        }
        best = connection.get();
        if (connection->setup.matches_values(session)) {
            break;
        }
    }
    best = best != nullptr ? best : after_error;
    if (best != nullptr) {
        best->used_ = true;
        best->last_used_ = now();
        best->taken_at_ = best->last_used_;
    }
    return best;
}

bool proxy_instance::open_more(std::size_t wanted, std::string_view team) {
    std::size_t opening = 0;
    std::size_t opening_for_team = 0;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        opening += connection->open_ ? 0U : 1U;
        opening_for_team += !connection->open_ && connection->team() == team ? 1U : 0U;
    }
    const time_point current = now();
    while (opening_for_team < wanted && opening < settings_.max_opening && current >= next_open_at_) {
        if (connections_.size() >= settings_.max_connections) {
            // A statement that waits may take the room as soon as the connection is closed.
            if (!close_idle_of_other_team(team) || connections_.size() >= settings_.max_connections) {
                break;
            }
        }
        connections_.push_back(open(team));
        ++opening;
        ++opening_for_team;
    }
    return opening_for_team > 0;
}

bool proxy_instance::close_idle_of_other_team(std::string_view team) {
    pooled_connection* oldest = nullptr;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        const bool is_candidate = connection->open_ && !connection->used_ && !connection->has_unanswered() &&
                                  connection->team() != team;
        if (is_candidate && (oldest == nullptr || connection->last_used_ < oldest->last_used_)) {
            oldest = connection.get();
        }
    }
    if (oldest == nullptr) {
        return false;
    }
    drop(*oldest, disconnect_reason::closed_locally);
    return true;
}

std::unique_ptr<pooled_connection> proxy_instance::open(std::string_view team) {
    std::unique_ptr<pooled_connection> connection =
        std::make_unique<pooled_connection>(*this, next_connection_number(), std::string(team));
    pooled_connection* opened = connection.get();
    opened->opened_at_ = now();
    opened->last_used_ = opened->opened_at_;
    opened->link_ = network_.open(listed_.address, listed_.group, opened->team(), listed_.id);
    opened->link_->on_open = [this, opened](const statement_result& startup_result) {
        on_opened(*opened, startup_result);
    };
    opened->link_->on_answer = [opened](instance_answer& answer) { return opened->receive(answer); };
    opened->link_->on_disconnect = [this, opened](disconnect_reason reason) {
        if (reason == disconnect_reason::out_of_step && opened->open_) {
            on_repetition();
        }
        drop(*opened, reason);
    };
    if (on_connection_attempt) {
        on_connection_attempt();
    }
    return connection;
}

void proxy_instance::on_opened(pooled_connection& connection, const statement_result& startup_result) {
    if (startup_result.outcome != statement_outcome::done) {
        log_.write(log_level::info, "pool", "connection_refused",
                   {{"instance", listed_.id},
                    {"group", listed_.group},
                    {"outcome", to_string(startup_result.outcome)},
                    {"connections", connections_.size()}});
        drop(connection, startup_result.outcome == statement_outcome::misrouted
                             ? disconnect_reason::refused
                             : disconnect_reason::rejected);
        return;
    }
    connection.open_ = true;
    open_backoff_ = settings_.min_open_backoff;
    last_answer_ = now();
    if (startup_result.position && (!position_ || *position_ < *startup_result.position)) {
        position_ = startup_result.position;
    }
    if (on_capacity) {
        on_capacity();
    }
}

void proxy_instance::on_unexpected_answer(pooled_connection& connection,
                                          const std::optional<expected_answer>& oldest,
                                          answer_verdict verdict, const instance_answer& answer) {
    log_.write(log_level::warning, "pool", "unexpected_answer",
               {{"instance", listed_.id},
                {"group", listed_.group},
                {"connection", connection.number()},
                {"verdict", to_string(verdict)},
                {"command", oldest ? to_string(oldest->kind) : "none"},
                {"outcome", to_string(answer.result.outcome)},
                {"signature", answer.result.signature},
                {"rows", answer.result.rows.size()}});
    if (on_unexpected) {
        on_unexpected(verdict);
    }
    // A refusal for the same reason as before is ambiguous even if the instance sends each answer once.
    if (verdict != answer_verdict::ambiguous) {
        on_repetition();
    }
    if (verdict != answer_verdict::copy) {
        drop(connection, disconnect_reason::out_of_step);
    }
}

void proxy_instance::on_repetition() {
    if (repeats_answers_) {
        return;
    }
    repeats_answers_ = true;
    // Before a closed connection lets another statement be placed on what is uncertain now.
    if (on_repeated_answers) {
        on_repeated_answers(*this);
    }
    close_not_reusable();
}

void proxy_instance::close_not_reusable() {
    std::vector<pooled_connection*> closed;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->open_ && !connection->used_ && !is_reusable(*connection)) {
            closed.push_back(connection.get());
        }
    }
    for (pooled_connection* connection : closed) {
        // A statement that waited may have been placed on it meanwhile.
        if (!connection->used_) {
            drop(*connection, disconnect_reason::closed_locally);
        }
    }
}

std::optional<std::uint64_t> proxy_instance::control_number() const {
    return control_ != nullptr && control_->open_ ? std::optional(control_->number()) : std::nullopt;
}

void proxy_instance::on_answer(command_kind kind, time_point sent_at, const instance_answer& answer) {
    last_answer_ = now();
    if (answer.result.position && (!position_ || *position_ < *answer.result.position)) {
        position_ = answer.result.position;
        lag_.on_reached(*position_);
    }
    if (is_statement(kind)) {
        record_latency(sent_at);
    }
    if (on_answered) {
        on_answered(*this, kind, sent_at, answer);
    }
}

void proxy_instance::learn(const pooled_connection& connection,
                           const pooled_connection::pending_command& answered,
                           const instance_answer& answer) {
    if (!is_statement(answered.kind)) {
        return;
    }
    const std::size_t former_limit = limit_.limit();
    switch (answer.result.outcome) {
    case statement_outcome::done:
        limit_.on_answered(work_of(connection, answered.kind), now() - answered.sent_at, answered.in_flight,
                           now());
        record_error(false);
        break;
    case statement_outcome::busy:
        limit_.on_busy(now());
        break;
    case statement_outcome::failed:
    case statement_outcome::timed_out:
        record_error(true);
        break;
    default:
        break;
    }
    const std::size_t limit = limit_.limit();
    if (limit != former_limit && (limit == 1 || limit == settings_.max_in_flight)) {
        log_.write(log_level::info, "instance", "in_flight_limit",
                   {{"instance", listed_.id},
                    {"group", listed_.group},
                    {"limit", limit},
                    {"ceiling", settings_.max_in_flight}});
    }
}

void proxy_instance::record_error(bool failed) {
    if (errors_.on_result(failed, now())) {
        log_.write(
            log_level::info, "instance", errors_.is_avoided() ? "avoided_for_errors" : "errors_ended",
            {{"instance", listed_.id}, {"group", listed_.group}, {"error_rate", errors_.error_rate()}});
    }
}

void proxy_instance::record_release(pooled_connection& connection) {
    if (connection.taken_at_) {
        estimate_.on_released(now() - *connection.taken_at_);
        connection.taken_at_.reset();
    }
}

double proxy_instance::service_rate() const {
    const time_point current = now();
    std::size_t open = 0;
    std::size_t taken = 0;
    duration ages{0};
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        open += connection->open_ ? 1U : 0U;
        if (connection->taken_at_) {
            ++taken;
            ages += current - *connection->taken_at_;
        }
    }
    // Further connections can be opened unless the instance refuses them.
    const bool may_open = open_backoff_ <= settings_.min_open_backoff;
    const std::size_t usable = may_open ? std::max(open, settings_.max_connections) : open;
    const duration mean_age = taken > 0 ? ages / static_cast<duration::rep>(taken) : duration(0);
    const double by_limit = static_cast<double>(in_flight_limit()) * microseconds_per_second /
                            static_cast<double>(expected_service().count());
    return std::min(estimate_.rate_per_second(usable, mean_age), by_limit);
}

bool proxy_instance::is_out_of_connections() const {
    // An instance that refuses connections has given all that it has.
    const bool may_open =
        connections_.size() < settings_.max_connections && open_backoff_ <= settings_.min_open_backoff;
    const bool any_idle = std::any_of(
        connections_.begin(), connections_.end(), [](const std::unique_ptr<pooled_connection>& connection) {
            return connection->open_ && !connection->used_ && !connection->is_resting();
        });
    return !any_idle && !may_open;
}

duration proxy_instance::expected_service() const {
    return duration(static_cast<duration::rep>(std::max(latency_ms_, 1.0) * microseconds_per_ms));
}

duration proxy_instance::slow_service() const {
    const double slow_ms = latency_ms_ + slow_deviations * latency_deviation_ms_;
    return duration(static_cast<duration::rep>(std::max(slow_ms, 1.0) * microseconds_per_ms));
}

void proxy_instance::record_latency(time_point sent_at) {
    const double sample = static_cast<double>((now() - sent_at).count()) / microseconds_per_ms;
    latency_deviation_ms_ += latency_weight * (std::abs(sample - latency_ms_) - latency_deviation_ms_);
    latency_ms_ += latency_weight * (sample - latency_ms_);
}

double proxy_instance::expected_ms() const {
    const double idle_ms = static_cast<double>((now() - last_answer_).count()) / microseconds_per_ms;
    const double decayed_latency_ms =
        in_flight() > 0 ? latency_ms_ : latency_ms_ * std::exp2(-idle_ms / latency_half_life_ms);
    const double slots = static_cast<double>(std::max<std::int64_t>(listed_.slots, 1));
    return std::max(decayed_latency_ms, 1.0) * (1.0 + static_cast<double>(in_flight()) / slots);
}

std::optional<time_point> proxy_instance::oldest_unanswered() const {
    std::optional<time_point> oldest;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        const std::optional<time_point> since = connection->waiting_since();
        if (since && (!oldest || *since < *oldest)) {
            oldest = since;
        }
    }
    return oldest;
}

std::optional<time_point> proxy_instance::commit_waiting_since() const {
    std::optional<time_point> oldest;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->pending_.empty()) {
            continue;
        }
        const pooled_connection::pending_command& oldest_command = connection->pending_.front();
        if (oldest_command.changes_data && (!oldest || oldest_command.sent_at < *oldest)) {
            oldest = oldest_command.sent_at;
        }
    }
    return oldest;
}

bool proxy_instance::is_usable() const {
    const time_point current = now();
    if (current < paused_until_) {
        return false;
    }
    const bool any_open =
        std::any_of(connections_.begin(), connections_.end(),
                    [](const std::unique_ptr<pooled_connection>& connection) { return connection->open_; });
    if (!any_open && (current < next_open_at_ || open_backoff_ > settings_.min_open_backoff)) {
        return false;
    }
    // A command has been unanswered for too long, and no other command has been answered meanwhile.
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        const std::optional<time_point> since = connection->waiting_since();
        if (since && current - *since > settings_.suspect_after &&
            current - last_answer_ > settings_.suspect_after) {
            return false;
        }
    }
    return true;
}

void proxy_instance::return_to_pool(pooled_connection& connection) {
    connection.on_lost = nullptr;
    if (!connection.open_) {
        return;
    }
    record_release(connection);
    if (connection.has_unanswered() || connection.state_ != transaction_state::idle ||
        !is_reusable(connection)) {
        drop(connection, disconnect_reason::closed_locally);
        return;
    }
    connection.used_ = false;
    connection.last_used_ = now();
    if (on_capacity) {
        on_capacity();
    }
}

void proxy_instance::drop(pooled_connection& connection, disconnect_reason reason) {
    std::unique_ptr<pooled_connection> dropped;
    if (control_.get() == &connection) {
        dropped = std::move(control_);
    } else if (single_use_.get() == &connection) {
        dropped = std::move(single_use_);
    } else {
        for (std::vector<std::unique_ptr<pooled_connection>>::iterator entry = connections_.begin();
             entry != connections_.end(); ++entry) {
            if (entry->get() == &connection) {
                dropped = std::move(*entry);
                connections_.erase(entry);
                break;
            }
        }
    }
    if (dropped == nullptr) {
        return;
    }
    record_release(*dropped);
    if (dropped->open_ && dropped->used_ && dropped->has_unanswered() && reason == disconnect_reason::lost) {
        record_error(true);
    }
    if (!dropped->open_) {
        next_open_at_ = now() + open_backoff_;
        open_backoff_ = std::min(open_backoff_ * 2, settings_.max_open_backoff);
    }
    release(std::move(dropped));
    if (on_failure && reason != disconnect_reason::closed_locally) {
        on_failure(*this, reason);
    }
    if (on_capacity) {
        on_capacity();
    }
}

void proxy_instance::release(std::unique_ptr<pooled_connection> connection) {
    pooled_connection& ending = *connection;
    ending.open_ = false;
    ending.pending_.clear();
    const std::function<void()> lost = std::move(ending.on_lost);
    ending.on_lost = nullptr;
    // Destroyed by the next tick, since this may be called from one of the connection's own callbacks.
    ended_.push_back(std::move(connection));
    if (lost) {
        lost();
    }
}

bool proxy_instance::is_reusable(const pooled_connection& connection) const {
    const answer_history& history = connection.history();
    // The answers to a second transaction or status call could be copies of those to the first.
    const bool may_receive_copies = repeats_answers_ && (history.has_begun() || history.has_status());
    return !may_receive_copies && !history.is_full();
}

pooled_connection* proxy_instance::find_idle_without_status() const {
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->open_ && !connection->used_ && !connection->is_resting() &&
            !connection->history().has_status()) {
            return connection.get();
        }
    }
    return nullptr;
}

pooled_connection* proxy_instance::find_idle() const {
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->open_ && !connection->used_ && !connection->is_resting()) {
            return connection.get();
        }
    }
    return nullptr;
}

pooled_connection* proxy_instance::control_connection() {
    if (control_ != nullptr && control_->is_resting() && !control_->has_unanswered()) {
        drop(*control_, disconnect_reason::closed_locally);
    }
    if (control_ == nullptr) {
        const std::vector<std::unique_ptr<pooled_connection>>::iterator idle =
            std::find_if(connections_.begin(), connections_.end(),
                         [found = find_idle()](const std::unique_ptr<pooled_connection>& connection) {
                             return connection.get() == found;
                         });
        if (idle != connections_.end()) {
            control_ = std::move(*idle);
            connections_.erase(idle);
        } else if (now() < next_open_at_) {
            return nullptr;
        } else {
            control_ = open("");
        }
    }
    control_->last_used_ = now();
    return control_->open_ ? control_.get() : nullptr;
}

pooled_connection* proxy_instance::fence_connection() {
    const bool may_receive_copies =
        repeats_answers_ && control_ != nullptr && control_->open_ && control_->history().has_status();
    if (may_receive_copies && !control_->has_unanswered()) {
        drop(*control_, disconnect_reason::closed_locally);
    }
    return control_connection();
}

pooled_connection* proxy_instance::single_use_connection() {
    if (single_use_ != nullptr && single_use_->open_ && single_use_->history().has_status()) {
        drop(*single_use_, disconnect_reason::closed_locally);
    }
    if (single_use_ == nullptr) {
        if (now() < next_open_at_) {
            return nullptr;
        }
        single_use_ = open("");
    }
    return single_use_->open_ && !single_use_->has_unanswered() ? single_use_.get() : nullptr;
}

pooled_connection* proxy_instance::take_for_status_call() {
    if (repeats_answers_) {
        if (control_ != nullptr) {
            // Its number stands for this run of the instance while a fence is in effect.
            control_->last_used_ = now();
        }
        pooled_connection* idle = find_idle_without_status();
        if (idle == nullptr) {
            return single_use_connection();
        }
        idle->used_ = true;
        return idle;
    }
    const bool is_resting = control_ != nullptr && control_->is_resting();
    if (control_ == nullptr || !control_->open_ || is_resting) {
        if (pooled_connection* idle = find_idle()) {
            idle->used_ = true;
            return idle;
        }
    }
    return is_resting ? nullptr : control_connection();
}

void proxy_instance::drop_overdue(std::uint64_t number) {
    for (const std::unique_ptr<pooled_connection>* reserved : {&control_, &single_use_}) {
        if (*reserved != nullptr && (*reserved)->number() == number) {
            drop(**reserved, disconnect_reason::timed_out);
            return;
        }
    }
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->number() == number) {
            drop(*connection, disconnect_reason::timed_out);
            return;
        }
    }
}

void proxy_instance::tick() {
    ended_.clear();
    const time_point current = now();
    std::vector<pooled_connection*> timed_out;
    std::vector<pooled_connection*> idle;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (!connection->open_ && current - connection->opened_at_ > settings_.open_timeout) {
            timed_out.push_back(connection.get());
        }
        const bool surplus = connections_.size() > settings_.max_connections + idle.size();
        if (connection->open_ && !connection->used_ &&
            (surplus || current - connection->last_used_ > settings_.idle_timeout)) {
            idle.push_back(connection.get());
        }
        const std::optional<time_point> unanswered = connection->waiting_since();
        if (unanswered && current - *unanswered > settings_.answer_timeout) {
            timed_out.push_back(connection.get());
        }
    }
    for (const std::unique_ptr<pooled_connection>* reserved : {&control_, &single_use_}) {
        if (*reserved && !(*reserved)->open_ && current - (*reserved)->opened_at_ > settings_.open_timeout) {
            timed_out.push_back(reserved->get());
        }
    }
    if (single_use_ && single_use_->waiting_since() &&
        current - *single_use_->waiting_since() > settings_.suspect_after) {
        timed_out.push_back(single_use_.get());
    }
    for (pooled_connection* connection : timed_out) {
        drop(*connection, disconnect_reason::timed_out);
    }
    release_held_refusals();
    close_idle(idle);
    if (control_ && control_->open_ && !control_->has_unanswered() &&
        current - control_->last_used_ > settings_.control_idle_timeout) {
        drop(*control_, disconnect_reason::closed_locally);
    }
    if (single_use_ && single_use_->open_ && !single_use_->has_unanswered() &&
        single_use_->history().has_status()) {
        drop(*single_use_, disconnect_reason::closed_locally);
    }
}

void proxy_instance::release_held_refusals() {
    std::vector<pooled_connection*> holding;
    for (const std::unique_ptr<pooled_connection>& connection : connections_) {
        if (connection->holds_refusal()) {
            holding.push_back(connection.get());
        }
    }
    for (pooled_connection* connection : holding) {
        connection->release_held_refusal();
    }
}

void proxy_instance::close_idle(const std::vector<pooled_connection*>& idle) {
    const std::size_t open = connections_.size();
    const std::size_t closable = open > settings_.min_idle ? open - settings_.min_idle : 0;
    for (std::size_t closed = 0; closed < std::min(closable, idle.size()); ++closed) {
        drop(*idle[closed], disconnect_reason::closed_locally);
    }
}

} // namespace gentianhill
