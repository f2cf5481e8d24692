#include "standins/database/replicator.h"

#include "gentianhill/core/object_reader.h"

#include <algorithm>
#include <utility>

namespace gentianhill::standins {

namespace {

constexpr std::chrono::milliseconds pull_wait{250};
constexpr std::chrono::milliseconds answer_limit{750};
constexpr std::chrono::milliseconds retry_delay{20};
constexpr std::size_t max_answer_bytes = 8U << 20U;
constexpr int status_ok = 200;

log_position position_of(object_reader& reader) {
    log_position result;
    result.term = static_cast<term_number>(reader.integer("term", 0, INT64_MAX));
    result.position = static_cast<std::uint64_t>(reader.integer("position", 0, INT64_MAX));
    return result;
}

log_position read_position(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "", reason};
    return position_of(reader);
}

} // namespace

void replicator::start(term_number term, const endpoint& primary) {
    stop();
    running_ = true;
    term_ = term;
    primary_ = primary;
    asked_ = log().last();
    aligned_ = false;
    target_known_ = false;
    pull();
}

void replicator::stop() {
    running_ = false;
    ++generation_;
    retry_.cancel();
    apply_timer_.cancel();
    pending_.clear();
    client_.reset();
}

log_position replicator::received() const {
    return pending_.empty() ? log().last() : pending_.back().entry.at;
}

void replicator::pull_later() {
    retry_ = loop_.call_after(retry_delay, [this] { pull(); });
}

void replicator::pull() {
    if (blocked_) {
        pull_later();
        return;
    }
    if (client_ == nullptr || client_->is_closed()) {
        http2::client_settings settings;
        settings.server = primary_;
        settings.max_body_bytes = max_answer_bytes;
        client_ = std::make_unique<http2::client>(loop_, settings);
    }
    const nlohmann::json body{
        {"request_id", next_request_++}, {"source", instance_},         {"term", term_},
        {"log_term", asked_.term},       {"position", asked_.position}, {"wait_ms", pull_wait.count()}};
    client_->send(
        http2::request{"POST", "/v1/replicate", body.dump()}, answer_limit,
        [this, generation = generation_](std::optional<http2::response> reply, const error& /*reason*/) {
            // The client may be destroyed by its owner, which ends the generation first.
            if (generation != generation_) {
                return;
            }
            if (!reply || reply->status != status_ok || blocked_) {
                pull_later();
                return;
            }
            receive(*reply);
        });
}

void replicator::receive(const http2::response& reply) {
    error reason;
    const std::optional<nlohmann::json> body = parse_json(reply.body, max_answer_bytes, reason);
    if (!body) {
        pull_later();
        return;
    }
    object_reader reader{*body, "", reason};
    const term_number term = static_cast<term_number>(reader.integer("term", 1, INT64_MAX));
    const bool is_match = reader.boolean("match", false);
    const log_position at = read_position(reader.object("at"), reason);
    const log_position last = read_position(reader.object("last"), reason);
    const nlohmann::json& entries = reader.array("entries");
    if (!reader.ok() || term != term_) {
        pull_later();
        return;
    }
    if (align(at, is_match)) {
        if (!target_known_) {
            target_known_ = true;
            target_ = last;
        }
        accept_entries(entries);
        apply_due();
        check_caught_up();
    }
    pull();
}

bool replicator::align(const log_position& at, bool is_match) {
    if (!is_match) {
        // Go back to a common entry before anything is truncated.
        asked_ = log().contains(at) ? at : log().nearest(at);
        aligned_ = false;
        return false;
    }
    if (!aligned_) {
        aligned_ = true;
        if (log().last().position > at.position) {
            truncate(at.position);
        }
    }
    if (at != received()) {
        asked_ = log().last();
        aligned_ = false;
        return false;
    }
    return true;
}

void replicator::accept_entries(const nlohmann::json& entries) {
    const time_point due = event_loop::now() + lag_;
    for (const nlohmann::json& value : entries) {
        error reason;
        std::optional<log_entry> entry = read_log_entry(value, reason);
        if (!entry || entry->at.position != received().position + 1) {
            break;
        }
        pending_.push_back(pending_entry{std::move(*entry), due});
    }
    asked_ = received();
}

void replicator::apply_due() {
    const std::uint64_t generation = generation_;
    while (!pending_.empty() && pending_.front().due <= event_loop::now()) {
        log_entry entry = std::move(pending_.front().entry);
        pending_.pop_front();
        apply(std::move(entry));
        if (generation != generation_) {
            return;
        }
    }
    if (!pending_.empty()) {
        apply_timer_ = loop_.call_after(pending_.front().due - event_loop::now(), [this] {
            apply_due();
            check_caught_up();
        });
    }
}

void replicator::check_caught_up() {
    if (running_ && target_known_ && log().last() >= target_) {
        on_caught_up();
    }
}

} // namespace gentianhill::standins
