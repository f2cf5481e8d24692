#include "gentianhill/promotion/failure_detector.h"

#include <array>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 3> health_names{"unknown", "healthy", "suspected"};
constexpr std::array<std::string_view, 6> reason_names{"none",           "connection_refused", "silent",
                                                       "not_committing", "not_confirming",     "no_primary"};

bool has_elapsed(const std::optional<time_point>& since, duration limit, time_point now) {
    return since && now - *since >= limit;
}

void shift_forward(std::optional<time_point>& since, duration gap) {
    if (since) {
        *since += gap;
    }
}

} // namespace

std::string_view to_string(primary_health health) {
    return health_names.at(static_cast<std::size_t>(health));
}

std::string_view to_string(suspicion_reason reason) {
    return reason_names.at(static_cast<std::size_t>(reason));
}

failure_detector::failure_detector(const failure_detector_settings& settings) : settings_(settings) {}

void failure_detector::discard_evidence() {
    answered_ = false;
    unanswered_since_.reset();
    refusals_ = 0;
    waiting_writes_ = 0;
    writes_since_answer_ = 0;
    uncommitted_since_.reset();
    unconfirmed_since_.reset();
}

void failure_detector::observe_primary(const std::optional<std::string>& instance, term_number term,
                                       time_point now) {
    if (instance == primary_ && term == term_ && (instance || no_primary_since_)) {
        return;
    }
    discard_evidence();
    last_confirmation_.reset();
    primary_ = instance;
    term_ = term;
    changed_at_ = now;
    no_primary_since_ = instance ? std::nullopt : std::optional<time_point>{now};
}

void failure_detector::on_request_sent(time_point now) {
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
}

void failure_detector::on_answer(time_point now) {
    static_cast<void>(now);
    answered_ = true;
    unanswered_since_.reset();
    refusals_ = 0;
}

void failure_detector::on_connection_refused(time_point now) {
    if (refusals_ == 0) {
        first_refusal_ = now;
    }
    ++refusals_;
    last_refusal_ = now;
    on_request_sent(now);
}

void failure_detector::on_request_unanswered(time_point now) {
    on_request_sent(now);
}

void failure_detector::on_write_sent(time_point now) {
    on_request_sent(now);
    ++waiting_writes_;
    ++writes_since_answer_;
    last_write_sent_ = now;
    if (!uncommitted_since_) {
        uncommitted_since_ = now;
    }
}

void failure_detector::on_write_answered(time_point now) {
    on_answer(now);
    waiting_writes_ -= waiting_writes_ > 0 ? 1 : 0;
    writes_since_answer_ = waiting_writes_;
    uncommitted_since_ = waiting_writes_ > 0 ? std::optional<time_point>{now} : std::nullopt;
}

void failure_detector::on_write_executed(time_point now) {
    on_write_answered(now);
    if (!unconfirmed_since_) {
        unconfirmed_since_ = now;
    }
}

void failure_detector::on_write_rejected(time_point now) {
    on_write_answered(now);
}

void failure_detector::on_write_unanswered(time_point now) {
    on_request_unanswered(now);
    waiting_writes_ -= waiting_writes_ > 0 ? 1 : 0;
}

void failure_detector::on_confirm_progress(bool all_confirmed, time_point now) {
    last_confirmation_ = now;
    unconfirmed_since_ = all_confirmed ? std::nullopt : std::optional<time_point>{now};
}

void failure_detector::observe_loop_gap(duration gap) {
    if (gap > settings_.loop_gap_limit) {
        discard_evidence();
        shift_forward(no_primary_since_, gap);
        return;
    }
    shift_forward(unanswered_since_, gap);
    shift_forward(uncommitted_since_, gap);
    shift_forward(unconfirmed_since_, gap);
    shift_forward(no_primary_since_, gap);
}

suspicion_reason failure_detector::find_suspicion(time_point now) const {
    if (has_elapsed(no_primary_since_, settings_.no_primary_limit, now)) {
        return suspicion_reason::no_primary;
    }
    // No process listens on the address: a slow or paused process would still accept connections.
    if (refusals_ >= settings_.refused_count && last_refusal_ - first_refusal_ >= settings_.refused_span) {
        return suspicion_reason::connection_refused;
    }
    if (changed_at_ && now - *changed_at_ < settings_.hysteresis) {
        return suspicion_reason::none;
    }
    if (has_elapsed(unanswered_since_, settings_.silence_limit, now)) {
        return suspicion_reason::silent;
    }
    // Either a write is still unanswered or writes failed repeatedly; a single lost connection is not enough.
    const bool writes_kept_failing =
        waiting_writes_ > 0 ||
        (uncommitted_since_ && last_write_sent_ - *uncommitted_since_ >= settings_.commit_limit / 2);
    if (has_elapsed(uncommitted_since_, settings_.commit_limit, now) && writes_kept_failing &&
        writes_since_answer_ >= settings_.unanswered_writes) {
        return suspicion_reason::not_committing;
    }
    if (has_elapsed(unconfirmed_since_, settings_.confirm_limit, now)) {
        return suspicion_reason::not_confirming;
    }
    return suspicion_reason::none;
}

primary_assessment failure_detector::assessment(time_point now) const {
    const suspicion_reason reason = find_suspicion(now);
    if (reason != suspicion_reason::none) {
        return primary_assessment{primary_health::suspected, reason};
    }
    const bool is_healthy = primary_ && answered_;
    return primary_assessment{is_healthy ? primary_health::healthy : primary_health::unknown,
                              suspicion_reason::none};
}

bool failure_detector::saw_confirmed_write(time_point now) const {
    return last_confirmation_ && now - *last_confirmation_ <= settings_.opinion_window &&
           assessment(now).health != primary_health::suspected;
}

} // namespace gentianhill
