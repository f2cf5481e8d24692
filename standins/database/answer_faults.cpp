#include "standins/database/answer_faults.h"

namespace gentianhill::standins {

void answer_faults::deliver(const http2::server::responder& respond, http2::response reply,
                            answer_kind kind) {
    if (kind == answer_kind::success && faults_.drop_answers > 0) {
        --faults_.drop_answers;
        return;
    }
    if (faults_.truncate_answers) {
        reply.body.resize(reply.body.size() / 2);
    }
    if (!faults_.swap_answers) {
        send(respond, std::move(reply));
        return;
    }
    if (!waiting_) {
        waiting_ = std::pair{respond, std::move(reply)};
        return;
    }
    const std::pair<http2::server::responder, http2::response> first = std::move(*waiting_);
    waiting_.reset();
    send(first.first, std::move(reply));
    send(respond, first.second);
}

void answer_faults::faults_changed() {
    if (!faults_.swap_answers && waiting_) {
        send(waiting_->first, std::move(waiting_->second));
        waiting_.reset();
    }
}

void answer_faults::send(const http2::server::responder& respond, http2::response reply) {
    if (faults_.hold_answers <= duration{0}) {
        respond(std::move(reply));
        return;
    }
    loop_.run_after(faults_.hold_answers, [respond, reply = std::move(reply)] { respond(reply); });
}

} // namespace gentianhill::standins
