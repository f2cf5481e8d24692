#include "gentianhill/admission/idle_transaction_policy.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

namespace {

struct idle_transaction_fixture {
    idle_transaction_policy policy;

    void pauses(duration shorter, duration longer) {
        for (int count = 0; count < 200; ++count) {
            policy.on_pause(count % 2 == 0 ? shorter : longer);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(idle_transaction_fixture, "limit_while_connections_are_free_is_that_of_the_operator") {
    pauses(10ms, 20ms);
    CHECK(policy.limit(5s, false) == 5s);
    CHECK(policy.limit(0s, false) == 0s);
}

// Load: 90 to 120 clients rest inside transactions. Guards against their connections being held for the whole
// limit while statements wait.
TEST_CASE_FIXTURE(idle_transaction_fixture, "limit_while_statements_wait_is_short") {
    pauses(10ms, 20ms);
    CHECK(policy.limit(5s, true) == 400ms);
    CHECK(policy.limit(300ms, true) == 300ms);
    CHECK(policy.limit(0s, true) == 0s);
}

// Guards against ending the transactions of clients that usually think for a while.
TEST_CASE_FIXTURE(idle_transaction_fixture, "limit_for_clients_with_long_pauses_exceeds_them") {
    pauses(200ms, 600ms);
    CHECK(policy.limit(5s, true) >= 1s);
}
