#include "gentianhill/peer/peer_network.h"
#include "standins/link/link_relay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// One daemon with handlers that record what they were given.
struct daemon_stub {
    std::unique_ptr<peer_network> network;
    std::map<std::string, nlohmann::json> summaries;
    std::map<std::string, peer_envelope> heard;
    std::set<std::string> views;
    std::set<std::string> tickets;
    std::size_t news_received = 0;
    nlohmann::json summary = {{"ticket", 1}};
    /// Content of the tickets that others pull.
    std::string ticket_text;
    bool saw_commit = false;
};

struct network_fixture {
    event_loop loop;
    std::mt19937 engine{7};
    std::map<std::string, daemon_stub> daemons;
    std::vector<peer_address> addresses;
    peer_network_settings base;

    network_fixture() {
        base.heartbeat_interval = 20ms;
        base.check_interval = 10ms;
        base.silence_limit = 150ms;
        base.heartbeat_timeout = 100ms;
        base.message_timeout = 100ms;
        base.reconnect = http2::backoff_settings{5ms, 20ms, 0.5};
    }

    static peer_news note(std::set<std::string>& known, const std::vector<nlohmann::json>& items,
                          error& reason) {
        bool changed = false;
        for (const nlohmann::json& item : items) {
            if (!item.contains("id")) {
                reason = error{error_code::missing_field, "id", "", "required"};
                return peer_news::rejected;
            }
            changed = known.insert(item["id"].get<std::string>()).second || changed;
        }
        return changed ? peer_news::applied : peer_news::known;
    }

    peer_handlers handlers_of(daemon_stub& stub) {
        peer_handlers handlers;
        handlers.clock = [] { return std::string{"1700000000000.0"}; };
        handlers.summary = [&stub] { return stub.summary; };
        handlers.is_known = [](const std::string& daemon) { return daemon.substr(0, 2) == "eh"; };
        handlers.on_sender = [&stub](const peer_envelope& sender, error&) {
            stub.heard[sender.daemon] = sender;
            return true;
        };
        handlers.on_summary = [&stub](const peer_envelope& sender, const nlohmann::json& summary) {
            stub.summaries[sender.daemon] = summary;
        };
        handlers.on_group_views = [&stub](const peer_envelope&, const group_view_push& push, error& reason) {
            ++stub.news_received;
            return note(stub.views, push.views, reason);
        };
        handlers.on_tickets = [&stub](const peer_envelope&, const ticket_batch& batch, error& reason) {
            ++stub.news_received;
            return note(stub.tickets, batch.tickets, reason);
        };
        handlers.opinion = [&stub](const peer_envelope&, const opinion_request&) {
            return opinion_answer{stub.saw_commit, 25ms};
        };
        handlers.tickets_after = [&stub](const peer_envelope&, const tickets_pull& pull) {
            nlohmann::json ticket = {{"number", pull.after + 1}};
            if (!stub.ticket_text.empty()) {
                ticket["text"] = stub.ticket_text;
            }
            return ticket_batch{{ticket}, true};
        };
        handlers.timeline = [](const peer_envelope&, const timeline_request& request) {
            return timeline_answer{{{{"limit", request.limit}}}};
        };
        return handlers;
    }

    daemon_stub& start(const std::string& name, const std::string& zone, std::uint64_t incarnation = 1,
                       std::uint16_t port = 0) {
        daemon_stub& stub = daemons[name];
        peer_network_settings settings = base;
        settings.daemon = name;
        settings.zone = zone;
        settings.incarnation = incarnation;
        settings.endpoint.listen = endpoint{"127.0.0.1", port};
        stub.network = std::make_unique<peer_network>(loop, settings, handlers_of(stub), [this] {
            return std::uniform_real_distribution<double>{0, 1}(engine);
        });
        error reason;
        REQUIRE(stub.network->start(reason));
        std::erase_if(addresses, [&name](const peer_address& known) { return known.daemon == name; });
        addresses.push_back(peer_address{name, zone, endpoint{"127.0.0.1", stub.network->port()}});
        return stub;
    }
    /// Starts eh-1 to eh-n, in turn in each of the zones.
    void start_fleet(std::size_t count, const std::vector<std::string>& zones) {
        for (std::size_t i = 1; i <= count; ++i) {
            start("eh-" + std::to_string(i), zones[i % zones.size()]);
        }
        connect();
    }
    void connect() {
        for (std::pair<const std::string, daemon_stub>& entry : daemons) {
            entry.second.network->set_peers(addresses);
        }
    }
    bool wait(const std::function<bool()>& done) { return loop.run_until(done, 5s); }
    void run_for(duration length) {
        loop.run_until([] { return false; }, length);
    }
    bool all_heard() {
        return std::all_of(daemons.begin(), daemons.end(),
                           [this](const std::pair<const std::string, daemon_stub>& entry) {
                               return entry.second.summaries.size() == daemons.size() - 1;
                           });
    }
    /// Sends a raw message to a daemon; returns the code of the error that it answers with.
    std::string refusal(daemon_stub& stub, const std::string& path, const std::string& body) {
        http2::client_settings settings;
        settings.server = endpoint{"127.0.0.1", stub.network->port()};
        http2::client client{loop, settings};
        std::optional<http2::response> answer;
        client.send(
            http2::request{"POST", path, body}, 1s,
            [&answer](std::optional<http2::response> reply, const error&) { answer = std::move(reply); });
        REQUIRE(wait([&answer] { return answer.has_value(); }));
        return answer->body.empty() ? std::to_string(answer->status)
                                    : nlohmann::json::parse(answer->body)["error"]["code"].get<std::string>();
    }
};

const std::string sender_text = R"("from":{"daemon":"eh-9","zone":"z","incarnation":3,"clock":"1.0"})";

} // namespace

// Guards against daemons that do not learn of each other's state, or repeat unchanged state in each
// heartbeat.
TEST_CASE_FIXTURE(network_fixture, "heartbeats_carry_identity_and_changed_summaries_both_ways") {
    start_fleet(3, {"za", "zb"});
    REQUIRE(wait([this] { return all_heard(); }));
    CHECK(daemons["eh-1"].heard["eh-2"].zone == "za");
    CHECK(daemons["eh-1"].heard["eh-2"].incarnation == 1);
    daemons["eh-2"].summary = {{"ticket", 2}};
    CHECK(wait([this] { return daemons["eh-1"].summaries["eh-2"] == daemons["eh-2"].summary; }));
    // A short form after the introduction: well below the 250 bytes of a complete exchange.
    const peer_network_counters before = daemons["eh-1"].network->counters();
    run_for(300ms);
    const peer_network_counters after = daemons["eh-1"].network->counters();
    const std::uint64_t messages =
        after.messages_sent + after.messages_received - before.messages_sent - before.messages_received;
    const std::uint64_t bytes =
        after.bytes_sent + after.bytes_received - before.bytes_sent - before.bytes_received;
    CHECK(messages > 20);
    CHECK(bytes < 200 * messages);
}

// Guards against a daemon that many others chose and that therefore exceeds its share of control traffic.
TEST_CASE_FIXTURE(network_fixture, "heartbeats_of_a_daemon_with_many_partners_are_less_frequent") {
    base.neighbours.full_mesh_limit = 20;
    std::vector<std::uint64_t> messages;
    for (const std::size_t full_rate : {8, 4}) {
        base.partners_at_full_rate = full_rate;
        daemons.clear();
        addresses.clear();
        start_fleet(9, {"za"});
        run_for(200ms);
        const peer_network_counters before = daemons["eh-1"].network->counters();
        run_for(400ms);
        const peer_network_counters after = daemons["eh-1"].network->counters();
        messages.push_back(after.messages_sent + after.messages_received - before.messages_sent -
                           before.messages_received);
    }
    // 8 partners at an interval for 4 are exchanged with half as often.
    CHECK(messages[1] > messages[0] / 4);
    CHECK(messages[1] < messages[0] * 2 / 3);
}

// Guards against a drain that peers learn only from the platform's list.
TEST_CASE_FIXTURE(network_fixture, "draining_notice_reaches_all_neighbours") {
    start_fleet(3, {"za"});
    REQUIRE(wait([this] { return all_heard(); }));
    daemons["eh-1"].network->set_draining(true);
    CHECK(wait(
        [this] { return daemons["eh-2"].heard["eh-1"].draining && daemons["eh-3"].heard["eh-1"].draining; }));
}

// Guards against a restarted daemon that is not recognised, and against late messages of its earlier process.
TEST_CASE_FIXTURE(network_fixture, "restarted_peer_is_heard_with_its_new_incarnation") {
    start_fleet(2, {"za"});
    REQUIRE(wait([this] { return all_heard(); }));
    const std::uint16_t port = daemons["eh-2"].network->port();
    daemons["eh-2"].network.reset();
    start("eh-2", "za", 5, port);
    connect();
    REQUIRE(wait([this] { return daemons["eh-1"].heard["eh-2"].incarnation == 5; }));
    const std::string late = R"({"from":{"daemon":"eh-2","zone":"za","incarnation":1,"clock":"1.0"}})";
    CHECK(refusal(daemons["eh-1"], "/peer/v1/heartbeat", late) == "bad_value");
    CHECK(daemons["eh-1"].heard["eh-2"].incarnation == 5);
}

// Guards against a lost peer that delays the others, and against silence that goes unnoticed.
TEST_CASE_FIXTURE(network_fixture, "peer_that_never_answers_is_silent_and_delays_no_other") {
    http2::server hole{loop, http2::server_settings{endpoint{"127.0.0.1", 0}}};
    hole.on_request = [](http2::connection_id, const http2::request&, const http2::server::responder&) {};
    error reason;
    REQUIRE(hole.listen(reason));
    start_fleet(3, {"za"});
    addresses.push_back(peer_address{"eh-9", "za", endpoint{"127.0.0.1", hole.port()}});
    connect();
    REQUIRE(wait([this] { return all_heard(); }));
    peer_network& network = *daemons["eh-1"].network;
    REQUIRE(wait([&network] { return network.silent_neighbours() == std::set<std::string>{"eh-9"}; }));
    run_for(200ms);
    CHECK(*network.last_heard_age("eh-2", event_loop::now()) < 100ms);
    CHECK(*network.last_heard_age("eh-3", event_loop::now()) < 100ms);
    // Questions of a lost peer end as well.
    std::optional<error> ended;
    network.pull_tickets(
        "eh-9", tickets_pull{},
        [&ended](const std::optional<ticket_batch>&, const error& failure) { ended = failure; });
    REQUIRE(wait([&ended] { return ended.has_value(); }));
    CHECK(ended->failed());
}

// Guards against a daemon that counts as lost although one direction works.
TEST_CASE_FIXTURE(network_fixture, "peer_reachable_in_one_direction_only_is_not_silent") {
    start_fleet(2, {"za"});
    // eh-1 cannot reach eh-2: its address leads nowhere.
    daemons["eh-1"].network->set_peers({peer_address{"eh-2", "za", endpoint{"127.0.0.1", 1}}});
    REQUIRE(wait([this] { return all_heard(); }));
    run_for(2 * base.silence_limit);
    CHECK(daemons["eh-1"].network->silent_neighbours().empty());
    CHECK(daemons["eh-2"].network->silent_neighbours().empty());
    CHECK(daemons["eh-1"].network->counters().failures > 0);
}

// Guards against malformed input that crashes a daemon, is applied in part or counts as a sign of life.
TEST_CASE_FIXTURE(network_fixture, "malformed_messages_get_typed_errors_and_change_nothing") {
    daemon_stub& stub = start("eh-1", "za");
    const std::string from = "{" + sender_text;
    CHECK(refusal(stub, "/peer/v1/nothing", from + "}") == "unknown_path");
    CHECK(refusal(stub, "/peer/v1/heartbeat", "{") == "bad_json");
    CHECK(refusal(stub, "/peer/v1/heartbeat", "[]") == "bad_type");
    CHECK(refusal(stub, "/peer/v1/heartbeat", "{}") == "missing_field");
    CHECK(refusal(stub, "/peer/v1/heartbeat", R"({"from":{"clock":"1.0"}})") == "missing_field");
    CHECK(refusal(stub, "/peer/v1/heartbeat", from + R"(,"message":7})") == "bad_type");
    CHECK(refusal(stub, "/peer/v1/heartbeat", from + R"(,"other":7})") == "unknown_field");
    CHECK(refusal(stub, "/peer/v1/opinion", from + R"(,"message":{"group":"g","primary":"p","term":-1}})") ==
          "out_of_range");
    CHECK(refusal(stub, "/peer/v1/tickets_push", from + R"(,"message":{"tickets":[{"id":"a"},7]}})") ==
          "bad_type");
    CHECK(refusal(stub, "/peer/v1/timeline", from + R"(,"message":{"limit":1e9}})") == "bad_type");
    const std::string stranger = R"({"from":{"daemon":"other","zone":"z","incarnation":3,"clock":"1.0"}})";
    CHECK(refusal(stub, "/peer/v1/heartbeat", stranger) == "unknown_daemon");
    const std::string own = R"({"from":{"daemon":"eh-1","zone":"za","incarnation":3,"clock":"1.0"}})";
    CHECK(refusal(stub, "/peer/v1/heartbeat", own) == "bad_value");
    CHECK(refusal(stub, "/peer/v1/heartbeat", std::string(2U << 20U, 'x')) == "413");
    CHECK(stub.heard.empty());
    CHECK(stub.news_received == 0);
    // Content that the daemon refuses.
    CHECK(refusal(stub, "/peer/v1/group_view", from + R"(,"message":{"views":[{}]}})") == "missing_field");
    CHECK(stub.views.empty());
    CHECK(stub.network->counters().refused == 13);
}

// Guards against news that stops before it has reached everyone, or circulates without end.
TEST_CASE_FIXTURE(network_fixture, "group_views_reach_every_daemon_and_come_to_rest") {
    base.neighbours.full_mesh_limit = 2;
    start_fleet(12, {"za", "zb", "zc"});
    run_for(200ms);
    daemons["eh-1"].views.insert("v1");
    daemons["eh-1"].network->push_group_views(group_view_push{{{{"id", "v1"}}}});
    REQUIRE(wait([this] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [](const std::pair<const std::string, daemon_stub>& entry) {
                               return entry.second.views.count("v1") == 1;
                           });
    }));
    run_for(50ms);
    const std::size_t received = daemons["eh-2"].news_received;
    run_for(100ms);
    CHECK(daemons["eh-2"].news_received == received);
    // One daemon that missed news is told by whoever notices.
    daemons["eh-2"].views.clear();
    daemons["eh-7"].network->send_group_views("eh-2", group_view_push{{{{"id", "v1"}}}});
    CHECK(wait([this] { return daemons["eh-2"].views.count("v1") == 1; }));
}

// Guards against tickets that do not reach the daemons below one that has failed.
TEST_CASE_FIXTURE(network_fixture, "tickets_pass_a_failed_daemon_of_the_relay_tree") {
    base.neighbours.full_mesh_limit = 2;
    base.relay = relay_tree_settings{1, 2};
    start_fleet(12, {"za"});
    std::set<std::string> members;
    std::string root;
    for (const std::pair<const std::string, daemon_stub>& entry : daemons) {
        members.insert(entry.first);
        root = entry.second.network->is_ticket_watcher() ? entry.first : root;
    }
    const std::string failed = relay_tree(base.relay, root, "za", members, {}).children().front();
    daemons[failed].network.reset();
    daemons[root].tickets.insert("t1");
    daemons[root].network->push_tickets(ticket_batch{{{{"id", "t1"}}}, false});
    CHECK(wait([this, &failed] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [&failed](const std::pair<const std::string, daemon_stub>& entry) {
                               return entry.first == failed || entry.second.tickets.count("t1") == 1;
                           });
    }));
}

// Guards against a zone that is not asked because the first daemon in it has failed, and against endless
// questions.
TEST_CASE_FIXTURE(network_fixture, "opinions_are_asked_once_per_other_zone_and_pass_a_failed_daemon") {
    start_fleet(6, {"za", "zb", "zc"});
    for (std::pair<const std::string, daemon_stub>& entry : daemons) {
        entry.second.saw_commit = true;
    }
    const opinion_request question{"wheeldb", "db-1", 4};
    daemons[rank_in_zone("wheeldb", "zc", addresses).front()].network.reset();
    std::optional<std::vector<peer_opinion>> opinions;
    peer_network& network = *daemons["eh-3"].network;
    network.ask_other_zones(question, 400ms,
                            [&opinions](const std::vector<peer_opinion>& answers, std::size_t zones) {
                                CHECK(zones == 2);
                                opinions = answers;
                            });
    REQUIRE(wait([&opinions] { return opinions.has_value(); }));
    REQUIRE(opinions->size() == 2);
    CHECK(opinions->front().answer.saw_commit_recently);
    CHECK(opinions->front().answer.age == duration{25ms});
    CHECK(opinions->front().zone != opinions->back().zone);
    // Nobody left: the question ends without answers.
    opinions.reset();
    network.set_peers({});
    network.ask_other_zones(
        question, 400ms,
        [&opinions](const std::vector<peer_opinion>& answers, std::size_t) { opinions = answers; });
    REQUIRE(wait([&opinions] { return opinions.has_value(); }));
    CHECK(opinions->empty());
}

// Guards against answers of pulls that are mixed up or dropped.
TEST_CASE_FIXTURE(network_fixture, "pulls_return_tickets_and_timeline_of_the_daemon_asked") {
    start_fleet(2, {"za"});
    REQUIRE(wait([this] { return all_heard(); }));
    std::optional<ticket_batch> batch;
    std::optional<timeline_answer> timeline;
    std::optional<error> unknown;
    peer_network& network = *daemons["eh-1"].network;
    network.pull_tickets("", tickets_pull{41}, [&batch](std::optional<ticket_batch> answer, const error&) {
        batch = std::move(answer);
    });
    network.read_timeline(
        "eh-2", timeline_request{"", 5},
        [&timeline](std::optional<timeline_answer> answer, const error&) { timeline = std::move(answer); });
    network.pull_tickets(
        "eh-8", tickets_pull{},
        [&unknown](const std::optional<ticket_batch>&, const error& reason) { unknown = reason; });
    REQUIRE(wait([&] { return batch && timeline && unknown; }));
    CHECK(batch->tickets.front()["number"] == 42);
    CHECK(batch->more);
    CHECK(timeline->events.front()["limit"] == 5);
    CHECK(unknown->code == error_code::unknown_daemon);
}

// Guards against a batch of tickets that never arrives on a link that is slow or shared, since it is given up
// while it is arriving and pulled again.
TEST_CASE_FIXTURE(network_fixture, "peer_network_large_batch_on_a_slow_link_is_received") {
    start("eh-1", "z1");
    daemon_stub& source = start("eh-2", "z1");
    source.ticket_text = std::string(100'000, 'x');
    standins::link_settings settings;
    settings.target = addresses.back().server;
    standins::link_relay link(loop, settings);
    error reason;
    REQUIRE(link.start(reason));
    http2::client control(loop, {link.control_address()});
    bool is_slow = false;
    control.send({"POST", "/control", R"({"bytes_per_s": 200000})"}, 1s,
                 [&is_slow](const std::optional<http2::response>& reply, const error&) {
                     is_slow = reply && reply->status == 200;
                 });
    REQUIRE(wait([&is_slow] { return is_slow; }));
    peer_network& puller = *daemons.at("eh-1").network;
    puller.set_peers({addresses.front(), {"eh-2", "z1", link.address()}});
    std::optional<ticket_batch> received;
    error failure;
    bool is_done = false;
    puller.pull_tickets("eh-2", tickets_pull{5},
                        [&](const std::optional<ticket_batch>& batch, const error& why) {
                            received = batch;
                            failure = why;
                            is_done = true;
                        });
    REQUIRE(wait([&is_done] { return is_done; }));
    CAPTURE(failure.describe());
    REQUIRE(received);
    CHECK(received->tickets.front().at("text") == source.ticket_text);
}
