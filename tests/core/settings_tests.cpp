#include "gentianhill/core/daemon_settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace gentianhill;

namespace {

struct settings_fixture {
    std::vector<std::string> arguments;
    environment_map environment{{"GENTIANHILL_NAME", "entry-1"},
                                {"GENTIANHILL_ZONE", "kyushu-a"},
                                {"GENTIANHILL_PLATFORM", "127.0.0.1:7500"},
                                {"GENTIANHILL_TOKEN_KEY", "0123456789abcdef"}};
    error reason;

    std::optional<setting_values> read_values() {
        reason = {};
        return setting_values::read(daemon_setting_definitions(), arguments, environment, reason);
    }

    std::optional<daemon_settings> read() {
        const std::optional<setting_values> values = read_values();
        return values ? daemon_settings::read(*values, reason) : std::nullopt;
    }
};

} // namespace

// Guards against an environment variable that overrides a flag given by hand.
TEST_CASE_FIXTURE(settings_fixture, "settings_flag_and_variable_given_flag_wins") {
    environment["GENTIANHILL_ENTRY_HOSTS"] = "4";
    CHECK(read()->entry_hosts == 4);
    arguments = {"--entry-hosts", "3"};
    CHECK(read()->entry_hosts == 3);
    CHECK(read_values()->source("entry_hosts") == setting_source::flag);
    CHECK(read_values()->source("zone") == setting_source::environment);
    CHECK(read_values()->source("drain_limit_s") == setting_source::default_value);
}

// Guards against a daemon that starts with a value that nobody meant.
TEST_CASE_FIXTURE(settings_fixture, "settings_invalid_value_names_origin_value_and_allowed") {
    environment["GENTIANHILL_PROBE_INTERVAL_MS"] = "5";
    CHECK_FALSE(read());
    CHECK(reason.code == error_code::out_of_range);
    CHECK(reason.field == "GENTIANHILL_PROBE_INTERVAL_MS");
    CHECK(reason.value == "5");
    CHECK(reason.allowed == "10 to 10000 ms");
    arguments = {"--probe-interval-ms=200ms"};
    CHECK_FALSE(read());
    CHECK(reason.code == error_code::bad_value);
    CHECK(reason.field == "--probe-interval-ms");
    arguments = {"--probe-interval-ms=100", "--log-level=verbose"};
    CHECK_FALSE(read());
    CHECK(reason.allowed == "debug, info, warning, error");
    arguments = {"--probe-interval-ms=100", "--listen=localhost:1"};
    CHECK_FALSE(read());
    CHECK(reason.field == "--listen");
    arguments = {"--probe-interval-ms=100", "--token-previous-key=short"};
    CHECK_FALSE(read());
    CHECK(reason.value == "5 bytes");
}

// Guards against misspelt settings that are silently ignored.
TEST_CASE_FIXTURE(settings_fixture, "settings_unknown_or_repeated_flag_or_variable_is_refused") {
    arguments = {"--entry-host", "3"};
    CHECK_FALSE(read());
    CHECK(reason.code == error_code::unknown_field);
    arguments = {"--entry-hosts", "3", "--entry-hosts", "4"};
    CHECK_FALSE(read());
    CHECK(reason.code == error_code::bad_value);
    arguments = {"stray"};
    CHECK_FALSE(read());
    arguments = {"--entry-hosts"};
    CHECK_FALSE(read());
    arguments.clear();
    environment["GENTIANHILL_ENTRY_HOST"] = "3";
    CHECK_FALSE(read());
    CHECK(reason.field == "GENTIANHILL_ENTRY_HOST");
    environment.erase("GENTIANHILL_ENTRY_HOST");
    environment.erase("GENTIANHILL_ZONE");
    CHECK_FALSE(read());
    CHECK(reason.code == error_code::missing_field);
    CHECK(reason.field == "zone");
}

// Guards against settings that are valid one by one and contradict each other.
TEST_CASE_FIXTURE(settings_fixture, "settings_conflicting_values_are_refused") {
    const std::vector<std::vector<std::string>> conflicts{
        {"--default-deadline-ms=3000", "--max-deadline-ms=2999"},
        {"--peer-listen=127.0.0.1:7400"},
        {"--suspect-after-ms=300", "--probe-interval-ms=200"},
        {"--token-previous-key=0123456789abcdef"},
        {"--peers=entry-1=kyushu-b@127.0.0.1:7401"},
        {"--peers=entry-1=kyushu-a@127.0.0.1:7411"},
        {"--peers=entry-2=kyushu-a@127.0.0.1:7401"},
        {"--peers=entry-2=kyushu-b@127.0.0.1:7411,entry-2=kyushu-c@127.0.0.1:7421"},
        {"--peers=entry-2=kyushu-b@127.0.0.1:7411,entry-3=kyushu-c@127.0.0.1:7411"},
    };
    for (const std::vector<std::string>& conflict : conflicts) {
        arguments = conflict;
        CHECK_FALSE(read());
        CHECK(reason.code == error_code::bad_value);
    }
}

// Guards against peers that are read into the wrong zone.
TEST_CASE_FIXTURE(settings_fixture, "settings_peer_list_is_split_into_name_zone_and_address") {
    // The list is the same on all daemons; each leaves itself out.
    arguments = {"--peers=entry-1=kyushu-a@127.0.0.1:7401,entry-2=kyushu-b@127.0.0.1:7411,"
                 "entry-3=kyushu-c@127.0.0.1:7421"};
    const std::optional<daemon_settings> result = read();
    REQUIRE(result);
    REQUIRE(result->peers.size() == 2);
    CHECK(result->peers[1].name == "entry-3");
    CHECK(result->peers[1].zone == "kyushu-c");
    CHECK(result->peers[1].address == endpoint{"127.0.0.1", 7421});
    for (const char* text :
         {"a", "a=b", "a@b:1", "=b@127.0.0.1:1", "a=@127.0.0.1:1", "a=b@c", "a=b@127.0.0.1:1,,"}) {
        CHECK_FALSE(peer_setting::parse_list(text, "peers", reason));
    }
}

// Guards against keys that end up in terminals and logs.
TEST_CASE_FIXTURE(settings_fixture, "settings_print_hides_secrets_and_shows_sources") {
    const std::string text = read_values()->print();
    CHECK(text.find("0123456789abcdef") == std::string::npos);
    CHECK(text.find("token_key=(secret) (environment)") != std::string::npos);
    CHECK(text.find("drain_limit_s=30 (default)") != std::string::npos);
}

// Guards against a documentation page that differs from the program.
TEST_CASE("settings_page_in_docs_is_up_to_date") {
    std::ifstream file{GENTIANHILL_SOURCE_DIR "/docs/settings.md"};
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(text.str() == settings_page(daemon_setting_definitions()));
}
