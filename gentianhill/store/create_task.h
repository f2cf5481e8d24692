#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"
#include "gentianhill/store/update_task.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// One creation of an immutable object. If the response of a write is lost, the object is read back to find
/// out whether it was stored. If a restore of the store has removed an object that had the key, the creation
/// ends as unavailable. Pending callbacks keep the task alive.
class create_task : public std::enable_shared_from_this<create_task> {
public:
    create_task(object_store& store, update_task::scheduler schedule, const http2::backoff& retry,
                unsigned attempts, std::string key, nlohmann::json value,
                object_store::create_handler on_result);

    /// Starts the task with a write; the handler is called once, when the task has ended.
    void write();

private:
    void on_written(const store_result& result);
    void read();
    void on_read(const store_result& result);
    void retry(create_outcome failure, const error& reason, void (create_task::*step)());
    void finish(create_outcome outcome, const store_result& result);

    object_store& store_;
    update_task::scheduler schedule_;
    http2::backoff backoff_;
    unsigned attempts_left_;
    std::string key_;
    nlohmann::json value_;
    object_store::create_handler on_result_;
    /// True once the outcome of a write of this task was unknown: equal content then counts as created by it.
    bool write_unconfirmed_ = false;
    /// True once a version conflict has shown that the object exists.
    bool exists_ = false;
    /// Era in which the conflict was seen.
    std::optional<std::uint64_t> conflict_era_;
};

} // namespace gentianhill
