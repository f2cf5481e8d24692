#include "tests/clients/edge_deployment.h"
#include "tests/clients/peer_frames.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace gentianhill;
using namespace gentianhill::clients;

// Crowds that can make a process hold more than its host has. Each case starts a process with low limits; the
// crowds and the bounds stay as they are when the product changes.
namespace {

const std::string startup = "STARTUP latest crowd\r\n";
constexpr std::size_t large_bytes = 900'000;
/// More connections than the process may have descriptors.
constexpr std::size_t too_many_connections = 700;

/// Sends the startup, and then `count` messages.
client_behaviour sends(std::size_t count, const std::function<std::string(std::size_t number)>& message) {
    client_behaviour result;
    result.next_bytes = [count, message](std::size_t number) {
        return number == 0 ? startup : number <= count ? message(number) : std::string();
    };
    return result;
}

std::string make_write(std::size_t number) {
    return fmt::format("QUERY w{} WRITE a {}\r\n", number, std::string(large_bytes, 'x'));
}

} // namespace

TEST_CASE_FIXTURE(edge_deployment, "clients_one_full_size_message_is_served") {
    constexpr std::size_t message_bytes = 1U << 20U;
    const std::string head = "QUERY w1 WRITE a ";
    add_clients(1, client_port(), sends(1, [&head](std::size_t) {
                    return head + std::string(message_bytes - head.size(), 'x') + "\r\n";
                }));
    play();
    CHECK(await_single("COMPLETE i-"));
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_full_size_messages_in_one_piece") {
    add_clients(160, client_port(), sends(1, make_write));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_full_size_messages_in_small_pieces") {
    client_behaviour slow = sends(1, make_write);
    slow.bytes_per_step = 8192;
    slow.single_bytes = 200;
    add_clients(160, client_port(), slow);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_messages_far_over_limit") {
    add_clients(160, client_port(), sends(80, [](std::size_t) { return std::string(100'000, 'x'); }));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_half_messages_then_silence") {
    add_clients(160, client_port(), sends(10, [](std::size_t) { return std::string(100'000, 'x'); }));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_statements_sent_ahead") {
    client_behaviour ahead =
        sends(40'000, [](std::size_t number) { return fmt::format("QUERY r{} READ a\r\n", number); });
    ahead.reads_per_step = 0;
    add_clients(30, client_port(), ahead);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_flood_on_one_session") {
    client_behaviour ahead = sends(500'000, [](std::size_t number) {
        return fmt::format("QUERY r{} READ {}\r\n", number, std::string(200, 'a'));
    });
    ahead.reads_per_step = 0;
    add_clients(1, client_port(), ahead);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_transactions_sent_ahead") {
    client_behaviour ahead = sends(200'000, [](std::size_t number) {
        return number == 1 ? std::string("QUERY b BEGIN\r\n")
                           : fmt::format("QUERY w{} WRITE a {}\r\n", number, std::string(100, 'x'));
    });
    ahead.reads_per_step = 0;
    add_clients(4, client_port(), ahead);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_slow_senders") {
    client_behaviour slow =
        sends(5, [](std::size_t number) { return fmt::format("QUERY r{} READ a\r\n", number); });
    slow.single_bytes = large_bytes;
    add_clients(200, client_port(), slow);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_slow_readers_of_large_answers") {
    instance_faults().row_bytes = 100'000;
    client_behaviour slow =
        sends(200, [](std::size_t number) { return fmt::format("QUERY r{} READ a\r\n", number); });
    slow.reads_per_step = 1;
    add_clients(60, client_port(), slow);
    play();
    instance_faults().row_bytes = 0;
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_that_read_nothing_of_large_answers") {
    instance_faults().row_bytes = 100'000;
    client_behaviour slow =
        sends(200, [](std::size_t number) { return fmt::format("QUERY r{} READ a\r\n", number); });
    slow.reads_per_step = 0;
    add_clients(60, client_port(), slow);
    play();
    instance_faults().row_bytes = 0;
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_half_closed_connections") {
    client_behaviour half = sends(1, make_write);
    half.half_closes = true;
    add_clients(160, client_port(), half);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_reset_connections") {
    client_behaviour reset = sends(1, make_write);
    reset.resets = true;
    add_clients(160, client_port(), reset);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_without_startup_beyond_descriptors") {
    add_clients(too_many_connections, client_port(), {});
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_idle_sessions_beyond_descriptors") {
    client_behaviour idle;
    idle.next_bytes = [](std::size_t number) { return number == 0 ? startup : std::string(); };
    add_clients(too_many_connections, client_port(), idle);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_half_statements_beyond_descriptors") {
    add_clients(too_many_connections, client_port(),
                sends(1, [](std::size_t) { return std::string("QUERY r1 READ"); }));
    play();
    check_new_session_beside_crowd();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_that_read_nothing_beyond_descriptors") {
    client_behaviour silent = sends(5'000, [](std::size_t number) {
        return fmt::format("QUERY {} DEALLOC {}\r\n", number, std::string(1000, 'n'));
    });
    silent.reads_per_step = 0;
    add_clients(too_many_connections, client_port(), silent);
    play();
    check_new_session_beside_crowd();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_session_values_without_end") {
    add_clients(6, client_port(), sends(25'000, [](std::size_t number) {
                    return fmt::format("QUERY s{} SET v{} {}\r\n", number, number, std::string(1000, 'x'));
                }));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_prepared_statements_without_end") {
    add_clients(6, client_port(), sends(500, [](std::size_t number) {
                    return fmt::format("QUERY p{} PREPARE n{} READ {}\r\n", number, number,
                                       std::string(60'000, 'x'));
                }));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "clients_prepared_names_without_end") {
    add_clients(6, client_port(), sends(500, [](std::size_t number) {
                    return fmt::format("QUERY p{} PREPARE {}{} READ q\r\n", number, std::string(60'000, 'n'),
                                       number);
                }));
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "peer_port_requests_without_end") {
    constexpr std::size_t streams = 1000;
    client_behaviour peer;
    peer.next_bytes = [](std::size_t number) {
        const std::uint32_t stream = static_cast<std::uint32_t>(2 * number - 1);
        return number == 0         ? http2_opening()
               : number <= streams ? unfinished_request(stream, "/relay/v1/state", 60'000)
                                   : std::string();
    };
    add_clients(3, peer_port(), peer);
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "peer_port_silent_connections_beyond_descriptors") {
    add_clients(too_many_connections, peer_port(), {});
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "admin_port_silent_connections_beyond_descriptors") {
    add_clients(too_many_connections, admin_port(), {});
    play();
    check_bounds_and_service();
}

TEST_CASE_FIXTURE(edge_deployment, "admin_port_requests_sent_ahead") {
    client_behaviour ahead;
    ahead.next_bytes = [](std::size_t number) {
        constexpr std::size_t requests = 100'000;
        return number < requests ? std::string("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") : std::string();
    };
    ahead.reads_per_step = 0;
    add_clients(40, admin_port(), ahead);
    play();
    check_bounds_and_service();
}
