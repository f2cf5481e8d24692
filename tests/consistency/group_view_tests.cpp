#include "gentianhill/consistency/group_view.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

struct view_fixture {
    group_configuration configuration{"wheeldb",
                                      {{"a", {"127.0.0.1", 1}, "kyushu-a", 35, 5},
                                       {"b", {"127.0.0.1", 2}, "kyushu-b", 35, 5},
                                       {"c", {"127.0.0.1", 3}, "kyushu-c", 35, 5}}};
    group_view view{configuration, {}, {}};
    group_view peer{configuration, {}, {}};
    error reason;

    static time_point at(int milliseconds) { return time_point{} + std::chrono::milliseconds{milliseconds}; }

    void peer_receives(const std::string& instance, log_position last, int sent_ms) {
        instance_report report;
        report.instance = instance;
        report.accepted_term = 1;
        report.last_entry = last;
        report.is_primary = instance == "a";
        report.requested_at = at(sent_ms);
        report.received_at = at(sent_ms);
        peer.apply(report);
    }
};

} // namespace

// Guards against a relayed report that appears newer than it is. The clock of the peer is 5 s ahead, its
// latest report is 40 ms old when it answers, and the request to the peer was sent at 1000 ms.
TEST_CASE_FIXTURE(view_fixture, "group_view_merged_report_age_counts_from_the_request") {
    peer_receives("a", {1, 9}, 6000);
    peer_receives("b", {1, 9}, 6010);
    REQUIRE(view.merge(peer.to_json(at(6040)), at(1000), at(1300), reason));
    CHECK(view.positions().confirmed() == log_position{1, 9});
    CHECK(view.positions().report_of("b")->requested_at == at(970));
    CHECK(view.age({1, 9}, at(1300)) == std::chrono::milliseconds{340});
    CHECK(view.positions().reachable(at(1300)).empty());
}

// Guards against ages and admission decisions based on an unsolicited view, which may be arbitrarily old.
TEST_CASE_FIXTURE(view_fixture, "group_view_pushed_view_confirms_but_gives_no_age") {
    peer_receives("a", {1, 9}, 6000);
    peer_receives("b", {1, 9}, 6010);
    REQUIRE(view.merge(peer.to_json(at(6040)), std::nullopt, at(1300), reason));
    CHECK(view.positions().confirmed() == log_position{1, 9});
    CHECK_FALSE(view.age({1, 9}, at(1300)).has_value());
    CHECK(view.positions().count_at_term(1, at(0), "") == 0);
    CHECK(view.to_json(at(1300))["reports"][0].contains("age_us") == false);
}

// Guards against a malformed view that is partly applied.
TEST_CASE_FIXTURE(view_fixture, "group_view_malformed_view_changes_nothing") {
    peer_receives("a", {1, 9}, 10);
    peer_receives("b", {1, 9}, 10);
    nlohmann::json json = peer.to_json(at(20));
    json["reports"][1]["position"] = -1;
    CHECK_FALSE(view.merge(json, at(0), at(30), reason));
    CHECK(reason.field == "view.reports[1].position");
    CHECK(view.positions().report_of("a") == nullptr);
    json["group"] = "orders-db";
    json["reports"] = nlohmann::json::array();
    reason = error{};
    CHECK_FALSE(view.merge(json, at(0), at(30), reason));
    CHECK(reason.code == error_code::unknown_group);
}
