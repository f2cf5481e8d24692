#include "gentianhill/core/settings_file.h"

#include <boost/program_options.hpp>

#include <fstream>

namespace gentianhill {

std::optional<std::vector<std::string>> read_settings_file(const std::string& path, error& reason) {
    namespace options = boost::program_options;
    std::ifstream file(path);
    if (!file) {
        reason = {error_code::not_found, "settings file", path, "a file that can be read"};
        return std::nullopt;
    }
    std::vector<std::string> flags;
    try {
        // The names are checked with the flags, which know what is allowed.
        const options::options_description none;
        const options::parsed_options parsed = options::parse_config_file(file, none, true);
        for (const options::option& line : parsed.options) {
            if (!line.value.empty() && !line.value.front().empty()) {
                flags.push_back("--" + line.string_key + "=" + line.value.front());
            }
        }
    } catch (const options::error& failure) {
        reason = {error_code::bad_value, "settings file", failure.what(), "lines \"name = value\""};
        return std::nullopt;
    }
    return flags;
}

} // namespace gentianhill
