#pragma once

#include "gentianhill/content/content_sender.h"
#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Kind of a request between daemons.
enum class relay_request_kind : std::uint8_t {
    /// Changes of the collections of the metadata store.
    state,
    /// Trust in the primary of a group, and its log positions.
    evidence,
    /// Tokens of a team, from the counter of the zone.
    quota_tokens,
    /// Shares of teams, from the allocator.
    quota_shares,
    /// What a daemon holds of the shares, and whether it allocates.
    quota_holdings,
};

/// Returns the name of a kind as it appears in paths and logs.
[[nodiscard]] std::string_view to_string(relay_request_kind kind);

/// Receives the answer to a request, or nothing and the reason.
using relay_answer_handler =
    std::function<void(const std::optional<nlohmann::json>& answer, const error& reason)>;

/// Receives the answer to a statement that was handed on, or nothing and the reason.
using hand_on_handler = std::function<void(const std::optional<std::string>& answer, const error& reason)>;

/// Requests to other daemons; filled by the transport, or by a test.
struct relay_port {
    /// Sends a request. The handler is called once, never from within the call. Empty when this daemon talks
    /// to no others.
    std::function<void(const endpoint& server, relay_request_kind kind, const nlohmann::json& message,
                       duration timeout, relay_answer_handler done)>
        ask;
    /// Sends a message about a statement that is handed on, on connections of their own. The handler is
    /// called once, never from within the call. Empty when this daemon talks to no others.
    std::function<void(const endpoint& server, std::string message, duration timeout, hand_on_handler done)>
        hand_on;
    /// Sends a request for a part of a content, on connections of their own. The handler is called once,
    /// never from within the call. Empty when this daemon talks to no others.
    std::function<void(const endpoint& server, std::string message, duration timeout,
                       content_answer_handler done)>
        fetch_content;
};

} // namespace gentianhill
