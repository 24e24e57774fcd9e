#include "endivelever/cli/text_output.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <set>
#include <sstream>

namespace endivelever {
namespace {

using nlohmann::json;

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t us_per_s = 1'000'000;

std::string printable(std::string text) {
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    for (auto& it : text) {
        const auto code = static_cast<unsigned char>(it);
        it = code < space || code == del ? '?' : it;
    }
    return text;
}

std::string value_text(const json& value) {
    if (value.is_string()) {
        const auto text = printable(value.get<std::string>());
        return text.empty() ? "-" : text;
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_array()) {
        std::string out;
        for (const auto& it : value) {
            out += (out.empty() ? "" : ",") + value_text(it);
        }
        return out.empty() ? "-" : out;
    }
    return value.is_null() ? "-" : value.dump();
}

std::string padded(const std::string& text, std::size_t width) {
    return text + std::string(width - std::min(width, text.size()), ' ');
}

std::string line_of(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
    std::string out;
    for (std::size_t i = 0; i + 1 < cells.size(); ++i) {
        out += padded(cells[i], widths[i] + 2);
    }
    return out + cells.back() + "\n";
}

/// Spans of one trace by the span that caused them.
struct span_tree {
    std::map<std::string, std::vector<const json*>> children;
    std::vector<const json*> roots;
    std::int64_t start_us = 0;
};

std::int64_t number_of(const json& row, const char* key) {
    const auto it = row.find(key);
    return it != row.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

std::string string_of(const json& row, const char* key) {
    const auto it = row.find(key);
    return it != row.end() && it->is_string() ? it->get<std::string>() : std::string();
}

void sort_by_start(std::vector<const json*>& spans) {
    std::stable_sort(spans.begin(), spans.end(), [](const json* a, const json* b) {
        return number_of(*a, "start_us") < number_of(*b, "start_us");
    });
}

span_tree build_tree(const json& spans) {
    span_tree out;
    std::set<std::string> ids;
    for (const auto& it : spans) {
        ids.insert(string_of(it, "span"));
    }
    for (const auto& it : spans) {
        const auto parent = string_of(it, "parent");
        const bool known = ids.contains(parent) && parent != string_of(it, "span");
        (known ? out.children[parent] : out.roots).push_back(&it);
    }
    sort_by_start(out.roots);
    for (auto& [parent, list] : out.children) {
        sort_by_start(list);
    }
    out.start_us = out.roots.empty() ? 0 : number_of(*out.roots.front(), "start_us");
    return out;
}

std::string span_line(const json& span, std::size_t depth, std::int64_t start_us) {
    std::ostringstream out;
    out << padded("+" + milliseconds_text(number_of(span, "start_us") - start_us), 14)
        << padded(milliseconds_text(number_of(span, "length_us")), 14) << std::string(2 * depth, ' ')
        << cell_text(span, "name") << " on " << cell_text(span, "vm");
    if (!string_of(span, "peer").empty()) {
        out << " to " << cell_text(span, "peer");
    }
    out << ": " << cell_text(span, "outcome") << " " << cell_text(span, "status") << "\n";
    return out.str();
}

/// Each list is printed once, so that spans that name each other as parents end.
void print_spans(span_tree& tree, const std::vector<const json*>& spans, std::size_t depth,
                 std::string& out) {
    for (const auto* it : spans) {
        out += span_line(*it, depth, tree.start_us);
        auto node = tree.children.extract(string_of(*it, "span"));
        if (!node.empty()) {
            print_spans(tree, node.mapped(), depth + 1, out);
        }
    }
}

} // namespace

std::string cell_text(const json& row, const char* key) {
    const auto it = row.find(key);
    return it == row.end() ? "-" : value_text(*it);
}

std::string table_text(const std::vector<table_column>& columns, const json& rows) {
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& it : columns) {
        lines[0].emplace_back(it.title);
    }
    for (const auto& row : rows) {
        auto& cells = lines.emplace_back();
        for (const auto& it : columns) {
            cells.push_back(cell_text(row, it.key));
        }
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& cells : lines) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string out;
    for (const auto& cells : lines) {
        out += line_of(cells, widths);
    }
    return out;
}

std::string time_text(std::int64_t unix_us) {
    const std::time_t seconds = unix_us / us_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    const auto size = std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return {buf.data(), size};
}

std::string milliseconds_text(std::int64_t us) {
    const auto fraction = std::to_string(us_per_ms + std::abs(us % us_per_ms)).substr(1);
    const auto* sign = us < 0 && us > -us_per_ms ? "-" : "";
    return sign + std::to_string(us / us_per_ms) + "." + fraction + " ms";
}

std::string span_tree_text(const json& spans) {
    auto tree = build_tree(spans);
    std::string out = padded("START", 14) + padded("LENGTH", 14) + "SPAN\n";
    const auto roots = tree.roots;
    print_spans(tree, roots, 0, out);
    return out;
}

} // namespace endivelever
