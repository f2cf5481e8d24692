#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"

#include <boost/signals2/connection.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace gentianhill {

/// Settings of a watch.
struct prefix_watch_settings {
    /// Common prefix of the watched keys, such as tickets/.
    std::string prefix;
    /// Longest wait of one long poll.
    duration poll_wait = std::chrono::seconds{20};
    /// Backoff after a failure.
    http2::backoff_settings retry{std::chrono::milliseconds{100}, std::chrono::seconds{5}, 0.5};
    /// Removed objects whose versions are kept, so that a response from a stale replica does not restore
    /// them.
    std::size_t max_tombstones = 4096;
};

/// Watches all objects with a common key prefix: lists them, then waits for changes with long polls, and
/// lists them again after a gap, a failure or a restore of the store. Within an era the reported versions of
/// a key never decrease, even if a stale replica of the store answers.
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

    /// Called for each change, ordered by version within each response.
    change_handler on_change;
    /// Called after all objects of a list have been reported; may be empty.
    std::function<void()> on_listed;

    /// Starts the watch; no effect if it is already running.
    void start();
    /// Stops the watch. The known versions are kept; start() resumes with a new list.
    void stop();
    [[nodiscard]] bool is_running() const { return running_; }
    /// True if the object exists as of the state that was reported last.
    [[nodiscard]] bool has(const std::string& key) const;
    /// Time of the last response that confirmed the reported state; nullopt before the first one.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }
    /// Number of lists received since construction.
    [[nodiscard]] std::uint64_t list_count() const { return list_count_; }
    /// Number of objects that were ignored because a newer version had been reported.
    [[nodiscard]] std::uint64_t stale_count() const { return stale_count_; }

private:
    struct known_version {
        std::uint64_t era = 0;
        std::uint64_t version = 0;
        bool removed = false;
    };

    void list();
    void poll();
    void on_list_result(const list_result& result);
    void on_poll_result(const watch_result& result);
    void report(const stored_object& object, std::uint64_t era);
    /// Lists the objects of a new era at once, since the poll in progress may wait for revisions that were
    /// given out again.
    void restart();
    /// Reports the removal of known objects that are absent from a list. Returns false if a handler stopped
    /// or destroyed the watch.
    [[nodiscard]] bool report_removals(const list_result& result);
    void evict_oldest_tombstone();
    void schedule(duration delay, void (prefix_watch::*step)());
    /// Schedules a step after a backoff that grows until a poll succeeds.
    void retry_after_backoff(void (prefix_watch::*step)());

    event_loop& loop_;
    object_store& store_;
    prefix_watch_settings settings_;
    http2::backoff backoff_;
    std::map<std::string, known_version> known_;
    std::size_t tombstone_count_ = 0;
    /// Era and revision of the state as reported.
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t generation_ = 0;
    bool running_ = false;
    time_point poll_started_{};
    std::optional<time_point> confirmed_at_;
    std::uint64_t list_count_ = 0;
    std::uint64_t stale_count_ = 0;
    timer retry_timer_;
    boost::signals2::scoped_connection restored_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
