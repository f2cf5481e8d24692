#include "gentianhill/tickets/ticket_submission.h"

#include <doctest/doctest.h>

#include <random>

using namespace gentianhill;

namespace {

ticket make_ticket(std::int64_t weight) {
    ticket result;
    result.number = 7;
    result.author = "hana";
    result.subjects.emplace("team/builds", team_subject{weight, std::nullopt});
    return result;
}

const error lost{error_code::connection_lost, "", "", ""};
const error conflict{error_code::version_conflict, "", "", ""};
const error absent{error_code::not_found, "", "", ""};

} // namespace

// Guards against "number taken" for a ticket whose first create took effect and whose answer was lost.
TEST_CASE("ticket_submission_answer_lost_then_own_content_found_is_accepted") {
    ticket_submission submission{make_ticket(100)};
    submission.on_create(lost);
    REQUIRE(submission.next() == submission_step::read_back);
    submission.on_read(make_ticket(100).to_json(), {});
    CHECK(submission.next() == submission_step::accepted);
}

// Guards against an operator who believes that a ticket was accepted when another has its number.
TEST_CASE("ticket_submission_other_content_found_is_number_taken") {
    ticket_submission submission{make_ticket(100)};
    submission.on_create(conflict);
    submission.on_read(make_ticket(101).to_json(), {});
    CHECK(submission.next() == submission_step::number_taken);
}

// Guards against giving up, or going on for ever, when the platform does not answer.
TEST_CASE("ticket_submission_platform_silent_ends_as_unknown") {
    ticket_submission submission{make_ticket(100), 4};
    submission.on_create(lost);
    submission.on_read(std::nullopt, absent);
    CHECK(submission.next() == submission_step::create);
    submission.on_create(lost);
    CHECK(submission.next() == submission_step::read_back);
    submission.on_read(std::nullopt, lost);
    CHECK(submission.next() == submission_step::unknown);
}

// Guards against a wrong result in any interleaving of two racing submitters with lost requests and answers.
TEST_CASE("ticket_submission_racing_submitters_agree_with_the_store") {
    for (std::uint32_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        std::optional<nlohmann::json> store;
        std::vector<ticket_submission> submissions{ticket_submission{make_ticket(1)},
                                                   ticket_submission{make_ticket(2)}};
        for (int step = 0; step < 40; ++step) {
            ticket_submission& current = submissions[random() % 2];
            const bool request_lost = random() % 3 == 0;
            const bool answer_lost = random() % 3 == 0;
            if (current.next() == submission_step::create) {
                const bool exists = store.has_value();
                if (!request_lost && !exists) {
                    store = current.content();
                }
                const error answer = exists ? conflict : error{};
                current.on_create(request_lost || answer_lost ? lost : answer);
            } else if (current.next() == submission_step::read_back) {
                const bool failed = request_lost || answer_lost;
                current.on_read(failed ? std::nullopt : store, failed ? lost : store ? error{} : absent);
            }
        }
        for (const ticket_submission& submission : submissions) {
            if (submission.next() == submission_step::accepted) {
                CHECK(store == submission.content());
            } else if (submission.next() == submission_step::number_taken) {
                CHECK(store != submission.content());
            } else {
                CHECK(submission.next() == submission_step::unknown);
            }
        }
    }
}
