#include "standins/strict_lines/strict_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace gentianhill::standins {

namespace {

using namespace std::chrono_literals;

constexpr duration reconnect_pause = 20ms;
constexpr std::size_t item_count = 40;
constexpr std::size_t max_statements = 4;
/// Sequences that may stand anywhere in the last field of a line.
constexpr std::array<std::string_view, 9> odd_sequences{
    "\n", "\r", "\t", "  ", "\nQUERY - STATUS", "\n\n", std::string_view("\0", 1), "\x1b[0m", "\u00e4\u8eca"};

std::string take_word(std::string& text) {
    const std::size_t end = text.find(' ');
    std::string word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

std::string next_id() {
    static std::uint64_t last = 0;
    return fmt::format("c{:x}", ++last);
}

} // namespace

strict_client::strict_client(event_loop& loop, exchange_ledger& ledger, std::uint16_t port,
                             std::string database, duration staleness, std::uint64_t seed)
    : loop_(loop),
      ledger_(ledger),
      port_(port),
      database_(std::move(database)),
      staleness_(staleness),
      random_(seed) {}

strict_client::~strict_client() = default;

void strict_client::start() {
    open();
}

void strict_client::open() {
    ready_ = false;
    planned_.clear();
    waiting_.clear();
    begin_id_.clear();
    values_.clear();
    prepared_.clear();
    answer_ = {};
    own_log_ = 0;
    channel_ = std::make_unique<line_channel>(loop_.native(), port_);
    channel_->on_line = [this](const std::string& line) { on_line(line); };
    channel_->on_end = [this] { on_end(); };
    channel_->send("STARTUP " + database_ + " strict\r\n");
}

void strict_client::on_end() {
    ++lost_connections_;
    waiting_.clear();
    next_timer_ = loop_.call_after(reconnect_pause, [this] {
        if (!stopped_) {
            open();
        }
    });
}

void strict_client::on_line(const std::string& line) {
    std::string rest = line;
    const std::string word = take_word(rest);
    if (ready_ && waiting_.empty() && word != "ERROR") {
        ledger_.on_unsolicited(line);
        return;
    }
    if (word == "DATAROW") {
        answer_.rows.push_back(rest);
    } else if (word == "COMPLETE") {
        answer_.signature = rest;
    } else if (word == "ERROR") {
        answer_.code = take_word(rest);
    } else if (word == "READY") {
        on_ready();
    } else {
        ledger_.on_unsolicited(line);
    }
}

void strict_client::on_ready() {
    const received_answer answer = std::exchange(answer_, {});
    if (!ready_) {
        ready_ = true;
        next_later();
        return;
    }
    const std::string id = std::exchange(waiting_, {});
    ledger_.on_answered(id, answer, event_loop::now());
    on_finished(id, answer);
    if (planned_.empty()) {
        next_later();
    } else {
        next();
    }
}

void strict_client::on_finished(const std::string& id, const received_answer& answer) {
    if (answer.signature) {
        own_log_ = std::max(own_log_, ledger_.log_of(id));
        apply(waiting_text_);
        return;
    }
    planned_.clear();
    if (!begin_id_.empty()) {
        // A COMMIT ends the transaction also when it fails.
        if (waiting_text_ == "COMMIT") {
            begin_id_.clear();
        } else {
            planned_.emplace_back("ROLLBACK");
        }
    }
}

void strict_client::apply(const std::string& text) {
    std::string rest = text;
    const std::string word = take_word(rest);
    if (word == "SET") {
        const std::string name = take_word(rest);
        values_[name] = rest;
    } else if (word == "PREPARE") {
        const std::string name = take_word(rest);
        prepared_[name] = rest;
    } else if (word == "COMMIT" || word == "ROLLBACK") {
        begin_id_.clear();
    }
}

void strict_client::next_later() {
    const duration pause(std::uniform_int_distribution<duration::rep>(0, mix.pause.count())(random_));
    next_timer_ = loop_.call_after(pause, [this] {
        if (!stopped_ && channel_->is_open() && waiting_.empty()) {
            plan();
            next();
        }
    });
}

void strict_client::next() {
    if (!planned_.empty()) {
        const std::string text = std::move(planned_.front());
        planned_.pop_front();
        send(text);
    }
}

void strict_client::plan() {
    if (draw(mix.transactions)) {
        plan_transaction();
    } else if (draw(mix.session_values)) {
        planned_.push_back(fmt::format("SET v{} {}", pick(3), make_data()));
    } else if (draw(mix.prepared)) {
        planned_.push_back(plan_execute(true));
    } else if (draw(mix.writes)) {
        planned_.push_back(fmt::format("WRITE {} {}", make_item(), make_data()));
    } else {
        planned_.push_back("READ " + make_item());
    }
}

void strict_client::plan_transaction() {
    const bool reads_only = pick(3) == 0;
    planned_.emplace_back(reads_only ? "BEGIN READ" : "BEGIN");
    const std::size_t count = 1 + pick(max_statements);
    for (std::size_t i = 0; i < count; ++i) {
        if (pick(4) == 0) {
            planned_.push_back(plan_execute(!reads_only));
        } else if (!reads_only && pick(2) == 0) {
            planned_.push_back(fmt::format("WRITE {} {}", make_item(), make_data()));
        } else {
            planned_.push_back("READ " + make_item());
        }
    }
    planned_.emplace_back(pick(6) == 0 ? "ROLLBACK" : "COMMIT");
}

std::string strict_client::plan_execute(bool may_write) {
    const bool writes = may_write && pick(2) == 0;
    const std::string name = fmt::format("{}{}", writes ? "w" : "r", pick(3));
    if (prepared_.count(name) == 0 || pick(5) == 0) {
        const std::string shape = fmt::format("{} q{} {}", writes ? "WRITE" : "READ", pick(6), make_data());
        planned_.push_front("PREPARE " + name + " " + shape);
    }
    return writes ? fmt::format("EXECUTE {} {} {}", name, make_item(), make_data())
                  : fmt::format("EXECUTE {} {}", name, make_item());
}

void strict_client::send(const std::string& text) {
    waiting_ = next_id();
    waiting_text_ = text;
    std::string rest = text;
    const std::string word = take_word(rest);
    if (word == "BEGIN") {
        begin_id_ = waiting_;
        begin_required_ = required_log();
    }
    sent_statement sent;
    sent.text = text;
    sent.begin_id = begin_id_;
    sent.values = values_;
    sent.required_log = begin_id_.empty() ? required_log() : begin_required_;
    if (word == "EXECUTE") {
        sent.shape = prepared_[take_word(rest)];
    }
    ledger_.on_sent(waiting_, std::move(sent));
    channel_->send("QUERY " + waiting_ + " " + text + "\r\n");
}

std::size_t strict_client::required_log() const {
    return std::max(ledger_.acknowledged_log(event_loop::now() - staleness_), own_log_);
}

std::string strict_client::make_item() {
    return fmt::format("item{}", pick(item_count));
}

std::string strict_client::make_data() {
    std::string data = fmt::format("{:x}", random_() % 0xffffU);
    if (!draw(mix.odd_data)) {
        return data;
    }
    data += odd_sequences.at(pick(odd_sequences.size()));
    // Half of the time the sequence ends the data.
    return pick(2) == 0 ? data : data + fmt::format("{:x}", random_());
}

bool strict_client::draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

std::size_t strict_client::pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

} // namespace gentianhill::standins
