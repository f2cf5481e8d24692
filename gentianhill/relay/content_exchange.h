#pragma once

#include "gentianhill/content/content_cache.h"
#include "gentianhill/content/content_receiver.h"
#include "gentianhill/content/content_sender.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/relay/relay_messages.h"
#include "gentianhill/relay/relay_port.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace gentianhill {

/// Limits of an exchange.
struct content_exchange_settings {
    /// Approximate size from which a content is sent apart from the answer that refers to it, in bytes.
    std::size_t large_content_bytes = 4096;
    content_cache_settings cache;
    content_sender_settings sender;
    content_receiver_settings receiver;
};

/// Keeps answers between daemons short: a large content is named by its digest, and sent apart to those that
/// lack it, compressed against a version that they have. What else an answer says is not held up by it.
class content_exchange {
public:
    /// `port` and `log` must outlive the exchange. `name` is that of this daemon.
    content_exchange(const content_exchange_settings& settings, relay_port& port, logger& log,
                     metrics& registry, const std::string& name);

    /// Clock that also advances while the host is suspended; must be set before the first call.
    std::function<time_point()> now;
    /// Called with the part of an answer that had been waiting for contents; must be set.
    std::function<void(const state_answer& answer, time_point asked_at)> on_complete;
    /// Called when the contents of an answer could not be got from the daemon that sent it; must be set.
    std::function<void(const endpoint& sender, const error& reason)> on_failed;

    /// True when this daemon can ask for contents.
    [[nodiscard]] bool takes_references() const { return static_cast<bool>(port_.fetch_content); }
    /// Adds the large contents of a replica to the cache, as bases of later versions.
    void remember(store_collection collection, const collection_replica& replica);
    /// Copy of an object for an answer; without its content, which is then named in `reference`, if that is
    /// large.
    [[nodiscard]] stored_object copy(store_collection collection, const stored_object& object,
                                     std::optional<content_reference>& reference);
    /// Fills in the contents that an answer refers to. Takes the updates out of it whose contents have to be
    /// fetched first, and what is true only together with them; on_complete() is called with these.
    void resolve(state_answer& answer, time_point asked_at, const endpoint& sender);
    /// True while contents of an answer of this daemon, or of any, are awaited.
    [[nodiscard]] bool awaits(const endpoint& sender) const;
    [[nodiscard]] bool awaits_any() const { return !waiting_.empty(); }
    /// Answers a content_request of another daemon.
    void on_request(std::string_view message, content_answer_handler respond);
    /// Call it periodically.
    void tick();
    /// Refuses requests from now on.
    void stop() { sender_.stop(); }

private:
    /// Version of an object whose content is known by its digest.
    struct known_content {
        std::uint64_t era = 0;
        std::uint64_t revision = 0;
        content_reference reference;
    };
    using object_key = std::pair<store_collection, std::string>;
    /// Part of an answer that waits for contents.
    struct waiting_answer {
        endpoint sender;
        state_answer answer;
        time_point asked_at;
    };

    /// Reference to the content of an object, which is added to the cache; nothing if it is not large.
    [[nodiscard]] std::optional<content_reference> reference_of(store_collection collection,
                                                                const stored_object& object);
    void note_reference(store_collection collection, const stored_object& object,
                        const content_reference& reference);
    /// Contents of an answer that are not in the cache.
    [[nodiscard]] std::vector<content_reference> missing_in(const state_answer& answer) const;
    [[nodiscard]] bool is_missing(const content_reference& reference) const;
    /// Fills in all contents, which must be in the cache; false if one is not valid.
    [[nodiscard]] bool fill_in(state_answer& answer, error& reason);
    [[nodiscard]] bool fill_in(store_collection collection, stored_object& object,
                               const content_reference& reference, error& reason);
    void on_received();
    void on_transfer_failed(const content_digest& digest, const endpoint& sender, const error& reason);

    content_exchange_settings settings_;
    relay_port& port_;
    content_cache contents_;
    content_sender sender_;
    content_receiver receiver_;
    std::map<object_key, known_content> known_;
    /// Version up to which the contents of a collection have been added to the cache.
    std::map<store_collection, store_version> remembered_;
    /// By the address of the daemon that sent the answer.
    std::map<std::string, waiting_answer> waiting_;
};

} // namespace gentianhill
