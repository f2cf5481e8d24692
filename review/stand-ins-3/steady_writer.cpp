#include "steady_writer.h"

namespace review {

namespace {

constexpr milliseconds write_pause{25};

} // namespace

steady_writer::steady_writer(small_deployment& played, const edge_process& daemon,
                             std::vector<std::string>& acknowledged)
    : played_(played),
      name_("writer-of-" + daemon.name()),
      port_(daemon.client_port()),
      acknowledged_(acknowledged) {}

void steady_writer::step() {
    if (session_ == nullptr || !session_->is_open()) {
        // Another session, as a client opens one after a close.
        is_waiting_ = false;
        session_ = std::make_unique<client>(played_.loop, played_.record,
                                            name_ + "." + std::to_string(++sessions_), port_, "latest");
        next_at_ = clock_type::now() + write_pause;
    }
    if (is_waiting_ && session_->has_answer()) {
        is_waiting_ = false;
        if (session_->answer().rfind("COMPLETE", 0) == 0) {
            acknowledged_.push_back(session_->last_id());
        }
        next_at_ = clock_type::now() + write_pause;
    }
    if (!is_waiting_ && clock_type::now() >= next_at_) {
        is_waiting_ = true;
        session_->send("WRITE order-1 data");
    }
}

acknowledged_commits::acknowledged_commits(small_deployment& played) : played_(played) {
    played_.service.on_promoted = [this](const std::string& id, std::uint64_t term) {
        for (const std::string& commit : acknowledged_) {
            if (!played_.service.holds(id, commit)) {
                ++lost_;
                std::string found = "BROKEN LOST: " + commit;
                found += " was acknowledged, and " + id + " leads term " + std::to_string(term);
                played_.record.line(found + " without it");
            }
        }
    };
}

void acknowledged_commits::add_writers() {
    for (const std::unique_ptr<edge_process>& each : played_.daemons) {
        writers_.push_back(std::make_unique<steady_writer>(played_, *each, acknowledged_));
    }
}

void acknowledged_commits::play(milliseconds length) {
    const clock_type::time_point end = clock_type::now() + length;
    while (clock_type::now() < end) {
        for (const std::unique_ptr<steady_writer>& each : writers_) {
            each->step();
        }
        played_.loop.run_for(milliseconds(2));
    }
}

int acknowledged_commits::report() {
    played_.record.line(std::to_string(acknowledged_.size()) + " commits were acknowledged, " +
                        std::to_string(lost_) + " of them are lost");
    played_.record.line(lost_ > 0 ? "the rule was broken" : "the rule held");
    return lost_ > 0 ? exit_broken : exit_held;
}

} // namespace review
