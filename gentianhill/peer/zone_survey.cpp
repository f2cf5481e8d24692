#include "gentianhill/peer/zone_survey.h"

#include <utility>

namespace gentianhill {

zone_survey::zone_survey(std::map<std::string, std::vector<std::string>> candidates, ask_hook ask,
                         done_handler on_done)
    : candidates_(std::move(candidates)),
      ask_(std::move(ask)),
      on_done_(std::move(on_done)),
      zones_open_(candidates_.size()) {}

void zone_survey::start() {
    for (const std::pair<const std::string, std::vector<std::string>>& entry : candidates_) {
        ask_zone(entry.first, 0);
    }
}

void zone_survey::ask_zone(const std::string& zone, std::size_t index) {
    const std::vector<std::string>& candidates = candidates_.at(zone);
    if (index == candidates.size()) {
        --zones_open_;
        if (zones_open_ == 0) {
            finish();
        }
        return;
    }
    const std::shared_ptr<zone_survey> self = shared_from_this();
    const std::string daemon = candidates[index];
    ask_(daemon, [self, zone, daemon, index](const std::optional<opinion_answer>& answer) {
        if (!answer) {
            self->ask_zone(zone, index + 1);
            return;
        }
        self->opinions_.push_back(peer_opinion{daemon, zone, *answer});
        self->ask_zone(zone, self->candidates_.at(zone).size());
    });
}

void zone_survey::finish() {
    const done_handler on_done = std::exchange(on_done_, nullptr);
    if (on_done) {
        on_done(opinions_, candidates_.size());
    }
}

} // namespace gentianhill
