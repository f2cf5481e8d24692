#pragma once

#include "gentianhill/core/event_loop.h"
#include "platform/line_codec.h"
#include "platform/line_socket.h"
#include "standins/replicated_service/service_model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct event;

namespace gentianhill::standins {

/// Serves the instances of a modelled service over the line protocol, each on a port of its own.
class line_instances {
public:
    /// The flusher and the model must outlive the server.
    line_instances(platform::output_flusher& flusher, service_model& model, std::string group);
    ~line_instances();
    line_instances(const line_instances&) = delete;
    line_instances& operator=(const line_instances&) = delete;

    /// Listens for an instance; returns the port, 0 when that fails. Each caller that is to be cut off by
    /// itself has a port of its own.
    [[nodiscard]] std::uint16_t listen(const std::string& id, const std::string& caller = "");
    /// Drops all that a caller and an instance send to each other; connections stay open until the cut ends.
    void set_cut(const std::string& id, const std::string& caller, bool is_cut);
    /// Keeps the answers of an instance back, as a cut does; connections stay open.
    void set_silent(const std::string& id, bool silent);
    /// Ends all connections of an instance, as its crash does.
    void reset(const std::string& id);
    /// Loses the answers to the next statements.
    int lost_answers = 0;

private:
    struct connection;
    struct listener;

    void accept(listener& from);
    void on_line(connection& from, std::string_view line);
    void run(connection& from, std::string_view rest);
    [[nodiscard]] bool is_cut(const connection& from) const;
    /// Ends the connections of an instance that `ends` accepts.
    void reset_if(const std::string& id, const std::function<bool(const connection&)>& ends);

    platform::output_flusher& flusher_;
    service_model& model_;
    std::string group_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<std::string, bool> silent_;
    /// Pairs of instance and caller.
    std::set<std::pair<std::string, std::string>> cuts_;
    std::uint64_t last_number_ = 0;
};

} // namespace gentianhill::standins
