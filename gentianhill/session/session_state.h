#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gentianhill {

/// Statement that a client prepared under a name of its own.
struct prepared_statement {
    /// What the statement does, as the client wrote it.
    std::string shape;
    /// True when it writes.
    bool writes = false;

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

/// Name under which all sessions share a prepared statement on an instance connection. Equal statements have
/// equal names, and the name holds letters, digits and underscores only.
[[nodiscard]] std::string shared_statement_name(const prepared_statement& prepared);

/// What a client has set and prepared; it lasts until the session ends.
class session_state {
public:
    using value_map = std::map<std::string, std::string, std::less<>>;

    /// Sets a session value.
    void set_value(std::string_view name, std::string_view value);
    /// Prepares a statement; false when the session holds `max_prepared` already.
    [[nodiscard]] bool prepare(std::string_view name, const prepared_statement& prepared);
    /// Forgets a prepared statement; false when there is none of that name.
    bool deallocate(std::string_view name);
    /// The statement prepared under a name; null when there is none.
    [[nodiscard]] const prepared_statement* find_prepared(std::string_view name) const;
    /// All session values.
    [[nodiscard]] const value_map& values() const { return values_; }

    /// Bounds the memory of one session.
    static constexpr std::size_t max_prepared = 1000;

private:
    value_map values_;
    std::map<std::string, prepared_statement, std::less<>> prepared_;
};

} // namespace gentianhill
