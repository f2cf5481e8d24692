#include "gentianhill_cli/explain_command.h"

#include <doctest/doctest.h>

using namespace gentianhill;

namespace {

const std::string collected =
    "edge-b 2026-06-17T07:24:34.500Z info statement attempt_failed id=5c0e group=orders instance=i-1 "
    "outcome=read_only attempt=1 primary=i-1 term=1\n"
    "something else\n"
    "edge-b 2026-06-17T07:24:34.510Z info statement refused id=5c0e database=lepu outcome=busy "
    "detail=\"no_primary\" ms=20\n"
    "edge-a 2026-06-17T07:24:34.400Z info failover replica_fenced group=orders instance=i-2 term=2\n"
    "edge-a 2026-06-17T07:24:34.410Z info failover replica_fenced group=other instance=i-9 term=2\n"
    "edge-a 2026-06-17T07:24:35.100Z info failover promotion_ended group=orders result=promoted\n";

} // namespace

// Guards against an explanation that lacks what happened to the request's group, or shows another's.
TEST_CASE("explain_refused_request_is_shown_with_the_failover_of_its_group") {
    const std::string text = explain_request(parse_log(collected), "5c0e");
    CHECK(text.find("* 2026-06-17T07:24:34.510Z edge-b statement refused") != std::string::npos);
    CHECK(text.find("  2026-06-17T07:24:34.400Z edge-a failover replica_fenced") != std::string::npos);
    CHECK(text.find("promotion_ended") != std::string::npos);
    CHECK(text.find("i-9") == std::string::npos);
    CHECK(text.find("outcome: busy\ncause: no instance led") != std::string::npos);
    CHECK(text.find("replica_fenced") < text.find("attempt_failed"));
}

// Guards against telling an operator that a write has not run although a stop ended it in doubt: its refusals
// and its last answers have the same detail.
TEST_CASE("explain_write_in_doubt_at_a_stop_is_not_called_not_run") {
    const std::string log = "edge-b 2026-06-17T07:24:34.510Z info statement refused id=5c0e database=lepu "
                            "outcome=in_doubt detail=\"the daemon is stopping\" ms=2300\n";
    const std::string text = explain_request(parse_log(log), "5c0e");
    CHECK(text.find("outcome: in_doubt\ncause: the daemon was stopped by plan") != std::string::npos);
    CHECK(text.find("not run") == std::string::npos);
}

// Guards against an explanation of a request that no log mentions.
TEST_CASE("explain_unknown_request_gives_nothing") {
    CHECK(explain_request(parse_log(collected), "5c0").empty());
    CHECK(parse_log("no log line\n\n 12 Z\n").empty());
}
