#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>

namespace gentianhill::standins {

/// Faults of the answers of instances. Shares are between 0 and 1.
struct answer_faults {
    /// Share of the answers with a signature that are sent a second time.
    double repeat_signed = 0;
    /// Share of the other answers to statements and commands that are sent a second time.
    double repeat_unsigned = 0;
    /// Longest time between an answer and its second sending.
    duration repeat_delay = std::chrono::milliseconds(80);
    /// Share of the answers that end in the middle, where the connection ends.
    double cut = 0;
    /// Share of the reads, writes and commits that are refused as busy, without having run.
    double busy = 0;
    /// Share of the reads, writes and commits that take up to 300 ms.
    double slow = 0;
    /// Longest time until a replica applies what it has received.
    duration apply_lag = std::chrono::milliseconds(8);
    /// Share of the rows that contain line feeds, carriage returns and other control characters.
    double odd_rows = 0;
    /// Bytes that are appended to each row.
    std::size_t row_bytes = 0;
};

} // namespace gentianhill::standins
