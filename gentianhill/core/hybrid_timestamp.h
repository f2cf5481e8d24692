#pragma once

#include "gentianhill/core/error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace gentianhill {

/// Reading of a hybrid logical clock. Ordered consistently with causality between daemons; for ordering
/// and display only, never for a decision about safety.
struct hybrid_timestamp {
    /// Highest wall clock seen when the reading was taken, in milliseconds since the Unix epoch.
    std::int64_t wall_ms = 0;
    /// Distinguishes readings with the same wall_ms.
    std::uint32_t counter = 0;

    /// Parses the text of to_string(). Errors: bad_value, naming `field`.
    [[nodiscard]] static std::optional<hybrid_timestamp> parse(std::string_view text, std::string_view field,
                                                               error& reason);
    /// Compact text "wall_ms.counter", both in decimal.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const hybrid_timestamp&, const hybrid_timestamp&) = default;
    // Written out: clang-tidy 14 reports a literal 0 in the defaulted operator (modernize-use-nullptr).
    friend std::strong_ordering operator<=>(const hybrid_timestamp& a, const hybrid_timestamp& b) {
        return std::tie(a.wall_ms, a.counter) <=> std::tie(b.wall_ms, b.counter);
    }
};

} // namespace gentianhill
