#pragma once

#include "gentianhill/promotion/claim_set.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gentianhill {

/// Claims of this process that it may still use for one group.
class claim_pool {
public:
    explicit claim_pool(daemon_incarnation self);

    /// Loads the claims of this process from content that is known to be stored at the platform: it was read,
    /// or the update that wrote it was confirmed. Claims that were used or superseded remain unusable.
    void load(const claim_set& stored);
    /// Drops claims at or below a term that any instance or daemon has reported.
    void observe_term(term_number term);
    /// Removes and returns the lowest claim above `highest_seen`; nullopt when there is none.
    [[nodiscard]] std::optional<term_number> take(term_number highest_seen);
    /// Drops all claims, since a restore of the store has voided the reservations. Terms that were used or
    /// observed remain so.
    void forget();
    /// Content that reserves for this process what it lacks of `count` usable claims, above every term that
    /// it has used or observed; nullopt if nothing is lacking. Errors: those of claim_set::reserve.
    [[nodiscard]] std::optional<claim_set> replenish(const claim_set& stored, std::size_t count,
                                                     error& reason) const;
    /// Number of usable claims.
    [[nodiscard]] std::size_t available() const { return available_terms_.size(); }
    [[nodiscard]] const daemon_incarnation& self() const { return self_; }

private:
    daemon_incarnation self_;
    // Ascending, all above highest_seen_term_.
    std::vector<term_number> available_terms_;
    // Highest term used or observed.
    term_number highest_seen_term_ = 0;
};

} // namespace gentianhill
