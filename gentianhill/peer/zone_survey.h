#pragma once

#include "gentianhill/peer/peer_messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Answer of one daemon to a question.
struct peer_opinion {
    std::string daemon;
    std::string zone;
    opinion_answer answer;
};

/// A question to one daemon in each of several zones; the next candidate of a zone is asked when one does not
/// answer. Callbacks in progress keep it alive.
class zone_survey : public std::enable_shared_from_this<zone_survey> {
public:
    using answer_handler = std::function<void(const std::optional<opinion_answer>&)>;
    /// Asks one daemon; calls the handler with nothing when it does not answer.
    using ask_hook = std::function<void(const std::string& daemon, const answer_handler&)>;
    /// Receives the answers that arrived, at most one per zone, and the number of zones asked.
    using done_handler = std::function<void(const std::vector<peer_opinion>&, std::size_t zones_asked)>;

    /// `candidates` are the daemons to ask by zone, in order.
    zone_survey(std::map<std::string, std::vector<std::string>> candidates, ask_hook ask,
                done_handler on_done);

    /// Asks the first candidate of each zone.
    void start();
    /// Ends the survey with the answers that have arrived; later ones are ignored.
    void finish();

private:
    void ask_zone(const std::string& zone, std::size_t index);

    std::map<std::string, std::vector<std::string>> candidates_;
    ask_hook ask_;
    done_handler on_done_;
    std::size_t zones_open_;
    std::vector<peer_opinion> opinions_;
};

} // namespace gentianhill
