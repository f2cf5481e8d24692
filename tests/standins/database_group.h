#pragma once

#include "standins/database/database_instance.h"
#include "tests/standins/json_caller.h"

#include <map>
#include <memory>
#include <string>

namespace gentianhill::standins {

/// Three instances of one group on one loop; a is the primary of term 1 and has an empty table t.
struct database_group {
    event_loop loop;
    std::map<std::string, std::unique_ptr<database_instance>> instances;
    std::map<std::string, std::unique_ptr<json_caller>> callers;

    database_group() {
        database_settings settings = settings_of("a");
        settings.start = start_mode::first_primary;
        add(settings);
        for (const std::string name : {"b", "c"}) {
            settings = settings_of(name);
            settings.start = start_mode::first_member;
            settings.follow = "a";
            settings.peers["a"] = instances["a"]->address();
            add(settings);
        }
        REQUIRE(to("a").execute(1, "CREATE TABLE t (k INTEGER PRIMARY KEY, v TEXT)").status == 200);
    }

    static database_settings settings_of(const std::string& name) {
        database_settings settings;
        settings.instance = name;
        settings.connections = 4;
        settings.slots = 2;
        settings.service_time = std::chrono::microseconds{100};
        settings.connect_cost = std::chrono::milliseconds{1};
        settings.lock_wait = std::chrono::milliseconds{150};
        return settings;
    }

    void add(const database_settings& settings) {
        std::unique_ptr<database_instance>& created = instances[settings.instance];
        created = std::make_unique<database_instance>(loop, settings);
        error reason;
        REQUIRE(created->start(reason));
        callers[settings.instance] = connect(settings.instance);
    }

    std::unique_ptr<json_caller> connect(const std::string& name, const std::string& source = "test") {
        return std::make_unique<json_caller>(loop, instances[name]->address(), source);
    }

    json_caller& to(const std::string& name) { return *callers[name]; }

    void control(const std::string& name, const nlohmann::json& faults) {
        REQUIRE(to(name).request("POST", "/control", faults).status == 200);
    }

    nlohmann::json counters(const std::string& name) {
        return to(name).request("GET", "/control/counters", nullptr).body;
    }

    nlohmann::json status(const std::string& name) { return to(name).call("/v1/status", {}).body; }

    int follow(const std::string& name, std::uint64_t term, const std::string& primary, bool admit = false) {
        nlohmann::json body{{"term", term}, {"primary", primary}, {"admit", admit}};
        body["primary_address"] = instances[primary]->address().to_string();
        return to(name).call("/v1/follow", body).status;
    }

    /// Fences b and c with the term and makes b its primary; a keeps its older term.
    void fail_over(std::uint64_t term) {
        REQUIRE(to("b").call("/v1/fence", {{"term", term}}).status == 200);
        REQUIRE(to("c").call("/v1/fence", {{"term", term}}).status == 200);
        REQUIRE(to("b").call("/v1/promote", {{"term", term}, {"members", {"a", "b", "c"}}}).status == 200);
        REQUIRE(follow("c", term, "b") == 200);
    }

    /// Waits until an instance reports the last entry of another.
    void wait_until_equal(const std::string& name, const std::string& primary) {
        bool equal = false;
        for (int attempt = 0; attempt < 100 && !equal; ++attempt) {
            const nlohmann::json there = status(primary);
            nlohmann::json body{{"after_term", there["accepted_term"]},
                                {"after_log_term", there["log_term"]}};
            body["after_position"] = there["position"].get<std::int64_t>() - 1;
            body["wait_ms"] = 100;
            const nlohmann::json here = to(name).call("/v1/status", body).body;
            equal = here["position"] == there["position"] && here["log_term"] == there["log_term"];
        }
        REQUIRE(equal);
    }
};

} // namespace gentianhill::standins
