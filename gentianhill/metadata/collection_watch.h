#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/metadata/metadata_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace gentianhill {

/// Times of a watch.
struct collection_watch_settings {
    /// Time for which one call waits at the store. A connection that has gone silent is noticed after this
    /// and the call's own timeout, so it has to be well below the time in which a change must be in effect.
    duration wait = std::chrono::milliseconds(2500);
    /// First pause after a failed call; it doubles up to `max_pause`.
    duration min_pause = std::chrono::milliseconds(100);
    duration max_pause = std::chrono::milliseconds(800);
};

/// Follows a collection: lists it, then watches it, and lists it again when the history is lost.
class collection_watch {
public:
    /// `store` and `log` must outlive the watch.
    collection_watch(store_collection which, metadata_store& store, logger& log,
                     const collection_watch_settings& settings);
    ~collection_watch();
    collection_watch(const collection_watch&) = delete;
    collection_watch& operator=(const collection_watch&) = delete;

    /// Calls `action` after a time; must be set.
    std::function<void(duration delay, std::function<void()> action)> call_after;
    /// Random factor in [0, 1) that spreads the pauses of several watches.
    std::function<double()> random;
    /// A whole list has arrived.
    std::function<void(const std::vector<stored_object>&)> on_list;
    /// One object has changed.
    std::function<void(const store_event&)> on_event;
    /// The store has answered after a failure (true) or has failed after an answer (false).
    std::function<void(bool reachable)> on_reachable;

    /// Starts with a list.
    void start();
    /// Ends the watch; no hook is called any more.
    void stop();
    /// True while the last call was answered.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    /// True once a whole list has arrived.
    [[nodiscard]] bool is_complete() const { return complete_; }

private:
    void list(const std::string& after);
    void on_page(const store_answer& answer);
    void watch();
    void on_changes(const store_answer& answer);
    void retry(bool from_list);
    void set_reachable(bool reachable);

    store_collection which_;
    metadata_store& store_;
    logger& log_;
    collection_watch_settings settings_;
    std::vector<stored_object> page_items_;
    std::uint64_t revision_ = 0;
    duration pause_;
    bool reachable_ = false;
    bool complete_ = false;
    /// Answers that arrive after stop() find it expired.
    std::shared_ptr<bool> alive_;
};

} // namespace gentianhill
