#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"
#include "gentianhill/store/update_task.h"

#include <memory>
#include <string>

namespace gentianhill {

/// One creation of an object that is never changed; lost answers are resolved by reading back.
/// Callbacks in progress keep it alive.
class create_task : public std::enable_shared_from_this<create_task> {
public:
    create_task(object_store& store, update_task::delay_hook later, const http2::backoff& retry,
                unsigned attempts, std::string key, nlohmann::json value,
                object_store::create_handler on_result);

    /// Writes the object and continues until the handler has been called.
    void write();

private:
    void was_written(const store_result& result);
    void read();
    void was_read(const store_result& result);
    void retry(create_outcome failure, const error& reason, void (create_task::*step)());
    void finish(create_outcome outcome, const store_result& result);

    object_store& store_;
    update_task::delay_hook later_;
    http2::backoff backoff_;
    unsigned attempts_left_;
    std::string key_;
    nlohmann::json value_;
    object_store::create_handler on_result_;
    /// True once the answer of an own write was lost: equal content then counts as created by this call.
    bool lost_write_ = false;
    /// True once a conflict showed that the object exists.
    bool exists_ = false;
};

} // namespace gentianhill
