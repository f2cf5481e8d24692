#pragma once

#include "gentianhill/content/content_cache.h"
#include "gentianhill/content/content_messages.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace gentianhill {

/// Receives the bytes of an answer, or nothing and the reason.
using content_answer_handler =
    std::function<void(const std::optional<std::string>& answer, const error& reason)>;

/// Limits of a sender.
struct content_sender_settings {
    /// Part of a compressed form in one answer, in bytes. On a link of 10 Mbit/s it delays other messages by
    /// 13 ms.
    std::size_t part_bytes = 16U << 10U;
    /// Receivers served at the same time; the others wait, so that some have the whole content early and the
    /// link stays usable for short messages.
    std::size_t max_receivers = 4;
    /// Receivers that may wait; a further one is refused.
    std::size_t max_waiting = 1024;
    /// Time after the last part in which a receiver has to ask for the next one, or another takes its place.
    duration receiver_limit = std::chrono::milliseconds(300);
    /// Time for which the request of a receiver that has to wait is held back.
    duration hold_limit = std::chrono::milliseconds(400);
};

/// Sends contents of a cache to other daemons, in parts that they ask for, to a few at a time in the order in
/// which they have come.
class content_sender {
public:
    /// `contents` and `log` must outlive the sender.
    content_sender(const content_sender_settings& settings, content_cache& contents, logger& log,
                   metrics& registry);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;

    /// Answers a content_request, at once or when it is the receiver's turn.
    void on_request(std::string_view message, content_answer_handler respond);
    /// Ends the turns of receivers that do not go on, and answers those that have waited for long; call it
    /// periodically.
    void tick();
    /// Refuses all requests from now on.
    void stop();

private:
    struct waiting_request {
        content_request request;
        /// Empty after the receiver was told to ask again.
        content_answer_handler respond;
        /// End of the hold, and then of the wait for the next request.
        time_point until;
    };

    /// Answers with the next part; ends the turn of the receiver with the last one.
    void send_part(const content_request& request, const content_answer_handler& respond);
    void serve_waiting();
    [[nodiscard]] bool has_turn(const std::string& daemon) const { return turns_.count(daemon) > 0; }

    content_sender_settings settings_;
    content_cache& contents_;
    logger& log_;
    /// Receivers that are served, and until when they have to ask for the next part.
    std::map<std::string, time_point> turns_;
    std::deque<waiting_request> waiting_;
    bool stopped_ = false;
    counter& bytes_sent_;
    counter& refused_;
    gauge& waiting_gauge_;
};

} // namespace gentianhill
