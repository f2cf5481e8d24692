#include "gentianhill/relay/state_relay.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t revision_in_effect = 5;
constexpr std::uint64_t next_revision = 7;

/// A relay with one source, whose messages are answered by hand. The source knows a large configuration.
struct state_relay_contents_fixture {
    metadata_store store;
    logger log;
    metrics registry;
    metrics source_registry;
    time_point current{100s};
    relay_port port;
    std::vector<std::unique_ptr<collection_watch>> watches;
    std::unique_ptr<daemon_directory> directory;
    std::unique_ptr<state_relay> relay;
    std::deque<relay_answer_handler> polls;
    std::deque<std::pair<std::string, content_answer_handler>> fetches;
    content_cache source_contents;
    content_sender source{{}, source_contents, log, source_registry};
    std::vector<time_point> confirmed;
    std::string large = nlohmann::json{{"version", 2}, {"text", std::string(100'000, 'x')}}.dump();

    state_relay_contents_fixture() {
        log.sink = [](std::string_view) {};
        source.now = [this] { return current; };
        const auto unanswered = [](store_collection, const std::string&, const metadata_store::handler&) {};
        store.list = unanswered;
        store.list_old = unanswered;
        store.get = unanswered;
        store.watch = [](store_collection, std::uint64_t, duration, const metadata_store::handler&) {};
        store.put = [](store_collection, const stored_object&, const metadata_store::handler&) {};
        store.remove = [](store_collection, const std::string&, std::uint64_t,
                          const metadata_store::handler&) {};
        port.ask = [this](const endpoint& server, relay_request_kind, const nlohmann::json&, duration,
                          relay_answer_handler done) {
            if (server == directory->address_of(directory->ranked_above().front())) {
                polls.push_back(std::move(done));
            }
        };
        port.fetch_content = [this](const endpoint&, std::string message, duration,
                                    content_answer_handler done) {
            fetches.emplace_back(std::move(message), std::move(done));
        };
        std::vector<collection_watch*> listed;
        for (const store_collection collection :
             {store_collection::configuration, store_collection::instances, store_collection::duties,
              store_collection::proxies}) {
            watches.push_back(
                std::make_unique<collection_watch>(collection, store, log, collection_watch_settings{}));
            watches.back()->call_after = [](duration, const std::function<void()>&) {};
            watches.back()->random = [] { return 0.5; };
            listed.push_back(watches.back().get());
        }
        start(listed);
    }

    /// Starts as the daemon that is ranked second in its zone.
    void start(const std::vector<collection_watch*>& listed) {
        std::vector<stored_object> daemons;
        for (const char* name : {"d-1", "d-2", "d-3", "d-4"}) {
            const std::string address = std::string("10.0.0.") + name[2] + ":1";
            daemons.push_back({name, 1, {{"zone", "z"}, {"peer", address}}, 1});
        }
        for (const char* name : {"d-1", "d-2", "d-3", "d-4"}) {
            directory = std::make_unique<daemon_directory>(store, watches.back()->replica(), log,
                                                           daemon_directory_settings{}, name,
                                                           directory_entry{"z", endpoint{"10.0.0.2", 1}});
            directory->now = [this] { return current; };
            watches.back()->replica().discard();
            watches.back()->replica().replace(daemons, {1, 2});
            directory->update();
            if (directory->ranked_above().size() == 1) {
                break;
            }
        }
        REQUIRE(directory->ranked_above().size() == 1);
        relay =
            std::make_unique<state_relay>(state_relay_settings{}, *directory, listed, port, log, registry);
        relay->now = [this] { return current; };
        relay->random = [] { return 0.5; };
        relay->on_configuration_confirmed = [this](time_point moment) { confirmed.push_back(moment); };
        relay->start();
        configuration().replace({{"main", revision_in_effect, {{"version", 1}}, 1}}, {1, revision_in_effect});
        current += 3s;
        relay->tick();
        REQUIRE(polls.size() == 1);
    }

    collection_replica& configuration() { return watches.front()->replica(); }

    /// Answers the poll with a change whose content is not in the answer.
    void announce() {
        state_answer answer;
        answer.daemon = directory->ranked_above().front();
        answer.store_reachable = true;
        answer.has_news = true;
        answer.configuration_age = 100ms;
        collection_update update;
        update.version = {1, next_revision};
        update.from = revision_in_effect;
        update.events = {{{"main", next_revision, nullptr, 1}, false}};
        update.references.emplace("main", source_contents.add(large));
        answer.updates.emplace(store_collection::configuration, update);
        polls.front()(answer.to_json(), {});
        polls.pop_front();
    }
    void deliver_contents() {
        while (!fetches.empty()) {
            const auto [message, done] = fetches.front();
            fetches.pop_front();
            source.on_request(message, done);
        }
    }
};

} // namespace

// Guards against a configuration that counts as complete before its content has arrived.
TEST_CASE_FIXTURE(state_relay_contents_fixture, "state_relay_content_on_its_way_confirms_nothing") {
    const time_point asked_at = current;
    announce();
    CHECK(configuration().version().revision == revision_in_effect);
    CHECK(confirmed.empty());
    current += 300ms;
    deliver_contents();
    CHECK(configuration().version().revision == next_revision);
    CHECK(configuration().objects().at("main").content.dump() == large);
    CHECK(confirmed == std::vector<time_point>{asked_at - 100ms});
}

// Guards against a key that was taken away in a lost version and counts as checked, since the update of that
// version was refused after a restore of the store.
TEST_CASE_FIXTURE(state_relay_contents_fixture, "state_relay_content_of_a_lost_era_confirms_nothing") {
    announce();
    configuration().replace({{"main", 4, {{"version", 1}}, 2}}, {2, 4});
    deliver_contents();
    CHECK(configuration().version() == store_version{2, 4});
    CHECK(confirmed.empty());
}

// Guards against another answer of the same source that ends a transfer in progress.
TEST_CASE_FIXTURE(state_relay_contents_fixture, "state_relay_transfer_outlasts_further_answers") {
    announce();
    current += 300ms;
    relay->tick();
    large = nlohmann::json{{"version", 3}, {"text", std::string(100'000, 'y')}}.dump();
    const std::string second = large;
    REQUIRE(polls.size() == 1);
    announce();
    deliver_contents();
    CHECK(configuration().objects().at("main").content.at("version") == 2);
}
