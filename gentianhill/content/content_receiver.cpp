#include "gentianhill/content/content_receiver.h"

#include "gentianhill/content/content_codec.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

content_receiver::content_receiver(const content_receiver_settings& settings, content_cache& contents,
                                   request_port port, logger& log, metrics& registry, std::string name)
    : settings_(settings),
      contents_(contents),
      port_(std::move(port)),
      log_(log),
      name_(std::move(name)),
      received_(registry.add_counter("gentianhill_contents_received_total",
                                     "Contents received from other daemons.")),
      failed_(registry.add_counter("gentianhill_content_transfers_failed_total",
                                   "Transfers of a content that were given up.")),
      bytes_received_(registry.add_counter("gentianhill_content_bytes_received_total",
                                           "Compressed bytes of contents received from other daemons.")),
      time_ms_(registry.add_histogram("gentianhill_content_transfer_ms",
                                      "Time from the first request for a content to its arrival.")) {}

bool content_receiver::receive(const content_reference& wanted, const endpoint& sender) {
    if (!port_) {
        return false;
    }
    const std::map<content_digest, transfer>::iterator known = transfers_.find(wanted.digest);
    if (known != transfers_.end()) {
        if (known->second.failed_at) {
            known->second.failed_at.reset();
            known->second.sender = sender;
            known->second.advanced_at = now();
            request_part(wanted.digest);
        }
        return true;
    }
    if (!has_room_for(wanted)) {
        return false;
    }
    transfer& started = transfers_[wanted.digest];
    started.wanted = wanted;
    started.sender = sender;
    started.began_at = now();
    started.advanced_at = started.began_at;
    request_part(wanted.digest);
    return true;
}

bool content_receiver::has_room_for(const content_reference& wanted) const {
    std::size_t bytes = 0;
    for (const auto& [digest, running] : transfers_) {
        bytes += running.wanted.bytes;
    }
    return wanted.bytes <= settings_.max_content_bytes && transfers_.size() < settings_.max_transfers &&
           wanted.bytes <= settings_.max_transfer_bytes - std::min(bytes, settings_.max_transfer_bytes);
}

bool content_receiver::is_receiving(const content_digest& digest) const {
    const std::map<content_digest, transfer>::const_iterator found = transfers_.find(digest);
    return found != transfers_.end() && !found->second.failed_at;
}

void content_receiver::request_part(const content_digest& digest) {
    const transfer& running = transfers_.at(digest);
    content_request request;
    request.daemon = name_;
    request.wanted = digest;
    if (running.takes_bases) {
        request.bases = contents_.newest(settings_.max_bases);
    }
    request.encoding = running.encoding;
    request.offset = running.bytes.size();
    port_(running.sender, request.to_bytes(), settings_.part_timeout,
          [this, digest, alive = std::weak_ptr<bool>(alive_)](const std::optional<std::string>& answer,
                                                              const error& reason) {
              if (!alive.expired()) {
                  on_part(digest, answer, reason);
              }
          });
}

void content_receiver::on_part(const content_digest& digest, const std::optional<std::string>& answer,
                               error reason) {
    transfer& running = transfers_.at(digest);
    const std::optional<content_part> part =
        answer ? content_part::from_bytes(*answer, reason) : std::nullopt;
    if (!part) {
        fail(digest, reason);
        return;
    }
    if (part->is_waiting && now() - running.advanced_at < settings_.turn_limit) {
        request_part(digest);
        return;
    }
    if (part->is_waiting) {
        fail(digest, {error_code::timed_out, "server", running.sender.to_string(), "no turn"});
        return;
    }
    ++running.parts;
    running.advanced_at = now();
    bytes_received_.add(part->data.size());
    if (!append(running, *part, reason)) {
        fail(digest, reason);
    } else if (running.bytes.size() == running.encoding_bytes) {
        complete(digest);
    } else {
        request_part(digest);
    }
}

bool content_receiver::append(transfer& running, const content_part& part, error& reason) const {
    if (running.encoding != part.encoding) {
        running.encoding = part.encoding;
        running.encoding_bytes = part.encoding_bytes;
        running.base = part.base;
        running.bytes.clear();
    }
    const bool fits = part.offset == running.bytes.size() && part.encoding_bytes == running.encoding_bytes &&
                      part.base == running.base &&
                      part.encoding_bytes <= max_compressed_bytes(running.wanted.bytes);
    if (!fits) {
        reason = {error_code::mismatched_answer, "offset", std::to_string(part.offset),
                  std::to_string(running.bytes.size())};
        running.encoding.reset();
        running.bytes.clear();
        return false;
    }
    running.bytes += part.data;
    return true;
}

std::optional<std::string> content_receiver::unpack(const transfer& finished, error& reason) const {
    const std::shared_ptr<const std::string> base =
        finished.base ? contents_.find(*finished.base) : std::make_shared<const std::string>();
    if (base == nullptr) {
        reason = {error_code::not_found, "base", to_string(*finished.base), "a recent content"};
        return std::nullopt;
    }
    std::optional<std::string> text =
        decompress_content(finished.bytes, *base, finished.wanted.bytes, reason);
    if (text && digest_of(*text) != finished.wanted.digest) {
        reason = {error_code::mismatched_answer, "content", to_string(digest_of(*text)),
                  to_string(finished.wanted.digest)};
        return std::nullopt;
    }
    return text;
}

void content_receiver::complete(const content_digest& digest) {
    transfer& finished = transfers_.at(digest);
    error reason;
    std::optional<std::string> text = unpack(finished, reason);
    if (!text) {
        finished.takes_bases = false;
        finished.encoding.reset();
        finished.bytes.clear();
        fail(digest, reason);
        return;
    }
    const duration length = now() - finished.began_at;
    received_.add();
    time_ms_.record(length);
    const bool is_late = length > settings_.late_limit;
    log_.write(is_late ? log_level::warning : log_level::info, "content",
               is_late ? "content_received_late" : "content_received",
               {{"digest", to_string(digest)},
                {"sender", finished.sender.to_string()},
                {"bytes", text->size()},
                {"compressed", finished.bytes.size()},
                {"has_base", finished.base.has_value()},
                {"parts", finished.parts},
                {"ms", to_milliseconds(length)}});
    transfers_.erase(digest);
    contents_.add(std::move(*text));
    on_received(digest);
}

void content_receiver::fail(const content_digest& digest, const error& reason) {
    transfer& failed = transfers_.at(digest);
    failed.failed_at = now();
    failed_.add();
    log_.write(log_level::warning, "content", "transfer_failed",
               {{"digest", to_string(digest)},
                {"sender", failed.sender.to_string()},
                {"received", failed.bytes.size()},
                {"compressed", failed.encoding_bytes},
                {"ms", to_milliseconds(now() - failed.began_at)},
                {"reason", reason.describe()}});
    on_failed(digest, endpoint(failed.sender), reason);
}

void content_receiver::tick() {
    std::erase_if(transfers_, [this](const std::map<content_digest, transfer>::value_type& entry) {
        return entry.second.failed_at && now() - *entry.second.failed_at >= settings_.keep_limit;
    });
}

} // namespace gentianhill
