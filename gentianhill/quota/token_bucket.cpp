#include "gentianhill/quota/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace gentianhill {

double token_bucket::set_share(const quota_share& share, time_point now) {
    advance(now);
    share_ = share;
    const double room = std::max(share_.capacity - static_cast<double>(in_use_), 0.0);
    const double surplus = std::max(level_ - room, 0.0);
    level_ -= surplus;
    return surplus;
}

void token_bucket::add(double tokens, time_point now) {
    advance(now);
    const double room = std::max(share_.capacity - static_cast<double>(in_use_) - level_, 0.0);
    level_ += std::clamp(tokens, 0.0, room);
}

std::int64_t token_bucket::take(std::int64_t wanted, duration life, time_point now) {
    advance(now);
    const std::int64_t taken =
        std::clamp(static_cast<std::int64_t>(std::floor(level_)), std::int64_t{0}, wanted);
    if (taken > 0) {
        level_ -= static_cast<double>(taken);
        in_use_ += taken;
        grants_.push_back({now + life, taken});
    }
    return taken;
}

double token_bucket::move_out(double wanted, time_point now) {
    advance(now);
    const double moved = std::clamp(wanted, 0.0, level_);
    level_ -= moved;
    return moved;
}

double token_bucket::level(time_point now) {
    advance(now);
    return level_;
}

double token_bucket::in_use(time_point now) {
    advance(now);
    return static_cast<double>(in_use_);
}

quota_share token_bucket::effective_share(time_point now) {
    return {share_.rate, std::max(share_.capacity, in_use(now))};
}

void token_bucket::advance(time_point now) {
    while (!grants_.empty() && grants_.front().ends_at <= now) {
        fill(grants_.front().ends_at);
        in_use_ -= grants_.front().tokens;
        grants_.pop_front();
    }
    fill(now);
}

void token_bucket::fill(time_point until) {
    if (until <= filled_at_) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(until - filled_at_).count();
    const double limit = std::max(share_.capacity - static_cast<double>(in_use_), 0.0);
    level_ = std::min(level_ + share_.rate * elapsed, std::max(limit, level_));
    filled_at_ = until;
}

} // namespace gentianhill
