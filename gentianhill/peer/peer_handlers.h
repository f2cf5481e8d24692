#pragma once

#include "gentianhill/peer/peer_envelope.h"
#include "gentianhill/peer/peer_messages.h"

#include <functional>
#include <optional>
#include <string>

namespace gentianhill {

/// What a handler did with news from a peer.
enum class peer_news : std::uint8_t {
    /// Malformed; nothing was changed and the reason is set.
    rejected,
    /// Known already, wholly or in a newer version.
    known,
    /// Applied; it is passed on to further daemons.
    applied,
};

/// What a daemon does with messages of its peers. All hooks but those marked optional must be set.
struct peer_handlers {
    /// Current hybrid timestamp as text, for outgoing messages.
    std::function<std::string()> clock;
    /// State to announce in heartbeats; at most a few hundred bytes.
    std::function<nlohmann::json()> summary;
    /// True when the platform's list or the settings name this daemon.
    std::function<bool(const std::string& daemon)> is_known;
    /// Called for the sender of each valid request or answer, before its content is handled: membership and
    /// hybrid clock. Returns false, with the reason, to refuse the message: a malformed clock, for example.
    std::function<bool(const peer_envelope&, error& reason)> on_sender;
    /// State announced by a peer, when it was sent for the first time or has changed.
    std::function<void(const peer_envelope&, const nlohmann::json& summary)> on_summary;
    /// News about groups.
    std::function<peer_news(const peer_envelope&, const group_view_push&, error& reason)> on_group_views;
    /// Tickets that were pushed or pulled.
    std::function<peer_news(const peer_envelope&, const ticket_batch&, error& reason)> on_tickets;
    /// Second opinion about a primary.
    std::function<opinion_answer(const peer_envelope&, const opinion_request&)> opinion;
    /// Tickets above a number, in ascending order and at most about 512 KiB.
    std::function<ticket_batch(const peer_envelope&, const tickets_pull&)> tickets_after;
    /// Part of the event timeline.
    std::function<timeline_answer(const peer_envelope&, const timeline_request&)> timeline;
};

} // namespace gentianhill
