#pragma once

#include "event_poll.h"

#include <fstream>
#include <string>

namespace review {

/// Writes record.txt: what was sent, answered and run, with the time in ms.
class recorder {
public:
    /// The loop must outlive the recorder.
    recorder(event_poll& loop, const std::string& path) : loop_(loop), file_(path) {}
    void line(const std::string& text) { file_ << loop_.elapsed_ms() << ' ' << text << '\n' << std::flush; }

private:
    event_poll& loop_;
    std::ofstream file_;
};

} // namespace review
