#include "gentianhill/daemon/promotion_driver.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

/// Claims that a coordinator keeps in stock: one for this failover and one for a second loss during it.
constexpr std::size_t claims_in_stock = 2;
constexpr duration claim_check_interval = std::chrono::seconds{1};
/// Longest delay before claims are reserved again after a restore of the store; spreads the groups.
constexpr duration renewal_spread = std::chrono::milliseconds{200};
constexpr duration reconcile_interval = std::chrono::milliseconds{200};
constexpr duration control_timeout = std::chrono::milliseconds{450};
/// Promotion replays nothing, but the answer waits for the term-start entry.
constexpr duration promote_timeout = std::chrono::milliseconds{1000};
/// Pause after a failed attempt, so that two coordinators do not fence each other without end.
constexpr duration retry_pause = std::chrono::milliseconds{500};
/// The pause doubles up to 2 s: during a long partition, attempts at the first rate would fill the timeline.
constexpr unsigned max_pause_doublings = 3;
/// An instance that is down gets the same order again after this time; each order is an event of the
/// timeline.
constexpr duration follow_repeat_interval = std::chrono::seconds{1};
/// Time for all daemons to learn that the primary's backend server is leaving.
constexpr duration hand_over_notice = std::chrono::milliseconds{500};
/// A leaving primary is replaced after this time even while writes are in flight.
constexpr duration hand_over_limit = std::chrono::milliseconds{1500};
/// An instance above the term of the primary for longer is not being fenced by an attempt of another daemon.
constexpr duration ahead_limit = promotion_settings{}.fence_limit + control_timeout;

std::string milliseconds_between(const std::optional<time_point>& from, const std::optional<time_point>& to) {
    return from && to ? std::to_string(to_milliseconds(*to - *from)) : std::string{};
}

} // namespace

promotion_driver::promotion_driver(daemon_context& context, group_runtime& group, object_store& store,
                                   promotion_driver_hooks hooks)
    : context_(context),
      group_(group),
      store_(store),
      hooks_(std::move(hooks)),
      claims_(daemon_incarnation{context.settings.name, context.incarnation_text()}),
      attempt_(group.view().configuration(), promotion_settings{}, hooks_for_attempt()) {
    restored_ = store_.on_restored.connect([this] { renew_claims(); });
}

std::optional<std::size_t> promotion_driver::rank() const {
    return coordinator_rank(group_.name(), context_.settings.name, hooks_.live_daemons());
}

promotion_hooks promotion_driver::hooks_for_attempt() {
    promotion_hooks hooks;
    hooks.ask_peers = [this]() -> std::size_t {
        // Peers hear from a primary that is leaving, or that answers without committing; that is no reason to
        // wait.
        if (skip_opinions_) {
            return 0;
        }
        const std::weak_ptr<bool> alive = alive_;
        const position_tracker& positions = group_.view().positions();
        return hooks_.ask_other_zones(group_.name(), positions.primary().value_or(""),
                                      positions.primary_term(),
                                      [this, alive](const std::string& zone, bool saw_commit) {
                                          if (!alive.expired()) {
                                              attempt_.on_peer_opinion(zone, saw_commit, event_loop::now());
                                          }
                                      });
    };
    hooks.query_status = [this](const std::string& instance) { send_status(instance); };
    hooks.take_claim = [this](term_number highest_seen) {
        const std::optional<term_number> term = claims_.take(highest_seen);
        if (term) {
            context_.record(event_kind::claim_consumed, group_.name(), {{"term", std::to_string(*term)}},
                            attempt_event_);
        }
        return term;
    };
    hooks.fence = [this](const std::string& instance, term_number term) { send_fence(instance, term); };
    hooks.promote = [this](const std::string& instance, term_number term) { send_promote(instance, term); };
    hooks.follow = [this](const std::string& instance, term_number term, const std::string& primary) {
        const instance_configuration* found = group_.view().configuration().find(primary);
        if (found != nullptr) {
            send_follow(follow_request{instance, term, primary, found->address, false, {}});
        }
    };
    hooks.on_finished = [this](const promotion_result& result) { finished(result); };
    return hooks;
}

void promotion_driver::tick(time_point now) {
    const position_tracker& positions = group_.view().positions();
    claims_.observe_term(positions.current_term());
    if (attempt_.is_running()) {
        attempt_.observe_term(positions.current_term(), now);
        // Another daemon has promoted a primary in a term that an instance had already accepted at the start.
        if (positions.primary_term() > replaced_term_) {
            attempt_.cancel(now);
        }
        attempt_.observe_confirmed(positions.confirmed(), now);
        attempt_.tick(now);
    } else {
        start_if_suspected(now);
        start_if_leaving(now);
        start_if_ahead(now);
    }
    if (now >= next_claim_check_) {
        // Spread over daemons and groups, so that a returning platform is not met by all at once.
        next_claim_check_ =
            now + duration{static_cast<std::int64_t>(static_cast<double>(claim_check_interval.count()) *
                                                     (0.5 + context_.random()))};
        keep_claims();
    }
    if (now >= next_reconcile_) {
        next_reconcile_ = now + reconcile_interval;
        reconcile_instances(now);
    }
}

void promotion_driver::start_if_suspected(time_point now) {
    const primary_assessment assessment = group_.detector().assessment(now);
    if (assessment.health == primary_health::suspected && now >= next_attempt_) {
        skip_opinions_ = assessment.reason == suspicion_reason::not_committing ||
                         assessment.reason == suspicion_reason::not_confirming;
        // A primary that answers but does not commit would win the choice by its longer log, so it is left
        // out. If an instance is above its term, that alone can keep it from confirming, and it may be needed
        // for a majority.
        const bool is_left_out = skip_opinions_ && reconcile(group_.view()).ahead_of_primary.empty();
        const std::string primary = group_.view().positions().primary().value_or("");
        start(std::string{to_string(assessment.reason)}, is_left_out ? primary : std::string{}, now);
    }
}

void promotion_driver::start_if_leaving(time_point now) {
    const instance_gateway* primary = group_.primary_gateway();
    if (primary == nullptr || !primary->is_leaving()) {
        leaving_since_.reset();
        return;
    }
    if (!leaving_since_) {
        leaving_since_ = now;
    }
    // By then all daemons have stopped sending writes, and those in flight have ended or will not.
    const duration waited = now - *leaving_since_;
    // Only the first coordinator starts early; a second one at the same moment would promote twice.
    const bool is_quiet =
        rank() == std::size_t{0} && !group_.has_writes_in_flight() && waited >= hand_over_notice;
    if ((is_quiet || waited >= hand_over_limit) && now >= next_attempt_) {
        skip_opinions_ = true;
        start("leaving", primary->configuration().name, now);
    }
}

void promotion_driver::start_if_ahead(time_point now) {
    if (attempt_.is_running()) {
        return;
    }
    if (reconcile(group_.view()).ahead_of_primary.empty()) {
        ahead_since_.reset();
        return;
    }
    if (!ahead_since_) {
        ahead_since_ = now;
    }
    // Such an instance cannot follow in a lower term, so only a primary of a higher term brings it back.
    if (now - *ahead_since_ >= ahead_limit && now >= next_attempt_) {
        skip_opinions_ = true;
        start("instance_ahead", {}, now);
    }
}

void promotion_driver::start(const std::string& reason, const std::string& excluded, time_point now) {
    const std::optional<std::size_t> place = rank();
    if (!place) {
        return;
    }
    const position_tracker& positions = group_.view().positions();
    const event_id suspected = context_.record(event_kind::suspected, group_.name(),
                                               {{"primary", positions.primary().value_or("")},
                                                {"reason", reason},
                                                {"rank", std::to_string(*place)}});
    attempt_event_ = context_.record(event_kind::attempt_started, group_.name(),
                                     {{"base_term", std::to_string(positions.current_term())}}, suspected);
    context_.log.write(log_level::warning, "promotion", "attempt_started",
                       {{"group", group_.name()},
                        {"primary", positions.primary().value_or("none")},
                        {"term", positions.primary_term()},
                        {"reason", reason},
                        {"rank", *place}});
    replaced_term_ = positions.primary_term();
    // Instances may be above the term of the primary, and keep their term when there is none.
    attempt_.start(positions.current_term(), *place, now, excluded);
}

void promotion_driver::renew_claims() {
    claims_.forget();
    next_claim_check_ =
        event_loop::now() +
        duration{static_cast<std::int64_t>(static_cast<double>(renewal_spread.count()) * context_.random())};
    context_.log.write(log_level::info, "promotion", "claims_voided_by_restore",
                       {{"group", group_.name()}, {"era", store_.era().value_or(0)}});
}

void promotion_driver::keep_claims() {
    if (update_open_ || claims_.available() >= claims_in_stock || !rank()) {
        return;
    }
    update_open_ = true;
    const std::weak_ptr<bool> alive = alive_;
    store_.conditional_update(
        "groups/" + group_.name(),
        [this, alive](const std::optional<nlohmann::json>& current) -> std::optional<nlohmann::json> {
            if (alive.expired()) {
                return std::nullopt;
            }
            error reason;
            const std::optional<claim_set> stored =
                current ? claim_set::from_json(*current, reason) : std::optional<claim_set>{claim_set{}};
            if (!stored) {
                context_.log.write(log_level::error, "promotion", "group_object_invalid",
                                   {{"group", group_.name()}, {"reason", reason.describe()}});
                return std::nullopt;
            }
            const claim_set cleaned =
                stored->remove_obsolete(group_.view().positions().current_term(), hooks_.is_running);
            const std::optional<claim_set> reserved = claims_.replenish(cleaned, claims_in_stock, reason);
            return reserved ? std::optional<nlohmann::json>{reserved->to_json()} : std::nullopt;
        },
        [this, alive](const update_result& result) {
            if (alive.expired()) {
                return;
            }
            update_open_ = false;
            const bool is_known =
                result.outcome == update_outcome::stored || result.outcome == update_outcome::unchanged;
            error reason;
            const std::optional<claim_set> stored =
                is_known ? claim_set::from_json(result.value, reason) : std::nullopt;
            if (!stored) {
                return;
            }
            const std::size_t before = claims_.available();
            claims_.load(*stored);
            if (claims_.available() > before) {
                context_.record(event_kind::claim_recorded, group_.name(),
                                {{"available", std::to_string(claims_.available())}});
            }
        });
}

void promotion_driver::reconcile_instances(time_point now) {
    if (attempt_.is_running() || !rank()) {
        return;
    }
    for (const follow_request& order : reconcile(group_.view()).follow_requests) {
        if (is_due(order, now)) {
            send_follow(order);
        }
    }
}

bool promotion_driver::is_due(const follow_request& order, time_point now) {
    sent_order& last = sent_orders_[order.instance];
    const bool is_same =
        last.term == order.term && last.primary == order.primary && last.admit == order.admit;
    if (is_same && now - last.at < follow_repeat_interval) {
        return false;
    }
    last = sent_order{order.term, order.primary, order.admit, now};
    return true;
}

void promotion_driver::send_status(const std::string& instance) {
    instance_gateway* gateway = group_.gateway(instance);
    const std::weak_ptr<bool> alive = alive_;
    gateway->control("/v1/status", nlohmann::json::object(), control_timeout,
                     [this, alive, instance](const std::optional<database_answer>& answer,
                                             const backend_failure& failure) {
                         if (!alive.expired()) {
                             attempt_.on_status_answer(instance, answer ? answer->report : std::nullopt,
                                                       failure.reason, event_loop::now());
                         }
                     });
}

void promotion_driver::send_fence(const std::string& instance, term_number term) {
    instance_gateway* gateway = group_.gateway(instance);
    context_.record(event_kind::fence_sent, group_.name(),
                    {{"instance", instance}, {"term", std::to_string(term)}}, attempt_event_);
    const std::weak_ptr<bool> alive = alive_;
    gateway->control("/v1/fence", nlohmann::json{{"term", term}}, control_timeout,
                     [this, alive, instance, term](const std::optional<database_answer>& answer,
                                                   const backend_failure& failure) {
                         if (alive.expired()) {
                             return;
                         }
                         context_.record(answer ? event_kind::fence_accepted : event_kind::fence_rejected,
                                         group_.name(),
                                         {{"instance", instance},
                                          {"term", std::to_string(term)},
                                          {"reason", std::string{to_string(failure.reason.code)}}},
                                         attempt_event_);
                         attempt_.on_fence_answer(instance, answer ? answer->report : std::nullopt,
                                                  failure.reason, event_loop::now());
                     });
}

void promotion_driver::send_promote(const std::string& instance, term_number term) {
    instance_gateway* gateway = group_.gateway(instance);
    context_.record(event_kind::promote_sent, group_.name(),
                    {{"instance", instance}, {"term", std::to_string(term)}}, attempt_event_);
    nlohmann::json members = nlohmann::json::array();
    for (const instance_configuration& member : group_.view().configuration().instances) {
        members.push_back(member.name);
    }
    const std::weak_ptr<bool> alive = alive_;
    gateway->control(
        "/v1/promote", nlohmann::json{{"term", term}, {"members", std::move(members)}}, promote_timeout,
        [this, alive, instance](const std::optional<database_answer>& answer,
                                const backend_failure& failure) {
            if (alive.expired()) {
                return;
            }
            attempt_.on_promote_answer(instance, answer.has_value(), failure.reason, event_loop::now());
        });
}

void promotion_driver::send_follow(const follow_request& order) {
    instance_gateway* gateway = group_.gateway(order.instance);
    if (gateway == nullptr) {
        return;
    }
    context_.record(event_kind::follow_sent, group_.name(),
                    {{"instance", order.instance},
                     {"primary", order.primary},
                     {"term", std::to_string(order.term)},
                     {"admit", order.admit ? "true" : "false"}},
                    attempt_event_);
    nlohmann::json body{{"term", order.term},
                        {"primary", order.primary},
                        {"primary_address", order.primary_address.to_string()},
                        {"admit", order.admit}};
    if (!order.state_id.empty()) {
        body["state_id"] = order.state_id;
    }
    const std::weak_ptr<bool> alive = alive_;
    gateway->control(
        "/v1/follow", std::move(body), control_timeout,
        [this, alive, order](const std::optional<database_answer>& answer, const backend_failure& failure) {
            if (!alive.expired() && !answer) {
                context_.log.write(log_level::info, "promotion", "follow_failed",
                                   {{"group", group_.name()},
                                    {"instance", order.instance},
                                    {"reason", failure.reason.describe()}});
            }
        });
}

void promotion_driver::finished(const promotion_result& result) {
    last_result_ = result;
    const bool succeeded = result.failure == promotion_failure::none;
    failures_in_a_row_ = succeeded ? 0 : std::min(failures_in_a_row_ + 1, max_pause_doublings);
    next_attempt_ = result.ended + retry_pause * (1U << failures_in_a_row_) / 2;
    const promotion_times& times = result.times;
    context_.record(succeeded ? event_kind::first_confirmed_write : event_kind::attempt_ended, group_.name(),
                    {{"term", std::to_string(result.term)},
                     {"primary", result.primary},
                     {"failure", std::string{to_string(result.failure)}},
                     {"claim_ms", milliseconds_between(times.detected, times.claimed)},
                     {"fence_ms", milliseconds_between(times.claimed, times.fenced)},
                     {"promote_ms", milliseconds_between(times.fenced, times.promoted)},
                     {"confirm_ms", milliseconds_between(times.promoted, times.confirmed)}},
                    attempt_event_);
    context_.log.write(succeeded ? log_level::info : log_level::warning, "promotion",
                       succeeded ? "promoted" : "attempt_failed",
                       {{"group", group_.name()},
                        {"term", result.term},
                        {"primary", result.primary},
                        {"failure", to_string(result.failure)},
                        {"total_ms", to_milliseconds(result.ended - times.detected)}});
    context_.metric_registry
        .add_counter("gentianhill_promotions_total", "Promotion attempts that ended, by result",
                     {{"group", group_.name()}, {"result", std::string{to_string(result.failure)}}})
        .add();
    attempt_event_.reset();
    if (succeeded) {
        hooks_.publish_view();
        record_primary(result.term, result.primary);
    }
}

void promotion_driver::record_primary(term_number term, const std::string& instance) {
    store_.conditional_update(
        "groups/" + group_.name(),
        [term, instance](const std::optional<nlohmann::json>& current) -> std::optional<nlohmann::json> {
            error reason;
            const std::optional<claim_set> stored =
                current ? claim_set::from_json(*current, reason) : std::nullopt;
            if (!stored || (stored->primary() && stored->primary()->term >= term)) {
                return std::nullopt;
            }
            return stored->record_primary(recorded_primary{term, instance}).to_json();
        },
        [](const update_result&) {});
}

nlohmann::json promotion_driver::to_json() const {
    const std::optional<std::size_t> place = rank();
    nlohmann::json result{{"rank", place ? nlohmann::json(*place) : nlohmann::json(nullptr)},
                          {"claims", claims_.available()},
                          {"phase", std::string{to_string(attempt_.phase())}}};
    if (last_result_) {
        result["last_attempt"] = {{"term", last_result_->term},
                                  {"primary", last_result_->primary},
                                  {"failure", std::string{to_string(last_result_->failure)}}};
    }
    return result;
}

} // namespace gentianhill
