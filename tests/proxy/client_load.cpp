#include "client_load.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

client_load::client_load(simulated_deployment& deployment, std::size_t proxies, settings parameters)
    : deployment_(deployment),
      proxies_(proxies),
      settings_(std::move(parameters)),
      next_at_(deployment.clock.now()) {}

void client_load::send(operation& begun) {
    std::vector<std::unique_ptr<simulated_client>>& idle = idle_[begun.proxy];
    if (idle.empty()) {
        idle.push_back(deployment_.connect(begun.proxy, settings_.database));
    }
    begun.client = std::move(idle.back());
    idle.pop_back();
    begun.sent_at = deployment_.clock.now();
    ++begun.attempts;
    begun.id = begun.client->send(settings_.text);
}

void client_load::step() {
    const time_point now = deployment_.clock.now();
    std::vector<operation> open;
    open.swap(running_);
    for (operation& begun : open) {
        const statement_result* result = begun.client->result(begun.id);
        if (result == nullptr) {
            running_.push_back(std::move(begun));
            continue;
        }
        const statement_outcome outcome = result->outcome;
        idle_[begun.proxy].push_back(std::move(begun.client));
        if (outcome == statement_outcome::busy) {
            ++refusals_;
            longest_refusal_ = std::max(longest_refusal_, now - begun.sent_at);
        }
        if (outcome == statement_outcome::busy && begun.attempts <= settings_.retries) {
            begun.proxy = (begun.proxy + 1) % proxies_;
            send(begun);
            running_.push_back(std::move(begun));
        } else {
            end(outcome == statement_outcome::done, begun);
        }
    }
    while (settings_.per_second > 0 && next_at_ <= now) {
        operation begun;
        begun.begun_at = now;
        begun.proxy = next_proxy_++ % proxies_;
        ++begun_;
        send(begun);
        running_.push_back(std::move(begun));
        next_at_ += duration(static_cast<duration::rep>(1'000'000.0 / settings_.per_second));
    }
}

void client_load::end(bool succeeded, const operation& ended) {
    const duration taken = deployment_.clock.now() - ended.begun_at;
    done_ += succeeded ? 1U : 0U;
    in_time_ += succeeded && taken <= settings_.target ? 1U : 0U;
    failed_ += succeeded ? 0U : 1U;
}

void client_load::reset_counts() {
    begun_ = 0;
    done_ = 0;
    in_time_ = 0;
    refusals_ = 0;
    failed_ = 0;
    longest_refusal_ = duration(0);
}

void client_load::disconnect() {
    running_.clear();
    idle_.clear();
    next_at_ = deployment_.clock.now();
}

double client_load::share_done() const {
    return static_cast<double>(done_) / std::max(1.0, static_cast<double>(done_ + failed_));
}

double client_load::share_in_time() const {
    return static_cast<double>(in_time_) / std::max(1.0, static_cast<double>(done_ + failed_));
}

} // namespace gentianhill
