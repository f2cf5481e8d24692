#pragma once

#include "small_deployment.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// A client that writes again and again, and notes what was acknowledged to it.
class steady_writer {
public:
    /// All arguments must outlive the writer.
    steady_writer(small_deployment& played, const edge_process& daemon,
                  std::vector<std::string>& acknowledged);

    /// Notes the answer to the last write, if there is one now, and sends the next.
    void step();

private:
    small_deployment& played_;
    std::string name_;
    std::uint16_t port_;
    std::vector<std::string>& acknowledged_;
    std::unique_ptr<client> session_;
    std::size_t sessions_ = 0;
    clock_type::time_point next_at_;
    bool is_waiting_ = false;
};

/// Writers at all daemons, and the check that each promoted instance holds what was acknowledged to them
/// (LOST).
class acknowledged_commits {
public:
    /// The deployment must outlive the object.
    explicit acknowledged_commits(small_deployment& played);

    void add_writers();
    /// Lets the writers write for a time.
    void play(milliseconds length);
    [[nodiscard]] std::size_t count() const { return acknowledged_.size(); }
    /// Records what was found; returns the exit code.
    [[nodiscard]] int report();

private:
    small_deployment& played_;
    std::vector<std::string> acknowledged_;
    std::vector<std::unique_ptr<steady_writer>> writers_;
    std::size_t lost_ = 0;
};

} // namespace review
