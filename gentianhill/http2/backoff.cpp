#include "gentianhill/http2/backoff.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill::http2 {

backoff::backoff(const backoff_settings& settings, std::function<double()> random)
    : settings_(settings), random_(std::move(random)) {
    assert(settings_.initial.count() > 0 && settings_.maximum >= settings_.initial);
    assert(settings_.jitter >= 0 && settings_.jitter <= 1);
}

duration backoff::next() {
    // Beyond 2^20 times the initial delay the maximum applies in any case.
    constexpr unsigned max_doublings = 20;
    const duration grown = settings_.initial * (std::int64_t{1} << std::min(failures_, max_doublings));
    ++failures_;
    const duration full = std::min(grown, settings_.maximum);
    const double share = 1.0 - settings_.jitter * random_();
    return duration{static_cast<std::int64_t>(static_cast<double>(full.count()) * share)};
}

void backoff::reset() {
    failures_ = 0;
}

} // namespace gentianhill::http2
