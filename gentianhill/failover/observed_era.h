#pragma once

#include "gentianhill/core/time.h"

#include <cstdint>

namespace gentianhill {

/// Newest era of the metadata store that this process knows of, and since when.
///
/// A claim in an earlier era was sent before the store was restored, so it is over once a claim's whole
/// lifetime has passed since any process could know the present era.
class observed_era {
public:
    /// Records that an answer of the store, or a state of it relayed by another daemon, is of `era`. Returns
    /// true if that era is newer than all before.
    bool observe(std::uint64_t era, time_point now) {
        if (era <= number_) {
            return false;
        }
        number_ = era;
        since_ = now;
        return true;
    }
    /// Begins again with an era of the store's own, because the known one was never an era of the store.
    void correct(std::uint64_t era, time_point now) {
        number_ = era;
        since_ = now;
    }
    /// Number of the era; 0 while none is known or the store does not state one.
    [[nodiscard]] std::uint64_t number() const { return number_; }
    /// Time since which the era is known.
    [[nodiscard]] time_point since() const { return since_; }
    /// True once the era has been known for `length`; always true without eras.
    [[nodiscard]] bool is_known_for(duration length, time_point now) const {
        return number_ == 0 || now - since_ >= length;
    }

private:
    std::uint64_t number_ = 0;
    time_point since_;
};

} // namespace gentianhill
