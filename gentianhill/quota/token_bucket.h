#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/quota/quota_share.h"

#include <cstdint>
#include <deque>

namespace gentianhill {

/// Token bucket of a share whose tokens are given out for a limited time. Tokens that are given out occupy
/// the capacity until they can't be used any more, so that at any moment those in the bucket and those in use
/// elsewhere are together at most the capacity. All times are of a clock that counts suspension.
class token_bucket {
public:
    /// Changes the share and returns the tokens that a lower capacity has no room for. A new bucket is empty.
    double set_share(const quota_share& share, time_point now);
    /// Adds tokens taken out of another bucket of the same team, up to the capacity.
    void add(double tokens, time_point now);
    /// Takes up to `wanted` whole tokens, which may be used until `now + life`.
    [[nodiscard]] std::int64_t take(std::int64_t wanted, duration life, time_point now);
    /// Takes up to `wanted` tokens for another bucket.
    [[nodiscard]] double move_out(double wanted, time_point now);

    /// Tokens in the bucket.
    [[nodiscard]] double level(time_point now);
    /// Tokens that may still be in use elsewhere.
    [[nodiscard]] double in_use(time_point now);
    /// Share that is in force: its capacity is not below the tokens in use, which a lower one can't take
    /// back.
    [[nodiscard]] quota_share effective_share(time_point now);
    [[nodiscard]] const quota_share& share() const { return share_; }

private:
    struct grant {
        time_point ends_at;
        std::int64_t tokens = 0;
    };

    void advance(time_point now);
    void fill(time_point until);

    quota_share share_;
    double level_ = 0;
    std::deque<grant> grants_;
    std::int64_t in_use_ = 0;
    time_point filled_at_;
};

} // namespace gentianhill
