#include "gentianhill/daemon/fleet_service.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianhill {

namespace {

constexpr duration hosts_interval = std::chrono::seconds{2};
constexpr duration opinion_timeout = std::chrono::milliseconds{250};
/// Tickets are pulled from one daemon at most this often.
constexpr duration pull_interval = std::chrono::milliseconds{500};
/// Time between two attempts to read the tickets of a daemon for the comparison.
constexpr duration comparison_interval = std::chrono::milliseconds{100};
constexpr std::size_t ticket_batch_bytes = 512U << 10U;

peer_network_settings network_settings_for(const daemon_context& context) {
    peer_network_settings settings;
    settings.daemon = context.settings.name;
    settings.zone = context.settings.zone;
    settings.incarnation = static_cast<std::uint64_t>(context.incarnation);
    settings.endpoint.listen = context.settings.peer_listen;
    return settings;
}

} // namespace

fleet_service::fleet_service(daemon_context& context, object_store& store, ticket_service& tickets,
                             fleet_service_hooks hooks)
    : context_(context),
      store_(store),
      tickets_(tickets),
      hooks_(std::move(hooks)),
      directory_(host_directory_settings{}) {
    network_ = std::make_unique<peer_network>(context.loop, network_settings_for(context), handlers(),
                                              [&context] { return context.random(); });
    network_->on_neighbours_changed = [this](const std::set<std::string>& neighbours) {
        directory_.expect_heartbeats(neighbours, event_loop::now());
    };
    network_->on_watcher_changed = [this](bool watches) { tickets_.set_watching(watches); };
    for (const peer_setting& peer : context.settings.peers) {
        if (peer.name != context.settings.name) {
            known_.emplace(peer.name, peer_address{peer.name, peer.zone, peer.address});
        }
    }
}

bool fleet_service::start(error& reason) {
    if (!network_->start(reason)) {
        return false;
    }
    for (const std::pair<const std::string, peer_address>& peer : known_) {
        network_->add_peer(peer.second);
    }
    tickets_.set_watching(network_->is_ticket_watcher());
    restored_ = store_.on_restored.connect([this] { compare_tickets(); });
    compare_tickets();
    poll_hosts();
    return true;
}

void fleet_service::add_peer(const peer_address& peer) {
    known_[peer.daemon] = peer;
    network_->add_peer(peer);
}

void fleet_service::set_draining() {
    network_->set_draining(true);
}

void fleet_service::push_ticket(const nlohmann::json& accepted) {
    if (is_relayed_) {
        return;
    }
    ticket_batch batch;
    batch.tickets = {accepted};
    network_->push_tickets(batch);
}

void fleet_service::push_views(std::vector<nlohmann::json> views) {
    group_view_push push;
    push.views = std::move(views);
    network_->push_group_views(push);
}

peer_handlers fleet_service::handlers() {
    peer_handlers result;
    result.clock = [this] { return context_.clock.now(event_loop::wall_clock_ms()).to_string(); };
    result.summary = [this] {
        return nlohmann::json{{"tickets", tickets_.view().fingerprint()},
                              {"highest", tickets_.view().highest_number()},
                              {"groups", hooks_.group_terms()}};
    };
    result.is_known = [this](const std::string& daemon) { return known_.contains(daemon); };
    result.on_sender = [this](const peer_envelope& sender, error& reason) {
        return on_sender(sender, reason);
    };
    result.on_summary = [this](const peer_envelope& sender, const nlohmann::json& summary) {
        on_summary(sender, summary);
    };
    result.on_group_views = [this](const peer_envelope& /*sender*/, const group_view_push& push,
                                   error& reason) {
        const bool is_news = hooks_.merge_views(push.views, reason);
        if (reason.failed()) {
            return peer_news::rejected;
        }
        return is_news ? peer_news::applied : peer_news::known;
    };
    result.on_tickets = [this](const peer_envelope& /*sender*/, const ticket_batch& batch, error& reason) {
        is_relayed_ = true;
        const peer_news news = on_tickets(batch, reason);
        is_relayed_ = false;
        return news;
    };
    result.opinion = [this](const peer_envelope& /*sender*/, const opinion_request& question) {
        return hooks_.opinion(question);
    };
    result.tickets_after = [this](const peer_envelope& /*sender*/, const tickets_pull& pull) {
        ticket_batch batch;
        batch.tickets = tickets_.after(pull.after, ticket_batch_bytes, batch.more);
        return batch;
    };
    result.timeline = [this](const peer_envelope& /*sender*/, const timeline_request& request) {
        timeline_answer answer;
        const nlohmann::json exported = context_.events.export_since(0, request.limit);
        for (const nlohmann::json& event : exported.at("events")) {
            answer.events.push_back(event);
        }
        return answer;
    };
    return result;
}

bool fleet_service::on_sender(const peer_envelope& sender, error& reason) {
    const std::optional<hybrid_timestamp> remote =
        hybrid_timestamp::parse(sender.clock, "sender.clock", reason);
    if (!remote || !context_.clock.receive(*remote, event_loop::wall_clock_ms(), reason)) {
        return false;
    }
    const daemon_announcement notice{sender.daemon, sender.zone, sender.incarnation, sender.draining};
    const membership_event effect = directory_.record_message(notice, event_loop::now());
    if (effect == membership_event::none) {
        return true;
    }
    const bool is_draining = effect == membership_event::draining;
    context_.record(is_draining ? event_kind::host_leaving : event_kind::peer_returned, {},
                    {{"daemon", sender.daemon}, {"zone", sender.zone}});
    context_.log.write(log_level::info, "peer", is_draining ? "peer_draining" : "peer_live",
                       {{"daemon", sender.daemon}, {"zone", sender.zone}});
    return true;
}

void fleet_service::on_summary(const peer_envelope& sender, const nlohmann::json& summary) {
    if (!summary.is_object() || !summary.contains("tickets") || !summary.contains("highest") ||
        !summary["highest"].is_number_unsigned()) {
        return;
    }
    summaries_[sender.daemon] = summary;
    if (summary["tickets"] == tickets_.view().fingerprint()) {
        return;
    }
    // With the same highest number a lower one is missing on either side, so everything is compared.
    const std::uint64_t theirs = summary["highest"].get<std::uint64_t>();
    const std::uint64_t ours = tickets_.view().highest_number();
    pull_tickets(sender.daemon, theirs > ours ? ours : 0);
}

void fleet_service::pull_tickets(const std::string& daemon, std::uint64_t after) {
    const time_point now = event_loop::now();
    const std::map<std::string, time_point>::iterator last = pulled_at_.find(daemon);
    if (last != pulled_at_.end() && now - last->second < pull_interval) {
        return;
    }
    pulled_at_[daemon] = now;
    const std::weak_ptr<bool> alive = alive_;
    network_->pull_tickets(daemon, tickets_pull{after},
                           [this, alive](const std::optional<ticket_batch>& batch, const error&) {
                               if (!alive.expired() && batch) {
                                   error reason;
                                   on_tickets(*batch, reason);
                               }
                           });
}

void fleet_service::await_comparison(std::function<void()> on_compared) {
    waiting_for_comparison_.push_back(std::move(on_compared));
    compare_tickets();
}

std::uint64_t fleet_service::present_era() const {
    return store_.era().value_or(0);
}

bool fleet_service::is_compared() const {
    std::set<std::string> daemons;
    for (const std::pair<const std::string, peer_address>& peer : known_) {
        daemons.insert(peer.first);
    }
    return comparison_.era() == present_era() && comparison_.is_complete(daemons, event_loop::now());
}

void fleet_service::compare_tickets() {
    comparison_timer_ = context_.loop.call_after(comparison_interval, [this] { compare_tickets(); });
    const std::uint64_t era = present_era();
    comparison_.begin(era, event_loop::now());
    for (const std::pair<const std::string, peer_address>& peer : known_) {
        if (!comparison_.has_read(peer.first) && !reading_.contains(peer.first)) {
            reading_.insert(peer.first);
            read_all_tickets(peer.first, 0, era);
        }
    }
    if (!is_compared()) {
        return;
    }
    for (const std::function<void()>& each : std::exchange(waiting_for_comparison_, {})) {
        each();
    }
}

void fleet_service::read_all_tickets(const std::string& daemon, ticket_number after, std::uint64_t era) {
    const std::weak_ptr<bool> alive = alive_;
    network_->pull_tickets(
        daemon, tickets_pull{after},
        [this, alive, daemon, era](const std::optional<ticket_batch>& batch, const error&) {
            if (alive.expired()) {
                return;
            }
            error reason;
            if (!batch || on_tickets(*batch, reason) == peer_news::rejected) {
                // The next comparison asks again.
                reading_.erase(daemon);
                return;
            }
            if (batch->more && !batch->tickets.empty()) {
                read_all_tickets(daemon, batch->tickets.back().value("number", ticket_number{0}), era);
                return;
            }
            reading_.erase(daemon);
            comparison_.record(daemon, era);
            compare_tickets();
        });
}

peer_news fleet_service::on_tickets(const ticket_batch& batch, error& reason) {
    bool is_news = false;
    for (const nlohmann::json& accepted : batch.tickets) {
        is_news = tickets_.apply(accepted, reason) || is_news;
        if (reason.failed()) {
            return peer_news::rejected;
        }
    }
    return is_news ? peer_news::applied : peer_news::known;
}

std::size_t
fleet_service::ask_other_zones(const opinion_request& question,
                               std::function<void(const std::string& zone, bool saw_commit)> on_opinion) {
    std::set<std::string> zones;
    for (const std::pair<const std::string, peer_address>& peer : known_) {
        if (peer.second.zone != context_.settings.zone) {
            zones.insert(peer.second.zone);
        }
    }
    network_->ask_other_zones(
        question, opinion_timeout,
        [on_opinion = std::move(on_opinion)](const std::vector<peer_opinion>& opinions, std::size_t) {
            for (const peer_opinion& opinion : opinions) {
                on_opinion(opinion.zone, opinion.answer.saw_commit_recently);
            }
        });
    return zones.size();
}

std::vector<coordinator_candidate> fleet_service::live_daemons() const {
    std::vector<coordinator_candidate> result{{context_.settings.name, context_.settings.zone}};
    for (const daemon_view& daemon : directory_.live_daemons(event_loop::now())) {
        if (daemon.name != context_.settings.name) {
            result.push_back({daemon.name, daemon.zone});
        }
    }
    return result;
}

bool fleet_service::is_running(const daemon_incarnation& run) const {
    if (run.daemon == context_.settings.name) {
        return run.incarnation == context_.incarnation_text();
    }
    const std::optional<daemon_view> known = directory_.find_daemon(run.daemon, event_loop::now());
    return !known || known->incarnation == 0 || std::to_string(known->incarnation) == run.incarnation;
}

nlohmann::json fleet_service::ticket_views() const {
    nlohmann::json result = nlohmann::json::object();
    const std::string own = tickets_.view().fingerprint();
    result[context_.settings.name] = {{"same", true}, {"highest", tickets_.view().highest_number()}};
    for (const std::pair<const std::string, peer_address>& peer : known_) {
        const std::map<std::string, nlohmann::json>::const_iterator summary = summaries_.find(peer.first);
        if (summary == summaries_.end()) {
            result[peer.first] = {{"same", nullptr}, {"highest", nullptr}};
            continue;
        }
        result[peer.first] = {{"same", summary->second["tickets"] == own},
                              {"highest", summary->second["highest"]}};
    }
    return result;
}

nlohmann::json fleet_service::hosts_json() const {
    const time_point now = event_loop::now();
    nlohmann::json daemons = nlohmann::json::array();
    for (const daemon_view& daemon : directory_.daemons(now)) {
        daemons.push_back(
            {{"name", daemon.name},
             {"zone", daemon.zone},
             {"address", daemon.address},
             {"state", std::string{to_string(daemon.state)}},
             {"last_heard_ms", daemon.last_heard_age ? nlohmann::json(to_milliseconds(*daemon.last_heard_age))
                                                     : nlohmann::json(nullptr)}});
    }
    nlohmann::json servers = nlohmann::json::array();
    for (const server_view& server : directory_.servers(now)) {
        servers.push_back({{"name", server.name},
                           {"zone", server.zone},
                           {"address", server.address},
                           {"leaving", server.leaving}});
    }
    return nlohmann::json{
        {"daemons", daemons}, {"servers", servers}, {"list_is_stale", directory_.is_list_stale(now)}};
}

void fleet_service::poll_hosts() {
    const std::weak_ptr<bool> alive = alive_;
    store_.hosts([this, alive](const hosts_result& result) {
        if (alive.expired()) {
            return;
        }
        apply_hosts(result);
        const double spread = 0.5 + context_.random();
        const duration delay{static_cast<std::int64_t>(static_cast<double>(hosts_interval.count()) * spread)};
        hosts_timer_ = context_.loop.call_after(delay, [this] { poll_hosts(); });
    });
}

void fleet_service::apply_hosts(const hosts_result& result) {
    if (result.outcome != store_outcome::found) {
        return;
    }
    const time_point now = event_loop::now();
    if (!directory_.apply_list(result.hosts, result.revision, now, result.era.value_or(0))) {
        context_.log.write(log_level::warning, "platform", "host_list_outdated",
                           {{"revision", result.revision}, {"era", result.era.value_or(0)}});
    }
    for (const listed_host& host : result.hosts) {
        if (host.role != host_role::entry_host || host.name == context_.settings.name ||
            known_.contains(host.name)) {
            continue;
        }
        error reason;
        const std::optional<endpoint> address = endpoint::parse(host.address, "address", reason);
        if (address) {
            add_peer(peer_address{host.name, host.zone, *address});
        }
    }
    std::map<std::string, bool> leaving;
    for (const server_view& server : directory_.servers(now)) {
        leaving[server.address] = server.leaving;
    }
    hooks_.on_servers(leaving);
}

} // namespace gentianhill
