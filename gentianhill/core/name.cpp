#include "gentianhill/core/name.h"

namespace gentianhill {

bool valid_name(std::string_view text) {
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    constexpr std::size_t max_bytes = 63;
    return !text.empty() && text.size() <= max_bytes &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace gentianhill
