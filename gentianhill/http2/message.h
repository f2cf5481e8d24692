#pragma once

#include <string>

namespace gentianhill::http2 {

/// One request as a server sees it and a client sends it.
struct request {
    /// Method, such as POST.
    std::string method;
    /// Path with its query, such as /v1/list?prefix=tickets.
    std::string path;
    /// Body; JSON in all of this project's own calls.
    std::string body;
};

/// One complete answer.
struct response {
    /// HTTP status code.
    int status = 0;
    /// Body; JSON in all of this project's own calls.
    std::string body;
};

} // namespace gentianhill::http2
