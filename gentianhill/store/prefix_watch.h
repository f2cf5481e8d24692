#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gentianhill {

/// Limits of a watch.
struct prefix_watch_settings {
    /// Keys to watch, such as tickets/.
    std::string prefix;
    /// Longest time that one long poll stays open.
    duration poll_wait = std::chrono::seconds{20};
    /// Delays after a failure.
    http2::backoff_settings retry{std::chrono::milliseconds{100}, std::chrono::seconds{5}, 0.5};
    /// Versions of removed objects that are remembered, so that an old copy does not bring them back.
    std::size_t max_removed_versions = 4096;
};

/// Follows all objects below a prefix: lists them, then waits for changes with long polls, and lists again
/// after a gap or a failure. Reported versions only rise per key, even if the store answers from an old copy.
class prefix_watch {
public:
    /// Called for each new or changed object; the value of a removed one is null.
    using change_handler = std::function<void(const stored_object&)>;

    /// The store must outlive the watch; `random` returns uniform values in [0, 1).
    prefix_watch(event_loop& loop, object_store& store, const prefix_watch_settings& settings,
                 std::function<double()> random);
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    /// Called for each change, in the order of the store.
    change_handler on_change;
    /// Called after each complete list has been reported; may be empty.
    std::function<void()> on_listed;

    /// Begins to follow; does nothing when it already does.
    void start();
    /// Stops following; start() continues with a new list. Versions are kept.
    void stop();
    [[nodiscard]] bool is_running() const { return running_; }
    /// Time of the last answer that confirmed the state; nothing before the first one.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
    /// Lists read since the start.
    [[nodiscard]] std::uint64_t list_count() const { return list_count_; }
    /// Objects that were ignored since a newer version had been reported.
    [[nodiscard]] std::uint64_t stale_count() const { return stale_count_; }

private:
    struct known_version {
        std::uint64_t version = 0;
        bool removed = false;
    };

    void list();
    void poll();
    void listed(const list_result& result);
    void polled(const watch_result& result);
    void report(const stored_object& object);
    /// Reports objects that a list no longer has; false when a handler stopped or destroyed the watch.
    [[nodiscard]] bool report_missing(const list_result& result);
    void forget_old_removals();
    void schedule(duration delay, void (prefix_watch::*step)());
    /// Repeats a step after a delay that grows until a poll succeeds.
    void try_later(void (prefix_watch::*step)());

    event_loop& loop_;
    object_store& store_;
    prefix_watch_settings settings_;
    http2::backoff backoff_;
    std::map<std::string, known_version> known_;
    std::size_t removed_count_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t generation_ = 0;
    bool running_ = false;
    time_point poll_started_{};
    std::optional<time_point> confirmed_at_;
    std::uint64_t list_count_ = 0;
    std::uint64_t stale_count_ = 0;
    timer retry_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
