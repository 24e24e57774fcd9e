#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace endivelever {

/// One column of a table: its title and the key of the value in each row.
struct table_column {
    const char* title;
    const char* key;
};

/// @return a JSON value as people read it: yes or no, numbers, lists with commas, "-" for null or missing.
/// Control characters are replaced, so that a stored text cannot drive the terminal.
std::string cell_text(const nlohmann::json& row, const char* key);

/// @return rows of an array of objects, aligned under their titles
std::string table_text(const std::vector<table_column>& columns, const nlohmann::json& rows);

/// @return the time as "2026-12-04 05:36:00 UTC"
std::string time_text(std::int64_t unix_us);

/// @return the value with its unit, for instance "1.234 ms"
std::string milliseconds_text(std::int64_t us);

/// Prints spans as a tree, children under the span that caused them, by start time.
/// @param spans  objects of /traces/<id> with the VM they came from as "vm"
std::string span_tree_text(const nlohmann::json& spans);

} // namespace endivelever
