#include "standins/strict_lines/exchange_ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace gentianhill::standins {

namespace {

using rule_name = std::pair<exchange_rule, std::string_view>;
constexpr std::array<rule_name, 7> rule_names{{
    {exchange_rule::changed_statement, "changed_statement"},
    {exchange_rule::foreign_answer, "foreign_answer"},
    {exchange_rule::wrong_connection, "wrong_connection"},
    {exchange_rule::stale_read, "stale_read"},
    {exchange_rule::repeated_write, "repeated_write"},
    {exchange_rule::false_refusal, "false_refusal"},
    {exchange_rule::refused_statement, "refused_statement"},
}};

constexpr std::size_t examples_per_rule = 3;

const std::set<std::string, std::less<>> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                  "READONLY", "MISROUTED", "CONNLIMIT"};

std::string_view first_word(std::string_view text) {
    return text.substr(0, text.find(' '));
}

bool is_signed(std::string_view text) {
    const std::string_view word = first_word(text);
    return word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT";
}

/// Text of a statement without the name of a prepared statement, which the proxy may replace.
std::string without_name(const std::string& text) {
    if (first_word(text) != "EXECUTE") {
        return text;
    }
    const std::size_t name = text.find(' ') + 1;
    const std::size_t rest = text.find(' ', name);
    return rest == std::string::npos ? "EXECUTE" : "EXECUTE" + text.substr(rest);
}

/// Text with control characters escaped, for reports.
std::string readable(std::string_view text) {
    std::string result;
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (byte < 0x20U || byte == 0x7fU) {
            result += fmt::format("\\x{:02x}", byte);
        } else {
            result += character;
        }
    }
    return result;
}

} // namespace

std::string_view to_string(exchange_rule rule) {
    const std::array<rule_name, 7>::const_iterator found = std::find_if(
        rule_names.begin(), rule_names.end(), [rule](const rule_name& entry) { return entry.first == rule; });
    return found == rule_names.end() ? "unknown" : found->second;
}

void exchange_ledger::on_sent(const std::string& id, sent_statement sent) {
    sent_.insert_or_assign(id, std::move(sent));
}

void exchange_ledger::on_run(const statement_run& run) {
    const std::map<std::string, sent_statement>::const_iterator found = sent_.find(run.id);
    if (found == sent_.end()) {
        add(exchange_rule::changed_statement, fmt::format("id {} is of no client, ran {}", run.id, run.text));
        return;
    }
    compare_run(found->second, run);
    const bool reads = !run.rows.empty();
    runs_[run.id].push_back({run.signature, run.rows, reads && run.log_length < found->second.required_log});
}

void exchange_ledger::compare_run(const sent_statement& sent, const statement_run& run) {
    if (without_name(sent.text) != without_name(run.text) || sent.shape != run.shape) {
        add(exchange_rule::changed_statement, fmt::format("{} was sent as {} [{}], ran as {} [{}]", run.id,
                                                          sent.text, sent.shape, run.text, run.shape));
    }
    if (sent.begin_id != run.begin_id) {
        add(exchange_rule::wrong_connection,
            fmt::format("{} of transaction \"{}\" ran in \"{}\"", run.id, sent.begin_id, run.begin_id));
    }
    if (sent.values != run.values) {
        add(exchange_rule::wrong_connection, fmt::format("{} ran with other session values", run.id));
    }
}

void exchange_ledger::on_committed(const std::string& commit_id, const std::vector<std::string>& write_ids,
                                   std::size_t log_length) {
    if (sent_.count(commit_id) == 0) {
        add(exchange_rule::changed_statement, fmt::format("commit {} was asked for by no client", commit_id));
    }
    commits_[commit_id] = log_length;
    for (const std::string& id : write_ids) {
        if (++committed_writes_[id] > 1) {
            add(exchange_rule::repeated_write, fmt::format("{} took effect again", id));
        }
    }
}

void exchange_ledger::on_answered(const std::string& id, const received_answer& answer, time_point moment) {
    ++answered_;
    const sent_statement& sent = sent_.at(id);
    if (!answer.signature) {
        ++codes_[answer.code];
        if (promises.count(answer.code) > 0) {
            refused_.emplace(id, answer.code);
        }
        if (answer.code == "MALFORMED") {
            add(exchange_rule::refused_statement, fmt::format("{} {}", id, sent.text));
        }
        return;
    }
    ++succeeded_;
    if (!is_signed(sent.text)) {
        return;
    }
    const std::vector<past_run>& runs = runs_[id];
    const std::vector<past_run>::const_iterator own =
        std::find_if(runs.begin(), runs.end(),
                     [&answer](const past_run& run) { return run.signature == *answer.signature; });
    if (own == runs.end()) {
        add(exchange_rule::foreign_answer,
            fmt::format("{} {} got signature {}", id, sent.text, *answer.signature));
        return;
    }
    if (own->rows != answer.rows) {
        add(exchange_rule::foreign_answer, fmt::format("{} {} got {} rows that are not those of {}", id,
                                                       sent.text, answer.rows.size(), *answer.signature));
    }
    if (own->stale) {
        add(exchange_rule::stale_read, fmt::format("{} {}", id, sent.text));
    }
    if (log_of(id) > (acknowledged_.empty() ? 0 : acknowledged_.back().second)) {
        acknowledged_.emplace_back(moment, log_of(id));
    }
}

void exchange_ledger::on_unsolicited(const std::string& line) {
    add(exchange_rule::foreign_answer, fmt::format("a client without a statement under way got {}", line));
}

std::size_t exchange_ledger::acknowledged_log(time_point moment) const {
    const std::vector<std::pair<time_point, std::size_t>>::const_iterator later = std::upper_bound(
        acknowledged_.begin(), acknowledged_.end(), moment,
        [](time_point time, const std::pair<time_point, std::size_t>& entry) { return time < entry.first; });
    return later == acknowledged_.begin() ? 0 : std::prev(later)->second;
}

std::size_t exchange_ledger::log_of(const std::string& commit_id) const {
    const std::map<std::string, std::size_t>::const_iterator found = commits_.find(commit_id);
    return found == commits_.end() ? 0 : found->second;
}

void exchange_ledger::finish() {
    for (const std::map<std::string, std::string>::value_type& refused : refused_) {
        if (committed_writes_.count(refused.first) > 0 || commits_.count(refused.first) > 0) {
            add(exchange_rule::false_refusal,
                fmt::format("{} {} was answered {} but has taken effect", refused.first,
                            sent_.at(refused.first).text, refused.second));
        }
    }
    refused_.clear();
}

std::size_t exchange_ledger::count(exchange_rule rule) const {
    const std::map<exchange_rule, std::size_t>::const_iterator found = counts_.find(rule);
    return found == counts_.end() ? 0 : found->second;
}

std::size_t exchange_ledger::total() const {
    std::size_t sum = 0;
    for (const std::map<exchange_rule, std::size_t>::value_type& entry : counts_) {
        sum += entry.second;
    }
    return sum;
}

void exchange_ledger::add(exchange_rule rule, const std::string& what) {
    if (++counts_[rule] <= examples_per_rule) {
        examples_.push_back(fmt::format("{}: {}", to_string(rule), readable(what)));
    }
}

} // namespace gentianhill::standins
