#include "gentianhill/content/content_sender.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

content_sender::content_sender(const content_sender_settings& settings, content_cache& contents, logger& log,
                               metrics& registry)
    : settings_(settings),
      contents_(contents),
      log_(log),
      bytes_sent_(registry.add_counter("gentianhill_content_bytes_sent_total",
                                       "Compressed bytes of contents sent to other daemons.")),
      refused_(registry.add_counter("gentianhill_content_requests_refused_total",
                                    "Requests of other daemons for contents that were refused.")),
      waiting_gauge_(registry.add_gauge("gentianhill_content_receivers_waiting",
                                        "Daemons that wait for their turn to receive a content.")) {}

void content_sender::on_request(std::string_view message, content_answer_handler respond) {
    error reason;
    const std::optional<content_request> request = content_request::from_bytes(message, reason);
    if (!request || stopped_) {
        refused_.add();
        respond(std::nullopt, stopped_ ? error{error_code::draining, "daemon", "", ""} : reason);
        return;
    }
    if (has_turn(request->daemon)) {
        send_part(*request, respond);
        serve_waiting();
        return;
    }
    const auto former =
        std::find_if(waiting_.begin(), waiting_.end(), [&request](const waiting_request& waiting) {
            return waiting.request.daemon == request->daemon;
        });
    if (former == waiting_.end() && waiting_.size() >= settings_.max_waiting) {
        refused_.add();
        respond(std::nullopt, {error_code::queue_full, "waiting", std::to_string(waiting_.size()), ""});
        return;
    }
    waiting_request waiting{*request, std::move(respond), now() + settings_.hold_limit};
    if (former == waiting_.end()) {
        waiting_.push_back(std::move(waiting));
    } else {
        // Keeps its place. The sender of a request that is replaced has given it up.
        const content_answer_handler replaced = std::move(former->respond);
        *former = std::move(waiting);
        if (replaced) {
            replaced(std::nullopt, {error_code::superseded, "request", request->daemon, ""});
        }
    }
    serve_waiting();
}

void content_sender::serve_waiting() {
    while (!waiting_.empty() && turns_.size() < settings_.max_receivers) {
        const auto next = std::find_if(waiting_.begin(), waiting_.end(), [](const waiting_request& waiting) {
            return static_cast<bool>(waiting.respond);
        });
        if (next == waiting_.end()) {
            break;
        }
        const waiting_request served = std::move(*next);
        waiting_.erase(next);
        send_part(served.request, served.respond);
    }
    waiting_gauge_.set(static_cast<double>(waiting_.size()));
}

void content_sender::send_part(const content_request& request, const content_answer_handler& respond) {
    error reason;
    const std::shared_ptr<const content_encoding> encoding =
        contents_.encode(request.wanted, request.bases, reason);
    if (encoding == nullptr) {
        turns_.erase(request.daemon);
        refused_.add();
        log_.write(log_level::info, "content", "request_refused",
                   {{"daemon", request.daemon}, {"reason", reason.describe()}});
        respond(std::nullopt, reason);
        return;
    }
    // A receiver that has parts of another form begins again.
    const bool goes_on = request.encoding == encoding->digest && request.offset < encoding->bytes.size();
    content_part part;
    part.encoding = encoding->digest;
    part.encoding_bytes = encoding->bytes.size();
    part.base = encoding->base;
    part.offset = goes_on ? request.offset : 0;
    part.data = encoding->bytes.substr(part.offset, settings_.part_bytes);
    bytes_sent_.add(part.data.size());
    if (part.offset + part.data.size() == encoding->bytes.size()) {
        turns_.erase(request.daemon);
    } else {
        turns_[request.daemon] = now() + settings_.receiver_limit;
    }
    respond(part.to_bytes(), {});
}

void content_sender::tick() {
    const time_point current = now();
    std::erase_if(turns_, [current](const std::map<std::string, time_point>::value_type& turn) {
        return current >= turn.second;
    });
    serve_waiting();
    content_part ask_again;
    ask_again.is_waiting = true;
    for (waiting_request& waiting : waiting_) {
        if (current >= waiting.until && waiting.respond) {
            const content_answer_handler respond = std::exchange(waiting.respond, nullptr);
            waiting.until = current + settings_.receiver_limit;
            respond(ask_again.to_bytes(), {});
        }
    }
    std::erase_if(waiting_, [current](const waiting_request& waiting) {
        return current >= waiting.until && !waiting.respond;
    });
    waiting_gauge_.set(static_cast<double>(waiting_.size()));
}

void content_sender::stop() {
    stopped_ = true;
    turns_.clear();
    const std::deque<waiting_request> refused = std::exchange(waiting_, {});
    for (const waiting_request& waiting : refused) {
        if (waiting.respond) {
            waiting.respond(std::nullopt, error{error_code::draining, "daemon", "", ""});
        }
    }
}

} // namespace gentianhill
