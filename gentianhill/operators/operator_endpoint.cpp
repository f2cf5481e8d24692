#include "gentianhill/operators/operator_endpoint.h"

#include "gentianhill/core/object_reader.h"
#include "gentianhill/tickets/ticket_schema.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace gentianhill {

namespace {

constexpr std::string_view root = "/operator/v1/";
constexpr std::size_t default_event_limit = 1000;
constexpr std::size_t max_event_limit = 5000;
constexpr std::size_t max_query_bytes = 1024;
constexpr std::size_t shown_bytes = 64;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_internal = 500;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t result = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, result);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (true) {
        const std::size_t found = text.find(separator);
        parts.emplace_back(text.substr(0, found));
        if (found == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(found + 1);
    }
}

error unknown_path(const std::string& method, std::string_view path) {
    return error{error_code::unknown_path, "path", method + " " + std::string{path.substr(0, shown_bytes)},
                 "GET state, groups, shares, hosts, timeline, tickets, tickets/N, tickets/N/status; POST "
                 "tickets, outcome, drain; all below /operator/v1"};
}

std::string dump(const nlohmann::json& value) {
    // Text from other processes may not be valid UTF-8; it must not stop the answer.
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

/// Parts of a request that select the call.
struct operator_endpoint::target {
    std::string method;
    std::string path;
    /// Path below the root, split at slashes.
    std::vector<std::string> parts;
    std::map<std::string, std::string> query;

    [[nodiscard]] bool is(std::string_view name) const { return parts.size() == 1 && parts[0] == name; }
};

int http_status(error_code code) {
    switch (code) {
    case error_code::none:
        return status_ok;
    case error_code::unknown_path:
    case error_code::not_found:
    case error_code::unknown_group:
    case error_code::unknown_team:
    case error_code::unknown_instance:
        return status_not_found;
    case error_code::number_taken:
    case error_code::superseded:
    case error_code::version_conflict:
    case error_code::draining:
        return status_conflict;
    case error_code::connect_failed:
    case error_code::request_refused:
    case error_code::connection_lost:
    case error_code::platform_unavailable:
    case error_code::no_primary:
    case error_code::no_majority:
    case error_code::queue_full:
        return status_unavailable;
    case error_code::timed_out:
    case error_code::deadline_exceeded:
    case error_code::outcome_unknown:
        return status_timeout;
    case error_code::unexpected:
        return status_internal;
    default:
        return status_bad_request;
    }
}

operator_endpoint::operator_endpoint(event_loop& loop, const endpoint& listen)
    : server_(loop, [&listen] {
          http2::server_settings settings;
          settings.listen = listen;
          return settings;
      }()) {
    server_.on_request = [this](http2::connection_id /*id*/, const http2::request& received,
                                const http2::server::responder& respond) { handle(received, open(respond)); };
}

operator_answer operator_endpoint::open(const http2::server::responder& respond) {
    const std::uint64_t id = ++last_request_;
    operator_answer answer = [this, id, respond, alive = std::weak_ptr<bool>(alive_)](
                                 const std::optional<nlohmann::json>& value, const error& reason) {
        if (alive.expired() || open_.erase(id) == 0) {
            return;
        }
        if (value) {
            respond(http2::response{status_ok, dump(*value)});
        } else {
            respond(http2::response{http_status(reason.code), dump({{"error", to_json(reason)}})});
        }
    };
    open_.emplace(id, answer);
    return answer;
}

void operator_endpoint::give_up_at_stop() {
    const std::map<std::uint64_t, operator_answer> unanswered = open_;
    for (const std::map<std::uint64_t, operator_answer>::value_type& entry : unanswered) {
        entry.second(std::nullopt,
                     error{error_code::outcome_unknown, "daemon", "it is about to exit",
                           "the same request at another daemon: a ticket is created at most once"});
    }
}

void operator_endpoint::handle(const http2::request& received, const operator_answer& answer) {
    // Split the path and its query.
    const std::string_view text = received.path;
    const std::size_t mark = text.find('?');
    const std::string_view path = text.substr(0, mark);
    if (path.substr(0, root.size()) != root || text.size() > max_query_bytes) {
        answer(std::nullopt, unknown_path(received.method, path));
        return;
    }
    target wanted{received.method, std::string{path}, split(path.substr(root.size()), '/'), {}};
    if (mark != std::string_view::npos) {
        for (const std::string& item : split(text.substr(mark + 1), '&')) {
            const std::size_t equals = std::min(item.find('='), item.size());
            wanted.query[item.substr(0, equals)] = equals < item.size() ? item.substr(equals + 1) : "";
        }
    }
    if (wanted.method == "GET") {
        handle_get(wanted, answer);
    } else if (wanted.method == "POST") {
        handle_post(wanted, received.body, answer);
    } else {
        answer(std::nullopt, unknown_path(wanted.method, path));
    }
}

void operator_endpoint::handle_get(const target& wanted, const operator_answer& answer) {
    const std::vector<std::pair<std::string_view, const std::function<nlohmann::json()>*>> views{
        {"groups", &hooks.groups}, {"state", &hooks.state},     {"shares", &hooks.shares},
        {"hosts", &hooks.hosts},   {"tickets", &hooks.tickets},
    };
    for (const std::pair<std::string_view, const std::function<nlohmann::json()>*>& view : views) {
        if (wanted.is(view.first) && *view.second) {
            answer((*view.second)(), {});
            return;
        }
    }
    if (wanted.is("timeline") && hooks.timeline) {
        handle_timeline(wanted, answer);
    } else if (wanted.parts.size() > 1 && wanted.parts[0] == "tickets") {
        handle_ticket(wanted, answer);
    } else {
        answer(std::nullopt, unknown_path(wanted.method, wanted.path));
    }
}

void operator_endpoint::handle_timeline(const target& wanted, const operator_answer& answer) {
    std::uint64_t since = 0;
    std::uint64_t limit = default_event_limit;
    for (const std::pair<const std::string, std::string>& item : wanted.query) {
        const std::optional<std::uint64_t> number = parse_number(item.second);
        const bool known = item.first == "since" || item.first == "limit";
        if (!known || !number) {
            answer(std::nullopt, error{known ? error_code::bad_value : error_code::unknown_field,
                                       item.first.substr(0, shown_bytes), item.second.substr(0, shown_bytes),
                                       "since=SEQUENCE and limit=COUNT"});
            return;
        }
        (item.first == "since" ? since : limit) = *number;
    }
    if (limit == 0 || limit > max_event_limit) {
        answer(std::nullopt, error{error_code::out_of_range, "limit", std::to_string(limit),
                                   "1 to " + std::to_string(max_event_limit)});
        return;
    }
    answer(hooks.timeline(since, limit), {});
}

void operator_endpoint::handle_ticket(const target& wanted, const operator_answer& answer) {
    const std::optional<std::uint64_t> number = parse_number(wanted.parts[1]);
    if (!number || *number == 0 || *number > max_ticket_number) {
        answer(std::nullopt, error{error_code::bad_value, "number", wanted.parts[1].substr(0, shown_bytes),
                                   "a ticket number from 1 to " + std::to_string(max_ticket_number)});
    } else if (wanted.parts.size() == 2 && hooks.show_ticket) {
        hooks.show_ticket(*number, answer);
    } else if (wanted.parts.size() == 3 && wanted.parts[2] == "status" && hooks.ticket_status) {
        hooks.ticket_status(*number, answer);
    } else {
        answer(std::nullopt, unknown_path(wanted.method, wanted.path));
    }
}

void operator_endpoint::handle_post(const target& wanted, const std::string& body,
                                    const operator_answer& answer) {
    if (wanted.is("tickets") && hooks.submit_ticket) {
        submit(body, answer);
    } else if (wanted.is("outcome") && hooks.outcome) {
        query_outcome(body, answer);
    } else if (wanted.is("drain") && hooks.drain) {
        error reason;
        const bool started = hooks.drain(reason);
        answer(started ? std::optional<nlohmann::json>{{{"draining", true}}} : std::nullopt, reason);
    } else {
        answer(std::nullopt, unknown_path(wanted.method, wanted.path));
    }
}

void operator_endpoint::submit(const std::string& body, const operator_answer& answer) {
    error reason;
    const std::optional<ticket> submitted = parse_ticket(body, reason);
    if (!submitted) {
        answer(std::nullopt, reason);
        return;
    }
    hooks.submit_ticket(*submitted, answer);
}

void operator_endpoint::query_outcome(const std::string& body, const operator_answer& answer) {
    constexpr std::size_t max_body_bytes = 16'384;
    error reason;
    const std::optional<nlohmann::json> value = parse_json(body, max_body_bytes, reason);
    if (!value) {
        answer(std::nullopt, reason);
        return;
    }
    object_reader reader{*value, "", reason};
    const std::string group = reader.text("group");
    const std::string key = reader.text("key");
    if (!reader.finish()) {
        answer(std::nullopt, reason);
        return;
    }
    hooks.outcome(group, key, answer);
}

} // namespace gentianhill
