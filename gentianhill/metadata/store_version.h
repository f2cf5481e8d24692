#pragma once

#include <compare>
#include <cstdint>

namespace gentianhill {

/// Moment in the history of the metadata store. Revisions rise within an era. When the store is restored from
/// a copy, changes made after the copy are lost, the era rises by one, and revisions are given out again, so
/// that revisions of different eras can't be compared.
struct store_version {
    /// Number of the era; 0 for a store that does not state one.
    std::uint64_t era = 0;
    /// Revision of the store within the era.
    std::uint64_t revision = 0;

    // clang-tidy 14 mistakes the 0 in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const store_version&, const store_version&) = default;
};

} // namespace gentianhill
