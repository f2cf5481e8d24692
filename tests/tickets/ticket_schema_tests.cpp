#include "gentianhill/tickets/ticket_schema.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace gentianhill;

namespace {

std::string read_file(const std::string& name) {
    std::ifstream file{GENTIANHILL_SOURCE_DIR "/" + name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

struct schema_fixture {
    error reason;
    nlohmann::json value = nlohmann::json::parse(R"({"number": 7, "author": "hana", "subjects": {
        "group/wheeldb": {"teams": ["builds"], "instances": [
            {"name": "a", "zone": "kyushu-a", "address": "127.0.0.1:7600", "connections": 35, "slots": 5},
            {"name": "b", "zone": "kyushu-b", "address": "127.0.0.1:7601", "connections": 35, "slots": 5},
            {"name": "c", "zone": "kyushu-c", "address": "127.0.0.1:7602", "connections": 35, "slots": 5}]},
        "team/builds": {"weight": 200, "max_age_ms": 1000},
        "policy": {"retry_budget_percent": 5}}})");
    ticket_state view;

    // Parses the ticket with the value at `pointer` replaced and returns the path of the refused field.
    std::string refused_field(const std::string& pointer, const nlohmann::json& replacement) {
        nlohmann::json changed = value;
        changed[nlohmann::json::json_pointer{pointer}] = replacement;
        reason = {};
        CHECK_FALSE(ticket_from_json(changed, reason));
        return reason.field;
    }

    ticket parsed() {
        const std::optional<ticket> result = ticket_from_json(value, reason);
        REQUIRE(result);
        return *result;
    }
};

} // namespace

// Guards against fields that get lost between a submitted ticket and its stored form.
TEST_CASE_FIXTURE(schema_fixture, "ticket_json_round_trips") {
    CHECK(parsed().to_json() == value);
    value["subjects"]["team/builds"] = nullptr;
    CHECK(parsed().to_json() == value);
}

// Guards against examples that no longer match the schema.
TEST_CASE_FIXTURE(schema_fixture, "ticket_examples_are_valid_without_warnings") {
    for (const char* name : {"examples/rimworks.ticket.json", "examples/whitmore-campbell.ticket.json"}) {
        const std::optional<ticket> example = parse_ticket(read_file(name), reason);
        REQUIRE(example);
        CHECK(check_ticket(*example, view, reason));
        CHECK(ticket_warnings(*example, view).empty());
    }
}

// Guards against errors that leave the operator to search for the offending field.
TEST_CASE_FIXTURE(schema_fixture, "ticket_invalid_field_is_refused_with_its_path") {
    const std::string group = "/subjects/group~1wheeldb";
    CHECK(refused_field("/number", 0) == "number");
    CHECK(refused_field("/number", max_ticket_number + 1) == "number");
    CHECK(refused_field("/author", "") == "author");
    CHECK(refused_field("/extra", 1) == "extra");
    CHECK(refused_field("/subjects", nlohmann::json::object()) == "subjects");
    CHECK(refused_field("/subjects/host~1a", 1) == "subjects[host/a]");
    CHECK(refused_field("/subjects/group~1", nullptr) == "subjects[group/]");
    CHECK(refused_field(group + "/teams/0", "a b") == "subjects[group/wheeldb].teams[0]");
    CHECK(refused_field(group + "/instances", nlohmann::json::array()) ==
          "subjects[group/wheeldb].instances");
    CHECK(refused_field(group + "/instances/1/slots", 36) == "subjects[group/wheeldb].instances[1].slots");
    CHECK(refused_field(group + "/instances/1/address", "db:1") ==
          "subjects[group/wheeldb].instances[1].address");
    CHECK(refused_field("/subjects/team~1builds/weight", 1001) == "subjects[team/builds].weight");
    CHECK(refused_field("/subjects/policy/entry_hosts", "4") == "subjects[policy].entry_hosts");
    CHECK(refused_field("/subjects/policy/token_key", "x") == "subjects[policy].token_key");
}

// Guards against fields that are valid one by one and contradict each other.
TEST_CASE_FIXTURE(schema_fixture, "ticket_duplicate_name_or_address_is_refused") {
    const std::string group = "/subjects/group~1wheeldb";
    CHECK(refused_field(group + "/instances/2/name", "a") == "subjects[group/wheeldb].instances[2].name");
    CHECK(refused_field(group + "/instances/2/address", "127.0.0.1:7600") ==
          "subjects[group/wheeldb].instances[2].address");
    CHECK(refused_field(group + "/teams", {"builds", "builds"}) == "subjects[group/wheeldb].teams[1]");
    // The second group would use the databases of the first.
    CHECK(refused_field("/subjects/group~1orders", value["subjects"]["group/wheeldb"]) ==
          "subjects[group/orders].instances[0].address");
    CHECK(refused_field("/subjects/policy", {{"default_deadline_ms", 500}, {"max_deadline_ms", 400}}) ==
          "subjects[policy].default_deadline_ms");
}

// Guards against a change after which the new majority need not contain the last confirmed writes.
TEST_CASE_FIXTURE(schema_fixture, "check_ticket_more_than_one_instance_changed_is_refused") {
    view.apply(parsed());
    value["number"] = 8;
    nlohmann::json& instances = value["subjects"]["group/wheeldb"]["instances"];
    instances[2]["address"] = "127.0.0.1:7609";
    CHECK(check_ticket(parsed(), view, reason));
    instances[1]["name"] = "d";
    CHECK_FALSE(check_ticket(parsed(), view, reason));
    CHECK(reason.field == "subjects[group/wheeldb].instances");
}

// Guards against two groups that write to one database, and against numbers that leave no successor.
TEST_CASE_FIXTURE(schema_fixture, "check_ticket_conflict_with_view_is_refused") {
    view.apply(parsed());
    CHECK(check_ticket(parsed(), view, reason));
    nlohmann::json other = value;
    other["subjects"] = {{"group/orders", value["subjects"]["group/wheeldb"]}};
    const std::optional<ticket> conflicting = ticket_from_json(other, reason);
    REQUIRE(conflicting);
    CHECK_FALSE(check_ticket(*conflicting, view, reason));
    CHECK(reason.field == "subjects[group/orders].instances[0].address");
    value["number"] = 6;
    CHECK_FALSE(check_ticket(parsed(), view, reason));
    CHECK(reason.code == error_code::superseded);
    value["number"] = max_ticket_number;
    CHECK_FALSE(check_ticket(parsed(), view, reason));
    CHECK(reason.code == error_code::out_of_range);
}

// Guards against group layouts that tolerate fewer failures than the operator expects.
TEST_CASE_FIXTURE(schema_fixture, "ticket_warnings_name_even_counts_and_zones_that_hold_a_majority") {
    nlohmann::json& group = value["subjects"]["group/wheeldb"];
    group["instances"][1]["zone"] = "kyushu-a";
    group["teams"] = {"unknown"};
    const std::vector<std::string> warnings = ticket_warnings(parsed(), view);
    REQUIRE(warnings.size() == 2);
    CHECK(warnings[0] == "group/wheeldb has no majority without zone kyushu-a");
    CHECK(warnings[1].find("unknown") != std::string::npos);
    group["instances"].erase(2);
    CHECK(ticket_warnings(parsed(), view)[0].find("2 instances") != std::string::npos);
}

// Guards against input of the wrong kind that crashes the daemon.
TEST_CASE_FIXTURE(schema_fixture, "parse_ticket_text_that_is_no_ticket_is_refused") {
    for (const char* text : {"", "null", "[]", "{}", "{\"number\":", "\"\xff\"", "{\"number\":1e400}"}) {
        CHECK_FALSE(parse_ticket(text, reason));
    }
    CHECK_FALSE(parse_ticket(std::string(max_ticket_bytes + 1, ' '), reason));
}
