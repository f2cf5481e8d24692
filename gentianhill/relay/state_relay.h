#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/metadata/collection_watch.h"
#include "gentianhill/relay/content_exchange.h"
#include "gentianhill/relay/daemon_directory.h"
#include "gentianhill/relay/relay_messages.h"
#include "gentianhill/relay/relay_port.h"
#include "gentianhill/relay/source_selection.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Timing of a state relay.
struct state_relay_settings {
    /// Longest time for which a source may hold a request back.
    duration poll_wait = std::chrono::milliseconds(1500);
    /// Added to the wait for the timeout of a request: transit and processing on a loaded host.
    duration poll_margin = std::chrono::milliseconds(500);
    /// Shortest time between two requests to one source.
    duration poll_spacing = std::chrono::milliseconds(20);
    /// Time after which the changes that one source has announced are asked from it, because the source that
    /// delivers changes has not brought them.
    duration delivery_limit = std::chrono::milliseconds(250);
    /// Time after which a state that is newer than those of all healthy sources is given up. Longer than a
    /// source needs to learn of a change or of a restore, which is a long poll of the store and its timeout.
    duration ahead_limit = std::chrono::milliseconds(5000);
    /// Longest random delay before a daemon that has lost its sources watches the store itself.
    duration fallback_jitter = std::chrono::milliseconds(1000);
    /// Pauses between failed calls to the store of a daemon that watches only because it has no source.
    duration fallback_min_pause = std::chrono::milliseconds(800);
    duration fallback_max_pause = std::chrono::milliseconds(3000);
    /// Pauses of a daemon that is to watch the store.
    duration watch_min_pause = std::chrono::milliseconds(100);
    duration watch_max_pause = std::chrono::milliseconds(800);
    /// Time after the start in which a daemon that knows no others yet only lists the collections.
    duration decision_limit = std::chrono::milliseconds(2000);
    /// Time after the start at which the daemons are listed, when those that start at the same time have
    /// written their entries, and the longest random addition to it.
    duration directory_delay = std::chrono::milliseconds(800);
    duration directory_jitter = std::chrono::milliseconds(500);
    /// Pause after a request to a daemon that is ranked below this one.
    duration below_pause = std::chrono::milliseconds(1000);
    /// Interval of the requests to seeds while this daemon has no state.
    duration seed_interval = std::chrono::milliseconds(500);
    /// Addresses to ask for the state when the store does not answer at the start.
    std::vector<endpoint> seeds;
    /// Daemons of the own zone, and of the others, that are asked for the configuration in effect after the
    /// start and after a restore of the store.
    std::size_t configuration_peers = 2;
    /// Pause between requests to a source while contents of its last answer are being transferred.
    duration transfer_pause = std::chrono::milliseconds(250);
    source_selection_settings selection;
    content_exchange_settings contents;
};

/// Keeps the replicas of the metadata store's collections current from other daemons of the zone, and serves
/// theirs. Decides whether this daemon watches the store itself.
class state_relay {
public:
    /// All arguments but the settings must outlive the relay. The first of `watches` decides whether the
    /// store is reachable, and the last one is that of the daemons. Those in between but the second are not
    /// needed for the first statement and are listed by the daemons that watch the store only.
    state_relay(const state_relay_settings& settings, daemon_directory& directory,
                std::vector<collection_watch*> watches, relay_port& port, logger& log, metrics& registry);

    /// Clock that also advances while the host is suspended, and random numbers in [0, 1); must be set.
    std::function<time_point()> now;
    std::function<double()> random;
    /// Version of the configuration in effect; 0 before the first one.
    std::function<std::uint64_t()> configuration_version;
    /// Configuration in effect, for daemons that lack it; null before the first one.
    std::function<const stored_object*()> configuration;
    /// Moment as of which the configuration is known to be complete; nothing while that is not known. May be
    /// empty.
    std::function<std::optional<time_point>()> configuration_confirmed_at;
    /// Called when another daemon has shown that the configuration is complete as of `moment`; may be empty.
    std::function<void(time_point moment)> on_configuration_confirmed;
    /// The same for the list of instances.
    std::function<std::optional<time_point>()> instances_confirmed_at;
    std::function<void(time_point moment)> on_instances_confirmed;
    /// Called with the configuration that is in effect at another daemon.
    std::function<void(const stored_object&)> on_configuration;

    /// Starts the watches.
    void start();
    /// Chooses sources, asks them and answers held requests; call it periodically.
    void tick();
    /// Answers a state_request, at once or when there are changes.
    void on_request(const nlohmann::json& message, relay_answer_handler respond);
    /// Answers a request for a content that an answer of this daemon has named.
    void on_content_request(std::string_view message, content_answer_handler respond);
    /// Answers held requests as refused, so that their senders turn to other sources, and takes no more.
    void stop();

    /// True while the store answers this daemon or one of its sources.
    [[nodiscard]] bool is_store_reachable() const;
    /// Time since the store's last answer, directly or through sources; nothing before the first one.
    [[nodiscard]] std::optional<duration> state_age() const;
    /// Sources asked at present.
    [[nodiscard]] const std::vector<std::string>& sources() const { return choice_.sources; }
    [[nodiscard]] bool watches_store() const { return choice_.watches_store; }

private:
    struct poll_state {
        bool open = false;
        time_point next_at;
        /// Time since which the source has changes that this daemon lacks.
        std::optional<time_point> behind_since;
        /// Time since which the source says that its state is older than that of this daemon.
        std::optional<time_point> ahead_since;
    };
    struct held_request {
        state_request request;
        time_point received_at;
        time_point deadline;
        relay_answer_handler respond;
    };

    void choose();
    void watch_or_pause();
    /// True once this daemon knows its place among the others, or has to do without.
    [[nodiscard]] bool knows_place() const;
    void list_only();
    void activate(collection_watch& watch);
    void poll_sources();
    /// Asks daemons that are ranked below this one, when nothing else delivers the state.
    void poll_below();
    void poll_if_due(const std::string& name);
    void poll(const std::string& name);
    void poll_seeds();
    /// Asks others once for the configuration in effect, since the store may have been restored from a copy
    /// that holds an earlier one.
    void ask_for_configuration();
    void ask_for_configuration(const endpoint& server);
    void on_poll_answer(const std::string& name, const endpoint& server, time_point asked_at,
                        const std::optional<nlohmann::json>& message, const error& reason);
    /// Counts the sender of a message that is not valid, such as one of another version, as alive.
    void note_sender(const nlohmann::json& message);
    void fail_source(const std::string& name, const error& reason);
    /// Applies an answer of the daemon at `sender`; what lacks contents is applied when they have arrived.
    void receive(state_answer answer, time_point asked_at, const endpoint& sender);
    void apply(const state_answer& answer, time_point asked_at);
    /// True if a collection holds all changes of an answer that was applied.
    [[nodiscard]] static bool holds(const collection_watch& watch, const state_answer& answer);
    void on_contents_failed(const endpoint& sender, const error& reason);
    /// Gives up a state that no healthy source has reached for long: it can't come from the store.
    void discard_if_ahead();
    /// Records whether the source has announced changes that it has not delivered.
    void note_news(poll_state& state, const state_answer& answer) const;
    void answer_held();
    [[nodiscard]] state_request make_request(bool with_content) const;
    /// Adds the version of the configuration in effect, so that the answer holds a higher one.
    void want_configuration(state_request& request) const;
    [[nodiscard]] state_answer make_answer(const state_request& request, time_point received_at);
    /// Changes of a collection since the version that the sender of a request knows, or the whole.
    [[nodiscard]] collection_update make_update(const collection_watch& watch,
                                                const std::optional<store_version>& known,
                                                bool takes_references);
    /// Age at `moment` of a collection that is complete as of `confirmed` here, as the receiver of an answer
    /// has it once it has applied that.
    [[nodiscard]] static std::optional<duration>
    age_for(const collection_watch& watch, const std::function<std::optional<time_point>()>& confirmed,
            time_point moment, const state_request& request, const state_answer& answer);
    [[nodiscard]] bool has_news_for(const state_request& request) const;
    [[nodiscard]] bool lacks_state() const;
    [[nodiscard]] bool delivers(const std::string& name) const;
    [[nodiscard]] bool is_source(const std::string& name) const;
    void note_heard(time_point heard_at);
    void log_roles();
    [[nodiscard]] collection_watch* find(store_collection collection) const;

    state_relay_settings settings_;
    daemon_directory& directory_;
    std::vector<collection_watch*> watches_;
    relay_port& port_;
    logger& log_;
    content_exchange contents_;
    source_selection selection_;
    source_selection::choice choice_;
    std::map<std::string, poll_state> polls_;
    std::map<std::string, held_request> held_;
    /// Latest time at which the store is known to have answered some daemon whose state has arrived here.
    std::optional<time_point> heard_at_;
    std::optional<time_point> fallback_at_;
    time_point started_at_;
    time_point list_daemons_at_;
    time_point next_seed_poll_;
    /// Era of the store in which others were asked for the configuration in effect.
    std::optional<std::uint64_t> configuration_asked_era_;
    std::string logged_roles_;
    bool stopped_ = false;
    counter& polls_sent_;
    counter& polls_failed_;
    counter& requests_answered_;
    counter& requests_refused_;
    gauge& watching_;
    gauge& age_ms_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
