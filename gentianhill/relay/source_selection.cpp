#include "gentianhill/relay/source_selection.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

void source_selection::set_candidates(std::vector<std::string> ranked_above) {
    candidates_ = std::move(ranked_above);
    for (std::map<std::string, source_state>::iterator entry = states_.begin(); entry != states_.end();) {
        const bool is_candidate =
            std::find(candidates_.begin(), candidates_.end(), entry->first) != candidates_.end();
        entry = is_candidate ? std::next(entry) : states_.erase(entry);
    }
}

const source_selection::source_state& source_selection::state_of(const std::string& name) const {
    static const source_state untested;
    const std::map<std::string, source_state>::const_iterator found = states_.find(name);
    return found == states_.end() ? untested : found->second;
}

void source_selection::on_answer(const std::string& name, bool store_reachable, duration age) {
    source_state& state = states_[name];
    state.failures = 0;
    state.health =
        store_reachable && age <= settings_.max_age ? source_health::healthy : source_health::stale;
}

void source_selection::on_failure(const std::string& name, time_point now) {
    source_state& state = states_[name];
    state.health = source_health::failed;
    duration pause = settings_.min_pause;
    for (unsigned failure = 0; failure < state.failures && pause < settings_.max_pause; ++failure) {
        pause *= 2;
    }
    ++state.failures;
    state.retry_at = now + std::min(pause, settings_.max_pause);
}

source_selection::choice source_selection::choose(time_point now) const {
    choice result;
    std::size_t healthy = 0;
    for (const std::string& name : candidates_) {
        const source_state& state = state_of(name);
        if (state.health == source_health::failed && now < state.retry_at) {
            continue;
        }
        if (healthy == settings_.wanted || result.sources.size() == settings_.max_asked) {
            break;
        }
        result.sources.push_back(name);
        healthy +=
            state.health == source_health::healthy || state.health == source_health::untested ? 1U : 0U;
    }
    result.watches_store = healthy < settings_.wanted;
    return result;
}

bool source_selection::is_healthy(const std::string& name) const {
    return state_of(name).health == source_health::healthy;
}

bool source_selection::has_healthy() const {
    return std::any_of(candidates_.begin(), candidates_.end(),
                       [this](const std::string& name) { return is_healthy(name); });
}

} // namespace gentianhill
