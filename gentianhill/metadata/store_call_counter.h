#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianhill {

/// Kind of a call to the metadata store.
enum class store_call : std::uint8_t { list, watch, get, put, remove };

/// Returns the name of a kind for metrics and logs.
[[nodiscard]] std::string_view to_string(store_call call);

/// Counts the calls to the metadata store by kind and collection, as metrics and in the log.
class store_call_counter {
public:
    /// `registry` and `log` must outlive the counter.
    store_call_counter(metrics& registry, logger& log) : registry_(registry), log_(log) {}

    /// Returns the store with every call counted. The counter must outlive the result.
    [[nodiscard]] metadata_store wrap(const metadata_store& store);
    /// Logs failed calls at most once a second, and the number of all calls every ten seconds.
    void tick(time_point now);
    /// Calls since the start.
    [[nodiscard]] std::uint64_t total() const { return total_; }

private:
    using call_kind = std::pair<store_call, store_collection>;
    struct call_counts {
        counter* calls = nullptr;
        counter* failures = nullptr;
        std::uint64_t failures_logged = 0;
    };

    call_counts& count(store_call call, store_collection collection);
    /// Wraps a handler so that a failed call is counted.
    [[nodiscard]] metadata_store::handler counted(store_call call, store_collection collection,
                                                  metadata_store::handler done);
    void log_failures();
    void log_calls();

    metrics& registry_;
    logger& log_;
    std::map<call_kind, call_counts> counts_;
    std::uint64_t total_ = 0;
    std::uint64_t total_logged_ = 0;
    std::optional<time_point> failures_logged_at_;
    std::optional<time_point> calls_logged_at_;
};

} // namespace gentianhill
