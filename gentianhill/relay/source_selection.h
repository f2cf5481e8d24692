#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of the choice of sources.
struct source_selection_settings {
    /// Healthy sources wanted; the second one covers the failure of the first.
    std::size_t wanted = 2;
    /// Sources asked at the same time when some of them are not healthy.
    std::size_t max_asked = 4;
    /// A source whose state is older than this is not healthy.
    duration max_age = std::chrono::milliseconds(6500);
    /// Pause before a source that has failed is asked again; doubles with each failure, up to the maximum.
    duration min_pause = std::chrono::milliseconds(500);
    duration max_pause = std::chrono::seconds(8);
};

/// Chooses the daemons from which a daemon takes the state of the metadata store: the first healthy ones that
/// are ranked above it in its zone. With fewer than wanted it watches the store itself, so that the first
/// daemons of each zone do.
class source_selection {
public:
    explicit source_selection(const source_selection_settings& settings) : settings_(settings) {}

    /// Result of a choice.
    struct choice {
        /// Daemons to ask, by rank.
        std::vector<std::string> sources;
        /// True when the daemon watches the store itself.
        bool watches_store = true;
    };

    /// Sets the daemons that are ranked above this one, highest first.
    void set_candidates(std::vector<std::string> ranked_above);
    /// Records an answer of a source: whether the store answers it, and the age of its state.
    void on_answer(const std::string& name, bool store_reachable, duration age);
    /// Records that a source did not answer or has refused.
    void on_failure(const std::string& name, time_point now);
    /// Returns the sources to ask now.
    [[nodiscard]] choice choose(time_point now) const;
    [[nodiscard]] bool is_healthy(const std::string& name) const;
    /// True when any source is healthy.
    [[nodiscard]] bool has_healthy() const;
    [[nodiscard]] const std::vector<std::string>& candidates() const { return candidates_; }

private:
    enum class source_health : std::uint8_t {
        /// Not asked yet; taken for healthy until its first answer.
        untested,
        healthy,
        /// Answers, but its state may be old.
        stale,
        failed,
    };
    struct source_state {
        source_health health = source_health::untested;
        unsigned failures = 0;
        time_point retry_at;
    };

    [[nodiscard]] const source_state& state_of(const std::string& name) const;

    source_selection_settings settings_;
    std::vector<std::string> candidates_;
    std::map<std::string, source_state> states_;
};

} // namespace gentianhill
