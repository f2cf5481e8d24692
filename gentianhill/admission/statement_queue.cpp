#include "gentianhill/admission/statement_queue.h"

#include <algorithm>
#include <cmath>

namespace gentianhill {

namespace {

std::size_t index_of(statement_lane lane) {
    return static_cast<std::size_t>(lane);
}

} // namespace

bool statement_queue::team_lines::is_empty() const {
    return length() == 0;
}

std::size_t statement_queue::team_lines::length() const {
    std::size_t sum = 0;
    for (const std::array<line, statement_lanes>& by_lane : lines) {
        for (const line& waiting : by_lane) {
            sum += waiting.size();
        }
    }
    return sum;
}

std::size_t statement_queue::team_lines::length(outlook expected, statement_lane lane) const {
    return lines.at(static_cast<std::size_t>(expected)).at(index_of(lane)).size();
}

bool statement_queue::priority_level::is_empty(statement_lane lane) const {
    return std::all_of(teams.begin(), teams.end(),
                       [lane](const std::pair<const std::string, team_lines>& team) {
                           return team.second.length(outlook::meets_target, lane) +
                                      team.second.length(outlook::late, lane) ==
                                  0;
                       });
}

statement_queue::push_result statement_queue::push(const queued_statement& statement, time_point now) {
    push_result result;
    if (entries_.size() >= settings_.max_length) {
        const std::optional<entry_id> last_id = last();
        if (!last_id || !is_served_before(statement, entries_.at(*last_id).statement)) {
            return result;
        }
        static_cast<void>(remove(*last_id));
        result.displaced = last_id;
    }
    priority_level& level = levels_[statement.priority];
    if (level.is_empty(statement.lane)) {
        level.spare_at.at(index_of(statement.lane)) = now;
        level.served_before.at(index_of(statement.lane)) = 0;
    }
    result.added = next_id_++;
    insert(*result.added, {statement, outlook::meets_target});
    return result;
}

bool statement_queue::is_served_before(const queued_statement& added, const queued_statement& last) const {
    if (added.priority != last.priority) {
        return added.priority < last.priority;
    }
    const std::map<std::string, team_lines>& teams = levels_.at(last.priority).teams;
    const std::map<std::string, team_lines>::const_iterator own = teams.find(added.team);
    const double own_length = own == teams.end() ? 0.0 : static_cast<double>(own->second.length());
    const double last_length = static_cast<double>(teams.at(last.team).length());
    return (own_length + 1.0) / weight_of(added.team) < last_length / weight_of(last.team);
}

void statement_queue::insert(entry_id id, const entry& added) {
    const queued_statement& statement = added.statement;
    priority_level& level = levels_[statement.priority];
    team_lines& team = level.teams[statement.team];
    if (team.is_empty()) {
        // A team that did not wait has no claim to what the others were given meanwhile.
        team.next_start = std::max(team.next_start, level.virtual_time);
    }
    const time_point key =
        added.expected == outlook::meets_target ? statement.target_start : statement.last_start;
    team.lines.at(static_cast<std::size_t>(added.expected)).at(index_of(statement.lane)).emplace(key, id);
    ++lane_sizes_.at(index_of(statement.lane));
    entries_.emplace(id, added);
}

bool statement_queue::remove(entry_id id) {
    const std::unordered_map<entry_id, entry>::iterator found = entries_.find(id);
    if (found == entries_.end()) {
        return false;
    }
    erase(id, found->second);
    return true;
}

void statement_queue::erase(entry_id id, const entry& removed) {
    const queued_statement statement = removed.statement;
    const outlook expected = removed.expected;
    priority_level& level = levels_.at(statement.priority);
    const std::map<std::string, team_lines>::iterator team = level.teams.find(statement.team);
    const time_point key = expected == outlook::meets_target ? statement.target_start : statement.last_start;
    team->second.lines.at(static_cast<std::size_t>(expected)).at(index_of(statement.lane)).erase({key, id});
    --lane_sizes_.at(index_of(statement.lane));
    entries_.erase(id);
    // The virtual start of a team that was served ahead of the others is kept until they have caught up.
    if (team->second.is_empty() && team->second.next_start <= level.virtual_time) {
        level.teams.erase(team);
    }
}

void statement_queue::update_outlooks(time_point now) {
    constexpr std::size_t meets_target = static_cast<std::size_t>(outlook::meets_target);
    constexpr std::size_t late = static_cast<std::size_t>(outlook::late);
    for (std::pair<const std::int64_t, priority_level>& level : levels_) {
        for (std::pair<const std::string, team_lines>& team : level.second.teams) {
            for (std::size_t lane = 0; lane < statement_lanes; ++lane) {
                line& in_time = team.second.lines.at(meets_target).at(lane);
                while (!in_time.empty() && in_time.begin()->first < now) {
                    const entry_id id = in_time.begin()->second;
                    in_time.erase(in_time.begin());
                    entry& moved = entries_.at(id);
                    moved.expected = outlook::late;
                    team.second.lines.at(late).at(lane).emplace(moved.statement.last_start, id);
                }
            }
        }
    }
}

std::optional<statement_queue::entry_id> statement_queue::next(const lane_flags& is_full) const {
    for (const std::pair<const std::int64_t, priority_level>& level : levels_) {
        for (std::size_t expected = 0; expected < outlooks; ++expected) {
            const line* best = nullptr;
            double best_start = 0.0;
            for (const std::pair<const std::string, team_lines>& team : level.second.teams) {
                const line* first = nullptr;
                for (std::size_t lane = 0; lane < statement_lanes; ++lane) {
                    const line& waiting = team.second.lines.at(expected).at(lane);
                    if (!is_full.at(lane) && !waiting.empty() &&
                        (first == nullptr || *waiting.begin() < *first->begin())) {
                        first = &waiting;
                    }
                }
                if (first != nullptr && (best == nullptr || team.second.next_start < best_start)) {
                    best = first;
                    best_start = team.second.next_start;
                }
            }
            if (best != nullptr) {
                return best->begin()->second;
            }
        }
    }
    return std::nullopt;
}

std::optional<statement_queue::entry_id> statement_queue::last() const {
    for (std::map<std::int64_t, priority_level>::const_reverse_iterator level = levels_.rbegin();
         level != levels_.rend(); ++level) {
        for (std::size_t expected = outlooks; expected-- > 0;) {
            const line* longest = nullptr;
            for (const std::pair<const std::string, team_lines>& team : level->second.teams) {
                for (const line& waiting : team.second.lines.at(expected)) {
                    if (!waiting.empty() && (longest == nullptr || waiting.size() > longest->size())) {
                        longest = &waiting;
                    }
                }
            }
            if (longest != nullptr) {
                return longest->rbegin()->second;
            }
        }
    }
    return std::nullopt;
}

void statement_queue::offer(time_point now, const std::function<offer_result(entry_id id)>& offer_one) {
    update_outlooks(now);
    lane_flags is_full{};
    std::vector<std::pair<entry_id, entry>> set_aside;
    for (std::optional<entry_id> id = next(is_full); id; id = next(is_full)) {
        const entry offered = entries_.at(*id);
        const offer_result result = offer_one(*id);
        const bool still_waits = entries_.count(*id) > 0;
        switch (result) {
        case offer_result::left_queue:
            if (still_waits) {
                record_service(offered, now);
                charge(offered.statement);
                static_cast<void>(remove(*id));
            }
            break;
        case offer_result::waits:
            if (still_waits) {
                set_aside.emplace_back(*id, offered);
                static_cast<void>(remove(*id));
            }
            break;
        case offer_result::lane_is_full:
            is_full.at(index_of(offered.statement.lane)) = true;
            break;
        }
    }
    record_spare(is_full, now);
    for (const std::pair<entry_id, entry>& waiting : set_aside) {
        insert(waiting.first, waiting.second);
    }
}

void statement_queue::record_service(const entry& served, time_point now) {
    const std::size_t lane = index_of(served.statement.lane);
    for (std::map<std::int64_t, priority_level>::iterator level = levels_.find(served.statement.priority);
         level != levels_.end(); ++level) {
        const bool is_own = level->first == served.statement.priority;
        if (is_own && served.expected == outlook::late) {
            level->second.spare_at.at(lane) = now;
            level->second.served_before.at(lane) = 0;
        } else {
            ++level->second.served_before.at(lane);
        }
    }
}

void statement_queue::record_spare(const lane_flags& is_full, time_point now) {
    for (std::pair<const std::int64_t, priority_level>& level : levels_) {
        for (std::size_t lane = 0; lane < statement_lanes; ++lane) {
            if (!is_full.at(lane)) {
                level.second.spare_at.at(lane) = now;
                level.second.served_before.at(lane) = 0;
            }
        }
    }
}

time_point statement_queue::servable_until(const queued_statement& statement, time_point now) const {
    const std::map<std::int64_t, priority_level>::const_iterator level = levels_.find(statement.priority);
    const std::size_t lane = index_of(statement.lane);
    const bool serves_late = level == levels_.end() ||
                             now - level->second.spare_at.at(lane) <= settings_.spare_memory ||
                             level->second.served_before.at(lane) < settings_.served_without_spare;
    return serves_late ? statement.last_start : std::min(statement.last_start, statement.target_start);
}

void statement_queue::charge(const queued_statement& served) {
    priority_level& level = levels_.at(served.priority);
    team_lines& team = level.teams.at(served.team);
    level.virtual_time = std::max(level.virtual_time, team.next_start);
    team.next_start += served.cost_ms / weight_of(served.team);
}

double statement_queue::weight_of(const std::string& team) const {
    const std::map<std::string, double>::const_iterator found = weights_.find(team);
    return found == weights_.end() ? 1.0 : found->second;
}

std::size_t statement_queue::ahead_within(const priority_level& level, const std::string& team,
                                          outlook expected, statement_lane lane, std::size_t index) const {
    // While a team is served once more, each other team is served in proportion to its weight.
    std::size_t ahead = index;
    const double rounds = static_cast<double>(index + 1) / weight_of(team);
    for (const std::pair<const std::string, team_lines>& other : level.teams) {
        if (other.first != team) {
            const double share = std::ceil(rounds * weight_of(other.first));
            ahead += std::min(other.second.length(expected, lane), static_cast<std::size_t>(share));
        }
    }
    return ahead;
}

std::size_t statement_queue::ahead_of(const queued_statement& statement, time_point now) {
    update_outlooks(now);
    const outlook expected = statement.target_start < now ? outlook::late : outlook::meets_target;
    std::size_t ahead = 0;
    for (const std::pair<const std::int64_t, priority_level>& level : levels_) {
        if (level.first > statement.priority) {
            break;
        }
        for (std::size_t other = 0; other < outlooks; ++other) {
            const outlook current = static_cast<outlook>(other);
            if (level.first < statement.priority || current < expected) {
                for (const std::pair<const std::string, team_lines>& team : level.second.teams) {
                    ahead += team.second.length(current, statement.lane);
                }
            } else if (current == expected) {
                const std::map<std::string, team_lines>::const_iterator own =
                    level.second.teams.find(statement.team);
                const std::size_t index =
                    own == level.second.teams.end() ? 0 : own->second.length(expected, statement.lane);
                ahead += ahead_within(level.second, statement.team, expected, statement.lane, index);
            }
        }
    }
    return ahead;
}

std::vector<statement_queue::entry_id> statement_queue::find_unservable(
    time_point now, const std::function<duration(statement_lane lane, std::size_t ahead)>& expected_wait) {
    update_outlooks(now);
    std::vector<entry_id> found;
    std::array<std::size_t, statement_lanes> ahead{};
    for (const std::pair<const std::int64_t, priority_level>& level : levels_) {
        for (std::size_t expected = 0; expected < outlooks; ++expected) {
            const outlook current = static_cast<outlook>(expected);
            std::array<std::size_t, statement_lanes> waiting{};
            for (const std::pair<const std::string, team_lines>& team : level.second.teams) {
                for (std::size_t lane = 0; lane < statement_lanes; ++lane) {
                    const statement_lane kind = static_cast<statement_lane>(lane);
                    const line& statements = team.second.lines.at(expected).at(lane);
                    waiting.at(lane) += team.second.length(current, kind);
                    // One that is refused makes room for those behind it.
                    std::size_t index = 0;
                    for (const std::pair<time_point, entry_id>& statement : statements) {
                        const std::size_t before =
                            ahead.at(lane) + ahead_within(level.second, team.first, current, kind, index);
                        const queued_statement& judged = entries_.at(statement.second).statement;
                        const bool is_servable =
                            before == 0 || now + expected_wait(kind, before) <= servable_until(judged, now);
                        if (is_servable) {
                            ++index;
                        } else {
                            found.push_back(statement.second);
                        }
                    }
                }
            }
            for (std::size_t lane = 0; lane < statement_lanes; ++lane) {
                ahead.at(lane) += waiting.at(lane);
            }
        }
    }
    return found;
}

std::vector<statement_queue::entry_id> statement_queue::ids() const {
    std::vector<entry_id> all;
    all.reserve(entries_.size());
    for (const std::pair<const entry_id, entry>& waiting : entries_) {
        all.push_back(waiting.first);
    }
    std::sort(all.begin(), all.end());
    return all;
}

} // namespace gentianhill
