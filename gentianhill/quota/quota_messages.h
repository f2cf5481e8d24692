#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"
#include "gentianhill/quota/quota_share.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Asks the counter of a zone for tokens of one team.
struct tokens_request {
    /// Name of the sender.
    std::string daemon;
    std::string team;
    /// Tokens for operations that wait.
    std::int64_t needed = 0;
    /// Tokens for operations that are expected next.
    std::int64_t spare = 0;
    /// Operations that arrived since the last request, admitted or not.
    std::int64_t arrivals = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader.
    [[nodiscard]] static std::optional<tokens_request> from_json(const nlohmann::json& value, error& reason);
};

/// Result of a request for tokens.
enum class tokens_outcome : std::uint8_t {
    granted,
    /// The share of the counter is used up.
    exhausted,
    /// The counter has no share at present.
    unassigned,
};

/// Answer to a tokens_request.
struct tokens_answer {
    /// Name of the counter.
    std::string daemon;
    tokens_outcome outcome = tokens_outcome::unassigned;
    /// Tokens given, for the time that the settings state.
    std::int64_t tokens = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader.
    [[nodiscard]] static std::optional<tokens_answer> from_json(const nlohmann::json& value, error& reason);
};

/// What a counter has of a team's limit.
struct team_holding {
    std::string team;
    /// Share in force.
    quota_share share;
    /// Tokens in its bucket, and those that may be in use at daemons.
    double level = 0;
    double in_use = 0;
    /// Operations per second that it is asked for.
    double demand = 0;
    /// Tokens taken out of the bucket when the share was lowered, for the allocator.
    double returned = 0;
};

/// Asks the allocator for the shares of a counter and states what it holds. The sender drops the answers to
/// its earlier requests, so nothing comes into force there that this request does not state or lead to.
struct shares_request {
    /// Name of the sender.
    std::string daemon;
    /// Distinguishes processes that run under the same name.
    std::string incarnation;
    /// Time since the sender's start.
    duration running{0};
    /// Rises with each request of a process.
    std::uint64_t number = 0;
    /// All teams of which the sender has a share or wants one.
    std::vector<team_holding> teams;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader; out_of_range for more teams than a message may hold.
    [[nodiscard]] static std::optional<shares_request> from_json(const nlohmann::json& value, error& reason);
};

/// Share of one team given to a counter.
struct assigned_share {
    std::string team;
    quota_share share;
    /// Tokens to be added to the bucket.
    double tokens = 0;
    /// The share is lower than what is held: a report that it is in force is awaited by other counters.
    bool is_lowered = false;
};

/// Result of a request for shares.
enum class shares_outcome : std::uint8_t {
    assigned,
    /// The receiver does not know yet what others hold, so it only extends what the sender holds. That must
    /// not be applied after the lease has ended, since it may have been leased to others then.
    extended,
    /// The receiver does not allocate; `allocator` may say who does.
    not_allocator,
    /// The receiver allocates, but has to record the sender first.
    not_recorded,
};

/// Answer to a shares_request. A team that is not listed has no share any more.
struct shares_answer {
    /// Name of the daemon that answers.
    std::string daemon;
    shares_outcome outcome = shares_outcome::not_allocator;
    /// Daemon that allocates, as far as known.
    std::optional<std::string> allocator;
    /// Claim under which the shares are given.
    std::uint64_t claim = 0;
    std::vector<assigned_share> shares;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader; out_of_range for more teams than a message may hold.
    [[nodiscard]] static std::optional<shares_answer> from_json(const nlohmann::json& value, error& reason);
};

/// Asks a daemon what it holds, and whether it allocates.
struct holdings_request {
    /// Name of the sender.
    std::string daemon;
    /// Claim of the sender: from now on the receiver drops shares given under lower ones. 0 when the sender
    /// has none.
    std::uint64_t claim = 0;
    /// Claim of the receiver whose end the sender waits for; 0 when there is none.
    std::uint64_t awaited_claim = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader.
    [[nodiscard]] static std::optional<holdings_request> from_json(const nlohmann::json& value,
                                                                   error& reason);
};

/// Answer to a holdings_request.
struct holdings_answer {
    /// Name of the daemon that answers.
    std::string daemon;
    std::string incarnation;
    duration running{0};
    /// True while the daemon allocates under the awaited claim. Once it has said that it does not, it never
    /// will under that claim.
    bool allocates = false;
    std::vector<team_holding> teams;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader; out_of_range for more teams than a message may hold.
    [[nodiscard]] static std::optional<holdings_answer> from_json(const nlohmann::json& value, error& reason);
};

} // namespace gentianhill
