#include "small_deployment.h"

#include <chrono>
#include <cstdlib>

namespace review {

namespace {

constexpr milliseconds heartbeat{1200};
constexpr milliseconds start_limit{20000};
constexpr int slots = 5;
constexpr int done = 200;
constexpr int not_running = 409;

std::string make_folder() {
    std::string path = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    return mkdtemp(path.data()) == nullptr ? "/tmp" : path;
}

service_times make_times(std::size_t max_connections) {
    service_times times;
    times.max_connections = max_connections;
    return times;
}

nlohmann::json make_route(const std::string& database, const std::string& type, int staleness_ms) {
    nlohmann::json route = {{"Name", "r-" + database}, {"Database", database},
                            {"PathPrefix", "/"},       {"Type", type},
                            {"TimeoutMs", 800},        {"TargetLatencyMs", 200},
                            {"Priority", 1},           {"Backend", small_deployment::service_name},
                            {"MaxAttempts", 2}};
    if (staleness_ms > 0) {
        route["MaxStalenessMs"] = staleness_ms;
    }
    return route;
}

} // namespace

small_deployment::small_deployment(const std::string& record_path, std::size_t max_connections,
                                   const std::vector<std::string>& zones)
    : folder(make_folder()),
      record(loop, record_path),
      store(loop),
      service(loop, record, service_name, make_times(max_connections)),
      promotion(loop, 0),
      born_ms_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
    promotion.on_request = [this](const http_request& request, const http_server::responder& respond) {
        const nlohmann::json body = nlohmann::json::parse(request.body);
        const std::string id = body.at("Id");
        const std::string holder = request.headers.at("x-gentianhill-lease-holder");
        const std::uint64_t token =
            std::strtoull(request.headers.at("x-gentianhill-fencing-token").c_str(), nullptr, 10);
        record.line("platform gets POST /promote " + id + " of holder " + holder + " with fencing token " +
                    std::to_string(token));
        calls.emplace_back(holder, token);
        const bool is_taken = service.promote(id);
        respond(is_taken ? done : not_running, "{}");
    };
    store.write("config", "main",
                {{"Version", 7},
                 {"Routes",
                  {make_route("latest", "primary", 0), make_route("own", "read_your_writes", 2500),
                   make_route("bounded", "bounded_staleness", 1500)}},
                 {"Backends",
                  {{{"Name", service_name},
                    {"HealthPath", "/health"},
                    {"MaxConns", max_connections},
                    {"Protocol", "h1"},
                    {"Tls", false},
                    {"SyncReplicas", 1}}}},
                 {"Limits",
                  {{"MaxHeaderBytes", 16384},
                   {"MaxBodyBytes", 262144},
                   {"HeaderTimeoutMs", 3000},
                   {"IdleTimeoutMs", 15000},
                   {"TxIdleMs", 3000}}}});
    add_instance("i-1", "kyushu-a");
    add_instance("i-2", "kyushu-b");
    add_instance("i-3", "kyushu-c");
    std::size_t number = 0;
    for (const std::string& zone : zones) {
        const std::string name = "edge-" + zone + "-" + std::to_string(++number);
        store_links.push_back(std::make_unique<cut_link>(loop, store.port()));
        promotion_links.push_back(std::make_unique<cut_link>(loop, promotion.port()));
        daemons.push_back(std::make_unique<edge_process>(
            name, zone,
            edge_process::surroundings{store_links.back()->port(), promotion_links.back()->port(), folder}));
    }
}

small_deployment::~small_deployment() {
    daemons.clear();
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
}

void small_deployment::add_instance(const std::string& id, const std::string& zone) {
    zones_[id] = zone;
    ports_[id] = service.add(id);
    beating_[id] = true;
    beat(id);
}

void small_deployment::drain(const std::string& id) {
    record.line("instance " + id + " reports that it is draining");
    draining_.insert(id);
    write_entry(id);
}

void small_deployment::write_entry(const std::string& id) {
    store.write("servers", id,
                {{"Backend", service_name},
                 {"Address", "127.0.0.1:" + std::to_string(ports_.at(id))},
                 {"Zone", zones_.at(id)},
                 {"Version", "v1"},
                 {"Capacity", slots},
                 {"State", draining_.count(id) > 0 ? "draining" : "ready"},
                 {"WarmupLeftMs", 0},
                 {"DbRole", service.leads(id) ? "primary" : "replica"},
                 {"Sequence", ++sequences_[id]},
                 {"born", born_ms_}});
}

void small_deployment::beat(const std::string& id) {
    if (!beating_.at(id)) {
        return;
    }
    write_entry(id);
    beaten_at_[id] = clock_type::now();
    loop.call_after(heartbeat, [this, id] { beat(id); });
}

void small_deployment::cut_from_store(const std::string& id, milliseconds length, milliseconds return_delay,
                                      const std::function<void()>& on_cut) {
    constexpr milliseconds lead{50};
    const clock_type::time_point last = beaten_at_.at(id);
    const auto passed = std::chrono::duration_cast<milliseconds>(clock_type::now() - last);
    // The heartbeat after the next one, if that is too near.
    if (passed > heartbeat - 2 * lead) {
        loop.call_after(2 * lead + lead, [=, this] { cut_from_store(id, length, return_delay, on_cut); });
        return;
    }
    loop.call_after(heartbeat - lead - passed, [=, this] {
        record.line("instance " + id + " is partitioned from the store");
        beating_[id] = false;
        on_cut();
        loop.call_after(2 * heartbeat + lead, [this, id] {
            record.line("store removes the entry of " + id + ", silent for three heartbeats");
            store.remove("servers", id);
        });
        loop.call_after(length, [this, id] { record.line("instance " + id + " reaches the store again"); });
        loop.call_after(length + return_delay, [this, id] {
            record.line("instance " + id + " writes its entry");
            beating_[id] = true;
            beat(id);
        });
    });
}

void small_deployment::stop_heartbeat(const std::string& id) {
    beating_[id] = false;
    loop.call_after(3 * heartbeat, [this, id] {
        record.line("store removes the entry of " + id);
        store.remove("servers", id);
    });
}

bool small_deployment::start() {
    for (const std::unique_ptr<edge_process>& each : daemons) {
        each->start();
    }
    for (const std::unique_ptr<edge_process>& each : daemons) {
        const bool is_ready = loop.run_until(
            [this, &each] {
                return fetch(loop, each->admin_port(), "/readyz").rfind("HTTP/1.1 200", 0) == 0;
            },
            start_limit);
        if (!is_ready) {
            record.line("daemon " + each->name() + " is not ready");
            return false;
        }
    }
    record.line("all daemons are ready");
    return true;
}

} // namespace review
