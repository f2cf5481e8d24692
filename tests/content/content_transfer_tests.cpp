#include "gentianhill/content/content_receiver.h"
#include "gentianhill/content/content_sender.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

/// Text that does not compress well.
std::string random_text(std::size_t bytes, unsigned seed) {
    std::mt19937 random(seed);
    std::string text(bytes, '\0');
    for (char& letter : text) {
        letter = static_cast<char>(random() % 256);
    }
    return text;
}

/// Two senders with the same contents, and a receiver whose requests are delivered by hand.
struct content_transfer_fixture {
    struct open_request {
        endpoint server;
        std::string message;
        content_answer_handler done;
    };
    struct sender_host {
        content_cache contents;
        metrics registry;
        std::unique_ptr<content_sender> sender;
    };
    logger log;
    metrics registry;
    time_point current{100s};
    std::map<std::string, sender_host> senders;
    content_cache contents;
    std::deque<open_request> requests;
    std::vector<content_digest> received;
    std::vector<std::pair<endpoint, error>> failures;
    endpoint first{"10.0.0.1", 1};
    endpoint second{"10.0.0.2", 1};
    std::unique_ptr<content_receiver> receiver;

    content_transfer_fixture() {
        log.sink = [](std::string_view) {};
        for (const endpoint& server : {first, second}) {
            sender_host& host = senders[server.to_string()];
            host.sender = std::make_unique<content_sender>(content_sender_settings{}, host.contents, log,
                                                           host.registry);
            host.sender->now = [this] { return current; };
        }
        receiver = std::make_unique<content_receiver>(
            content_receiver_settings{}, contents,
            [this](const endpoint& server, std::string message, duration, content_answer_handler done) {
                requests.push_back({server, std::move(message), std::move(done)});
            },
            log, registry, "receiver");
        receiver->now = [this] { return current; };
        receiver->on_received = [this](const content_digest& digest) { received.push_back(digest); };
        receiver->on_failed = [this](const content_digest&, const endpoint& server, const error& reason) {
            failures.emplace_back(server, reason);
        };
    }

    content_reference add_to_senders(const std::string& text) {
        content_reference reference;
        for (auto& [address, host] : senders) {
            reference = host.contents.add(text);
        }
        return reference;
    }
    open_request next_request() {
        REQUIRE(!requests.empty());
        open_request taken = std::move(requests.front());
        requests.pop_front();
        return taken;
    }
    void deliver_next() {
        const open_request taken = next_request();
        senders.at(taken.server.to_string()).sender->on_request(taken.message, taken.done);
    }
    void deliver_all() {
        while (!requests.empty()) {
            deliver_next();
        }
    }
    /// Answer of a sender to a request of another daemon.
    std::optional<content_part> ask(const endpoint& server, const content_request& request, error& reason) {
        std::optional<content_part> part;
        senders.at(server.to_string())
            .sender->on_request(request.to_bytes(),
                                [&](const std::optional<std::string>& answer, const error& refused) {
                                    reason = refused;
                                    part = answer ? content_part::from_bytes(*answer, reason) : std::nullopt;
                                });
        return part;
    }
    static error timed_out(const endpoint& server) {
        return {error_code::timed_out, "server", server.to_string(), ""};
    }
};

} // namespace

// Guards against a content that differs from the one that was referred to.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_of_several_parts_gives_the_text") {
    const std::string text = random_text(100'000, 1);
    const content_reference wanted = add_to_senders(text);
    REQUIRE(receiver->receive(wanted, first));
    deliver_all();
    REQUIRE(received == std::vector<content_digest>{wanted.digest});
    CHECK(*contents.find(wanted.digest) == text);
}

// Guards against a sender that ends in the middle of a transfer and makes it begin again.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_goes_on_with_another_sender") {
    const content_reference wanted = add_to_senders(random_text(100'000, 1));
    REQUIRE(receiver->receive(wanted, first));
    deliver_next();
    deliver_next();
    next_request().done(std::nullopt, {error_code::connection_lost, "server", first.to_string(), ""});
    REQUIRE(failures.size() == 1);
    CHECK(!receiver->is_receiving(wanted.digest));
    REQUIRE(receiver->receive(wanted, second));
    error reason;
    const std::optional<content_request> goes_on =
        content_request::from_bytes(requests.front().message, reason);
    REQUIRE(goes_on);
    CHECK(goes_on->offset == 2 * content_sender_settings{}.part_bytes);
    deliver_all();
    CHECK(received == std::vector<content_digest>{wanted.digest});
}

// Guards against parts of two compressed forms that are put together.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_of_another_form_begins_again") {
    const std::string base = random_text(100'000, 1);
    const std::string text = base + random_text(100'000, 2);
    const content_reference wanted = add_to_senders(text);
    REQUIRE(receiver->receive(wanted, first));
    deliver_next();
    next_request().done(std::nullopt, timed_out(first));
    // The second sender and the receiver have a base by now, which the first sender does not have.
    static_cast<void>(contents.add(base));
    static_cast<void>(senders.at(second.to_string()).contents.add(base));
    REQUIRE(receiver->receive(wanted, second));
    deliver_all();
    REQUIRE(received == std::vector<content_digest>{wanted.digest});
    CHECK(*contents.find(wanted.digest) == text);
}

// Guards against a part that is not valid and ends the process, or is taken for a content.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_with_parts_that_are_not_valid_is_given_up") {
    const content_reference wanted = add_to_senders(random_text(50'000, 1));
    content_part part;
    part.encoding = digest_of("form");
    part.encoding_bytes = 10;
    part.data = "0123456789";
    std::vector<std::string> answers{"", "text", part.to_bytes(), part.to_bytes() + "x"};
    part.offset = 5;
    answers.push_back(part.to_bytes());
    part.data = "01234";
    answers.push_back(part.to_bytes());
    part.offset = 0;
    part.encoding_bytes = 60U << 20U;
    answers.push_back(part.to_bytes());
    for (const std::string& answer : answers) {
        CAPTURE(answer);
        failures.clear();
        REQUIRE(receiver->receive(wanted, first));
        next_request().done(answer, {});
        CHECK(failures.size() == 1);
        CHECK(received.empty());
    }
    REQUIRE(receiver->receive(wanted, second));
    deliver_all();
    CHECK(received == std::vector<content_digest>{wanted.digest});
}

// Guards against a content of any size that another daemon claims to have.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_of_too_much_is_refused") {
    CHECK(!receiver->receive({digest_of("text"), std::size_t(1) << 40U}, first));
    for (std::size_t index = 0; index < content_receiver_settings{}.max_transfers; ++index) {
        REQUIRE(receiver->receive({digest_of(std::to_string(index)), 100}, first));
    }
    CHECK(!receiver->receive({digest_of("one more"), 100}, first));
}

// Guards against a daemon that makes another one keep any number of bytes.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfers_together_are_bounded_in_bytes") {
    const content_receiver_settings settings;
    const std::size_t half = settings.max_transfer_bytes / 2;
    REQUIRE(half <= settings.max_content_bytes);
    CHECK(receiver->receive({digest_of("one"), half}, first));
    CHECK(receiver->receive({digest_of("two"), half - 100}, first));
    CHECK(!receiver->receive({digest_of("three"), 101}, first));
    CHECK(receiver->receive({digest_of("four"), 100}, first));
}

// Guards against a compressed form that is larger than that of any text of the size can be.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_of_a_form_larger_than_its_text_is_given_up") {
    REQUIRE(receiver->receive({digest_of("text"), 1000}, first));
    content_part part;
    part.encoding = digest_of("form");
    part.encoding_bytes = 5000;
    part.data = std::string(1000, 'x');
    next_request().done(part.to_bytes(), {});
    CHECK(failures.size() == 1);
}

// Guards against a link that is shared by all receivers at once, and against one that never gets its turn.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_sender_serves_a_few_at_a_time_in_order") {
    const content_reference wanted = add_to_senders(random_text(100'000, 1));
    const std::size_t at_once = content_sender_settings{}.max_receivers;
    error reason;
    content_request request;
    request.wanted = wanted.digest;
    for (std::size_t index = 0; index < at_once; ++index) {
        request.daemon = "d-" + std::to_string(index);
        REQUIRE(ask(first, request, reason));
    }
    std::vector<std::string> served;
    for (const std::string name : {"waits-1", "waits-2"}) {
        request.daemon = name;
        senders.at(first.to_string())
            .sender->on_request(
                request.to_bytes(), [&served, name](const std::optional<std::string>& answer, const error&) {
                    error ignored;
                    const std::optional<content_part> part =
                        content_part::from_bytes(answer.value_or(""), ignored);
                    served.push_back(name + (part && part->is_waiting ? " waits" : " served"));
                });
    }
    CHECK(served.empty());
    // The turns of receivers that do not ask again end, and those that wait get them.
    current += content_sender_settings{}.receiver_limit;
    senders.at(first.to_string()).sender->tick();
    CHECK(served == std::vector<std::string>{"waits-1 served", "waits-2 served"});
}

// Guards against a receiver that takes a busy sender for a silent one.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_sender_tells_those_that_wait_to_ask_again") {
    const content_reference wanted = add_to_senders(random_text(100'000, 1));
    content_sender& sender = *senders.at(first.to_string()).sender;
    error reason;
    content_request request;
    request.wanted = wanted.digest;
    const auto keep_busy = [&] {
        for (std::size_t index = 0; index < content_sender_settings{}.max_receivers; ++index) {
            request.daemon = "d-" + std::to_string(index);
            REQUIRE(ask(first, request, reason));
        }
    };
    keep_busy();
    REQUIRE(receiver->receive(wanted, first));
    deliver_next();
    for (int step = 0; step < 5; ++step) {
        current += 100ms;
        keep_busy();
        sender.tick();
    }
    // Asked again at once, and not failed.
    REQUIRE(requests.size() == 1);
    CHECK(failures.empty());
    deliver_next();
    current += content_sender_settings{}.receiver_limit;
    sender.tick();
    deliver_all();
    CHECK(received == std::vector<content_digest>{wanted.digest});
}

// Guards against a receiver that asks a sender without end which never serves it.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_transfer_without_a_turn_is_given_up") {
    const content_reference wanted = add_to_senders(random_text(100'000, 1));
    content_part ask_again;
    ask_again.is_waiting = true;
    REQUIRE(receiver->receive(wanted, first));
    for (int step = 0; step < 20 && failures.empty(); ++step) {
        current += 400ms;
        next_request().done(ask_again.to_bytes(), {});
    }
    REQUIRE(failures.size() == 1);
    CHECK(current <= time_point{100s} + content_receiver_settings{}.turn_limit + 400ms);
    REQUIRE(receiver->receive(wanted, second));
    deliver_all();
    CHECK(received == std::vector<content_digest>{wanted.digest});
}

// Guards against a request that a daemon which stops leaves without an answer.
TEST_CASE_FIXTURE(content_transfer_fixture, "content_sender_that_stops_refuses_all") {
    const content_reference wanted = add_to_senders(random_text(100'000, 1));
    content_request request;
    request.wanted = wanted.digest;
    error reason;
    for (std::size_t index = 0; index < content_sender_settings{}.max_receivers; ++index) {
        request.daemon = "d-" + std::to_string(index);
        REQUIRE(ask(first, request, reason));
    }
    REQUIRE(receiver->receive(wanted, first));
    deliver_next();
    senders.at(first.to_string()).sender->stop();
    REQUIRE(failures.size() == 1);
    CHECK(failures.front().second.code == error_code::draining);
}
