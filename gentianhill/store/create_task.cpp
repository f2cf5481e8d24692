#include "gentianhill/store/create_task.h"

#include <utility>

namespace gentianhill {

create_task::create_task(object_store& store, update_task::scheduler schedule, const http2::backoff& retry,
                         unsigned attempts, std::string key, nlohmann::json value,
                         object_store::create_handler on_result)
    : store_(store),
      schedule_(std::move(schedule)),
      backoff_(retry),
      attempts_left_(attempts),
      key_(std::move(key)),
      value_(std::move(value)),
      on_result_(std::move(on_result)) {}

void create_task::write() {
    const std::shared_ptr<create_task> self = shared_from_this();
    store_.put(key_, value_, 0, [self](const store_result& result) { self->on_written(result); });
}

void create_task::on_written(const store_result& result) {
    switch (result.outcome) {
    case store_outcome::stored:
        finish(create_outcome::created, result);
        return;
    case store_outcome::version_conflict:
        exists_ = true;
        conflict_era_ = result.era;
        read();
        return;
    case store_outcome::unknown:
    case store_outcome::bad_answer:
        write_unconfirmed_ = true;
        retry(create_outcome::unavailable, result.reason, &create_task::read);
        return;
    default:
        retry(create_outcome::unavailable, result.reason, &create_task::write);
    }
}

void create_task::read() {
    const std::shared_ptr<create_task> self = shared_from_this();
    store_.get(key_, [self](const store_result& result) { self->on_read(result); });
}

void create_task::on_read(const store_result& result) {
    if (result.outcome == store_outcome::found) {
        if (result.value != value_) {
            finish(create_outcome::already_there_other, result);
        } else {
            finish(write_unconfirmed_ ? create_outcome::created : create_outcome::already_there_same, result);
        }
        return;
    }
    if (result.outcome == store_outcome::not_found && exists_ && result.era != conflict_era_) {
        // Another owner of the key may have been told that its object is stored, and may store it again.
        store_result failed;
        failed.reason = error{error_code::platform_unavailable, key_, "removed by a restore of the store",
                              "the object that had the key"};
        finish(create_outcome::unavailable, failed);
        return;
    }
    if (result.outcome == store_outcome::not_found && !exists_) {
        // Nothing was stored, or a stale replica of the store answered; writing is safe in both cases, since
        // it is conditional on the object's absence.
        retry(create_outcome::unavailable, result.reason, &create_task::write);
        return;
    }
    retry(result.outcome == store_outcome::bad_answer ? create_outcome::bad_answer
                                                      : create_outcome::unavailable,
          result.reason, &create_task::read);
}

void create_task::retry(create_outcome failure, const error& reason, void (create_task::*step)()) {
    --attempts_left_;
    if (attempts_left_ == 0) {
        store_result result;
        result.reason = reason;
        finish(failure, result);
        return;
    }
    const std::shared_ptr<create_task> self = shared_from_this();
    schedule_(backoff_.next(), [self, step] { ((*self).*step)(); });
}

void create_task::finish(create_outcome outcome, const store_result& result) {
    const object_store::create_handler on_result = std::move(on_result_);
    const bool has_value = result.outcome == store_outcome::found;
    on_result(create_result{outcome, result.version, has_value ? result.value : value_, result.reason});
}

} // namespace gentianhill
