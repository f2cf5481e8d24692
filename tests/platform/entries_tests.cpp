#include "gentianhill/core/object_reader.h"
#include "platform/entries.h"
#include "platform/http_store.h"

#include <doctest/doctest.h>

#include <limits>

using namespace gentianhill;
using namespace gentianhill::platform;

namespace {

nlohmann::json valid_entry() {
    return {{"Backend", "huvo11a"}, {"Address", "10.128.0.9:8080"},
            {"Zone", "kyushu-a"},   {"Version", "v1"},
            {"Capacity", 5},        {"State", "ready"},
            {"WarmupLeftMs", 0},    {"DbRole", "replica"},
            {"Sequence", 4},        {"born", 1780000000123}};
}

std::optional<listed_instance> parse_entry(const nlohmann::json& content) {
    error reason;
    return parse_instance({"i-1", 3, content}, reason);
}

} // namespace

// Guards against fields of the platform's entry that are mapped to the wrong member.
TEST_CASE("entries_valid_instance_maps_each_field") {
    nlohmann::json content = valid_entry();
    content["State"] = "draining";
    content["DbRole"] = "primary";
    const std::optional<listed_instance> listed = parse_entry(content);
    REQUIRE(listed);
    CHECK(listed->id == "i-1");
    CHECK(listed->group == "huvo11a");
    CHECK(listed->address == endpoint{"10.128.0.9", 8080});
    CHECK(listed->slots == 5);
    CHECK(listed->draining);
    CHECK(listed->claims_primary);
    CHECK(listed->started_at_ms == 1780000000123);
    CHECK(listed->update_number == 4);
    CHECK(listed->era == 0);
    stored_object restored{"i-1", 3, content};
    restored.era = 2;
    error reason;
    CHECK(parse_instance(restored, reason)->era == 2);
}

// Guards against an invalid entry, written by another program, that is taken for an instance or causes a
// crash.
TEST_CASE("entries_invalid_instance_is_rejected") {
    for (const char* field : {"Backend", "Address", "Zone", "Capacity", "State", "DbRole"}) {
        CAPTURE(field);
        nlohmann::json missing = valid_entry();
        missing.erase(field);
        CHECK(!parse_entry(missing));
        nlohmann::json other_type = valid_entry();
        other_type[field] = nlohmann::json::array({1});
        CHECK(!parse_entry(other_type));
    }
    nlohmann::json state = valid_entry();
    state["State"] = "sleeping";
    CHECK(!parse_entry(state));
    nlohmann::json address = valid_entry();
    address["Address"] = "nowhere";
    CHECK(!parse_entry(address));
    CHECK(!parse_entry("text"));
    CHECK(!parse_entry(nullptr));
    // These names would add a field or a line to the line that opens a connection.
    for (const char* name : {"a b", "a\r\nQUERY - STATUS", "a\n", "\ta", "a\x7f"}) {
        CAPTURE(name);
        nlohmann::json group = valid_entry();
        group["Backend"] = name;
        CHECK(!parse_entry(group));
        error reason;
        CHECK(!parse_instance({name, 3, valid_entry()}, reason));
    }
    nlohmann::json unknown = valid_entry();
    unknown["New"] = true;
    CHECK(parse_entry(unknown));
}

// Guards against a configuration that is applied without its invalid parts.
TEST_CASE("entries_configuration_with_invalid_route_is_rejected_as_a_whole") {
    const nlohmann::json content = nlohmann::json::parse(R"({"Version": 7,
        "Routes": [{"Name": "r-1", "Database": "fiti", "Type": "read_your_writes", "TimeoutMs": 1000,
                    "TargetLatencyMs": 400, "Priority": 2, "Backend": "huvo11a", "MaxStalenessMs": 2500}],
        "Backends": [{"Name": "huvo11a", "MaxConns": 34, "SyncReplicas": 1}], "Limits": {"TxIdleMs": 3000}})");
    error reason;
    const std::optional<proxy_configuration> configuration =
        parse_configuration({"main", 1, content}, reason);
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    CHECK(configuration->routes.at("fiti")->consistency == consistency_level::read_your_writes);
    CHECK(configuration->routes.at("fiti")->max_staleness == std::chrono::milliseconds(2500));
    CHECK(configuration->groups.at("huvo11a").sync_replicas == 1);
    CHECK(configuration->transaction_idle_limit == std::chrono::seconds(3));
    nlohmann::json broken = content;
    broken["Routes"].push_back({{"Name", "r-2"}});
    error missing;
    CHECK(!parse_configuration({"main", 2, broken}, missing));
    CHECK(missing.code == error_code::missing_field);
}

// Guards against an unreadable response of the store that is taken for a success.
TEST_CASE("entries_store_response_is_parsed_by_status_and_body") {
    const store_answer listed = parse_store_response(
        200,
        R"({"items":[{"meta":{"Name":"a","Revision":3},"spec":{"x":1}},{"meta":5}],"HasMore":true,"StoreRevision":530})");
    CHECK(listed.outcome == store_outcome::done);
    REQUIRE(listed.items.size() == 1);
    CHECK(listed.items[0].revision == 3);
    CHECK(listed.has_more);
    CHECK(listed.revision == 530);
    const store_answer watched = parse_store_response(
        200,
        R"({"events":[{"Deleted":true,"Object":{"meta":{"Name":"a","Revision":4}}}],"StoreRevision":533})");
    REQUIRE(watched.events.size() == 1);
    CHECK(watched.events[0].deleted);
    CHECK(parse_store_response(200, "{").outcome == store_outcome::unknown);
    CHECK(parse_store_response(0, "").outcome == store_outcome::unknown);
    CHECK(parse_store_response(410, "").outcome == store_outcome::history_lost);
    CHECK(parse_store_response(429, "").outcome == store_outcome::refused);
    CHECK(parse_store_response(409, R"({"meta":{"Name":"a","Revision":9},"spec":{}})").object->revision == 9);
}

// Guards against objects and answers without the era, or with one that is read from something else.
TEST_CASE("entries_store_response_states_the_era_of_answer_and_objects") {
    const store_answer listed =
        parse_store_response(200, R"({"items":[{"meta":{"Name":"a","Revision":3}}],"StoreRevision":5})", "4");
    CHECK(listed.era == 4);
    REQUIRE(listed.items.size() == 1);
    CHECK(listed.items[0].era == 4);
    CHECK(parse_store_response(409, R"({"meta":{"Name":"a","Revision":9}})", "4").object->era == 4);
    CHECK(parse_store_response(410, "", "4").era == 4);
    CHECK(parse_store_response(200, "{}", "").era == 0);
    for (const char* unreadable : {"-1", "4 ", "four", "99999999999999999999"}) {
        CAPTURE(unreadable);
        const store_answer answer = parse_store_response(200, "{}", unreadable);
        CHECK(answer.era == 0);
        CHECK(answer.outcome == store_outcome::unknown);
    }
}

namespace {

/// Entries as another writer may leave them, by what is odd about them.
struct odd_entry_fixture {
    const std::string instance =
        R"({"meta":{"Name":"i-1","Revision":3},"spec":{"Backend":"b","Address":"10.0.0.1:80","Zone":"a",)"
        R"("Capacity":5,"State":"ready","DbRole":"primary","born":1,"Sequence":1}})";

    static std::string object(const std::string& name, const std::string& spec) {
        return R"({"meta":{"Name":")" + name + R"(","Revision":7},"spec":)" + spec + "}";
    }

    /// Contents that no parser takes, and the field that the log names for each.
    static std::vector<std::pair<std::string, std::string>> unreadable() {
        return {{R"({"Backend":"b","Zone":)" + std::string(500'000, '[') + std::string(500'000, ']') + "}",
                 "spec.Zone"},
                {R"({"Zone":)" + std::string(40, '[') + std::string(40, ']') + "}", "spec.Zone"},
                {"{\"Backend\":\"\xff\xfe\xc3\x28\"}", "spec.Backend"},
                {"\"\xff\xfe\"", "spec"},
                {R"({"Capacity":1e999})", "spec.Capacity"},
                {R"({"other":-1e999})", "spec.other"},
                {R"({"Capacity":01})", "spec.Capacity"}};
    }

    static std::optional<listed_instance> read(const std::string& field, const nlohmann::json& value,
                                               error& reason) {
        nlohmann::json content = {
            {"Backend", "b"},   {"Address", "10.0.0.1:80"}, {"Zone", "a"}, {"Capacity", 5},
            {"State", "ready"}, {"DbRole", "primary"},      {"born", 1},   {"Sequence", 1}};
        content[field] = value;
        const std::string text = object("i-2", content.dump());
        const store_answer answer = parse_store_response(200, R"({"items":[)" + text + "]}");
        REQUIRE(answer.items.size() == 1);
        return parse_instance(answer.items[0], reason);
    }
};

} // namespace

// Guards against one entry that cannot be read and hides all others, so that no daemon knows any instance.
TEST_CASE_FIXTURE(odd_entry_fixture, "entries_unreadable_entry_in_a_list_hides_no_other") {
    std::string items = instance;
    for (const auto& [spec, field] : unreadable()) {
        items += "," + object("odd", spec);
    }
    const store_answer answer =
        parse_store_response(200, R"({"items":[)" + items + R"(],"HasMore":true,"StoreRevision":530})");
    CHECK(answer.outcome == store_outcome::done);
    CHECK(answer.revision == 530);
    CHECK(answer.has_more);
    REQUIRE(answer.items.size() == unreadable().size() + 1);
    error reason;
    CHECK(parse_instance(answer.items[0], reason));
    for (std::size_t index = 0; index < unreadable().size(); ++index) {
        const stored_object& odd = answer.items[index + 1];
        CAPTURE(index);
        CHECK(odd.name == "odd");
        CHECK(odd.revision == 7);
        CHECK(odd.content.is_null());
        CHECK(odd.content_error.field == unreadable()[index].second);
        error refused;
        CHECK(!parse_instance(odd, refused));
        CHECK(refused.field == unreadable()[index].second);
    }
}

// Guards against a watch that never gets past the change of such an entry.
TEST_CASE_FIXTURE(odd_entry_fixture, "entries_unreadable_entry_in_a_watch_hides_no_other") {
    for (const std::pair<std::string, std::string>& odd : unreadable()) {
        const std::string& spec = odd.first;
        const std::string& field = odd.second;
        const store_answer answer =
            parse_store_response(200, R"({"events":[{"Deleted":false,"Object":)" + object("odd", spec) +
                                          R"(},{"Object":)" + instance + R"(},{"Deleted":true,"Object":)" +
                                          object("odd", spec) + R"(}],"StoreRevision":533})");
        CAPTURE(field);
        CHECK(answer.outcome == store_outcome::done);
        CHECK(answer.revision == 533);
        REQUIRE(answer.events.size() == 3);
        CHECK(answer.events[0].object.content_error.field == field);
        CHECK(answer.events[1].object.name == "i-1");
        CHECK(answer.events[2].deleted);
    }
}

// Guards against a daemon that refuses the whole state of another one because of an entry that it has read
// itself.
TEST_CASE_FIXTURE(odd_entry_fixture, "entries_content_that_is_read_can_be_passed_on_in_a_message") {
    const std::string deep = R"({"Zone":)" + std::string(31, '[') + std::string(31, ']') + "}";
    const store_answer answer = parse_store_response(200, R"({"items":[)" + object("odd", deep) + "]}");
    REQUIRE(answer.items.size() == 1);
    CHECK(!answer.items[0].content_error.failed());
    nlohmann::json message = answer.items[0].content;
    for (int wrapper = 0; wrapper < 16; ++wrapper) {
        message = nlohmann::json::array({message});
    }
    error reason;
    CHECK(parse_json(message.dump(), 1000, reason));
}

// Guards against an entry with a number or port out of range that is taken for an instance, or ends a daemon.
TEST_CASE_FIXTURE(odd_entry_fixture, "entries_field_out_of_range_names_no_instance") {
    const std::vector<std::pair<std::string, nlohmann::json>> odd{{"Address", "10.0.0.1:0"},
                                                                  {"Address", "10.0.0.1:65536"},
                                                                  {"Address", "10.0.0.1:-1"},
                                                                  {"Address", "10.0.0.1:1e3"},
                                                                  {"Address", "10.0.0.1:80.5"},
                                                                  {"Address", "10.0.0.1:"},
                                                                  {"Address", 80},
                                                                  {"Capacity", 0},
                                                                  {"Capacity", -1},
                                                                  {"Capacity", 1e300},
                                                                  {"Capacity", 2.5},
                                                                  {"Capacity", 18446744073709551615ULL},
                                                                  {"Sequence", -1},
                                                                  {"Sequence", 1e300},
                                                                  {"Sequence", 18446744073709551615ULL},
                                                                  {"born", -1},
                                                                  {"born", 1e300},
                                                                  {"born", 18446744073709551615ULL}};
    for (const std::pair<std::string, nlohmann::json>& entry : odd) {
        const std::string& field = entry.first;
        const nlohmann::json& value = entry.second;
        CAPTURE(field);
        CAPTURE(value.dump());
        error reason;
        CHECK(!read(field, value, reason));
        CHECK(reason.field == field);
    }
    error reason;
    const std::optional<listed_instance> largest =
        read("Capacity", std::numeric_limits<std::int64_t>::max(), reason);
    CHECK(largest);
}

// Guards against an answer whose parts cannot be told apart that is taken for an empty list.
TEST_CASE_FIXTURE(odd_entry_fixture, "entries_answer_with_unmatched_brackets_is_unknown") {
    for (const char* body : {R"({"items":[{"meta":{}]})", R"({"items":{}})", R"({"items":[}])", "[]", ""}) {
        CAPTURE(body);
        CHECK(parse_store_response(200, body).outcome == store_outcome::unknown);
    }
}

namespace {

constexpr const char* secret_key = "s3cr3t-4711";

/// Parses a configuration with these tenants; `reason` receives the error.
std::optional<proxy_configuration> parse_tenants(const nlohmann::json& tenants, error& reason) {
    nlohmann::json content = nlohmann::json::parse(R"({"Version": 7, "Routes": [
        {"Name": "r-1", "Database": "fiti", "Type": "primary", "TimeoutMs": 1000, "Backend": "huvo11a"},
        {"Name": "r-2", "Database": "open", "Type": "primary", "TimeoutMs": 1000, "Backend": "huvo11a",
         "Public": true}], "Backends": [], "Limits": {}})");
    content["Tenants"] = tenants;
    return parse_configuration({"main", 1, content}, reason);
}

} // namespace

TEST_CASE("entries_tenants_are_read_with_keys_limits_and_public_routes") {
    error reason;
    const std::optional<proxy_configuration> read = parse_tenants(
        {{{"Name", "club"}, {"ApiKeys", {secret_key, "second"}}, {"RatePerS", 10}, {"Burst", 20}},
         {{"Name", "riders"}, {"ApiKeys", {"third"}}, {"RatePerS", 5}},
         {{"Name", "guests"}}},
        reason);
    REQUIRE(read);
    CHECK(read->teams->teams().size() == 3);
    CHECK(read->teams->key_count() == 3);
    REQUIRE(read->teams->find(key_digest("second")));
    CHECK(read->teams->find(key_digest("second"))->name == "club");
    CHECK(read->teams->find(key_digest("second"))->rate == team_rate{10, 20});
    CHECK(read->teams->find(key_digest("third"))->rate == team_rate{5, 5});
    CHECK(read->teams->find(key_digest("fourth")) == nullptr);
    CHECK_FALSE(read->teams->teams().at("guests")->rate);
    CHECK(read->routes.at("open")->is_public);
    CHECK_FALSE(read->routes.at("fiti")->is_public);
}

TEST_CASE("entries_configuration_without_tenants_has_no_teams") {
    error reason;
    CHECK(parse_tenants(nullptr, reason)->teams == nullptr);
    CHECK(parse_tenants(nlohmann::json::array(), reason)->teams != nullptr);
}

// Guards against tenants that are applied in part, and against errors that show a key.
TEST_CASE("entries_invalid_tenants_are_rejected_without_showing_a_key") {
    const nlohmann::json keys = nlohmann::json::array({secret_key});
    const double too_many = 1e17;
    const std::vector<nlohmann::json> invalid = {
        {{"club", {{"ApiKeys", keys}}}},
        secret_key,
        {secret_key},
        {keys},
        {{{"ApiKeys", keys}}},
        {{{"Name", ""}, {"ApiKeys", keys}}},
        {{{"Name", keys}, {"ApiKeys", keys}}},
        {{{"Name", "two words"}, {"ApiKeys", keys}}},
        {{{"Name", "club"}, {"ApiKeys", secret_key}}},
        {{{"Name", "club"}, {"ApiKeys", {{{"key", secret_key}}}}}},
        {{{"Name", "club"}, {"ApiKeys", {secret_key, 5}}}},
        {{{"Name", "club"}, {"ApiKeys", {secret_key, ""}}}},
        {{{"Name", "club"}, {"ApiKeys", {std::string(secret_key) + "\r\nx"}}}},
        {{{"Name", "club"}, {"ApiKeys", {std::string(1U << 20U, 'k')}}}},
        {{{"Name", "club"}, {"ApiKeys", keys}}, {{"Name", "riders"}, {"ApiKeys", keys}}},
        {{{"Name", "club"}, {"ApiKeys", keys}}, {{"Name", "club"}, {"ApiKeys", {"other"}}}},
        {{{"Name", "club"}, {"ApiKeys", keys}, {"RatePerS", 0}}},
        {{{"Name", "club"}, {"ApiKeys", keys}, {"RatePerS", -1}}},
        {{{"Name", "club"}, {"ApiKeys", keys}, {"RatePerS", too_many}}},
        {{{"Name", "club"}, {"ApiKeys", keys}, {"RatePerS", "ten"}}},
        {{{"Name", "club"}, {"ApiKeys", keys}, {"RatePerS", 1}, {"Burst", 0}}},
    };
    for (std::size_t index = 0; index < invalid.size(); ++index) {
        CAPTURE(index);
        error reason;
        CHECK_FALSE(parse_tenants(invalid[index], reason));
        CHECK(reason.failed());
        CHECK(reason.describe().find(secret_key) == std::string::npos);
        CHECK(reason.describe().size() < 300);
    }
}
