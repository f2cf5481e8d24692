#include "gentianhill_cli/tool.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv) {
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    gentianhill::event_loop loop;
    gentianhill::tool_context context{loop, std::cout, std::cerr, gentianhill::process_environment(), {}};
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    return static_cast<int>(gentianhill::run_tool(context, arguments));
}
