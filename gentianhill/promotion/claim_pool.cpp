#include "gentianhill/promotion/claim_pool.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

claim_pool::claim_pool(daemon_incarnation self) : self_(std::move(self)) {}

void claim_pool::load(const claim_set& stored) {
    unused_ = stored.terms_owned_by(self_);
    observe_term(floor_);
}

void claim_pool::observe_term(term_number term) {
    floor_ = std::max(floor_, term);
    std::erase_if(unused_, [this](term_number claim) { return claim <= floor_; });
}

std::optional<term_number> claim_pool::take(term_number highest_seen) {
    observe_term(highest_seen);
    if (unused_.empty()) {
        return std::nullopt;
    }
    const term_number taken = unused_.front();
    observe_term(taken);
    return taken;
}

} // namespace gentianhill
