#include "gentianhill/daemon/ticket_service.h"

#include "gentianhill/daemon/ticket_comparison.h"
#include "gentianhill/tickets/ticket_schema.h"

#include <fmt/format.h>

namespace gentianhill {

namespace {

constexpr const char* ticket_prefix = "tickets/";
/// Mean time between a list or a new ticket and the check that the platform holds all tickets in effect.
constexpr duration recreation_delay = std::chrono::seconds{2};

/// Longest time in which a submission tries to learn the era of the platform's store; as long as the
/// comparison with other daemons may take.
constexpr duration era_limit = ticket_comparison_settings{}.limit;
constexpr duration era_retry_interval = std::chrono::milliseconds{100};

std::string key_of(ticket_number number) {
    return fmt::format("{}{}", ticket_prefix, number);
}

prefix_watch_settings watch_settings() {
    prefix_watch_settings settings;
    settings.prefix = ticket_prefix;
    return settings;
}

bool is_in_effect(const ticket_state& view, const nlohmann::json& accepted, ticket_number number) {
    const nlohmann::json& subjects = accepted.at("subjects");
    for (nlohmann::json::const_iterator subject = subjects.begin(); subject != subjects.end(); ++subject) {
        if (!view.superseded_by(number, subject.key())) {
            return true;
        }
    }
    return false;
}

error number_taken(ticket_number number) {
    return error{error_code::number_taken, "number", std::to_string(number),
                 "a number that no other ticket has: see gentianhill ticket list"};
}

error platform_unavailable(const error& reason) {
    return error{error_code::platform_unavailable, "platform", reason.describe(),
                 "submit the same ticket again: it is created at most once"};
}

nlohmann::json accepted_json(const ticket& submitted, const std::vector<std::string>& warnings) {
    return nlohmann::json{{"accepted", submitted.number}, {"warnings", warnings}};
}

} // namespace

ticket_service::ticket_service(daemon_context& context, object_store& store)
    : context_(context),
      store_(store),
      watch_(context.loop, store, watch_settings(), [&context] { return context.random(); }) {
    watch_.on_change = [this](const stored_object& object) {
        error reason;
        // A deleted ticket was superseded before; the view keeps what it set.
        if (!object.value.is_null() && !apply(object.value, reason) && reason.failed()) {
            context_.log.write(log_level::error, "tickets", "stored_ticket_invalid",
                               {{"key", object.key}, {"reason", reason.describe()}});
        }
    };
    watch_.on_listed = [this] {
        loaded_ = true;
        schedule_recreation();
    };
}

void ticket_service::set_watching(bool watching) {
    watching ? watch_.start() : watch_.stop();
}

bool ticket_service::apply(const nlohmann::json& accepted, error& reason) {
    const std::optional<ticket> checked = ticket_from_json(accepted, reason);
    if (!checked) {
        return false;
    }
    loaded_ = true;
    using entry_iterator = std::multimap<ticket_number, nlohmann::json>::const_iterator;
    const std::pair<entry_iterator, entry_iterator> held = accepted_.equal_range(checked->number);
    for (entry_iterator entry = held.first; entry != held.second; ++entry) {
        if (entry->second == accepted) {
            return false;
        }
    }
    if (held.first != held.second) {
        log_number_conflict(checked->number, held.first->second, accepted);
    }
    const std::vector<std::string> raised = view_.apply(*checked);
    if (raised.empty()) {
        return false;
    }
    accepted_.emplace(checked->number, accepted);
    forget_superseded();
    schedule_recreation();
    context_.record(event_kind::ticket_applied, {},
                    {{"ticket", std::to_string(checked->number)},
                     {"author", checked->author},
                     {"subjects", fmt::format("{}", fmt::join(raised, " "))}});
    context_.log.write(log_level::info, "tickets", "ticket_applied",
                       {{"ticket", checked->number}, {"author", checked->author}, {"raised", raised.size()}});
    if (on_raised) {
        on_raised(raised);
    }
    if (on_new_ticket) {
        on_new_ticket(accepted);
    }
    return true;
}

void ticket_service::forget_superseded() {
    std::multimap<ticket_number, nlohmann::json>::iterator entry = accepted_.begin();
    while (entry != accepted_.end()) {
        entry = is_in_effect(view_, entry->second, entry->first) ? std::next(entry) : accepted_.erase(entry);
    }
}

void ticket_service::schedule_recreation() {
    if (!watch_.is_running() || recreating_ || recreation_timer_.is_pending()) {
        return;
    }
    // Spread, so that one of the watchers creates what the others then find in the platform.
    const double spread = 0.5 + context_.random();
    const duration delay{static_cast<std::int64_t>(static_cast<double>(recreation_delay.count()) * spread)};
    recreation_timer_ = context_.loop.call_after(delay, [this] { recreate_next(0); });
}

void ticket_service::recreate_next(ticket_number after) {
    // Before the first list nothing is known to be missing.
    if (!watch_.is_running() || !watch_.confirmed_at()) {
        return;
    }
    std::multimap<ticket_number, nlohmann::json>::const_iterator missing = accepted_.upper_bound(after);
    while (missing != accepted_.end() && watch_.has(key_of(missing->first))) {
        ++missing;
    }
    if (missing == accepted_.end()) {
        return;
    }
    recreating_ = true;
    const std::weak_ptr<bool> alive = alive_;
    store_.create_once(
        key_of(missing->first), missing->second,
        [this, alive, number = missing->first, content = missing->second](const create_result& result) {
            if (!alive.expired()) {
                on_recreated(number, content, result);
            }
        });
}

void ticket_service::on_recreated(ticket_number number, const nlohmann::json& content,
                                  const create_result& result) {
    recreating_ = false;
    switch (result.outcome) {
    case create_outcome::created:
        context_.log.write(log_level::warning, "tickets", "ticket_created_again",
                           {{"ticket", number}, {"author", content.value("author", "")}});
        break;
    case create_outcome::already_there_same:
        break;
    case create_outcome::already_there_other:
        log_number_conflict(number, content, result.value);
        break;
    case create_outcome::unavailable:
    case create_outcome::bad_answer:
        context_.log.write(log_level::warning, "tickets", "ticket_not_created_again",
                           {{"ticket", number}, {"reason", result.reason.describe()}});
        schedule_recreation();
        return;
    }
    recreate_next(number);
}

void ticket_service::log_number_conflict(ticket_number number, const nlohmann::json& held,
                                         const nlohmann::json& other) const {
    context_.log.write(log_level::error, "tickets", "number_accepted_twice",
                       {{"ticket", number},
                        {"author", held.value("author", "")},
                        {"other_author", other.value("author", "")}});
}

bool ticket_service::is_taken(const ticket& submitted) const {
    const std::multimap<ticket_number, nlohmann::json>::const_iterator held =
        accepted_.find(submitted.number);
    return held != accepted_.end() && held->second != submitted.to_json();
}

bool ticket_service::is_acceptable(const ticket& submitted, const operator_answer& answer) {
    error reason;
    if (is_taken(submitted)) {
        // A restored platform may have lost the ticket that has the number.
        reason = number_taken(submitted.number);
    } else if (check_ticket(submitted, view_, reason)) {
        return true;
    }
    context_.record(event_kind::ticket_rejected, {},
                    {{"ticket", std::to_string(submitted.number)}, {"reason", reason.describe()}});
    context_.log.write(log_level::warning, "tickets", "ticket_rejected",
                       {{"ticket", submitted.number}, {"reason", reason.describe()}});
    answer(std::nullopt, reason);
    return false;
}

void ticket_service::not_stored(ticket_number number, const error& reason, const operator_answer& answer) {
    context_.log.write(log_level::warning, "tickets", "ticket_not_stored",
                       {{"ticket", number}, {"reason", reason.describe()}});
    answer(std::nullopt, reason);
}

void ticket_service::submit(const ticket& submitted, const operator_answer& answer) {
    if (!is_acceptable(submitted, answer)) {
        return;
    }
    context_.record(event_kind::ticket_submitted, {},
                    {{"ticket", std::to_string(submitted.number)}, {"author", submitted.author}});
    learn_era(submitted, answer, event_loop::now() + era_limit);
}

void ticket_service::learn_era(const ticket& submitted, const operator_answer& answer, time_point until) {
    const std::weak_ptr<bool> alive = alive_;
    // The read shows the era of the store: a restored one may lack the ticket that has the number.
    store_.get(key_of(submitted.number), [this, alive, submitted, answer, until](const store_result& result) {
        if (alive.expired()) {
            return;
        }
        if (result.outcome == store_outcome::found || result.outcome == store_outcome::not_found) {
            await_comparison([this, submitted, answer] {
                if (is_acceptable(submitted, answer)) {
                    create(submitted, answer);
                }
            });
            return;
        }
        if (event_loop::now() >= until) {
            not_stored(submitted.number, platform_unavailable(result.reason), answer);
            return;
        }
        context_.loop.run_after(era_retry_interval, [this, alive, submitted, answer, until] {
            if (!alive.expired()) {
                learn_era(submitted, answer, until);
            }
        });
    });
}

void ticket_service::create(const ticket& submitted, const operator_answer& answer) {
    const std::vector<std::string> warnings = ticket_warnings(submitted, view_);
    const std::optional<std::uint64_t> era = store_.era();
    store_.create_once(key_of(submitted.number), submitted.to_json(),
                       [this, submitted, warnings, era, answer](const create_result& result) {
                           on_created(submitted, warnings, era, result, answer);
                       });
}

void ticket_service::on_created(const ticket& submitted, const std::vector<std::string>& warnings,
                                const std::optional<std::uint64_t>& era, const create_result& result,
                                const operator_answer& answer) {
    switch (result.outcome) {
    case create_outcome::created:
    case create_outcome::already_there_same:
        if (era == store_.era()) {
            accept(submitted, warnings, answer);
            return;
        }
        // The store was restored meanwhile and may have lost another ticket with the number.
        await_comparison([this, submitted, warnings, answer] {
            if (is_taken(submitted)) {
                not_stored(submitted.number, number_taken(submitted.number), answer);
            } else {
                accept(submitted, warnings, answer);
            }
        });
        return;
    case create_outcome::already_there_other:
        not_stored(submitted.number, number_taken(submitted.number), answer);
        return;
    case create_outcome::unavailable:
    case create_outcome::bad_answer:
        not_stored(submitted.number, platform_unavailable(result.reason), answer);
        return;
    }
}

void ticket_service::accept(const ticket& submitted, const std::vector<std::string>& warnings,
                            const operator_answer& answer) {
    context_.record(event_kind::ticket_accepted, {}, {{"ticket", std::to_string(submitted.number)}});
    error reason;
    apply(submitted.to_json(), reason);
    answer(accepted_json(submitted, warnings), error{});
}

void ticket_service::show(ticket_number number, const operator_answer& answer) {
    store_.get(key_of(number), [answer, number](const store_result& result) {
        if (result.outcome == store_outcome::found) {
            answer(result.value, error{});
            return;
        }
        const bool is_absent = result.outcome == store_outcome::not_found;
        answer(std::nullopt, is_absent ? error{error_code::not_found, "number", std::to_string(number),
                                               "an accepted ticket: see gentianhill ticket list"}
                                       : error{error_code::platform_unavailable, "platform",
                                               result.reason.describe(), "retry later"});
    });
}

std::vector<nlohmann::json> ticket_service::after(ticket_number number, std::size_t max_bytes,
                                                  bool& more) const {
    std::vector<nlohmann::json> result;
    std::size_t bytes = 0;
    more = false;
    std::multimap<ticket_number, nlohmann::json>::const_iterator entry = accepted_.upper_bound(number);
    for (; entry != accepted_.end(); ++entry) {
        bytes += entry->second.dump().size();
        if (!result.empty() && bytes > max_bytes) {
            more = true;
            break;
        }
        result.push_back(entry->second);
    }
    return result;
}

} // namespace gentianhill
