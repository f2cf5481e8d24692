#pragma once

#include "cut_link.h"
#include "deployment.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// A small deployment with the figures of rimworks-kyushu: the platform's store and promotion call, one
/// service of three instances, and daemons. The databases `latest`, `bounded` and `own` are its three kinds
/// of route.
class small_deployment {
public:
    /// `zones` names the zone of each daemon.
    small_deployment(const std::string& record_path, std::size_t max_connections,
                     const std::vector<std::string>& zones);
    ~small_deployment();
    small_deployment(const small_deployment&) = delete;
    small_deployment& operator=(const small_deployment&) = delete;

    /// Starts the daemons and waits until all are ready and one has answered a read; false if that fails.
    bool start();
    /// Starts another instance, which registers at once and follows the primary.
    void add_instance(const std::string& id, const std::string& zone);
    /// An instance reports that it is draining.
    void drain(const std::string& id);
    /// Stops writing the entry of an instance; it is removed after three heartbeats.
    void stop_heartbeat(const std::string& id);
    /// Partitions an instance from the store for a time, from just before its next heartbeat. Its entry is
    /// removed three heartbeats after the last one, and written again `return_delay` after the cut has
    /// healed.
    void cut_from_store(const std::string& id, milliseconds length, milliseconds return_delay,
                        const std::function<void()>& on_cut);

    event_poll loop;
    std::string folder;
    recorder record;
    object_store store;
    database_service service;
    http_server promotion;
    std::vector<std::unique_ptr<edge_process>> daemons;
    /// The way of each daemon to the platform's promotion call.
    std::vector<std::unique_ptr<cut_link>> promotion_links;
    /// The way of each daemon to the platform's store.
    std::vector<std::unique_ptr<cut_link>> store_links;
    /// Promotion calls in the order of their arrival: the holder, and its fencing token.
    std::vector<std::pair<std::string, std::uint64_t>> calls;

    static constexpr const char* service_name = "huvo11a";

private:
    void write_entry(const std::string& id);
    void beat(const std::string& id);

    std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::uint64_t> sequences_;
    std::map<std::string, bool> beating_;
    std::map<std::string, clock_type::time_point> beaten_at_;
    std::map<std::string, std::string> zones_;
    std::set<std::string> draining_;
    std::int64_t born_ms_;
};

} // namespace review
