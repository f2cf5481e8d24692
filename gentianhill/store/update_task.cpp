#include "gentianhill/store/update_task.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gentianhill {

namespace {

/// Reason to repeat an attempt whose response came from the store of another era.
error other_era(const store_result& result) {
    return error{error_code::version_conflict, "era", std::to_string(result.era.value_or(0)),
                 "the era in which the attempt began"};
}

} // namespace

update_task::update_task(object_store& store, scheduler schedule, const http2::backoff& retry,
                         unsigned attempts, std::string key, object_store::change_function change,
                         object_store::update_handler on_result)
    : store_(store),
      schedule_(std::move(schedule)),
      backoff_(retry),
      attempts_left_(attempts),
      key_(std::move(key)),
      change_(std::move(change)),
      on_result_(std::move(on_result)) {}

void update_task::read() {
    const std::uint64_t era = store_.era().value_or(0);
    if (era != era_) {
        era_ = era;
        lowest_version_ = 0;
        unconfirmed_writes_.clear();
    }
    const std::shared_ptr<update_task> self = shared_from_this();
    store_.get(key_in_era(), [self](const store_result& result) { self->on_read(result); });
}

std::string update_task::key_in_era() const {
    return era_ == 0 ? key_ : key_ + "/" + std::to_string(era_);
}

bool update_task::is_of_era(const store_result& result) const {
    return result.era.value_or(0) == era_;
}

void update_task::on_read(const store_result& result) {
    const bool exists = result.outcome == store_outcome::found;
    if (!exists && result.outcome != store_outcome::not_found) {
        retry(result.outcome == store_outcome::bad_answer ? update_outcome::bad_answer
                                                          : update_outcome::platform_unavailable,
              result.reason);
        return;
    }
    if (!is_of_era(result)) {
        retry(update_outcome::conflicts, other_era(result));
        return;
    }
    // With a stale read the change function would decide on content that has been replaced.
    const std::uint64_t version = exists ? result.version : 0;
    if (version < lowest_version_) {
        retry(update_outcome::conflicts,
              error{error_code::version_conflict, key_, std::to_string(version), "a newer version"});
        return;
    }
    if (exists && is_own_write(result)) {
        finish(update_outcome::stored, version, result.value, error{});
        return;
    }
    const std::optional<nlohmann::json> current =
        exists ? std::optional<nlohmann::json>{result.value} : std::nullopt;
    const std::optional<nlohmann::json> wanted = change_(current);
    if (!wanted) {
        finish(update_outcome::unchanged, version, result.value, error{});
        return;
    }
    write(*wanted, version);
}

bool update_task::is_own_write(const store_result& result) const {
    return std::find(unconfirmed_writes_.begin(), unconfirmed_writes_.end(), result.value) !=
           unconfirmed_writes_.end();
}

void update_task::write(const nlohmann::json& content, std::uint64_t base) {
    lowest_version_ = std::max(lowest_version_, base);
    const std::shared_ptr<update_task> self = shared_from_this();
    store_.put(key_in_era(), content, base,
               [self, content](const store_result& result) { self->on_written(result, content); });
}

void update_task::on_written(const store_result& result, const nlohmann::json& content) {
    switch (result.outcome) {
    case store_outcome::stored:
        if (!is_of_era(result)) {
            retry(update_outcome::conflicts, other_era(result));
            return;
        }
        finish(update_outcome::stored, result.version, content, error{});
        return;
    case store_outcome::version_conflict:
        lowest_version_ = std::max(lowest_version_, result.version);
        retry(update_outcome::conflicts, result.reason);
        return;
    case store_outcome::unknown:
    case store_outcome::bad_answer:
        unconfirmed_writes_.push_back(content);
        break;
    default:
        break;
    }
    retry(update_outcome::platform_unavailable, result.reason);
}

void update_task::retry(update_outcome failure, const error& reason) {
    --attempts_left_;
    if (attempts_left_ == 0) {
        finish(failure, lowest_version_, nullptr, reason);
        return;
    }
    const std::shared_ptr<update_task> self = shared_from_this();
    schedule_(backoff_.next(), [self] { self->read(); });
}

void update_task::finish(update_outcome outcome, std::uint64_t version, const nlohmann::json& value,
                         const error& reason) {
    const object_store::update_handler on_result = std::move(on_result_);
    on_result(update_result{outcome, version, value, reason});
}

} // namespace gentianhill
