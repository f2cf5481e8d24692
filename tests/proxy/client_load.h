#pragma once

#include "simulated_deployment.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianhill {

/// Operations of one kind that clients begin at a steady rate, and what became of them. As real clients do,
/// they repeat a refused operation at another proxy, at most twice.
class client_load {
public:
    struct settings {
        std::string database = "bounded";
        std::string text = "READ a";
        double per_second = 100;
        /// Operations slower than this count as late.
        duration target = std::chrono::milliseconds(200);
        int retries = 2;
    };

    client_load(simulated_deployment& deployment, std::size_t proxies, settings parameters);

    /// Begins the operations that are due and takes the answers; call it every few milliseconds.
    void step();
    void set_rate(double per_second) { settings_.per_second = per_second; }
    /// Forgets the counts.
    void reset_counts();
    /// Begins nothing for a while, as when the proxies are down, and forgets what is unanswered.
    void disconnect();

    [[nodiscard]] std::size_t begun() const { return begun_; }
    [[nodiscard]] std::size_t done() const { return done_; }
    [[nodiscard]] std::size_t in_time() const { return in_time_; }
    [[nodiscard]] std::size_t refusals() const { return refusals_; }
    [[nodiscard]] duration longest_refusal() const { return longest_refusal_; }
    /// Share of the ended operations that were done.
    [[nodiscard]] double share_done() const;
    [[nodiscard]] double share_in_time() const;

private:
    struct operation {
        time_point begun_at;
        time_point sent_at;
        int attempts = 0;
        std::size_t proxy = 0;
        std::string id;
        std::unique_ptr<simulated_client> client;
    };

    void send(operation& begun);
    void end(bool succeeded, const operation& ended);

    simulated_deployment& deployment_;
    std::size_t proxies_;
    settings settings_;
    std::vector<operation> running_;
    std::map<std::size_t, std::vector<std::unique_ptr<simulated_client>>> idle_;
    time_point next_at_;
    std::size_t next_proxy_ = 0;
    std::size_t begun_ = 0;
    std::size_t done_ = 0;
    std::size_t in_time_ = 0;
    std::size_t refusals_ = 0;
    std::size_t failed_ = 0;
    duration longest_refusal_{0};
};

} // namespace gentianhill
