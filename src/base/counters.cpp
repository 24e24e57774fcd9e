#include "endivelever/base/counters.hpp"

#include <sstream>

namespace endivelever {
namespace detail {

std::string metric_name(const std::string& series) {
    return "endivelever_" + series.substr(0, series.find('{'));
}

template <typename Value>
void append_series(std::ostringstream& out, const std::map<std::string, Value>& series, const char* type) {
    std::string last_name;
    for (const auto& [key, value] : series) {
        const auto name = metric_name(key);
        if (name != last_name) {
            out << "# TYPE " << name << ' ' << type << '\n';
            last_name = name;
        }
        out << "endivelever_" << key << ' ' << value << '\n';
    }
}

} // namespace detail

std::string exposition_text(const counter_table& table) {
    std::ostringstream out;
    detail::append_series(out, table.counters, "counter");
    detail::append_series(out, table.gauges, "gauge");
    return out.str();
}

} // namespace endivelever
