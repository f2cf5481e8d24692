#include "gentianhill/session/session_state.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/sha.h>

#include <array>

namespace gentianhill {

namespace {

/// Longer names are replaced, since an instance takes a message only up to a limit.
constexpr std::size_t max_escaped_bytes = 64;

bool is_alphanumeric(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

/// Appends the shape with each byte other than a letter or digit escaped, so that different shapes never
/// share a name. Returns false if the name becomes too long.
bool append_escaped(std::string& name, std::string_view shape) {
    for (const char character : shape) {
        if (is_alphanumeric(character)) {
            name += character;
        } else {
            name += fmt::format("_{:02x}", static_cast<unsigned char>(character));
        }
        if (name.size() > max_escaped_bytes) {
            return false;
        }
    }
    return true;
}

/// Returns the SHA-256 of a long shape in hexadecimal digits. Two underscores set it apart from escaped
/// shapes.
std::string digest_name(std::string_view shape) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(shape.data()), shape.size(), digest.data());
    return fmt::format("__{:02x}", fmt::join(digest, ""));
}

} // namespace

std::string shared_statement_name(const prepared_statement& prepared) {
    const std::string mode = prepared.writes ? "w" : "r";
    std::string name = mode;
    return append_escaped(name, prepared.shape) ? name : mode + digest_name(prepared.shape);
}

void session_state::set_value(std::string_view name, std::string_view value) {
    const value_map::iterator found = values_.find(name);
    if (found != values_.end()) {
        bytes_ = bytes_ - bytes_of(name, found->second) + bytes_of(name, value);
        found->second = value;
        return;
    }
    bytes_ += bytes_of(name, value);
    values_.emplace(name, value);
}

bool session_state::prepare(std::string_view name, const prepared_statement& prepared) {
    const std::map<std::string, prepared_statement, std::less<>>::iterator found = prepared_.find(name);
    if (found == prepared_.end() && prepared_.size() >= max_prepared) {
        return false;
    }
    bytes_ += bytes_of(name, prepared.shape);
    if (found != prepared_.end()) {
        bytes_ -= bytes_of(name, found->second.shape);
        found->second = prepared;
        return true;
    }
    prepared_.emplace(name, prepared);
    return true;
}

bool session_state::deallocate(std::string_view name) {
    const std::map<std::string, prepared_statement, std::less<>>::iterator found = prepared_.find(name);
    if (found == prepared_.end()) {
        return false;
    }
    bytes_ -= bytes_of(name, found->second.shape);
    prepared_.erase(found);
    return true;
}

const prepared_statement* session_state::find_prepared(std::string_view name) const {
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

} // namespace gentianhill
