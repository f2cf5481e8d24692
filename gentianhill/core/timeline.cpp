#include "gentianhill/core/timeline.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

// Cuts a text to at most `limit` bytes without splitting a UTF-8 sequence.
void cut_text(std::string& text, std::size_t limit) {
    constexpr unsigned char continuation_mask = 0xc0;
    constexpr unsigned char continuation = 0x80;
    if (text.size() <= limit) {
        return;
    }
    while (limit > 0 && (static_cast<unsigned char>(text[limit]) & continuation_mask) == continuation) {
        --limit;
    }
    text.resize(limit);
}

} // namespace

timeline::timeline(const timeline_settings& settings) : settings_(settings) {
    assert(settings_.capacity > 0);
    ring_.reserve(settings_.capacity);
}

event_id timeline::record(timeline_event added) {
    ++last_sequence_;
    added.id = event_id{settings_.daemon, settings_.incarnation, last_sequence_};
    // Bound what one event may hold, so that the ring has a bounded size.
    if (added.fields.size() > settings_.max_fields) {
        added.fields.resize(settings_.max_fields);
    }
    for (std::pair<std::string, std::string>& field : added.fields) {
        cut_text(field.second, settings_.max_field_bytes);
    }
    cut_text(added.group, settings_.max_field_bytes);
    cut_text(added.request_id, settings_.max_field_bytes);
    event_id assigned = added.id;
    const std::size_t slot = (last_sequence_ - 1) % settings_.capacity;
    if (slot < ring_.size()) {
        ring_[slot] = std::move(added);
    } else {
        ring_.push_back(std::move(added));
    }
    return assigned;
}

std::uint64_t timeline::dropped() const {
    return last_sequence_ - ring_.size();
}

nlohmann::json timeline::export_since(std::uint64_t since, std::size_t limit) const {
    nlohmann::json events = nlohmann::json::array();
    const std::uint64_t first = std::max(since, dropped()) + 1;
    for (std::uint64_t sequence = first; sequence <= last_sequence_ && events.size() < limit; ++sequence) {
        events.push_back(ring_[(sequence - 1) % settings_.capacity].to_json());
    }
    return nlohmann::json{{"daemon", settings_.daemon},
                          {"incarnation", settings_.incarnation},
                          {"since", since},
                          {"next_sequence", last_sequence_ + 1},
                          {"events", std::move(events)}};
}

} // namespace gentianhill
