#include "gentianhill_cli/input_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace gentianhill {

std::optional<std::string> read_input(tool_context& context, const std::string& path) {
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file{path, std::ios::binary};
    if (!file || !(text << file.rdbuf())) {
        context.errors << fmt::format(
            "gentianhill: cannot read {}\n  next: name an existing file that is not empty, or - for standard "
            "input\n",
            path);
        return std::nullopt;
    }
    return text.str();
}

} // namespace gentianhill
