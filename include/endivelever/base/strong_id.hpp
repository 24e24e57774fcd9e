#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace endivelever {

/// Text identifier that cannot be mixed up with an identifier of another kind.
/// @tparam Tag  empty type that tells identifiers apart
template <typename Tag>
struct strong_id {
    std::string text;

    strong_id() = default;
    explicit strong_id(std::string value) : text(std::move(value)) {}

    [[nodiscard]] bool empty() const { return text.empty(); }
    bool operator==(const strong_id&) const = default;
    // Written out because clang-tidy 14 reports the defaulted operator wherever a map instantiates it.
    std::strong_ordering operator<=>(const strong_id& other) const { return text <=> other.text; }
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const strong_id<Tag>& id) {
    return out << id.text;
}

/// Number that cannot be mixed up with a number of another kind.
/// @tparam Tag  empty type that tells numbers apart
template <typename Tag, typename Rep>
struct strong_number {
    Rep value{};

    bool operator==(const strong_number&) const = default;
    std::strong_ordering operator<=>(const strong_number& other) const { return value <=> other.value; }
};

template <typename Tag, typename Rep>
std::ostream& operator<<(std::ostream& out, const strong_number<Tag, Rep>& number) {
    return out << number.value;
}

} // namespace endivelever

template <typename Tag>
struct std::hash<endivelever::strong_id<Tag>> {
    std::size_t operator()(const endivelever::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.text);
    }
};

template <typename Tag, typename Rep>
struct std::hash<endivelever::strong_number<Tag, Rep>> {
    std::size_t operator()(const endivelever::strong_number<Tag, Rep>& number) const noexcept {
        return std::hash<Rep>{}(number.value);
    }
};
