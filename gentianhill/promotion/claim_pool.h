#pragma once

#include "gentianhill/promotion/claim_set.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace gentianhill {

/// The claims that this process may still use for one group.
class claim_pool {
public:
    explicit claim_pool(daemon_incarnation self);

    /// Takes over this process's claims from content that the platform is known to hold: it was read, or the
    /// update that wrote it was confirmed. Claims used or superseded before stay unusable.
    void load(const claim_set& stored);
    /// Drops claims at or below a term that was seen anywhere.
    void observe_term(term_number term);
    /// Uses up and returns the lowest claim above `highest_seen`; nothing when there is none.
    [[nodiscard]] std::optional<term_number> take(term_number highest_seen);
    /// Number of usable claims.
    [[nodiscard]] std::size_t available() const { return unused_.size(); }
    [[nodiscard]] const daemon_incarnation& self() const { return self_; }

private:
    daemon_incarnation self_;
    // Ascending, all above floor_.
    std::vector<term_number> unused_;
    // Highest term used or seen.
    term_number floor_ = 0;
};

} // namespace gentianhill
