#include "gentianhill/core/timeline.h"
#include "gentianhill/operators/operator_endpoint.h"
#include "gentianhill/tickets/ticket_state.h"
#include "gentianhill_cli/tool.h"

#include <doctest/doctest.h>

#include <fstream>
#include <memory>
#include <sstream>

using namespace gentianhill;

namespace {

/// A daemon of which only the operator endpoint exists, on the same loop as the tool.
struct stub_daemon {
    operator_endpoint operators;
    timeline events;
    ticket_state view;
    int status_calls = 0;

    stub_daemon(event_loop& loop, const std::string& name)
        : operators(loop, endpoint{"127.0.0.1", 0}), events(timeline_settings{name, 1, 4, 64, 8}) {
        operators.hooks.state = [this, name] {
            return nlohmann::json{{"daemon", name},
                                  {"platform_available", true},
                                  {"fingerprint", view.fingerprint()},
                                  {"not_ready", {"the daemon is draining"}}};
        };
        operators.hooks.groups = [] {
            return nlohmann::json::parse(R"([{"group": "wheeldb", "term": 3,
                "coordination": {"claims": 2, "phase": "failed", "last_attempt": {"failure": "superseded"}},
                "instances": [{"instance": "a", "role": "primary", "reachable": false},
                              {"instance": "b", "role": "primary", "reachable": true}]}])");
        };
        operators.hooks.tickets = [this] { return view.export_view(); };
        operators.hooks.timeline = [this](std::uint64_t since, std::size_t limit) {
            return events.export_since(since, limit);
        };
        operators.hooks.submit_ticket = [this](const ticket& submitted, const operator_answer& answer) {
            if (view.highest_number() >= submitted.number) {
                answer(std::nullopt, error{error_code::number_taken, "number", "1", "a free number"});
                return;
            }
            view.apply(submitted);
            answer(nlohmann::json{{"accepted", submitted.number}, {"warnings", {"one zone"}}}, {});
        };
        operators.hooks.outcome = [](const std::string& /*group*/, const std::string& key,
                                     const operator_answer& answer) {
            answer(nlohmann::json{{"status", key}}, {});
        };
        operators.hooks.ticket_status = [this](ticket_number number, const operator_answer& answer) {
            ++status_calls;
            answer(nlohmann::json{{"number", number},
                                  {"applied", {{"entry-1", true}, {"entry-2", status_calls > 2}}}},
                   {});
        };
        operators.hooks.drain = [](error& /*reason*/) { return true; };
        error reason;
        REQUIRE(operators.listen(reason));
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(operators.port()); }
};

struct tool_fixture {
    event_loop loop;
    std::ostringstream out;
    std::ostringstream errors;
    tool_context context{loop, out, errors, {}, {}};
    stub_daemon first{loop, "entry-1"};
    stub_daemon second{loop, "entry-2"};

    tool_fixture() { context.environment["GENTIANHILL_DAEMONS"] = first.address() + "," + second.address(); }

    exit_code run(const std::vector<std::string>& arguments) {
        out.str("");
        errors.str("");
        return run_tool(context, arguments);
    }

    bool printed(const std::string& text) const { return out.str().find(text) != std::string::npos; }
    bool reported(const std::string& text) const { return errors.str().find(text) != std::string::npos; }

    // Address on which nothing listens.
    std::string closed_address() {
        const std::unique_ptr<stub_daemon> gone = std::make_unique<stub_daemon>(loop, "gone");
        return gone->address();
    }
};

const std::string example = GENTIANHILL_SOURCE_DIR "/examples/rimworks.ticket.json";

} // namespace

// Guards against scripts that cannot tell a mistake, a refusal and a lost daemon apart.
TEST_CASE_FIXTURE(tool_fixture, "tool_exit_codes_tell_usage_refusal_unreachable_and_partial_apart") {
    CHECK(run({}) == exit_code::usage);
    CHECK(run({"frobnicate"}) == exit_code::usage);
    CHECK(run({"ticket"}) == exit_code::usage);
    CHECK(run({"groups", "extra"}) == exit_code::usage);
    CHECK(run({"groups", "--jso"}) == exit_code::usage);
    CHECK(run({"groups", "--daemon", "nowhere"}) == exit_code::usage);
    CHECK(run({"groups", "--timeout-ms", "0"}) == exit_code::usage);
    CHECK(run({"groups"}) == exit_code::success);
    CHECK(run({"hosts"}) == exit_code::refused);
    const std::string closed = closed_address();
    CHECK(run({"groups", "--daemon", closed}) == exit_code::unreachable);
    CHECK(reported("next: check the address"));
    CHECK(run({"groups", "--daemon", closed, "--daemon", first.address()}) == exit_code::partial);
    CHECK(printed("wheeldb"));
}

// Guards against a command that nobody can learn about without its source.
TEST_CASE_FIXTURE(tool_fixture, "tool_help_exists_for_each_command") {
    CHECK(run({"--help"}) == exit_code::success);
    const std::string overview = out.str();
    std::ifstream file{GENTIANHILL_SOURCE_DIR "/docs/command-line.md"};
    std::ostringstream page;
    page << file.rdbuf();
    for (const command& item : tool_commands()) {
        CAPTURE(item.name);
        CHECK(overview.find(item.name) != std::string::npos);
        CHECK(page.str().find("| `" + item.name) != std::string::npos);
        std::vector<std::string> arguments;
        std::istringstream words{item.name};
        for (std::string word; words >> word;) {
            arguments.push_back(word);
        }
        arguments.emplace_back("--help");
        CHECK(run(arguments) == exit_code::success);
        CHECK(printed("gentianhill " + item.name));
    }
}

// Guards against a submitted ticket that is reported as accepted when it was refused, and the reverse.
TEST_CASE_FIXTURE(tool_fixture, "tool_ticket_submit_reports_acceptance_warnings_and_refusal") {
    CHECK(run({"ticket", "submit", example}) == exit_code::success);
    CHECK(printed("ticket 1 accepted"));
    CHECK(printed("warning: one zone"));
    CHECK(run({"ticket", "submit", example}) == exit_code::refused);
    CHECK(reported("number_taken"));
    CHECK(run({"ticket", "list"}) == exit_code::success);
    CHECK(printed("group/wheeldb-1"));
    CHECK(printed("next free number: 2"));
    CHECK(run({"ticket", "submit", "/nonexistent"}) == exit_code::usage);
    // The first daemon is lost; the second takes the ticket.
    CHECK(run({"ticket", "submit", example, "--daemon", closed_address() + "," + second.address()}) ==
          exit_code::success);
}

// Guards against invalid files that pass the check, and against errors without the place of the mistake.
TEST_CASE_FIXTURE(tool_fixture, "tool_check_commands_name_the_offending_field") {
    CHECK(run({"check-ticket", example}) == exit_code::success);
    const std::string broken = "cli_tests_broken.ticket.json";
    std::ofstream{broken}
        << R"({"number": 1, "author": "hana", "subjects": {"policy": {"entry_hosts": 65}}})";
    CHECK(run({"check-ticket", broken}) == exit_code::refused);
    CHECK(reported("subjects[policy].entry_hosts"));
    CHECK(run({"ticket", "submit", broken}) == exit_code::refused);
    CHECK(run({"check-settings", "--drain-limit-s", "0"}) == exit_code::refused);
    CHECK(run({"check-settings", "--name=a", "--zone=b", "--platform=127.0.0.1:1",
               "--token-key=0123456789abcdef"}) == exit_code::success);
    CHECK(printed("zone=b (flag)"));
    CHECK(run({"settings-page"}) == exit_code::success);
}

// Guards against an unknown outcome that a script takes for an answer, and against stopping several daemons.
TEST_CASE_FIXTURE(tool_fixture, "tool_outcome_unknown_and_drain_of_several_daemons_are_failures") {
    CHECK(run({"outcome", "wheeldb", "done"}) == exit_code::success);
    CHECK(out.str() == "done\n");
    CHECK(run({"outcome", "wheeldb", "outcome_unknown"}) == exit_code::unreachable);
    CHECK(run({"drain"}) == exit_code::usage);
    CHECK(run({"drain", "--daemon", first.address()}) == exit_code::success);
}

// Guards against daemons with different tickets in effect that nobody notices.
TEST_CASE_FIXTURE(tool_fixture, "tool_state_shows_reasons_and_different_tickets") {
    CHECK(run({"state"}) == exit_code::success);
    CHECK(printed("the daemon is draining"));
    CHECK_FALSE(printed("different tickets"));
    CHECK(run({"ticket", "submit", example}) == exit_code::success);
    CHECK(run({"state"}) == exit_code::success);
    CHECK(printed("different tickets"));
    CHECK(run({"state", "--json"}) == exit_code::success);
    CHECK(nlohmann::json::parse(out.str()).size() == 2);
}

// Guards against a timeline with events in the wrong order, repeated or silently missing.
TEST_CASE_FIXTURE(tool_fixture, "tool_timeline_merges_filters_and_follows") {
    timeline_event event;
    event.at = hybrid_timestamp{1'700'000'000'000, 0};
    event.kind = event_kind::fence_sent;
    event.group = "wheeldb";
    const event_id cause = first.events.record(event);
    event.kind = event_kind::fence_accepted;
    event.cause = cause;
    event.at.wall_ms -= 50;
    second.events.record(event);
    CHECK(run({"timeline"}) == exit_code::success);
    CHECK(out.str().find("fence_sent") < out.str().find("fence_accepted"));
    CHECK(run({"timeline", "--kind", "fence_sent", "--group", "wheeldb"}) == exit_code::success);
    CHECK_FALSE(printed("fence_accepted"));
    CHECK(run({"timeline", "--since", "60"}) == exit_code::success);
    CHECK(out.str().empty());
    CHECK(run({"timeline", "--kind", "fence"}) == exit_code::usage);
    // While following, each round records more than the ring holds.
    int rounds = 0;
    context.keep_following = [this, &rounds, &event] {
        for (int i = 0; i < 6; ++i) {
            first.events.record(event);
        }
        return ++rounds < 2;
    };
    CHECK(run({"timeline", "--follow"}) == exit_code::success);
    CHECK(printed("missing: events 2 to 3 of entry-1"));
    CHECK(run({"report", "cli_tests_report.html"}) == exit_code::success);
    CHECK(run({"report", "/nonexistent/report.html"}) == exit_code::usage);
}

// Guards against scripts that go on before a ticket is in effect on all daemons.
TEST_CASE_FIXTURE(tool_fixture, "tool_ticket_status_waits_until_all_daemons_have_applied_it") {
    CHECK(run({"ticket", "status", "1"}) == exit_code::success);
    CHECK(printed("entry-2  no"));
    CHECK(run({"ticket", "status", "1", "--wait", "30"}) == exit_code::success);
    CHECK(printed("entry-2  yes"));
    CHECK(first.status_calls == 3);
    CHECK(run({"ticket", "status", "1", "--wait", "601"}) == exit_code::usage);
    first.operators.hooks.ticket_status = [](ticket_number /*number*/, const operator_answer& answer) {
        answer(nlohmann::json{{"applied", {{"entry-1", false}}}}, {});
    };
    CHECK(run({"ticket", "status", "1", "--wait", "1"}) == exit_code::partial);
}

// Guards against a lost primary that looks like a second one, and against answers that lack members.
TEST_CASE_FIXTURE(tool_fixture, "tool_groups_unreachable_primary_is_shown_as_former") {
    CHECK(run({"groups"}) == exit_code::success);
    CHECK(printed("was primary"));
    CHECK(printed("failed: superseded"));
    first.operators.hooks.groups = [] { return nlohmann::json::parse(R"([null, 7, {"instances": [1]}])"); };
    second.operators.hooks.groups = [] { return nlohmann::json(nullptr); };
    CHECK(run({"groups"}) == exit_code::success);
}

// Guards against a tool that crashes on the answer of a daemon of another version.
TEST_CASE_FIXTURE(tool_fixture, "tool_answer_of_unexpected_form_is_refused") {
    for (const char* text : {"[]", "7", R"({"subjects": [1]})", R"({"subjects": {"team/a": {}}})",
                             R"({"subjects": {"team/a": 1}, "applied": [1]})"}) {
        CAPTURE(text);
        first.operators.hooks.tickets = [text] { return nlohmann::json::parse(text); };
        first.operators.hooks.timeline = [text](std::uint64_t /*since*/, std::size_t /*limit*/) {
            return nlohmann::json::parse(text);
        };
        first.operators.hooks.ticket_status = [text](ticket_number /*number*/,
                                                     const operator_answer& answer) {
            answer(nlohmann::json::parse(text), {});
        };
        const exit_code listed = run({"ticket", "list"});
        CHECK((listed == exit_code::success || listed == exit_code::refused));
        const exit_code status = run({"ticket", "status", "1"});
        CHECK((status == exit_code::success || status == exit_code::refused));
        CHECK(run({"timeline", "--daemon", first.address()}) != exit_code::success);
    }
}
