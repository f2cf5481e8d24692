#include "gentianhill/peer/peer_network.h"

#include "gentianhill/core/object_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

/// A question to one daemon in each other zone, while answers are outstanding.
struct peer_network::zone_question {
    opinion_request request;
    duration timeout{};
    std::size_t zones_asked = 0;
    std::size_t zones_open = 0;
    std::vector<peer_opinion> opinions;
    opinions_handler on_done;
    /// Ends the question even if a peer is removed meanwhile.
    timer deadline;
};

peer_network::peer_network(event_loop& loop, const peer_network_settings& settings, peer_handlers handlers,
                           std::function<double()> random)
    : loop_(loop),
      settings_(settings),
      handlers_(std::move(handlers)),
      random_(std::move(random)),
      endpoint_(loop, settings.endpoint, handlers_, [this] { return own_envelope(); }) {
    on_sender_ = std::exchange(handlers_.on_sender, [this](const peer_envelope& sender, error& reason) {
        return accept_sender(sender, reason);
    });
    endpoint_.on_heartbeat = [this](const peer_envelope& sender) { note_heartbeat_received(sender.daemon); };
    endpoint_.forward_views = [this](const peer_envelope& sender, const group_view_push& push) {
        push_group_views(push, sender.daemon);
    };
    endpoint_.forward_tickets = [this](const peer_envelope& sender, const ticket_batch& batch) {
        push_tickets(batch, sender.daemon);
    };
}

peer_network::~peer_network() {
    alive_.reset();
}

bool peer_network::start(error& reason) {
    if (!endpoint_.listen(reason)) {
        return false;
    }
    started_ = true;
    choose();
    tick();
    return true;
}

void peer_network::shut_down() {
    endpoint_.shut_down();
}

// Membership

void peer_network::set_peers(const std::vector<peer_address>& peers) {
    std::set<std::string> wanted;
    bool changed = false;
    for (const peer_address& peer : peers) {
        wanted.insert(peer.daemon);
        const peer_state* known = find(peer.daemon);
        if (peer.daemon == settings_.daemon || (known != nullptr && known->address == peer)) {
            continue;
        }
        changed = true;
        peer_state& state = peers_[peer.daemon];
        close_link(state);
        state.address = peer;
    }
    for (std::map<std::string, peer_state>::iterator entry = peers_.begin(); entry != peers_.end();) {
        if (wanted.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        changed = true;
        close_link(entry->second);
        entry = peers_.erase(entry);
    }
    if (changed) {
        choose();
    }
}

void peer_network::add_peer(const peer_address& peer) {
    std::vector<peer_address> all = peers();
    std::erase_if(all, [&peer](const peer_address& known) { return known.daemon == peer.daemon; });
    all.push_back(peer);
    set_peers(all);
}

void peer_network::remove_peer(const std::string& daemon) {
    std::vector<peer_address> all = peers();
    std::erase_if(all, [&daemon](const peer_address& known) { return known.daemon == daemon; });
    set_peers(all);
}

void peer_network::set_draining(bool draining) {
    if (draining == draining_) {
        return;
    }
    draining_ = draining;
    for (const std::string& name : heartbeat_partners(event_loop::now())) {
        beat(*find(name));
    }
}

std::vector<peer_address> peer_network::peers() const {
    std::vector<peer_address> result;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        result.push_back(entry.second.address);
    }
    return result;
}

peer_envelope peer_network::own_envelope() const {
    return peer_envelope{settings_.daemon, settings_.zone, settings_.incarnation, handlers_.clock(),
                         draining_};
}

peer_network::peer_state* peer_network::find(const std::string& daemon) {
    const std::map<std::string, peer_state>::iterator found = peers_.find(daemon);
    return found == peers_.end() ? nullptr : &found->second;
}

bool peer_network::accept_sender(const peer_envelope& sender, error& reason) {
    if (sender.daemon == settings_.daemon) {
        reason = error{error_code::bad_value, "from.daemon", sender.daemon, "another daemon"};
        return false;
    }
    peer_state* peer = find(sender.daemon);
    if (peer != nullptr && sender.incarnation < peer->incarnation) {
        reason = error{error_code::bad_value, "from.incarnation", std::to_string(sender.incarnation),
                       "at least " + std::to_string(peer->incarnation)};
        return false;
    }
    if (!on_sender_(sender, reason)) {
        return false;
    }
    // The hook may have changed the set of peers.
    peer = find(sender.daemon);
    if (peer != nullptr) {
        peer->incarnation = sender.incarnation;
        peer->heard_at = event_loop::now();
    }
    return true;
}

void peer_network::note_heartbeat_received(const std::string& daemon) {
    peer_state* peer = find(daemon);
    if (peer == nullptr) {
        return;
    }
    peer->heartbeat_received_at = event_loop::now();
    if (neighbours_.count(daemon) > 0) {
        // The answer to this heartbeat serves both sides.
        schedule_beat(*peer, false);
    }
}

void peer_network::close_link(peer_state& peer) {
    peer.beat_timer.cancel();
    peer.summary_connection = 0;
    peer.heartbeat_open = false;
    if (peer.link == nullptr) {
        return;
    }
    const http2::client_counters last = peer.link->counters();
    closed_links_.messages_sent += last.calls;
    closed_links_.failures += last.failures;
    closed_links_.bytes_sent += last.bytes_sent;
    closed_links_.bytes_received += last.bytes_received;
    // Open requests get their results from the loop, so the link must outlive this call.
    constexpr duration grace = std::chrono::milliseconds{10};
    const std::shared_ptr<peer_link> closing = std::move(peer.link);
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(grace, [closing] {});
    loop_.run_after(duration{0}, [closing, alive] {
        if (!alive.expired()) {
            closing->disconnect();
        }
    });
}

// Neighbours

void peer_network::tick() {
    const time_point now = event_loop::now();
    if (update_silence(now)) {
        choose();
    }
    close_idle_links(now);
    tick_ = loop_.call_after(settings_.check_interval, [this] { tick(); });
}

bool peer_network::update_silence(time_point now) {
    bool changed = false;
    for (std::pair<const std::string, peer_state>& entry : peers_) {
        peer_state& peer = entry.second;
        const time_point since = std::max(peer.neighbour_since, peer.heard_at.value_or(peer.neighbour_since));
        const bool silent = neighbours_.count(entry.first) > 0 && now - since > settings_.silence_limit;
        changed = changed || silent != peer.silent;
        peer.silent = silent;
    }
    return changed;
}

void peer_network::choose() {
    if (!started_) {
        return;
    }
    const time_point now = event_loop::now();
    const std::set<std::string> silent = silent_neighbours();
    const bool watcher_changed = choose_relay(silent);
    std::set<std::string> chosen =
        choose_neighbours(settings_.neighbours, settings_.daemon, settings_.zone, peers(), silent);
    // The daemons above this one in the relay tree must be heard, and so must one that may return.
    for (const std::optional<std::string>& above : {tree_->parent(), tree_->designated_parent()}) {
        if (above) {
            chosen.insert(*above);
        }
    }
    const std::set<std::string> before = std::exchange(neighbours_, chosen);
    for (std::pair<const std::string, peer_state>& entry : peers_) {
        peer_state& peer = entry.second;
        if (chosen.count(entry.first) == 0) {
            peer.beat_timer.cancel();
            peer.silent = false;
        } else if (!peer.beat_timer.is_pending()) {
            peer.neighbour_since = before.count(entry.first) > 0 ? peer.neighbour_since : now;
            schedule_beat(peer, true);
        }
    }
    // The hooks come last, as they may change the set of peers.
    if (before != chosen && on_neighbours_changed) {
        on_neighbours_changed(chosen);
    }
    if (watcher_changed && on_watcher_changed) {
        on_watcher_changed(is_watcher_);
    }
}

bool peer_network::choose_relay(const std::set<std::string>& silent) {
    std::set<std::string> members{settings_.daemon};
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        if (entry.second.address.zone == settings_.zone) {
            members.insert(entry.first);
        }
    }
    tree_.emplace(settings_.relay, settings_.daemon, settings_.zone, members, silent);
    const bool was_watcher = std::exchange(is_watcher_, tree_->is_watcher());
    return was_watcher != is_watcher_;
}

std::set<std::string> peer_network::silent_neighbours() const {
    std::set<std::string> silent;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        if (entry.second.silent) {
            silent.insert(entry.first);
        }
    }
    return silent;
}

std::set<std::string> peer_network::heartbeat_partners(time_point now) const {
    std::set<std::string> partners;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        const std::optional<time_point>& received = entry.second.heartbeat_received_at;
        const bool chose_this_one = received && now - *received <= settings_.silence_limit;
        if (chose_this_one || neighbours_.count(entry.first) > 0) {
            partners.insert(entry.first);
        }
    }
    return partners;
}

std::optional<duration> peer_network::last_heard_age(const std::string& daemon, time_point now) const {
    const std::map<std::string, peer_state>::const_iterator found = peers_.find(daemon);
    if (found == peers_.end() || !found->second.heard_at) {
        return std::nullopt;
    }
    return now - *found->second.heard_at;
}

// Links and heartbeats

peer_link& peer_network::link_of(peer_state& peer) {
    peer.used_at = event_loop::now();
    if (peer.link == nullptr) {
        peer_link_settings link_settings;
        link_settings.server = peer.address.server;
        link_settings.daemon = peer.address.daemon;
        link_settings.reconnect = settings_.reconnect;
        // A closed link may receive an answer after the network has gone.
        const std::weak_ptr<bool> alive = alive_;
        peer.link = std::make_unique<peer_link>(
            loop_, link_settings, [this] { return own_envelope(); },
            [this, alive](const peer_envelope& sender, error& reason) {
                return !alive.expired() && accept_sender(sender, reason);
            },
            random_);
    }
    return *peer.link;
}

void peer_network::close_idle_links(time_point now) {
    for (std::pair<const std::string, peer_state>& entry : peers_) {
        peer_state& peer = entry.second;
        const bool is_idle = neighbours_.count(entry.first) == 0 && peer.link != nullptr &&
                             peer.link->open_requests() == 0 &&
                             now - peer.used_at > settings_.idle_link_lifetime;
        if (is_idle) {
            close_link(peer);
        }
    }
}

void peer_network::schedule_beat(peer_state& peer, bool is_first) {
    const double share = is_first ? random_() : 1.0 - settings_.heartbeat_jitter * random_();
    const duration interval = settings_.heartbeat_interval;
    const duration delay{static_cast<std::int64_t>(static_cast<double>(interval.count()) * share)};
    const std::string daemon = peer.address.daemon;
    peer.beat_timer = loop_.call_after(delay, [this, daemon] {
        peer_state* due = find(daemon);
        if (due != nullptr) {
            beat(*due);
        }
    });
}

void peer_network::beat(peer_state& peer) {
    if (neighbours_.count(peer.address.daemon) > 0) {
        schedule_beat(peer, false);
    }
    if (peer.heartbeat_open) {
        return;
    }
    peer_link& link = link_of(peer);
    const nlohmann::json summary = handlers_.summary();
    const bool is_acknowledged = link.is_connected() && peer.summary_connection == link.connection_number() &&
                                 summary == peer.summary_acknowledged;
    peer_heartbeat heartbeat;
    heartbeat.summary = is_acknowledged ? nlohmann::json{} : summary;
    heartbeat.wants_summary = peer.wants_summary;
    peer.heartbeat_open = true;
    const std::string daemon = peer.address.daemon;
    const std::shared_ptr<std::uint64_t> connection = std::make_shared<std::uint64_t>(0);
    const std::weak_ptr<bool> alive = alive_;
    link.ask(peer_message_kind::heartbeat, heartbeat.to_json(), settings_.heartbeat_timeout,
             [this, alive, daemon, summary, connection](const peer_envelope* sender,
                                                        const nlohmann::json& answer, const error&) {
                 if (!alive.expired()) {
                     heartbeat_answered(daemon, *connection, summary, sender, answer);
                 }
             });
    *connection = link.connection_number();
}

void peer_network::heartbeat_answered(const std::string& daemon, std::uint64_t connection,
                                      const nlohmann::json& sent, const peer_envelope* sender,
                                      const nlohmann::json& answer) {
    peer_state* peer = find(daemon);
    if (peer == nullptr) {
        return;
    }
    peer->heartbeat_open = false;
    error reason;
    std::optional<peer_heartbeat> read;
    if (sender != nullptr) {
        read = peer_heartbeat::from_json(answer, reason);
    }
    // After a lost answer both summaries are sent again.
    peer->wants_summary = !read;
    peer->summary_connection = read ? connection : 0;
    peer->summary_acknowledged = sent;
    if (read && !read->summary.is_null()) {
        handlers_.on_summary(*sender, read->summary);
    }
}

// Messages

void peer_network::ask_peer(peer_state& peer, peer_message_kind kind, const nlohmann::json& message,
                            duration timeout, const peer_link::answer_handler& on_answer) {
    const std::weak_ptr<bool> alive = alive_;
    link_of(peer).ask(
        kind, message, timeout,
        [alive, on_answer](const peer_envelope* sender, const nlohmann::json& answer, const error& reason) {
            if (!alive.expired()) {
                on_answer(sender, answer, reason);
            }
        });
}

void peer_network::push_group_views(const group_view_push& push, const std::string& except) {
    const nlohmann::json message = push.to_json();
    for (const std::string& name : heartbeat_partners(event_loop::now())) {
        if (name != except) {
            ask_peer(*find(name), peer_message_kind::group_view, message, settings_.message_timeout,
                     [](const peer_envelope*, const nlohmann::json&, const error&) {});
        }
    }
}

void peer_network::push_tickets(const ticket_batch& batch, const std::string& except) {
    if (!tree_ || batch.tickets.empty()) {
        return;
    }
    const ticket_message message = std::make_shared<const nlohmann::json>(batch.to_json());
    for (const std::string& child : tree_->children()) {
        relay(child, message, except);
    }
}

void peer_network::relay(const std::string& daemon, const ticket_message& message,
                         const std::string& except) {
    peer_state* peer = find(daemon);
    if (peer == nullptr || daemon == except) {
        return;
    }
    ask_peer(*peer, peer_message_kind::tickets_push, *message, settings_.message_timeout,
             [this, daemon, message, except](const peer_envelope* sender, const nlohmann::json&,
                                             const error& reason) {
                 const bool is_lost = sender == nullptr && (certainly_not_processed(reason.code) ||
                                                            reason.code == error_code::connection_lost ||
                                                            reason.code == error_code::timed_out);
                 if (!is_lost || !tree_) {
                     return;
                 }
                 // Those below a daemon that does not answer are served in its place; the tree is finite.
                 for (const std::string& child : tree_->children_of(daemon)) {
                     relay(child, message, except);
                 }
             });
}

void peer_network::ask_other_zones(const opinion_request& question, duration timeout,
                                   opinions_handler on_done) {
    std::set<std::string> zones;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        if (entry.second.address.zone != settings_.zone) {
            zones.insert(entry.second.address.zone);
        }
    }
    const std::shared_ptr<zone_question> open = std::make_shared<zone_question>();
    open->request = question;
    open->timeout = timeout;
    open->zones_asked = zones.size();
    open->zones_open = zones.size();
    open->on_done = std::move(on_done);
    const std::weak_ptr<bool> alive = alive_;
    const duration limit = zones.empty() ? duration{0} : timeout;
    open->deadline = loop_.call_after(limit, [open, alive] {
        if (!alive.expired()) {
            finish_question(open);
        }
    });
    for (const std::string& zone : zones) {
        ask_zone(open, opinion_candidates(question, zone), 0);
    }
}

std::vector<std::string> peer_network::opinion_candidates(const opinion_request& question,
                                                          const std::string& zone) const {
    std::vector<std::string> ranked = rank_in_zone(question.group, zone, peers());
    // A daemon with a connection answers soonest; one that is silent is the last resort.
    const auto rank_of = [this](const std::string& daemon) {
        const peer_state& peer = peers_.at(daemon);
        return peer.silent ? 2 : (peer.link != nullptr && peer.link->is_connected() ? 0 : 1);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&rank_of](const std::string& left, const std::string& right) {
                         return rank_of(left) < rank_of(right);
                     });
    constexpr std::size_t max_candidates = 2;
    ranked.resize(std::min(ranked.size(), max_candidates));
    return ranked;
}

void peer_network::ask_zone(const std::shared_ptr<zone_question>& question,
                            const std::vector<std::string>& candidates, std::size_t index) {
    peer_state* peer = index < candidates.size() ? find(candidates[index]) : nullptr;
    if (peer == nullptr) {
        zone_ended(question);
        return;
    }
    const std::string zone = peer->address.zone;
    // The first candidate has half of the time, so that the second one still can answer.
    ask_peer(*peer, peer_message_kind::opinion, question->request.to_json(), question->timeout / 2,
             [this, question, candidates, index, zone](const peer_envelope* sender,
                                                       const nlohmann::json& value, const error&) {
                 error reason;
                 const std::optional<opinion_answer> answer =
                     sender == nullptr ? std::nullopt : opinion_answer::from_json(value, reason);
                 if (!answer) {
                     ask_zone(question, candidates, index + 1);
                     return;
                 }
                 question->opinions.push_back(peer_opinion{sender->daemon, zone, *answer});
                 zone_ended(question);
             });
}

void peer_network::zone_ended(const std::shared_ptr<zone_question>& question) {
    --question->zones_open;
    if (question->zones_open == 0) {
        finish_question(question);
    }
}

void peer_network::finish_question(const std::shared_ptr<zone_question>& question) {
    const opinions_handler on_done = std::exchange(question->on_done, nullptr);
    question->deadline.cancel();
    if (on_done) {
        on_done(question->opinions, question->zones_asked);
    }
}

std::string peer_network::best_source() const {
    // The daemon above in the relay tree, then the neighbour heard last.
    if (tree_ && tree_->parent()) {
        return *tree_->parent();
    }
    std::string best;
    std::optional<time_point> best_heard;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        const std::optional<time_point>& heard = entry.second.heard_at;
        if (heard && !entry.second.silent && (!best_heard || *heard > *best_heard)) {
            best = entry.first;
            best_heard = heard;
        }
    }
    return best;
}

void peer_network::fail_later(const std::string& daemon, const std::function<void(const error&)>& on_result) {
    const std::weak_ptr<bool> alive = alive_;
    loop_.run_after(duration{0}, [alive, daemon, on_result] {
        if (!alive.expired()) {
            on_result(error{error_code::unknown_daemon, "daemon", daemon, "a daemon of the peer set"});
        }
    });
}

void peer_network::pull_tickets(const std::string& daemon, const tickets_pull& pull,
                                const tickets_handler& on_result) {
    const std::string source = daemon.empty() ? best_source() : daemon;
    peer_state* peer = find(source);
    if (peer == nullptr) {
        fail_later(source, [on_result](const error& reason) { on_result(std::nullopt, reason); });
        return;
    }
    ask_peer(*peer, peer_message_kind::tickets_pull, pull.to_json(), settings_.message_timeout,
             [on_result](const peer_envelope* sender, const nlohmann::json& answer, const error& failure) {
                 error reason = failure;
                 std::optional<ticket_batch> batch;
                 if (sender != nullptr) {
                     batch = ticket_batch::from_json(answer, reason);
                 }
                 on_result(std::move(batch), reason);
             });
}

void peer_network::read_timeline(const std::string& daemon, const timeline_request& request,
                                 const timeline_handler& on_result) {
    peer_state* peer = find(daemon);
    if (peer == nullptr) {
        fail_later(daemon, [on_result](const error& reason) { on_result(std::nullopt, reason); });
        return;
    }
    ask_peer(*peer, peer_message_kind::timeline, request.to_json(), settings_.message_timeout,
             [on_result](const peer_envelope* sender, const nlohmann::json& answer, const error& failure) {
                 error reason = failure;
                 std::optional<timeline_answer> events;
                 if (sender != nullptr) {
                     events = timeline_answer::from_json(answer, reason);
                 }
                 on_result(std::move(events), reason);
             });
}

peer_network_counters peer_network::counters() const {
    peer_network_counters sum = closed_links_;
    for (const std::pair<const std::string, peer_state>& entry : peers_) {
        if (entry.second.link != nullptr) {
            const http2::client_counters link = entry.second.link->counters();
            sum.messages_sent += link.calls;
            sum.failures += link.failures;
            sum.bytes_sent += link.bytes_sent;
            sum.bytes_received += link.bytes_received;
        }
    }
    const peer_endpoint_counters received = endpoint_.counters();
    sum.messages_received = received.messages;
    sum.refused = received.refused;
    sum.bytes_sent += received.bytes_sent;
    sum.bytes_received += received.bytes_received;
    return sum;
}

} // namespace gentianhill
