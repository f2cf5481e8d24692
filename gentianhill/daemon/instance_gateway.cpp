#include "gentianhill/daemon/instance_gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr duration control_reconnect_delay = std::chrono::milliseconds{50};

using connection_entry = std::pair<const connection_pool::connection_id, std::shared_ptr<backend_connection>>;

backend_identity identity_of(daemon_context& context, const instance_configuration& instance) {
    return backend_identity{fmt::format("{}/{}", context.settings.name, context.incarnation),
                            [&context] { return context.next_request_id(); }, instance.name};
}

/// This daemon's part of the instance's connections, without the control connection.
std::size_t connection_part(const instance_configuration& instance, std::int64_t entry_hosts) {
    const std::int64_t part = static_cast<std::int64_t>(instance.connections) / entry_hosts;
    return static_cast<std::size_t>(std::max<std::int64_t>(part - 1, 1));
}

connection_pool_settings pool_settings_for(const daemon_context& context,
                                           const instance_configuration& instance) {
    connection_pool_settings settings;
    settings.limit = connection_part(instance, context.settings.entry_hosts);
    settings.max_opening = static_cast<std::size_t>(context.settings.concurrent_connects);
    return settings;
}

fair_queue_settings queue_settings_for(const daemon_context& context) {
    fair_queue_settings settings;
    settings.max_length = static_cast<std::size_t>(context.settings.queue_capacity);
    settings.max_team_length = settings.max_length;
    return settings;
}

} // namespace

instance_gateway::instance_gateway(daemon_context& context, const instance_configuration& configuration,
                                   instance_gateway_hooks hooks)
    : context_(context),
      configuration_(configuration),
      hooks_(std::move(hooks)),
      pool_(pool_settings_for(context, configuration)),
      queue_(queue_settings_for(context)) {}

instance_gateway::~instance_gateway() {
    alive_.reset();
    for (const connection_entry& entry : connections_) {
        entry.second->on_close = nullptr;
    }
}

void instance_gateway::submit(const std::string& team, time_point deadline, ready_handler on_ready,
                              refused_handler on_refused) {
    error reason;
    const std::optional<fair_queue::entry_id> id =
        queue_.push(team, deadline, 1.0, event_loop::now(), reason);
    if (!id) {
        context_.loop.run_after(duration{0},
                                [on_refused = std::move(on_refused), reason] { on_refused(reason); });
        return;
    }
    waiting_.emplace(*id, waiting_request{std::move(on_ready), std::move(on_refused)});
    schedule_pump();
}

void instance_gateway::schedule_pump() {
    const std::weak_ptr<bool> alive = alive_;
    // Deferred, so that handlers never run from within a call of the owner.
    context_.loop.run_after(duration{0}, [this, alive] {
        if (!alive.expired()) {
            pump();
        }
    });
}

void instance_gateway::refuse_waiting(const error& reason) {
    const std::map<fair_queue::entry_id, waiting_request> refused = std::exchange(waiting_, {});
    for (const std::pair<const fair_queue::entry_id, waiting_request>& entry : refused) {
        queue_.remove(entry.first);
        context_.loop.run_after(duration{0},
                                [on_refused = entry.second.on_refused, reason] { on_refused(reason); });
    }
}

void instance_gateway::refuse(fair_queue::entry_id id, const error& reason) {
    const std::map<fair_queue::entry_id, waiting_request>::iterator found = waiting_.find(id);
    if (found == waiting_.end()) {
        return;
    }
    const refused_handler on_refused = std::move(found->second.on_refused);
    waiting_.erase(found);
    context_.loop.run_after(duration{0}, [on_refused, reason] { on_refused(reason); });
}

void instance_gateway::refuse_expired(const std::vector<fair_queue::entry_id>& expired) {
    for (const fair_queue::entry_id late : expired) {
        refuse(late, error{error_code::deadline_exceeded,
                           "deadline_ms",
                           {},
                           "a deadline that covers the wait for a connection"});
    }
}

void instance_gateway::pump() {
    if (pumping_) {
        pump_again_ = true;
        return;
    }
    pumping_ = true;
    do {
        pump_again_ = false;
        const time_point now = event_loop::now();
        serve_waiting(now);
        // Open connections for those that still wait, and keep the warm ones open.
        while (const std::optional<connection_pool::connection_id> id =
                   pool_.try_begin_open(queue_.size(), now)) {
            open(*id);
        }
        while (const std::optional<connection_pool::connection_id> id = pool_.try_begin_close(now)) {
            drop(*id);
        }
    } while (pump_again_);
    pumping_ = false;
}

void instance_gateway::serve_waiting(time_point now) {
    while (queue_.size() > 0) {
        error reason;
        const std::optional<connection_pool::connection_id> id = pool_.acquire(reason);
        if (!id) {
            return;
        }
        std::vector<fair_queue::entry_id> expired;
        const std::optional<fair_queue::entry_id> next = queue_.pop(now, expired);
        refuse_expired(expired);
        if (!next) {
            pool_.release(*id, true, now);
            return;
        }
        const std::map<fair_queue::entry_id, waiting_request>::iterator found = waiting_.find(*next);
        const ready_handler on_ready = std::move(found->second.on_ready);
        waiting_.erase(found);
        on_ready(std::make_shared<connection_lease>(*this, *id, connections_.at(*id)));
    }
}

void instance_gateway::open(connection_pool::connection_id id) {
    const std::shared_ptr<backend_connection> created = std::make_shared<backend_connection>(
        context_.loop, configuration_.address, identity_of(context_, configuration_));
    connections_.emplace(id, created);
    const std::weak_ptr<bool> alive = alive_;
    hooks_.on_sent();
    // The first call shows that the server is the configured instance before any statement is sent to it.
    created->call(
        "/v1/status", nlohmann::json::object(), context_.settings.connect_timeout,
        [this, alive, id](const std::optional<database_answer>& answer, const backend_failure& failure) {
            if (!alive.expired()) {
                on_opened(id, answer, failure);
            }
        });
}

void instance_gateway::on_opened(connection_pool::connection_id id,
                                 const std::optional<database_answer>& answer,
                                 const backend_failure& failure) {
    const time_point now = event_loop::now();
    note_answer(answer, failure);
    if (!answer) {
        pool_.mark_open_failed(id, now, context_.random());
        drop(id);
        return;
    }
    const std::map<connection_pool::connection_id, std::shared_ptr<backend_connection>>::iterator found =
        connections_.find(id);
    if (found == connections_.end() || !pool_.mark_opened(id, now)) {
        drop(id);
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    found->second->on_close = [this, alive, id] {
        if (!alive.expired()) {
            drop(id);
        }
    };
    pump();
}

void instance_gateway::give_back(connection_pool::connection_id id, bool usable) {
    if (!pool_.release(id, usable, event_loop::now())) {
        drop(id);
    }
    schedule_pump();
}

void instance_gateway::drop(connection_pool::connection_id id) {
    const std::map<connection_pool::connection_id, std::shared_ptr<backend_connection>>::iterator found =
        connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<backend_connection> removed = found->second;
    connections_.erase(found);
    removed->on_close = nullptr;
    removed->close();
    pool_.mark_closed(id, event_loop::now());
    // Freed from the loop: the connection may be on the call stack.
    context_.loop.run_after(duration{0}, [removed] {});
}

void instance_gateway::note_answer(const std::optional<database_answer>& answer,
                                   const backend_failure& failure) {
    if (answer || failure.progress == request_progress::answered) {
        reachable_ = true;
        hooks_.on_answer();
    } else if (failure.progress == request_progress::not_sent) {
        reachable_ = false;
        hooks_.on_refused();
    } else {
        hooks_.on_no_answer();
    }
    if (answer && answer->report) {
        hooks_.on_report(*answer->report);
    }
    if (failure.reason.code == error_code::mismatched_answer) {
        context_.record(event_kind::answer_mismatched, {}, {{"instance", configuration_.name}});
        context_.log.write(log_level::error, "backend", "answer_mismatched",
                           {{"instance", configuration_.name},
                            {"field", failure.reason.field},
                            {"found", failure.reason.value},
                            {"expected", failure.reason.allowed}});
    }
}

void instance_gateway::ensure_control_connection() {
    const time_point now = event_loop::now();
    if (control_ != nullptr && (control_->is_usable() || now < control_not_before_)) {
        return;
    }
    if (control_ != nullptr) {
        closed_control_bytes_ += control_->bytes();
        const std::shared_ptr<backend_connection> replaced = std::move(control_);
        context_.loop.run_after(duration{0}, [replaced] { replaced->close(); });
    }
    control_not_before_ = now + control_reconnect_delay;
    control_ = std::make_shared<backend_connection>(context_.loop, configuration_.address,
                                                    identity_of(context_, configuration_));
}

void instance_gateway::control(std::string_view path, nlohmann::json body, duration timeout,
                               backend_connection::answer_handler on_answer) {
    ensure_control_connection();
    const std::weak_ptr<bool> alive = alive_;
    const std::shared_ptr<backend_connection> used = control_;
    hooks_.on_sent();
    used->call(path, std::move(body), timeout,
               [this, alive, on_answer = std::move(on_answer)](std::optional<database_answer> answer,
                                                               const backend_failure& failure) {
                   if (alive.expired()) {
                       return;
                   }
                   if (!answer && failure.progress == request_progress::sent) {
                       reachable_ = false;
                   }
                   note_answer(answer, failure);
                   on_answer(std::move(answer), failure);
               });
}

void instance_gateway::apply_settings() {
    pool_.set_limit(connection_part(configuration_, context_.settings.entry_hosts));
}

void instance_gateway::set_leaving(bool leaving) {
    if (leaving == pool_.is_draining()) {
        return;
    }
    if (leaving) {
        pool_.drain();
        refuse_waiting(
            error{error_code::leaving, "instance", configuration_.name, "another instance of the group"});
    } else {
        pool_.resume();
    }
}

void instance_gateway::tick(time_point now) {
    std::vector<fair_queue::entry_id> expired;
    queue_.expire(now, expired);
    refuse_expired(expired);
    pump();
}

double instance_gateway::load() const {
    const double slots = std::max<double>(configuration_.slots, 1.0);
    return static_cast<double>(in_flight_ + waiting_.size()) / slots;
}

std::uint64_t instance_gateway::control_bytes() const {
    return closed_control_bytes_ + (control_ != nullptr ? control_->bytes() : 0);
}

} // namespace gentianhill
