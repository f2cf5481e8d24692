#include "gentianhill/quota/quota_messages.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 3> tokens_outcome_names{"granted", "exhausted", "unassigned"};
constexpr std::array<std::string_view, 4> shares_outcome_names{"assigned", "extended", "not_allocator",
                                                               "not_recorded"};
constexpr std::size_t max_name_length = 256;
/// Teams in one message; a message of that size is below the limit of the transport.
constexpr std::size_t max_teams = 400;
/// Largest rate, capacity or number of tokens: up to there a double counts in ones.
constexpr double max_tokens = 9'007'199'254'740'992.0;
constexpr std::int64_t max_count = std::int64_t{1} << 53U;
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();
/// Longest duration in a message; a longer one is sent as this one.
constexpr duration max_duration = std::chrono::hours(24 * 365);
/// Numbers are sent with three decimals, which keeps messages small.
constexpr double decimals = 1000.0;

/// Rounds down, so that shares never grow on their way.
double rounded_down(double value) {
    return std::floor(value * decimals) / decimals;
}

/// Rounds up, so that what is held is never stated too low.
double rounded_up(double value) {
    return std::ceil(value * decimals) / decimals;
}

std::int64_t clamp(duration length) {
    return std::clamp(length, duration(0), max_duration).count();
}

duration read_duration(object_reader& reader, std::string_view name) {
    return duration(reader.integer(name, 0, max_duration.count()));
}

std::uint64_t read_number(object_reader& reader, std::string_view name) {
    return static_cast<std::uint64_t>(reader.integer(name, 0, max_number));
}

/// Number of tokens; 0 when it is absent.
double read_optional_tokens(object_reader& reader, std::string_view name) {
    return reader.any(name).is_null() ? 0 : reader.number(name, 0, max_tokens);
}

template <typename outcome_type, std::size_t size>
outcome_type read_outcome(object_reader& reader, const std::array<std::string_view, size>& names) {
    const std::string text = reader.text("outcome", max_name_length);
    for (std::size_t index = 0; index < size; ++index) {
        if (names.at(index) == text) {
            return static_cast<outcome_type>(index);
        }
    }
    reader.fail(error_code::bad_value, "outcome", text, std::string(names.front()));
    return outcome_type{};
}

/// Array of at most `max_teams` entries; an empty one on failure.
const nlohmann::json& read_teams(object_reader& reader, std::string_view name) {
    static const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json& list = reader.array(name);
    if (list.size() > max_teams) {
        reader.fail(error_code::out_of_range, name, std::to_string(list.size()),
                    fmt::format("at most {} teams", max_teams));
        return none;
    }
    return list;
}

nlohmann::json holdings_to_json(const std::vector<team_holding>& holdings) {
    nlohmann::json list = nlohmann::json::array();
    for (const team_holding& holding : holdings) {
        nlohmann::json entry{{"team", holding.team},
                             {"rate", rounded_up(holding.share.rate)},
                             {"capacity", rounded_up(holding.share.capacity)},
                             {"level", rounded_up(holding.level)},
                             {"demand", rounded_down(holding.demand)}};
        if (holding.in_use > 0) {
            entry["in_use"] = rounded_up(holding.in_use);
        }
        if (holding.returned > 0) {
            entry["returned"] = rounded_down(holding.returned);
        }
        list.push_back(std::move(entry));
    }
    return list;
}

std::vector<team_holding> read_holdings(object_reader& reader, error& reason) {
    std::vector<team_holding> holdings;
    const nlohmann::json& list = read_teams(reader, "teams");
    for (std::size_t index = 0; index < list.size() && reader.ok(); ++index) {
        object_reader entry(list[index], fmt::format("teams[{}]", index), reason);
        team_holding holding;
        holding.team = entry.text("team", max_name_length);
        holding.share.rate = entry.number("rate", 0, max_tokens);
        holding.share.capacity = entry.number("capacity", 0, max_tokens);
        holding.level = entry.number("level", 0, max_tokens);
        holding.in_use = read_optional_tokens(entry, "in_use");
        holding.demand = entry.number("demand", 0, max_tokens);
        holding.returned = read_optional_tokens(entry, "returned");
        holdings.push_back(std::move(holding));
    }
    return holdings;
}

} // namespace

nlohmann::json tokens_request::to_json() const {
    return {{"daemon", daemon}, {"team", team}, {"needed", needed}, {"spare", spare}, {"arrivals", arrivals}};
}

std::optional<tokens_request> tokens_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    tokens_request request;
    request.daemon = reader.text("daemon", max_name_length);
    request.team = reader.text("team", max_name_length);
    request.needed = reader.integer("needed", 0, max_count);
    request.spare = reader.integer("spare", 0, max_count);
    request.arrivals = reader.integer("arrivals", 0, max_count);
    return reader.ok() ? std::optional(std::move(request)) : std::nullopt;
}

nlohmann::json tokens_answer::to_json() const {
    return {{"daemon", daemon},
            {"outcome", tokens_outcome_names.at(static_cast<std::size_t>(outcome))},
            {"tokens", tokens}};
}

std::optional<tokens_answer> tokens_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    tokens_answer answer;
    answer.daemon = reader.text("daemon", max_name_length);
    answer.outcome = read_outcome<tokens_outcome>(reader, tokens_outcome_names);
    answer.tokens = reader.integer("tokens", 0, max_count);
    return reader.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

nlohmann::json shares_request::to_json() const {
    return {{"daemon", daemon},
            {"incarnation", incarnation},
            {"running_us", clamp(running)},
            {"number", number},
            {"teams", holdings_to_json(teams)}};
}

std::optional<shares_request> shares_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    shares_request request;
    request.daemon = reader.text("daemon", max_name_length);
    request.incarnation = reader.text("incarnation", max_name_length);
    request.running = read_duration(reader, "running_us");
    request.number = read_number(reader, "number");
    request.teams = read_holdings(reader, reason);
    return reader.ok() ? std::optional(std::move(request)) : std::nullopt;
}

nlohmann::json shares_answer::to_json() const {
    nlohmann::json value{{"daemon", daemon},
                         {"outcome", shares_outcome_names.at(static_cast<std::size_t>(outcome))},
                         {"claim", claim}};
    if (allocator) {
        value["allocator"] = *allocator;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const assigned_share& entry : shares) {
        nlohmann::json assigned{{"team", entry.team},
                                {"rate", rounded_down(entry.share.rate)},
                                {"capacity", rounded_down(entry.share.capacity)}};
        if (entry.tokens > 0) {
            assigned["tokens"] = rounded_down(entry.tokens);
        }
        if (entry.is_lowered) {
            assigned["lowered"] = true;
        }
        list.push_back(std::move(assigned));
    }
    value["shares"] = std::move(list);
    return value;
}

std::optional<shares_answer> shares_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    shares_answer answer;
    answer.daemon = reader.text("daemon", max_name_length);
    answer.outcome = read_outcome<shares_outcome>(reader, shares_outcome_names);
    answer.allocator = reader.optional_text("allocator", max_name_length);
    answer.claim = read_number(reader, "claim");
    const nlohmann::json& list = read_teams(reader, "shares");
    for (std::size_t index = 0; index < list.size() && reader.ok(); ++index) {
        object_reader entry(list[index], fmt::format("shares[{}]", index), reason);
        assigned_share assigned;
        assigned.team = entry.text("team", max_name_length);
        assigned.share.rate = entry.number("rate", 0, max_tokens);
        assigned.share.capacity = entry.number("capacity", 0, max_tokens);
        assigned.tokens = read_optional_tokens(entry, "tokens");
        assigned.is_lowered = entry.boolean("lowered", false);
        answer.shares.push_back(std::move(assigned));
    }
    return reader.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

nlohmann::json holdings_request::to_json() const {
    return {{"daemon", daemon}, {"claim", claim}, {"awaited_claim", awaited_claim}};
}

std::optional<holdings_request> holdings_request::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    holdings_request request;
    request.daemon = reader.text("daemon", max_name_length);
    request.claim = read_number(reader, "claim");
    request.awaited_claim = read_number(reader, "awaited_claim");
    return reader.ok() ? std::optional(std::move(request)) : std::nullopt;
}

nlohmann::json holdings_answer::to_json() const {
    return {{"daemon", daemon},
            {"incarnation", incarnation},
            {"running_us", clamp(running)},
            {"allocates", allocates},
            {"teams", holdings_to_json(teams)}};
}

std::optional<holdings_answer> holdings_answer::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader(value, "", reason);
    holdings_answer answer;
    answer.daemon = reader.text("daemon", max_name_length);
    answer.incarnation = reader.text("incarnation", max_name_length);
    answer.running = read_duration(reader, "running_us");
    answer.allocates = reader.boolean("allocates", true);
    answer.teams = read_holdings(reader, reason);
    return reader.ok() ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace gentianhill
