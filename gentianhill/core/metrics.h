#pragma once

#include "gentianhill/core/latency_histogram.h"
#include "gentianhill/core/metric_labels.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace gentianhill {

/// Number that only increases.
class counter {
public:
    /// Adds to the count.
    void add(std::uint64_t amount = 1) { value_ += amount; }
    /// Current count.
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// Number that can rise and fall.
class gauge {
public:
    /// Replaces the value.
    void set(double value) { value_ = value; }
    /// Changes the value by an amount.
    void add(double amount) { value_ += amount; }
    /// Current value.
    [[nodiscard]] double value() const { return value_; }

private:
    double value_ = 0;
};

/// All metrics of a process. The returned references are handles that stay valid for the lifetime of the
/// registry; updates through them allocate nothing.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Called before each exposition, to set gauges that are computed on demand; may be empty.
    std::function<void()> on_expose;

    /// Series of a counter; the same name and labels give the same handle. Names end in _total.
    [[nodiscard]] counter& add_counter(std::string_view name, std::string_view help,
                                       const metric_labels& labels = {});
    /// Series of a gauge.
    [[nodiscard]] gauge& add_gauge(std::string_view name, std::string_view help,
                                   const metric_labels& labels = {});
    /// Series of a latency histogram. Names end in _ms.
    [[nodiscard]] latency_histogram& add_histogram(std::string_view name, std::string_view help,
                                                   const metric_labels& labels = {});
    /// All series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string expose() const;

private:
    struct series;
    struct family;

    [[nodiscard]] series& find_or_add(std::string_view name, std::string_view type, std::string_view help,
                                      const metric_labels& labels);

    std::map<std::string, family, std::less<>> families_;
};

} // namespace gentianhill
