#include "gentianhill/core/metrics.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace std::chrono_literals;

// Guards against series that are split or merged by wrong labels.
TEST_CASE("metrics_same_name_and_labels_share_one_series") {
    metrics all;
    counter& first = all.add_counter("requests_total", "Requests.", {{"group", "wheel\"db"}});
    counter& second = all.add_counter("requests_total", "Requests.", {{"group", "wheel\"db"}});
    counter& other = all.add_counter("requests_total", "Requests.", {{"group", "orders"}});
    first.add();
    second.add(2);
    other.add(5);
    all.add_gauge("ready", "Whether ready.").set(0.5);
    CHECK(all.expose() == "# HELP ready Whether ready.\n# TYPE ready gauge\nready 0.5\n"
                          "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                          "requests_total{group=\"orders\"} 5\n"
                          "requests_total{group=\"wheel\\\"db\"} 3\n");
}

// Guards against buckets that lose observations outside the axis or are not cumulative.
TEST_CASE("latency_histogram_observations_at_both_ends_are_counted") {
    metrics all;
    latency_histogram& histogram = all.add_histogram("latency_ms", "Latency.");
    histogram.record(-1us);
    histogram.record(10ms);
    histogram.record(1h);
    const std::string text = all.expose();
    CHECK(text.find("latency_ms_bucket{le=\"0.1\"} 1\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"1e+05\"} 2\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("latency_ms_count 3\n") != std::string::npos);
}

// Guards against quantiles that are off by more than the width of a bin (41%).
TEST_CASE("latency_histogram_quantile_is_within_one_bin") {
    latency_histogram histogram;
    CHECK(histogram.quantile_ms(0.5) == 0);
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(std::chrono::milliseconds{i});
    }
    CHECK(histogram.quantile_ms(0.5) >= 500);
    CHECK(histogram.quantile_ms(0.5) <= 500 * 1.42);
    CHECK(histogram.quantile_ms(0.99) >= 990);
}
