#include "gentianhill/promotion/promotion.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 9> phase_names{
    "idle", "asking", "waiting_rank", "fencing", "checking", "promoting", "following", "done", "failed"};
constexpr std::array<std::string_view, 8> failure_names{"none",          "peer_saw_commit", "no_majority",
                                                        "no_claim",      "superseded",      "promote_failed",
                                                        "not_confirmed", "cancelled"};

} // namespace

std::string_view to_string(promotion_phase phase) {
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::string_view to_string(promotion_failure failure) {
    return failure_names.at(static_cast<std::size_t>(failure));
}

promotion::promotion(const group_configuration& configuration, const promotion_settings& settings,
                     promotion_hooks hooks)
    : configuration_(configuration), settings_(settings), hooks_(std::move(hooks)) {
    for (const instance_configuration& instance : configuration_.instances) {
        members_.push_back(member{instance.name, false, std::nullopt, false, std::nullopt});
    }
}

bool promotion::is_running() const {
    return phase_ != promotion_phase::idle && phase_ != promotion_phase::done &&
           phase_ != promotion_phase::failed;
}

promotion::member* promotion::find(const std::string& instance) {
    for (member& candidate : members_) {
        if (candidate.name == instance) {
            return &candidate;
        }
    }
    return nullptr;
}

void promotion::enter_phase(promotion_phase next, time_point now) {
    phase_ = next;
    phase_since_ = now;
    last_sent_ = now;
}

void promotion::finish(promotion_failure failure, time_point now) {
    enter_phase(failure == promotion_failure::none ? promotion_phase::done : promotion_phase::failed, now);
    hooks_.on_finished(promotion_result{failure, term_, chosen_primary_, times_, now});
}

void promotion::start(term_number base_term, std::size_t rank, time_point now, const std::string& excluded) {
    if (is_running()) {
        return;
    }
    for (member& target : members_) {
        target = member{target.name, false, std::nullopt, false, std::nullopt};
    }
    base_term_ = base_term;
    highest_seen_ = base_term;
    term_ = 0;
    rank_ = rank;
    chosen_primary_.clear();
    excluded_ = excluded;
    times_ = promotion_times{};
    times_.detected = now;

    // Ask before fencing: a daemon that reaches only a minority must not raise the terms of its instances.
    enter_phase(promotion_phase::asking, now);
    opinions_awaited_ = hooks_.ask_peers();
    send_requests();
}

void promotion::cancel(time_point now) {
    if (phase_ == promotion_phase::asking || phase_ == promotion_phase::waiting_rank) {
        finish(promotion_failure::cancelled, now);
    }
}

void promotion::on_loop_gap(time_point now) {
    if (is_running() && phase_ != promotion_phase::promoting && phase_ != promotion_phase::following) {
        finish(promotion_failure::cancelled, now);
    }
}

void promotion::send_requests() {
    for (const member& target : members_) {
        switch (phase_) {
        case promotion_phase::asking:
            hooks_.query_status(target.name);
            break;
        case promotion_phase::fencing:
            if (!target.fence_report && target.name != excluded_) {
                hooks_.fence(target.name, term_);
            }
            break;
        case promotion_phase::checking:
            if (target.in_check_round) {
                hooks_.query_status(target.name);
            } else if (!target.fence_report && target.name != excluded_) {
                hooks_.fence(target.name, term_);
            }
            break;
        case promotion_phase::promoting:
            // Only the chosen instance: two primaries of one term could confirm different entries.
            if (target.name == chosen_primary_) {
                hooks_.promote(target.name, term_);
            }
            break;
        case promotion_phase::following:
            if (target.name != chosen_primary_) {
                hooks_.follow(target.name, term_, chosen_primary_);
            }
            break;
        case promotion_phase::idle:
        case promotion_phase::waiting_rank:
        case promotion_phase::done:
        case promotion_phase::failed:
            break;
        }
    }
}

void promotion::on_peer_opinion(const std::string& zone, bool saw_commit, time_point now) {
    static_cast<void>(zone);
    if (phase_ != promotion_phase::asking && phase_ != promotion_phase::waiting_rank) {
        return;
    }
    if (saw_commit) {
        finish(promotion_failure::peer_saw_commit, now);
        return;
    }
    opinions_awaited_ -= opinions_awaited_ > 0 ? 1 : 0;
    if (phase_ == promotion_phase::asking && opinions_awaited_ == 0) {
        finish_asking(now);
    }
}

void promotion::on_status_answer(const std::string& instance, const std::optional<instance_report>& report,
                                 const error& reason, time_point now) {
    static_cast<void>(reason);
    member* target = find(instance);
    if (!is_running() || target == nullptr || !report) {
        return;
    }
    if (phase_ == promotion_phase::asking) {
        // A term above base_term_ belongs to an attempt of another daemon.
        if (report->initialised && report->accepted_term > base_term_) {
            finish(promotion_failure::superseded, now);
            return;
        }
        target->answered |= report->initialised;
        if (opinions_awaited_ == 0) {
            finish_asking(now);
        }
        return;
    }
    if (report->initialised) {
        observe_term(report->accepted_term, now);
    }
    if (phase_ == promotion_phase::checking && target->in_check_round) {
        on_check_answer(*target, *report, now);
    }
}

void promotion::finish_asking(time_point now) {
    const std::size_t answered = static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [this](const member& target) { return target.answered && target.name != excluded_; }));
    const bool timed_out = now - phase_since_ >= settings_.ask_timeout;
    if (answered >= configuration_.majority()) {
        enter_phase(promotion_phase::waiting_rank, now);
        if (rank_ == 0) {
            begin_fencing(now);
        }
    } else if (timed_out) {
        finish(promotion_failure::no_majority, now);
    }
}

void promotion::begin_fencing(time_point now) {
    const std::optional<term_number> claim = hooks_.take_claim(highest_seen_);
    if (!claim) {
        finish(promotion_failure::no_claim, now);
        return;
    }
    assert(*claim > highest_seen_);
    term_ = *claim;
    highest_seen_ = term_;
    times_.claimed = now;
    enter_phase(promotion_phase::fencing, now);
    send_requests();
}

void promotion::on_fence_answer(const std::string& instance, const std::optional<instance_report>& report,
                                const error& reason, time_point now) {
    member* target = find(instance);
    if ((phase_ != promotion_phase::fencing && phase_ != promotion_phase::checking) || target == nullptr) {
        return;
    }
    if (report && report->initialised && report->accepted_term > term_) {
        finish(promotion_failure::superseded, now);
        return;
    }
    if (reason.failed() || !report || !report->initialised || report->accepted_term != term_) {
        if (reason.code == error_code::stale_term) {
            finish(promotion_failure::superseded, now);
        }
        return;
    }
    // An answer that arrives during a round of checks is counted in the next round: the instance may have
    // accepted the term only after another instance of this round had lost it.
    if (!target->fence_report) {
        target->fence_report = report;
    }
    if (phase_ == promotion_phase::fencing) {
        begin_checking(now);
    }
}

void promotion::begin_checking(time_point now) {
    const std::size_t fenced =
        static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const member& target) {
            return target.fence_report.has_value();
        }));
    if (fenced < configuration_.majority()) {
        return;
    }
    for (member& target : members_) {
        target.in_check_round = target.fence_report.has_value();
        target.check_report.reset();
    }
    enter_phase(promotion_phase::checking, now);
    send_requests();
}

void promotion::on_check_answer(member& target, const instance_report& report, time_point now) {
    // The answer to a request sent before this round does not prove that the term is still held.
    if (report.requested_at < phase_since_) {
        return;
    }
    const bool still_holds =
        report.initialised && report.accepted_term == term_ &&
        report.last_entry == target.fence_report->last_entry &&
        (target.fence_report->state_id.empty() || report.state_id == target.fence_report->state_id);
    if (!still_holds) {
        // The instance has lost the state with which it answered the fence.
        target.fence_report.reset();
        target.in_check_round = false;
        enter_phase(promotion_phase::fencing, now);
        begin_checking(now);
        if (phase_ == promotion_phase::fencing) {
            send_requests();
        }
        return;
    }
    target.check_report = report;
    const std::size_t checked =
        static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const member& other) {
            return other.check_report.has_value();
        }));
    if (checked >= configuration_.majority()) {
        times_.fenced = now;
        begin_promoting(now);
    }
}

void promotion::begin_promoting(time_point now) {
    // The highest log of a majority includes every confirmed entry. Among equal logs, prefer an instance that
    // is not leaving.
    const member* best = nullptr;
    for (const member& target : members_) {
        if (!target.check_report) {
            continue;
        }
        if (best == nullptr || target.check_report->last_entry > best->check_report->last_entry ||
            (target.check_report->last_entry == best->check_report->last_entry &&
             best->check_report->leaving && !target.check_report->leaving)) {
            best = &target;
        }
    }
    assert(best != nullptr);
    chosen_primary_ = best->name;
    enter_phase(promotion_phase::promoting, now);
    send_requests();
}

void promotion::on_promote_answer(const std::string& instance, bool promoted, const error& reason,
                                  time_point now) {
    if (phase_ != promotion_phase::promoting || instance != chosen_primary_) {
        return;
    }
    if (promoted) {
        times_.promoted = now;
        begin_following(now);
    } else if (reason.code == error_code::stale_term) {
        finish(promotion_failure::superseded, now);
    }
}

void promotion::begin_following(time_point now) {
    enter_phase(promotion_phase::following, now);
    send_requests();
}

void promotion::observe_term(term_number term, time_point now) {
    if (!is_running() || term <= highest_seen_) {
        return;
    }
    highest_seen_ = term;
    finish(promotion_failure::superseded, now);
}

void promotion::observe_confirmed(log_position confirmed, time_point now) {
    if (phase_ == promotion_phase::following && confirmed.term == term_) {
        times_.confirmed = now;
        finish(promotion_failure::none, now);
    }
}

void promotion::tick(time_point now) {
    handle_phase_timeouts(now);
    if (phase_ == promotion_phase::checking && now - phase_since_ >= settings_.check_limit) {
        begin_checking(now);
    }
    if (is_running() && phase_ != promotion_phase::checking && now - last_sent_ >= settings_.resend_after) {
        last_sent_ = now;
        send_requests();
    }
}

void promotion::handle_phase_timeouts(time_point now) {
    const duration in_phase = now - phase_since_;
    switch (phase_) {
    case promotion_phase::asking:
        if (in_phase >= settings_.ask_timeout) {
            finish_asking(now);
        }
        break;
    case promotion_phase::waiting_rank:
        if (in_phase >= settings_.rank_delay * static_cast<std::int64_t>(rank_)) {
            begin_fencing(now);
        }
        break;
    case promotion_phase::fencing:
    case promotion_phase::checking:
        if (now - *times_.claimed >= settings_.fence_limit) {
            finish(promotion_failure::no_majority, now);
        }
        break;
    case promotion_phase::promoting:
        if (in_phase >= settings_.promote_limit) {
            finish(promotion_failure::promote_failed, now);
        }
        break;
    case promotion_phase::following:
        if (in_phase >= settings_.confirm_limit) {
            finish(promotion_failure::not_confirmed, now);
        }
        break;
    case promotion_phase::idle:
    case promotion_phase::done:
    case promotion_phase::failed:
        break;
    }
}

} // namespace gentianhill
