#include "gentianhill_cli/daemon_client.h"

#include "gentianhill/core/object_reader.h"
#include "gentianhill/http2/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::size_t max_answer_bytes = 64U << 20U;
constexpr int status_ok = 200;

/// What to do about a failure.
std::string_view advice_for(const daemon_reply& reply) {
    switch (reply.reason.code) {
    case error_code::connect_failed:
    case error_code::request_refused:
        return "check the address (--daemon or GENTIANHILL_DAEMONS) and whether the daemon runs";
    case error_code::connection_lost:
    case error_code::timed_out:
    case error_code::outcome_unknown:
        return "the call may have been processed; query the state before repeating it";
    case error_code::platform_unavailable:
        return "the platform's object API does not answer; see docs/operators/platform-outage.md";
    case error_code::number_taken:
        return "choose the next free number (gentianhill ticket list) and submit again";
    case error_code::superseded:
        return "a higher ticket sets the same subjects; compare with gentianhill ticket list";
    case error_code::not_found:
        return "check the number with gentianhill ticket list";
    case error_code::unknown_path:
        return "tool and daemon may be of different versions";
    case error_code::draining:
        return "the daemon is stopping already; see docs/operators/rolling-stop.md";
    default:
        return "correct the field named above and repeat the command";
    }
}

daemon_reply read_reply(const endpoint& daemon, const std::optional<http2::response>& received,
                        const error& reason) {
    daemon_reply result{daemon, std::nullopt, reason, false};
    if (!received) {
        return result;
    }
    result.answered = true;
    std::optional<nlohmann::json> value = parse_json(received->body, max_answer_bytes, result.reason);
    if (!value) {
        result.reason.code = error_code::bad_answer;
        return result;
    }
    if (received->status != status_ok) {
        result.reason = error_from_json(value->is_object() ? value->value("error", *value) : *value);
        return result;
    }
    result.reason = {};
    result.value = std::move(value);
    return result;
}

} // namespace

std::vector<daemon_reply> daemon_client::call_each(const std::vector<endpoint>& daemons,
                                                   const daemon_call& wanted) {
    // Shared with the handlers, which may be called after this function has given up.
    const std::shared_ptr<std::vector<daemon_reply>> replies = std::make_shared<std::vector<daemon_reply>>();
    const std::shared_ptr<std::size_t> pending = std::make_shared<std::size_t>(daemons.size());
    for (const endpoint& daemon : daemons) {
        replies->push_back(daemon_reply{
            daemon, std::nullopt,
            error{error_code::timed_out, "daemon", daemon.to_string(), "an answer in time"}, false});
    }
    std::vector<std::unique_ptr<http2::client>> clients;
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        http2::client_settings settings;
        settings.server = daemons[index];
        settings.connect_timeout = context_.timeout;
        settings.max_body_bytes = max_answer_bytes;
        clients.push_back(std::make_unique<http2::client>(context_.loop, settings));
        clients.back()->send(
            http2::request{wanted.method, "/operator/v1/" + wanted.path, wanted.body}, context_.timeout,
            [replies, pending, index](const std::optional<http2::response>& received, const error& reason) {
                daemon_reply& reply = (*replies)[index];
                reply = read_reply(reply.daemon, received, reason);
                --*pending;
            });
    }
    // Each request has its own time limit; the margin covers the connection.
    context_.loop.run_until([&pending] { return *pending == 0; }, 3 * context_.timeout);
    return *replies;
}

daemon_reply daemon_client::call(const endpoint& daemon, const daemon_call& wanted) {
    return call_each({daemon}, wanted).front();
}

std::vector<daemon_reply> daemon_client::call_all(const daemon_call& wanted) {
    return call_each(context_.daemons, wanted);
}

daemon_reply daemon_client::call_first(const daemon_call& wanted) {
    daemon_reply reply;
    for (const endpoint& daemon : context_.daemons) {
        reply = call(daemon, wanted);
        if (reply.answered) {
            return reply;
        }
        context_.errors << fmt::format("{}: {}\n", daemon.to_string(), reply.reason.describe());
    }
    return reply;
}

exit_code daemon_client::report_failure(const daemon_reply& reply) {
    context_.errors << fmt::format("gentianhill: {}: {}\n  next: {}\n", reply.daemon.to_string(),
                                   reply.reason.describe(), advice_for(reply));
    const bool uncertain = reply.reason.code == error_code::platform_unavailable ||
                           reply.reason.code == error_code::outcome_unknown ||
                           reply.reason.code == error_code::timed_out;
    return reply.answered && !uncertain ? exit_code::refused : exit_code::unreachable;
}

exit_code daemon_client::report_failures(const std::vector<daemon_reply>& replies) {
    exit_code worst = exit_code::success;
    std::size_t failed = 0;
    for (const daemon_reply& reply : replies) {
        if (!reply.value) {
            ++failed;
            worst = std::max(worst, report_failure(reply));
        }
    }
    return failed > 0 && failed < replies.size() ? exit_code::partial : worst;
}

} // namespace gentianhill
