#pragma once

#include "gentianhill_cli/exit_code.h"
#include "gentianhill_cli/tool_context.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace gentianhill {

/// One command of the tool.
struct command {
    using action_type = std::function<exit_code(tool_context&, const std::vector<std::string>& positional,
                                                const boost::program_options::variables_map& options)>;

    /// Words that select the command, such as "ticket submit".
    std::string name;
    /// Positional arguments, such as "FILE".
    std::string arguments;
    /// Number of positional arguments.
    std::size_t argument_count = 0;
    /// One sentence for --help.
    std::string help;
    /// Options besides the common ones.
    boost::program_options::options_description options;
    /// True when all further arguments are passed on without being parsed.
    bool raw_arguments = false;
    /// Runs the command.
    action_type run;
};

} // namespace gentianhill
