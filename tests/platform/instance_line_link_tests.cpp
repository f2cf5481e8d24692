#include "platform/instance_line_link.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace gentianhill;
using namespace gentianhill::platform;
using namespace std::chrono_literals;

namespace {

/// Instance side of one connection: sends and receives plain bytes.
class raw_instance {
public:
    raw_instance() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
    }
    ~raw_instance() {
        close(listener_);
        if (accepted_ >= 0) {
            close(accepted_);
        }
    }
    raw_instance(const raw_instance&) = delete;
    raw_instance& operator=(const raw_instance&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    [[nodiscard]] bool accept_one() {
        accepted_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted_ < 0) {
            return false;
        }
        // Without it, bytes that are sent one at a time could be merged before they are sent.
        const int on = 1;
        setsockopt(accepted_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }
    void send(std::string_view text) const {
        REQUIRE(::send(accepted_, text.data(), text.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(text.size()));
    }
    /// All bytes received so far.
    [[nodiscard]] const std::string& received() {
        std::array<char, 4096> buffer{};
        ssize_t count = recv(accepted_, buffer.data(), buffer.size(), 0);
        while (count > 0) {
            received_.append(buffer.data(), static_cast<std::size_t>(count));
            count = recv(accepted_, buffer.data(), buffer.size(), 0);
        }
        return received_;
    }

private:
    int listener_;
    int accepted_ = -1;
    std::uint16_t port_ = 0;
    std::string received_;
};

const std::string startup_line = "STARTUP service gentianhill i-1\r\n";

struct link_fixture {
    event_loop loop;
    output_flusher flusher{loop};
    raw_instance instance;
    std::unique_ptr<instance_line_link> link =
        std::make_unique<instance_line_link>(flusher, instance.address(), "service", "", "i-1");

    std::vector<statement_result> opened;
    std::vector<instance_answer> answers;
    std::vector<disconnect_reason> ends;
    /// Returned to the link for each answer.
    bool accepts_answers = true;

    link_fixture() {
        link->on_open = [this](const statement_result& result) { opened.push_back(result); };
        link->on_answer = [this](instance_answer& answer) {
            answers.push_back(answer);
            return accepts_answers;
        };
        link->on_disconnect = [this](disconnect_reason reason) { ends.push_back(reason); };
        REQUIRE(loop.run_until([this] { return instance.accept_one(); }, 2s));
        REQUIRE(loop.run_until([this] { return instance.received() == startup_line; }, 2s));
    }

    void open() {
        instance.send("READY I 3.7\r\n");
        REQUIRE(loop.run_until([this] { return !opened.empty(); }, 2s));
        REQUIRE(opened.size() == 1);
        REQUIRE(opened.front().outcome == statement_outcome::done);
    }
    /// Sends the read of an item from the link and waits until the instance has it.
    void send_read(const std::string& id) {
        const std::string text = "READ a";
        instance_command command;
        command.kind = command_kind::read;
        command.id = id;
        command.text = text;
        link->send(command);
        const std::string line = "QUERY " + id + " READ a\r\n";
        REQUIRE(loop.run_until([this, &line] { return instance.received().find(line) != std::string::npos; },
                               2s));
    }
    bool await_answers(std::size_t count) {
        return loop.run_until([this, count] { return answers.size() >= count; }, 2s);
    }
    /// Waits until the connection has ended, and for anything that is reported after it.
    bool ends_with(disconnect_reason reason) {
        const bool has_ended = loop.run_until([this] { return !ends.empty(); }, 2s);
        loop.run_until([] { return false; }, 10ms);
        return has_ended && ends == std::vector<disconnect_reason>{reason};
    }
};

std::string bytes(std::string_view text) {
    return std::string(text);
}

} // namespace

// Guards against an answer without an outcome that is taken for a success.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_ready_without_outcome_ends_out_of_step") {
    open();
    send_read("q1");
    SUBCASE("without rows") {
        instance.send("READY I 3.7\r\n");
    }
    SUBCASE("with a row") {
        instance.send("DATAROW x\r\nREADY I 3.7\r\n");
    }
    CHECK(ends_with(disconnect_reason::out_of_step));
    CHECK(answers.empty());
}

// Guards against two answers that are taken for one because the READY between them is missing.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_two_outcomes_in_one_answer_end_out_of_step") {
    open();
    send_read("q1");
    SUBCASE("success twice") {
        instance.send("COMPLETE 1.a\r\nCOMPLETE 1.b\r\nREADY I 3.7\r\n");
    }
    SUBCASE("success and error") {
        instance.send("COMPLETE 1.a\r\nERROR FAILED x\r\nREADY I 3.7\r\n");
    }
    SUBCASE("error and success") {
        instance.send("ERROR BUSY x\r\nCOMPLETE 1.a\r\nREADY I 3.7\r\n");
    }
    SUBCASE("a row between") {
        instance.send("COMPLETE 1.a\r\nDATAROW x\r\nCOMPLETE 1.b\r\nREADY I 3.7\r\n");
    }
    CHECK(ends_with(disconnect_reason::out_of_step));
    CHECK(answers.empty());
}

// Guards against the answer of a command that is taken for that of the startup, after which all answers are
// shifted by one.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_answer_before_ready_of_startup_ends_out_of_step") {
    SUBCASE("success") {
        instance.send("COMPLETE 1.a\r\nREADY I 3.7\r\n");
    }
    SUBCASE("success without signature") {
        instance.send("COMPLETE -\r\nREADY I 3.7\r\n");
    }
    SUBCASE("row") {
        instance.send("DATAROW x\r\nREADY I 3.7\r\n");
    }
    SUBCASE("row and success") {
        instance.send("DATAROW x\r\nCOMPLETE 1.a\r\nREADY I 3.7\r\n");
    }
    CHECK(ends_with(disconnect_reason::out_of_step));
    CHECK(opened.empty());
    CHECK(answers.empty());
}

// Guards against a connection that is reported as rejected after it was reported as ended.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_two_outcomes_before_ready_of_startup_end_once") {
    instance.send("COMPLETE 1.a\r\nERROR MISROUTED other\r\nREADY I 3.7\r\n");
    CHECK(ends_with(disconnect_reason::out_of_step));
    CHECK(opened.empty());
    CHECK(answers.empty());
}

// Guards against a rejected startup that is reported as an open connection.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_error_before_ready_of_startup_reports_the_rejection") {
    instance.send("ERROR MISROUTED other\r\nREADY I 3.7\r\n");
    REQUIRE(loop.run_until([this] { return !opened.empty(); }, 2s));
    loop.run_until([] { return false; }, 10ms);
    REQUIRE(opened.size() == 1);
    CHECK(opened.front().outcome == statement_outcome::misrouted);
    CHECK(opened.front().detail == "other");
    CHECK(answers.empty());
}

// Guards against a repeated READY of the startup that is taken for the answer of the first command.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_second_ready_after_startup_ends_out_of_step") {
    open();
    SUBCASE("while nothing is unanswered") {}
    SUBCASE("while a command is unanswered") {
        send_read("q1");
    }
    instance.send("READY I 3.7\r\n");
    CHECK(ends_with(disconnect_reason::out_of_step));
    CHECK(opened.size() == 1);
    CHECK(answers.empty());
}

// Guards against an answer that began before a command was sent and is taken for that command's.
TEST_CASE_FIXTURE(link_fixture,
                  "instance_line_link_answer_begun_while_nothing_is_unanswered_is_unsolicited") {
    open();
    accepts_answers = false;
    instance.send("DATAROW x\r\n");
    loop.run_until([] { return false; }, 10ms);
    send_read("q1");
    instance.send("COMPLETE 1.a\r\nREADY I 3.7\r\n");
    REQUIRE(await_answers(1));
    CHECK(answers[0].is_unsolicited);
    accepts_answers = true;
    instance.send("COMPLETE 1.b\r\nREADY I 3.7\r\n");
    REQUIRE(await_answers(2));
    CHECK(!answers[1].is_unsolicited);
    CHECK(answers[1].result.rows.empty());
    CHECK(answers[1].result.signature == "1.b");
    instance.send("COMPLETE 1.c\r\nREADY I 3.7\r\n");
    REQUIRE(await_answers(3));
    CHECK(answers[2].is_unsolicited);
    CHECK(ends.empty());
}

// Guards against an answer without a signature that counts as proof that a statement has run.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_complete_with_mark_has_empty_signature") {
    open();
    for (const std::string& id : std::vector<std::string>{"q1", "q2", "q3", "q4"}) {
        send_read(id);
    }
    instance.send("COMPLETE -\r\nREADY I 3.7\r\n");
    instance.send("COMPLETE\r\nREADY I -\r\n");
    instance.send("COMPLETE --\r\nREADY T 3.8\r\n");
    instance.send("ERROR FAILED a b\r\nREADY E 3.8\r\n");
    REQUIRE(await_answers(4));
    CHECK(answers[0].result.signature.empty());
    CHECK(answers[0].result.position == log_position{3, 7});
    CHECK(answers[1].result.signature.empty());
    CHECK(!answers[1].result.position);
    CHECK(answers[2].result.signature == "--");
    CHECK(answers[2].result.state == transaction_state::open);
    CHECK(answers[3].result.signature.empty());
    CHECK(answers[3].result.outcome == statement_outcome::failed);
    CHECK(answers[3].result.detail == "a b");
    CHECK(answers[3].result.state == transaction_state::failed);
}

// Guards against rows and signatures that are cut, joined or changed at control characters.
TEST_CASE_FIXTURE(link_fixture,
                  "instance_line_link_control_characters_in_rows_and_signatures_arrive_unchanged") {
    using namespace std::string_view_literals;
    open();
    send_read("q1");
    const std::vector<std::string> rows{bytes("a\nREADY I 3.7"sv),  bytes("\r"sv),     bytes("\tb\t c "sv),
                                        bytes("\0d\0"sv),           bytes("e\n\rf"sv), bytes(""sv),
                                        bytes("\x7f\x01\xff\xc3"sv)};
    const std::string signature = bytes("1.\na\rb\tc\0d -"sv);
    for (const std::string& row : rows) {
        instance.send("DATAROW " + row + "\r\n");
    }
    instance.send("COMPLETE " + signature + "\r\nREADY I 3.7\r\n");
    REQUIRE(await_answers(1));
    CHECK(answers[0].result.rows == rows);
    CHECK(answers[0].result.signature == signature);
    CHECK(answers[0].result.outcome == statement_outcome::done);
}

// Guards against an answer that depends on how the network divides it.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_answer_in_single_bytes_is_received") {
    open();
    send_read("q1");
    const std::string answer = "DATAROW x\ny\r\nDATAROW \r\r\nCOMPLETE 1.a\r\nREADY T 3.9\r\n";
    for (const char byte : answer) {
        CHECK(answers.empty());
        instance.send(std::string_view(&byte, 1));
        loop.run_until([] { return false; }, 1ms);
    }
    REQUIRE(await_answers(1));
    CHECK(answers[0].result.rows == std::vector<std::string>{"x\ny", "\r"});
    CHECK(answers[0].result.signature == "1.a");
    CHECK(answers[0].result.state == transaction_state::open);
    CHECK(answers[0].result.position == log_position{3, 9});
    CHECK(!answers[0].is_unsolicited);
}

// Guards against a client's data that is taken for the state of an instance.
TEST_CASE_FIXTURE(link_fixture,
                  "instance_line_link_status_row_is_parsed_only_from_one_row_without_signature") {
    const std::string row = "DATAROW replica 3 3.1209 0 12 2 17\r\n";
    open();
    for (const std::string& id : std::vector<std::string>{"q1", "q2", "q3", "q4"}) {
        send_read(id);
    }
    instance.send(row + "COMPLETE -\r\nREADY I 3.7\r\n");
    instance.send(row + "COMPLETE 1.a\r\nREADY I 3.7\r\n");
    instance.send(row + row + "COMPLETE -\r\nREADY I 3.7\r\n");
    instance.send("DATAROW other 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.7\r\n");
    REQUIRE(await_answers(4));
    REQUIRE(answers[0].status);
    CHECK(!answers[0].status->is_primary);
    CHECK(answers[0].status->term == 3);
    CHECK(answers[0].status->log_end == log_position{3, 1209});
    CHECK(!answers[1].status);
    CHECK(!answers[2].status);
    CHECK(!answers[3].status);
}

// Guards against going on with a connection whose messages are not understood.
TEST_CASE_FIXTURE(link_fixture, "instance_line_link_unknown_word_ends_the_connection") {
    open();
    send_read("q1");
    SUBCASE("unknown") {
        instance.send("NOTICE x\r\n");
    }
    SUBCASE("empty line") {
        instance.send("\r\n");
    }
    SUBCASE("lower case") {
        instance.send("complete 1.a\r\n");
    }
    SUBCASE("message of a client") {
        instance.send("QUERY q1 READ a\r\n");
    }
    SUBCASE("unknown state") {
        instance.send("COMPLETE 1.a\r\nREADY X 3.7\r\n");
    }
    instance.send("COMPLETE 1.b\r\nREADY I 3.7\r\n");
    CHECK(ends_with(disconnect_reason::lost));
    CHECK(answers.empty());
}
