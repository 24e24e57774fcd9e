#pragma once

namespace endivelever {

/// Who is served first. The preset in force gives each kind its rank.
enum class rank { urgent, normal, low };

/// @return "urgent", "normal" or "low"
constexpr const char* to_text(rank value) {
    switch (value) {
    case rank::urgent:
        return "urgent";
    case rank::normal:
        return "normal";
    case rank::low:
        return "low";
    }
    return "unknown";
}

} // namespace endivelever
