#pragma once

#include "gentianhill/http2/backoff.h"
#include "gentianhill/store/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// One conditional update: read, change, write, repeated on conflicts; lost answers are resolved by reading
/// back. Callbacks in progress keep it alive.
class update_task : public std::enable_shared_from_this<update_task> {
public:
    /// Runs an action after a delay, unless the store has gone by then.
    using delay_hook = std::function<void(duration, std::function<void()>)>;

    update_task(object_store& store, delay_hook later, const http2::backoff& retry, unsigned attempts,
                std::string key, object_store::change_function change,
                object_store::update_handler on_result);

    /// Reads the object and continues until the handler has been called.
    void read();

private:
    void was_read(const store_result& result);
    void write(const nlohmann::json& content, std::uint64_t base);
    void was_written(const store_result& result, const nlohmann::json& content);
    void retry(update_outcome failure, const error& reason);
    void finish(update_outcome outcome, std::uint64_t version, const nlohmann::json& value,
                const error& reason);
    [[nodiscard]] bool is_own_write(const store_result& result) const;

    object_store& store_;
    delay_hook later_;
    http2::backoff backoff_;
    unsigned attempts_left_;
    std::string key_;
    object_store::change_function change_;
    object_store::update_handler on_result_;
    /// Lowest version that a read may show; a lower one comes from an old copy.
    std::uint64_t lowest_version_ = 0;
    /// Contents written by attempts whose answers were lost.
    std::vector<nlohmann::json> lost_writes_;
};

} // namespace gentianhill
