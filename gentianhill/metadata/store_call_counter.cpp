#include "gentianhill/metadata/store_call_counter.h"

#include <fmt/format.h>

#include <array>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 5> call_names{"list", "watch", "get", "put", "remove"};
constexpr duration failure_log_interval = 1s;
constexpr duration call_log_interval = 10s;

/// True for an answer that tells nothing about the store's content.
bool is_failure(const store_answer& answer) {
    return answer.outcome == store_outcome::refused || answer.outcome == store_outcome::unknown;
}

} // namespace

std::string_view to_string(store_call call) {
    return call_names.at(static_cast<std::size_t>(call));
}

store_call_counter::call_counts& store_call_counter::count(store_call call, store_collection collection) {
    call_counts& counts = counts_[{call, collection}];
    if (counts.calls == nullptr) {
        const metric_labels labels{{"call", std::string(to_string(call))},
                                   {"collection", std::string(to_string(collection))}};
        counts.calls =
            &registry_.add_counter("gentianhill_store_calls_total", "Calls to the metadata store.", labels);
        counts.failures = &registry_.add_counter("gentianhill_store_call_failures_total",
                                                 "Calls that were refused or not answered.", labels);
    }
    return counts;
}

metadata_store::handler store_call_counter::counted(store_call call, store_collection collection,
                                                    metadata_store::handler done) {
    call_counts& counts = count(call, collection);
    counts.calls->add();
    ++total_;
    return [failures = counts.failures, done = std::move(done)](const store_answer& answer) {
        if (is_failure(answer)) {
            failures->add();
        }
        done(answer);
    };
}

metadata_store store_call_counter::wrap(const metadata_store& store) {
    metadata_store wrapped;
    wrapped.list = [this, call = store.list](store_collection which, const std::string& after,
                                             metadata_store::handler done) {
        call(which, after, counted(store_call::list, which, std::move(done)));
    };
    wrapped.list_old = [this, call = store.list_old](store_collection which, const std::string& after,
                                                     metadata_store::handler done) {
        call(which, after, counted(store_call::list, which, std::move(done)));
    };
    wrapped.watch = [this, call = store.watch](store_collection which, std::uint64_t revision, duration wait,
                                               metadata_store::handler done) {
        call(which, revision, wait, counted(store_call::watch, which, std::move(done)));
    };
    wrapped.get = [this, call = store.get](store_collection which, const std::string& name,
                                           metadata_store::handler done) {
        call(which, name, counted(store_call::get, which, std::move(done)));
    };
    wrapped.put = [this, call = store.put](store_collection which, const stored_object& object,
                                           metadata_store::handler done) {
        call(which, object, counted(store_call::put, which, std::move(done)));
    };
    wrapped.remove = [this, call = store.remove](store_collection which, const std::string& name,
                                                 std::uint64_t revision, metadata_store::handler done) {
        call(which, name, revision, counted(store_call::remove, which, std::move(done)));
    };
    return wrapped;
}

void store_call_counter::tick(time_point now) {
    if (!failures_logged_at_ || now - *failures_logged_at_ >= failure_log_interval) {
        failures_logged_at_ = now;
        log_failures();
    }
    if (!calls_logged_at_) {
        calls_logged_at_ = now;
    }
    if (now - *calls_logged_at_ >= call_log_interval) {
        calls_logged_at_ = now;
        log_calls();
    }
}

void store_call_counter::log_failures() {
    std::string kinds;
    for (std::map<call_kind, call_counts>::value_type& entry : counts_) {
        const std::uint64_t failures = entry.second.failures->value();
        if (failures > entry.second.failures_logged) {
            kinds += fmt::format("{}{} {}:{}", kinds.empty() ? "" : ",", to_string(entry.first.first),
                                 to_string(entry.first.second), failures - entry.second.failures_logged);
            entry.second.failures_logged = failures;
        }
    }
    if (!kinds.empty()) {
        log_.write(log_level::warning, "metadata", "store_calls_failed", {{"calls", kinds}});
    }
}

void store_call_counter::log_calls() {
    if (total_ == total_logged_) {
        return;
    }
    total_logged_ = total_;
    std::string kinds;
    for (const std::map<call_kind, call_counts>::value_type& entry : counts_) {
        kinds += fmt::format("{}{} {}:{}", kinds.empty() ? "" : ",", to_string(entry.first.first),
                             to_string(entry.first.second), entry.second.calls->value());
    }
    log_.write(log_level::info, "metadata", "store_calls", {{"total", total_}, {"calls", kinds}});
}

} // namespace gentianhill
