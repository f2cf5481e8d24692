#include "gentianhill/session/session_state.h"

#include <fmt/format.h>

namespace gentianhill {

namespace {

bool is_alphanumeric(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

} // namespace

std::string shared_statement_name(const prepared_statement& prepared) {
    std::string name = prepared.writes ? "w" : "r";
    for (const char character : prepared.shape) {
        if (is_alphanumeric(character)) {
            name += character;
        } else {
            // Escape other characters, so that different shapes never share a name.
            name += fmt::format("_{:02x}", static_cast<unsigned char>(character));
        }
    }
    return name;
}

void session_state::set_value(std::string_view name, std::string_view value) {
    values_.insert_or_assign(std::string(name), std::string(value));
}

bool session_state::prepare(std::string_view name, const prepared_statement& prepared) {
    if (prepared_.size() >= max_prepared && prepared_.find(name) == prepared_.end()) {
        return false;
    }
    prepared_.insert_or_assign(std::string(name), prepared);
    return true;
}

bool session_state::deallocate(std::string_view name) {
    const std::map<std::string, prepared_statement, std::less<>>::iterator found = prepared_.find(name);
    if (found == prepared_.end()) {
        return false;
    }
    prepared_.erase(found);
    return true;
}

const prepared_statement* session_state::find_prepared(std::string_view name) const {
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

} // namespace gentianhill
