#include "gentianhill/proxy/failover_driver.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Interval at which a connection that is being opened is checked.
constexpr duration connection_poll_interval = 15ms;

} // namespace

failover_driver::failover_driver(database_group& group, duty_lease& lease, failover_port& port, logger& log,
                                 const failover_settings& settings, std::uint32_t position)
    : group_(group), lease_(lease), port_(port), log_(log), settings_(settings), position_(position) {}

void failover_driver::tick(bool may_start) {
    const time_point current = group_.now();
    const primary_verdict verdict = group_.failure_detector().verdict(current);
    if (verdict == primary_verdict::healthy) {
        verdict_since_.reset();
        last_verdict_ = verdict;
        return;
    }
    if (!verdict_since_) {
        verdict_since_ = current;
        const duration pause = reaches_replicas() ? duration(0) : settings_.unreachable_pause;
        not_before_ = std::max(not_before_, current + settings_.stagger * position_ + pause);
    }
    if (verdict != last_verdict_) {
        last_verdict_ = verdict;
        log_.write(log_level::info, "failover", "primary_judged",
                   {{"group", group_.name()},
                    {"primary", group_.primary_id()},
                    {"verdict", to_string(verdict)},
                    {"silence_ms", to_milliseconds(group_.failure_detector().silence(current))}});
    }
    if (running_ == nullptr && !reading_members_ && may_start && current >= not_before_) {
        start_if_settled(verdict);
    }
}

bool failover_driver::reaches_replicas() const {
    const std::string old_primary = group_.primary_to_replace();
    return std::all_of(group_.instances().begin(), group_.instances().end(),
                       [&](const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry) {
                           return entry.first == old_primary || entry.second->is_usable();
                       });
}

void failover_driver::start_if_settled(primary_verdict verdict) {
    trusted_members_.clear();
    // A primary that leaves has to be replaced before it ends, and is told to step down.
    if (group_.is_settled() && (group_.knows_departures() || verdict == primary_verdict::leaving)) {
        start(verdict);
        return;
    }
    reading_members_ = true;
    port_.recorded_members(group_.name(), [this, verdict, era = lease_.era()](
                                              const std::optional<std::vector<std::string>>& recorded) {
        reading_members_ = false;
        // A settled group needs the record only to learn of members that have departed unseen.
        if (recorded && group_.is_settled() && group_.knows_all(*recorded)) {
            start(verdict);
            return;
        }
        if (recorded && all_present(*recorded)) {
            trusted_members_ = group_.keys_to_record();
            trusted_era_ = era;
            start(verdict);
            return;
        }
        not_before_ = group_.now() + settings_.retry_pause;
        log_.write(log_level::warning, "failover", "members_not_settled",
                   {{"group", group_.name()}, {"recorded", recorded.has_value()}});
    });
}

bool failover_driver::all_present(const std::vector<std::string>& recorded) const {
    const std::string old_primary = group_.member_key(group_.primary_to_replace());
    const std::vector<std::string> present = group_.keys_to_record();
    return std::all_of(recorded.begin(), recorded.end(), [&](const std::string& key) {
        return key == old_primary || std::find(present.begin(), present.end(), key) != present.end();
    });
}

void failover_driver::start(primary_verdict verdict) {
    std::vector<promotion_member> members;
    bool has_candidate = false;
    for (const std::map<std::string, std::unique_ptr<proxy_instance>>::value_type& entry :
         group_.instances()) {
        const listed_instance& listed = entry.second->listed();
        members.push_back({listed.id, listed.draining, listed.claims_primary});
        has_candidate = has_candidate || (!listed.draining && listed.id != group_.primary_id());
    }
    const std::string old_primary = add_departed(members);
    // A draining primary is replaced only by an instance that is not draining itself.
    if (verdict == primary_verdict::leaving && !has_candidate) {
        return;
    }
    const bool replace_replicating = group_.now() - *verdict_since_ >= settings_.replicating_limit;
    running_ =
        std::make_shared<fenced_promotion>(group_.name(), lease_, log_, settings_.promotion, make_hooks());
    const std::shared_ptr<fenced_promotion> started = running_;
    started->start(
        std::move(members), old_primary, group_.term(), verdict, replace_replicating,
        [this, alive = std::weak_ptr<bool>(alive_)](fenced_promotion_outcome outcome, const std::string& id) {
            if (!alive.expired()) {
                on_promotion_end(outcome, id);
            }
        });
}

std::string failover_driver::add_departed(std::vector<promotion_member>& members) const {
    std::string old_primary = group_.primary_to_replace();
    for (const std::string& id : group_.departed_ids()) {
        if (!group_.has_led(id)) {
            promotion_member departed;
            departed.id = id;
            departed.departed = true;
            members.push_back(departed);
        } else if (old_primary.empty()) {
            old_primary = id;
        }
    }
    return old_primary;
}

fenced_promotion_hooks failover_driver::make_hooks() {
    fenced_promotion_hooks hooks;
    hooks.ask_status = [this](const std::string& id, const fenced_promotion_hooks::answer_handler& done) {
        call_instance(id, command_kind::status, 0, done);
    };
    hooks.has_led = [this](const std::string& id) { return group_.has_led(id); };
    hooks.has_ended = [this](const std::string& id) { return !group_.is_departed(id); };
    hooks.known_term = [this] { return group_.term(); };
    hooks.known_primary = [this] { return group_.primary_id(); };
    hooks.fence = [this](const std::string& id, term_number term,
                         const fenced_promotion_hooks::answer_handler& done) {
        call_instance(id, command_kind::fence, term, done);
    };
    hooks.unfence = [this](const std::string& id, const fenced_promotion_hooks::answer_handler& done) {
        call_and_log(id, command_kind::unfence, 0, done);
    };
    hooks.step_down = [this](const std::string& id, term_number term) {
        call_and_log(id, command_kind::step_down, term, nullptr);
    };
    hooks.list_members = [this](
                             std::function<void(const std::optional<std::vector<promotion_member>>&)> done) {
        port_.list_instances(group_.name(), [done = std::move(done)](
                                                const std::optional<std::vector<listed_instance>>& listed) {
            if (!listed) {
                done(std::nullopt);
                return;
            }
            std::vector<promotion_member> members;
            for (const listed_instance& instance : *listed) {
                members.push_back({instance.id, instance.draining, instance.claims_primary});
            }
            done(members);
        });
    };
    hooks.is_settled = [this] {
        return group_.is_settled() ||
               (lease_.era() == trusted_era_ && group_.keys_to_record() == trusted_members_);
    };
    hooks.settled_position = [this] { return group_.settled_position(); };
    hooks.promote = [this](const std::string& id, std::uint64_t token,
                           std::function<void(promotion_call_result)> done) {
        port_.promote(group_.name(), id, token, std::move(done));
    };
    hooks.call_after = [this](duration delay, std::function<void()> action) {
        port_.call_after(delay, std::move(action));
    };
    hooks.now = [this] { return group_.now(); };
    return hooks;
}

void failover_driver::call_instance(const std::string& id, command_kind kind, term_number term,
                                    const fenced_promotion_hooks::answer_handler& done) {
    const std::shared_ptr<instance_call> call = std::make_shared<instance_call>();
    call->id = id;
    call->kind = kind;
    call->term = term;
    call->done = done;
    call->deadline = group_.now() + settings_.answer_timeout;
    port_.call_after(settings_.answer_timeout, [this, call, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            time_out_call(*call);
        }
    });
    send_call(call);
}

void failover_driver::send_call(const std::shared_ptr<instance_call>& call) {
    if (!call->done || group_.now() >= call->deadline) {
        return;
    }
    proxy_instance* instance = group_.find_member(call->id);
    if (instance == nullptr) {
        call->answer(std::nullopt);
        return;
    }
    pooled_connection* connection = connection_for(*instance, call->kind);
    if (connection == nullptr) {
        // The connection is still being opened, or cannot be opened yet.
        port_.call_after(connection_poll_interval, [this, call, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired()) {
                send_call(call);
            }
        });
        return;
    }
    instance_command command;
    command.kind = call->kind;
    command.term = call->term;
    call->connection_number = connection->number();
    connection->send(command, [call, target = connection](instance_answer& answer) {
        const bool is_done = answer.result.outcome == statement_outcome::done && answer.status;
        const std::uint64_t run = target->owner().control_number().value_or(target->number());
        if (target->is_used()) {
            target->owner().return_to_pool(*target);
        }
        call->answer(is_done ? std::optional(member_answer{run, *answer.status}) : std::nullopt);
    });
}

pooled_connection* failover_driver::connection_for(proxy_instance& instance, command_kind kind) {
    if (kind == command_kind::fence) {
        return instance.fence_connection();
    }
    // The answer to a status call on the control connection could be a copy of the one to its fence.
    if (kind == command_kind::status && instance.repeats_answers()) {
        return instance.take_for_status_call();
    }
    return instance.control_connection();
}

void failover_driver::time_out_call(instance_call& call) {
    if (!call.done) {
        return;
    }
    // Close the connection: a call delayed by a network partition could otherwise arrive when the partition
    // heals, during a promotion by another daemon.
    proxy_instance* instance = group_.find_member(call.id);
    if (instance != nullptr && call.connection_number != 0) {
        instance->drop_overdue(call.connection_number);
    }
    call.answer(std::nullopt);
}

void failover_driver::instance_call::answer(const std::optional<member_answer>& result) {
    const fenced_promotion_hooks::answer_handler handler = std::move(done);
    done = nullptr;
    if (handler) {
        handler(result);
    }
}

void failover_driver::call_and_log(const std::string& id, command_kind kind, term_number term,
                                   const fenced_promotion_hooks::answer_handler& done) {
    call_instance(id, kind, term, [this, id, kind, done](const std::optional<member_answer>& answer) {
        log_.write(log_level::info, "failover", kind == command_kind::unfence ? "unfenced" : "stepped_down",
                   {{"group", group_.name()}, {"instance", id}, {"answered", answer.has_value()}});
        if (done) {
            done(answer);
        }
    });
}

void failover_driver::on_promotion_end(fenced_promotion_outcome outcome, const std::string& /*id*/) {
    running_.reset();
    not_before_ = group_.now() + settings_.retry_pause + settings_.stagger * position_;
    if (outcome == fenced_promotion_outcome::promoted) {
        group_.counters().promotions.add();
    }
    group_.poll_instances();
}

} // namespace gentianhill
