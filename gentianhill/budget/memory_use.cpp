#include "gentianhill/budget/memory_use.h"

#include <array>

namespace gentianhill {

std::string_view to_string(memory_use use) {
    static constexpr std::array<std::string_view, memory_use_count> names{"input", "statements", "session",
                                                                          "output", "unread"};
    return names.at(static_cast<std::size_t>(use));
}

} // namespace gentianhill
