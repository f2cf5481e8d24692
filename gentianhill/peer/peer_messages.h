#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Kinds of messages between daemons; each has a path of its own.
enum class peer_message_kind : std::uint8_t {
    heartbeat,
    group_view,
    opinion,
    tickets_pull,
    tickets_push,
    timeline,
};

/// Path of a kind, such as /peer/v1/heartbeat.
[[nodiscard]] std::string_view path_of(peer_message_kind kind);
/// Kind of a path; nothing for an unknown path.
[[nodiscard]] std::optional<peer_message_kind> peer_message_kind_from_path(std::string_view path);

/// Sign of life, both as a request and as its answer.
struct peer_heartbeat {
    /// State that the daemon announces, such as its highest ticket number; null when it has not changed since
    /// the last heartbeat that the receiver acknowledged.
    nlohmann::json summary;
    /// True in a request when the summary of the receiver may have been missed and is wanted in any case.
    bool wants_summary = false;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<peer_heartbeat> from_json(const nlohmann::json& value, error& reason);
};

/// News about database groups, pushed when something changed.
struct group_view_push {
    /// One object per group; the content belongs to gentianhill/promotion.
    std::vector<nlohmann::json> views;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<group_view_push> from_json(const nlohmann::json& value, error& reason);
};

/// Question whether a daemon recently saw a primary commit.
struct opinion_request {
    std::string group;
    /// Name of the suspected instance.
    std::string primary;
    /// Term of the suspected primary.
    std::uint64_t term = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<opinion_request> from_json(const nlohmann::json& value, error& reason);
};

/// Answer to opinion_request.
struct opinion_answer {
    /// True when a commit of that primary in that term was seen within the window of the answering daemon.
    bool saw_commit_recently = false;
    /// Time since the last such commit; nothing when none was seen.
    std::optional<duration> age;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<opinion_answer> from_json(const nlohmann::json& value, error& reason);
};

/// Request for tickets above a number.
struct tickets_pull {
    /// Tickets with higher numbers are wanted.
    std::uint64_t after = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<tickets_pull> from_json(const nlohmann::json& value, error& reason);
};

/// Tickets as the answer to tickets_pull, or pushed along the relay tree.
struct ticket_batch {
    /// Complete tickets; the content belongs to gentianhill/tickets.
    std::vector<nlohmann::json> tickets;
    /// True when the sender has more after these.
    bool more = false;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<ticket_batch> from_json(const nlohmann::json& value, error& reason);
};

/// Request for a part of the event timeline.
struct timeline_request {
    /// Events after this hybrid timestamp; all when empty.
    std::string after;
    /// Most events to return.
    std::uint64_t limit = 1000;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<timeline_request> from_json(const nlohmann::json& value,
                                                                   error& reason);
};

/// Answer to timeline_request.
struct timeline_answer {
    std::vector<nlohmann::json> events;

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] static std::optional<timeline_answer> from_json(const nlohmann::json& value, error& reason);
};

} // namespace gentianhill
