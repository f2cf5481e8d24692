#include "performance_test/scenarios.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <iostream>
#include <string>

using namespace gentianhill::bench;
namespace options = boost::program_options;

namespace {

using scenario = std::vector<figure> (*)(const deployment& place, std::uint64_t seed);

std::vector<figure> measure(const deployment& place, std::uint64_t seed) {
    std::vector<figure> result;
    constexpr std::array<scenario, 4> scenarios{&measure_replica_reads, &measure_fair_shares,
                                                &measure_overload, &measure_connections};
    for (const scenario run : scenarios) {
        std::vector<figure> figures = run(place, seed);
        result.insert(result.end(), figures.begin(), figures.end());
    }
    return result;
}

} // namespace

int main(int argument_count, char** arguments) {
    options::options_description known{"Measures the decisions of gentianhill against simpler policies"};
    options::options_description_easy_init add = known.add_options();
    std::uint64_t seed = 1;
    std::string json_path;
    add("help", "print this text");
    add("seed", options::value(&seed)->default_value(seed), "seed of all random numbers");
    add("json", options::value(&json_path), "file for the figures as one flat JSON object");
    add("check", "exit with 1 when a target is missed");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argument_count, arguments, known), given);
        options::notify(given);
    } catch (const options::error& failure) {
        std::cerr << failure.what() << '\n' << known;
        return 2;
    }
    if (given.count("help") > 0) {
        std::cout << known;
        return 0;
    }
    figure_table table;
    for (const deployment& place : deployments()) {
        table.add(place.name, measure(place, seed));
    }
    std::cout << table.to_text();
    if (!json_path.empty()) {
        std::ofstream file{json_path};
        file << table.to_json().dump(2) << '\n';
        if (!file.flush()) {
            std::cerr << fmt::format("can't write {}\n", json_path);
            return 2;
        }
    }
    return given.count("check") > 0 && !table.passes() ? 1 : 0;
}
