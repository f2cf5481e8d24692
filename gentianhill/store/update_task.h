#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// One conditional update: a read-modify-write cycle that is repeated on version conflicts. If the response
/// of a write is lost, the object is read back to find out whether it was stored. Each era of the store has
/// an object of its own, so that a version that a restored store gives out again does not satisfy the
/// condition of a write of an earlier era. Pending callbacks keep the task alive.
class update_task : public std::enable_shared_from_this<update_task> {
public:
    /// Runs an action after a delay, unless the store has been destroyed by then.
    using scheduler = std::function<void(duration, std::function<void()>)>;

    update_task(object_store& store, scheduler schedule, const http2::backoff& retry, unsigned attempts,
                std::string key, object_store::change_function change,
                object_store::update_handler on_result);

    /// Starts the task, and each attempt, with a read; the handler is called once, when the task has ended.
    void read();

private:
    void on_read(const store_result& result);
    [[nodiscard]] std::string key_in_era() const;
    [[nodiscard]] bool is_of_era(const store_result& result) const;
    void write(const nlohmann::json& content, std::uint64_t base);
    void on_written(const store_result& result, const nlohmann::json& content);
    void retry(update_outcome failure, const error& reason);
    void finish(update_outcome outcome, std::uint64_t version, const nlohmann::json& value,
                const error& reason);
    [[nodiscard]] bool is_own_write(const store_result& result) const;

    object_store& store_;
    scheduler schedule_;
    http2::backoff backoff_;
    unsigned attempts_left_;
    std::string key_;
    object_store::change_function change_;
    object_store::update_handler on_result_;
    /// Era whose object this attempt reads and writes; 0 while the store has stated none.
    std::uint64_t era_ = 0;
    /// Lowest version that a read may return within the era; a lower one comes from a stale replica of the
    /// store.
    std::uint64_t lowest_version_ = 0;
    /// Contents written to the object of the era by attempts whose outcome is unknown.
    std::vector<nlohmann::json> unconfirmed_writes_;
};

} // namespace gentianhill
