#include "gentianhill/promotion/claim_holder.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

claim_holder::claim_holder(daemon_incarnation self) : self_(std::move(self)) {}

void claim_holder::adopt(const claim_set& stored) {
    unused_ = stored.terms_of(self_);
    observe_term(floor_);
}

void claim_holder::observe_term(term_number term) {
    floor_ = std::max(floor_, term);
    std::erase_if(unused_, [this](term_number claim) { return claim <= floor_; });
}

std::optional<term_number> claim_holder::take(term_number highest_seen) {
    observe_term(highest_seen);
    if (unused_.empty()) {
        return std::nullopt;
    }
    const term_number taken = unused_.front();
    observe_term(taken);
    return taken;
}

} // namespace gentianhill
