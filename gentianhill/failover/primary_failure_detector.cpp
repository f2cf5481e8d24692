#include "gentianhill/failover/primary_failure_detector.h"

#include <algorithm>
#include <array>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 6> verdict_names{"healthy", "unreachable", "not_committing",
                                                        "leaving", "missing",     "replicas_fenced"};
/// A single failure may be a broken connection; two without an answer in between indicate a failed primary.
constexpr std::int64_t min_failures = 2;

} // namespace

std::string_view to_string(primary_verdict verdict) {
    return verdict_names.at(static_cast<std::size_t>(verdict));
}

void primary_failure_detector::reset(bool has_primary, time_point now) {
    has_primary_ = has_primary;
    leaving_ = false;
    missing_since_ = now;
    last_answer_ = now;
    failures_ = 0;
    refusals_ = 0;
    last_acknowledged_sent_at_.reset();
    commit_stalled_ = false;
    fenced_since_.clear();
}

void primary_failure_detector::on_replica_fence_state(const std::string& id, bool is_fenced, time_point now) {
    if (is_fenced) {
        fenced_since_.emplace(id, now);
    } else {
        fenced_since_.erase(id);
    }
}

void primary_failure_detector::on_answer(time_point now) {
    last_answer_ = now;
    failures_ = 0;
    refusals_ = 0;
}

void primary_failure_detector::on_failure(bool refused, time_point /*now*/) {
    ++failures_;
    if (refused) {
        ++refusals_;
    }
}

void primary_failure_detector::on_commit_acknowledged(time_point sent_at) {
    if (!last_acknowledged_sent_at_ || *last_acknowledged_sent_at_ < sent_at) {
        last_acknowledged_sent_at_ = sent_at;
    }
    commit_stalled_ = false;
}

void primary_failure_detector::on_commit_waiting(time_point sent_at, time_point now) {
    // If a later commit was acknowledged, this one is merely slow.
    const bool overtaken = last_acknowledged_sent_at_ && *last_acknowledged_sent_at_ > sent_at;
    if (!overtaken && now - sent_at >= settings_.commit_stall_limit) {
        commit_stalled_ = true;
    }
}

primary_verdict primary_failure_detector::verdict(time_point now) const {
    if (!has_primary_) {
        return now - missing_since_ >= settings_.missing_limit ? primary_verdict::missing
                                                               : primary_verdict::healthy;
    }
    const duration silent_for = silence(now);
    if (failures_ >= min_failures && silent_for >= settings_.silence_limit) {
        return primary_verdict::unreachable;
    }
    if (refusals_ >= min_failures && silent_for >= settings_.refusal_limit) {
        return primary_verdict::unreachable;
    }
    const bool left_fenced = std::any_of(fenced_since_.begin(), fenced_since_.end(),
                                         [&](const std::map<std::string, time_point>::value_type& entry) {
                                             return now - entry.second >= settings_.stale_fence_limit;
                                         });
    if (left_fenced) {
        return primary_verdict::replicas_fenced;
    }
    if (commit_stalled_) {
        return primary_verdict::not_committing;
    }
    return leaving_ ? primary_verdict::leaving : primary_verdict::healthy;
}

} // namespace gentianhill
