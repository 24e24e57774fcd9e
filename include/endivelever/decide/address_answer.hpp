#pragma once

#include "endivelever/base/random.hpp"
#include "endivelever/wire/messages.hpp"

#include <vector>

namespace endivelever {

constexpr std::size_t max_answer_addresses = 4;

/// Picks the entries that a caller is told to use, in order of preference.
/// Spreads callers evenly, weighs by offered calls, and puts two failure domains first if there are two.
/// @param members  serving members
/// @return at most max_answer_addresses members
std::vector<member_record> pick_addresses(const std::vector<member_record>& members, random_source& random);

} // namespace endivelever
