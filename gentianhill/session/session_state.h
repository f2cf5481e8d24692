#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace gentianhill {

/// Statement that a client prepared under a name.
struct prepared_statement {
    /// Statement body as the client sent it.
    std::string shape;
    /// True when the statement writes.
    bool writes = false;

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// Returns the name under which all sessions share a prepared statement on an instance connection. Equal
/// statements have equal names. The name consists of at most 67 letters, digits and underscores.
[[nodiscard]] std::string shared_statement_name(const prepared_statement& prepared);

/// Session values and prepared statements of a client session.
class session_state {
public:
    using value_map = std::map<std::string, std::string, std::less<>>;

    /// Sets or replaces a session value.
    void set_value(std::string_view name, std::string_view value);
    /// Replaces all session values.
    void replace_values(value_map values) { values_ = std::move(values); }
    /// Adds or replaces a prepared statement; false when a new name would exceed `max_prepared`.
    [[nodiscard]] bool prepare(std::string_view name, const prepared_statement& prepared);
    /// Removes a prepared statement; false when there is none with that name.
    bool deallocate(std::string_view name);
    /// Returns the statement prepared under a name; null when there is none.
    [[nodiscard]] const prepared_statement* find_prepared(std::string_view name) const;
    /// Memory that the values and prepared statements take, in bytes.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// Memory that a name and its value or shape take, in bytes.
    [[nodiscard]] static std::size_t bytes_of(std::string_view name, std::string_view value) {
        return name.size() + value.size() + entry_bytes;
    }
    /// All session values.
    [[nodiscard]] const value_map& values() const { return values_; }

    /// Maximum number of prepared statements, to bound the memory of a session.
    static constexpr std::size_t max_prepared = 1000;

private:
    /// Bytes of an entry besides its name and value: nodes of the containers and of the allocator.
    static constexpr std::size_t entry_bytes = 192;

    value_map values_;
    std::map<std::string, prepared_statement, std::less<>> prepared_;
    std::size_t bytes_ = 0;
};

} // namespace gentianhill
