#pragma once

#include <compare>
#include <cstdint>

namespace gentianhill {

/// Number of a term of a database group; 0 means none yet.
using term_number = std::uint64_t;

/// Position in the log of a database group. Ordered by term, then by index: every confirmed entry of an older
/// term is in the log of each newer primary, so a log up to a greater position includes all confirmed entries
/// up to a smaller one.
struct log_position {
    /// Term in which the entry was written.
    term_number term = 0;
    /// Index of the entry in the log, counted from 1; 0 means an empty log.
    std::uint64_t position = 0;

    // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend std::strong_ordering operator<=>(const log_position&, const log_position&) = default;
};

} // namespace gentianhill
