#include "capacity/report.hpp"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace endivelever::bench {
namespace {

constexpr int indent = 1;

nlohmann::json json_of(const slope& it) {
    const auto fit = fit_line(it.points);
    auto points = nlohmann::json::array();
    for (const auto& point : it.points) {
        points.push_back({point.size, point.value});
    }
    return {{"grows", it.grows},          {"unit", it.unit},          {"points", points},
            {"intercept", fit.intercept}, {"per_unit", fit.per_unit}, {"residual", fit.residual}};
}

std::ofstream open_file(const std::string& path) {
    std::ofstream out(path);
    if (!out) {
        throw std::runtime_error("cannot write " + path);
    }
    return out;
}

} // namespace

void print_slopes(const std::vector<slope>& slopes) {
    std::printf("%-28s %-24s %-6s %3s %14s %14s %12s\n", "quantity", "grows with", "unit", "n", "intercept",
                "per unit", "residual");
    for (const auto& it : slopes) {
        const auto fit = fit_line(it.points);
        std::printf("%-28s %-24s %-6s %3zu %14.4g %14.4g %12.3g\n", it.name.c_str(), it.grows.c_str(),
                    it.unit.c_str(), it.points.size(), fit.intercept, fit.per_unit, fit.residual);
    }
}

void write_slopes(const std::vector<slope>& slopes, const std::string& folder) {
    nlohmann::json all;
    for (const auto& it : slopes) {
        all[it.name] = json_of(it);
        auto data = open_file(folder + "/" + it.name + ".dat");
        data << "# " << it.grows << "  " << it.name << "_" << it.unit << '\n';
        for (const auto& point : it.points) {
            data << point.size << ' ' << point.value << '\n';
        }
    }
    open_file(folder + "/capacity.json") << all.dump(indent) << '\n';
}

std::string result_line(const std::vector<slope>& slopes) {
    nlohmann::json current;
    for (const auto& it : slopes) {
        const auto fit = fit_line(it.points);
        current[it.name + "_" + it.unit] = {{"intercept", fit.intercept}, {"per_unit", fit.per_unit}};
    }
    const nlohmann::json line = {{"experiment", "capacity"},
                                 {"seed", 1},
                                 {"baseline", nlohmann::json::object()},
                                 {"current", current},
                                 {"target", nlohmann::json::object()},
                                 {"met", true}};
    return line.dump();
}

} // namespace endivelever::bench
