#include "gentianhill/promotion/claim_pool.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

claim_pool::claim_pool(daemon_incarnation self) : self_(std::move(self)) {}

void claim_pool::load(const claim_set& stored) {
    available_terms_ = stored.terms_owned_by(self_);
    observe_term(highest_seen_term_);
}

void claim_pool::observe_term(term_number term) {
    highest_seen_term_ = std::max(highest_seen_term_, term);
    std::erase_if(available_terms_, [this](term_number claim) { return claim <= highest_seen_term_; });
}

std::optional<term_number> claim_pool::take(term_number highest_seen) {
    observe_term(highest_seen);
    if (available_terms_.empty()) {
        return std::nullopt;
    }
    const term_number taken = available_terms_.front();
    observe_term(taken);
    return taken;
}

void claim_pool::forget() {
    available_terms_.clear();
}

std::optional<claim_set> claim_pool::replenish(const claim_set& stored, std::size_t count,
                                               error& reason) const {
    claim_set result = stored;
    std::size_t usable = 0;
    for (const term_number term : stored.terms_owned_by(self_)) {
        if (term > highest_seen_term_) {
            ++usable;
        } else {
            result = result.remove_claim(term);
        }
    }
    if (usable >= count) {
        return std::nullopt;
    }
    return result.reserve(self_, count - usable, highest_seen_term_, reason);
}

} // namespace gentianhill
