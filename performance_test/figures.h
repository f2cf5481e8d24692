#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gentianhill::bench {

/// Bound of a figure.
struct target {
    /// Lowest value allowed.
    std::optional<double> at_least;
    /// Highest value allowed.
    std::optional<double> at_most;
};

/// One measured figure with those of simpler policies.
struct figure {
    /// Name without the deployment.
    std::string name;
    /// Value with the project's policy.
    double value = 0.0;
    /// Names and values of the baselines.
    std::vector<std::pair<std::string, double>> baselines;
    /// Bound; none for a figure that only informs.
    target bound;

    /// False when the value misses its bound.
    [[nodiscard]] bool passes() const;
};

/// All figures of a run, by deployment.
class figure_table {
public:
    /// Adds the figures of one deployment.
    void add(const std::string& deployment, std::vector<figure> figures);
    /// True when every figure with a bound meets it.
    [[nodiscard]] bool passes() const;
    /// Text table for people.
    [[nodiscard]] std::string to_text() const;
    /// Flat object: "<deployment>.<figure>" and "<deployment>.<figure>.<baseline>".
    [[nodiscard]] nlohmann::json to_json() const;

private:
    std::vector<std::pair<std::string, std::vector<figure>>> rows_;
};

/// Value below which a part of the samples lies; 0 without samples. Sorts the samples.
[[nodiscard]] double percentile(std::vector<double>& samples, double part);

} // namespace gentianhill::bench
