#pragma once

#include "gentianhill/content/content_cache.h"
#include "gentianhill/content/content_messages.h"
#include "gentianhill/content/content_sender.h"
#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Limits of a receiver.
struct content_receiver_settings {
    /// Longest wait for one part: the hold of the sender, transit and processing on a loaded host.
    duration part_timeout = std::chrono::milliseconds(1000);
    /// Longest time without a part from a sender that tells this daemon to ask again.
    duration turn_limit = std::chrono::seconds(5);
    /// Time for which the parts of a content are kept after its sender was lost, so that another can go on.
    duration keep_limit = std::chrono::seconds(5);
    /// A transfer that takes longer is logged as a warning: the content is too large for the links and the
    /// number of receivers.
    duration late_limit = std::chrono::milliseconds(1500);
    /// Largest content, in bytes.
    std::size_t max_content_bytes = 16U << 20U;
    /// Texts named as bases in a request.
    std::size_t max_bases = 8;
    /// Contents that may be received at the same time, and their sizes together, in bytes.
    std::size_t max_transfers = 16;
    std::size_t max_transfer_bytes = 32U << 20U;
};

/// Receives contents from other daemons part by part and adds them to a cache. A transfer fails when its
/// sender is silent, not when it is slow.
class content_receiver {
public:
    /// Sends a content_request; the handler is called once, never from within the call.
    using request_port = std::function<void(const endpoint& server, std::string message, duration timeout,
                                            content_answer_handler done)>;

    /// `contents` and `log` must outlive the receiver. `name` is that of this daemon.
    content_receiver(const content_receiver_settings& settings, content_cache& contents, request_port port,
                     logger& log, metrics& registry, std::string name);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    /// Called when a content is in the cache; must be set.
    std::function<void(const content_digest& digest)> on_received;
    /// Called when a transfer has ended without the content; must be set.
    std::function<void(const content_digest& digest, const endpoint& sender, const error& reason)> on_failed;

    /// Begins to receive a content, or goes on with one whose sender was lost. False if that is not possible,
    /// since there is no port or too much is asked for.
    [[nodiscard]] bool receive(const content_reference& wanted, const endpoint& sender);
    [[nodiscard]] bool is_receiving(const content_digest& digest) const;
    /// Forgets parts that nobody went on with; call it periodically.
    void tick();

private:
    struct transfer {
        content_reference wanted;
        endpoint sender;
        /// Compressed form of which `bytes` has the beginning.
        std::optional<content_digest> encoding;
        std::size_t encoding_bytes = 0;
        std::optional<content_digest> base;
        std::string bytes;
        time_point began_at;
        /// Time of the last part, or of the first request to this sender.
        time_point advanced_at;
        std::uint64_t parts = 0;
        /// Time of the failure; nothing while the transfer runs.
        std::optional<time_point> failed_at;
        /// Bases are not offered again after a result that was not valid.
        bool takes_bases = true;
    };

    /// True if one more content can be received.
    [[nodiscard]] bool has_room_for(const content_reference& wanted) const;
    void request_part(const content_digest& digest);
    void on_part(const content_digest& digest, const std::optional<std::string>& answer, error reason);
    /// Adds the data of a part; false if it does not fit to what has arrived.
    [[nodiscard]] bool append(transfer& running, const content_part& part, error& reason) const;
    /// Decompresses and checks the content, and ends the transfer.
    void complete(const content_digest& digest);
    [[nodiscard]] std::optional<std::string> unpack(const transfer& finished, error& reason) const;
    void fail(const content_digest& digest, const error& reason);

    content_receiver_settings settings_;
    content_cache& contents_;
    request_port port_;
    logger& log_;
    std::string name_;
    std::map<content_digest, transfer> transfers_;
    counter& received_;
    counter& failed_;
    counter& bytes_received_;
    latency_histogram& time_ms_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
