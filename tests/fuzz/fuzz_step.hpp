#pragma once

#include <cstddef>
#include <ostream>
#include <rapidcheck.h>
#include <vector>

namespace endivelever {

/// One generated step of a stateful test: an action and two numeric arguments.
struct fuzz_step {
    unsigned action = 0;
    unsigned first = 0;
    unsigned second = 0;
};

inline std::ostream& operator<<(std::ostream& out, const fuzz_step& step) {
    return out << '{' << step.action << ',' << step.first << ',' << step.second << '}';
}

/// Generates a sequence of steps.
/// @param actions  number of different actions
/// @param length   maximum length
inline std::vector<fuzz_step> any_steps(unsigned actions, int length) {
    const auto number = rc::gen::inRange(0U, 1000U);
    const auto step = rc::gen::construct<fuzz_step>(rc::gen::inRange(0U, actions), number, number);
    return *rc::gen::resize(length, rc::gen::container<std::vector<fuzz_step>>(step));
}

} // namespace endivelever
