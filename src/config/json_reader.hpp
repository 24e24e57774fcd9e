#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Reads JSON with comments and reports the first fault. Private to the module.
namespace endivelever::detail {

using nlohmann::json;
using nlohmann::ordered_json;

/// Numbers of the module's errors, "[config.N]".
enum class fault : int {
    unreadable_file = 1,
    syntax = 2,
    duplicate_key = 3,
    unknown_key = 4,
    missing_key = 5,
    wrong_type = 6,
    not_allowed = 7,
    inconsistent = 8,
    address = 10
};

/// Thrown inside the module only; guarded() turns it into an error value.
struct config_failure : std::runtime_error {
    fault kind;
    config_failure(fault what, const std::string& text) : std::runtime_error(text), kind(what) {}
};

/// Runs `read` and turns a config_failure into an error value.
template <typename Read>
auto guarded(Read read) -> result<decltype(read())> {
    try {
        return read();
    } catch (const config_failure& failure) {
        return fail("config", static_cast<int>(failure.kind), failure.what());
    }
}

/// Parses JSON with comments; duplicate keys are faults.
json parse_json(const std::string& text, const std::string& source);

/// @return JSON text; invalid UTF-8 in strings is replaced
std::string dump_json(const ordered_json& value);

/// @return the text in quotes, cut to a length that suits an error message
std::string in_quotes(std::string_view text);

/// True for 1 to 64 letters, digits, '-' and '_'.
bool is_name(std::string_view text);

/// True for 1 to 64 letters, digits, '-', '_', '.' and '@'.
bool is_dotted_name(std::string_view text);

/// Text of an enum value in a document.
template <typename Enum>
struct enum_name {
    const char* text;
    Enum value;
};
template <typename Enum>
enum_name(const char*, Enum) -> enum_name<Enum>;

inline constexpr std::array choice_names{enum_name{"estimated_wait", choice_policy::estimated_wait},
                                         enum_name{"least_in_flight", choice_policy::least_in_flight},
                                         enum_name{"two_choices", choice_policy::two_choices},
                                         enum_name{"round_robin", choice_policy::round_robin},
                                         enum_name{"random", choice_policy::random}};
inline constexpr std::array admission_names{enum_name{"ranked", admission_policy::ranked},
                                            enum_name{"fifo", admission_policy::fifo}};
inline constexpr std::array isolation_names{enum_name{"refuse", isolation_policy::refuse},
                                            enum_name{"serve", isolation_policy::serve}};

/// @return text of an enum value
template <typename Enum, std::size_t Size>
std::string name_of(const std::array<enum_name<Enum>, Size>& names, Enum value) {
    for (const auto& it : names) {
        if (it.value == value) {
            return it.text;
        }
    }
    throw std::logic_error("enum value without a name");
}

/// Closed range of numbers.
template <typename T>
struct range {
    T low{};
    T high{};
};

/// Reads the members of one JSON object. A member without a fallback is mandatory.
class object_reader {
  public:
    /// @param pointer  JSON pointer of the value, for messages
    object_reader(const json& value, std::string source, std::string pointer);

    std::string name(const char* key, const std::optional<std::string>& fallback = {});
    std::string dotted_name(const char* key, const std::optional<std::string>& fallback = {});
    std::string text(const char* key, range<std::size_t> length,
                     const std::optional<std::string>& fallback = {});
    /// Like text(), but messages never show the value.
    std::string secret(const char* key, range<std::size_t> length);
    std::int64_t integer(const char* key, range<std::int64_t> allowed,
                         std::optional<std::int64_t> fallback = {});
    std::uint32_t count(const char* key, range<std::uint32_t> allowed,
                        std::optional<std::uint32_t> fallback = {});
    double number(const char* key, range<double> allowed, std::optional<double> fallback = {});
    duration milliseconds(const char* key, range<double> allowed, std::optional<double> fallback = {});
    bool flag(const char* key, std::optional<bool> fallback = {});
    socket_address address(const char* key);
    /// Strings of an array; an absent array is empty.
    std::vector<std::string> texts(const char* key, range<std::size_t> items);
    /// An absent object reads as an empty one.
    object_reader object(const char* key);

    template <typename Enum, std::size_t Size>
    Enum choice(const char* key, const std::array<enum_name<Enum>, Size>& names,
                std::optional<Enum> fallback = {}) {
        const json* it = find(key, !fallback);
        if (it == nullptr) {
            return *fallback;
        }
        std::string allowed;
        for (const auto& entry : names) {
            if (it->is_string() && it->get_ref<const std::string&>() == entry.text) {
                return entry.value;
            }
            allowed += (allowed.empty() ? "" : ", ") + in_quotes(entry.text);
        }
        refuse(key, "one of " + allowed);
    }

    /// Reads each object of a mandatory array with `read`.
    template <typename Read>
    auto list(const char* key, range<std::size_t> items, Read read) {
        std::vector<decltype(read(std::declval<object_reader&>()))> out;
        const json& values = array(key, items);
        for (std::size_t i = 0; i < values.size(); ++i) {
            object_reader element(values[i], m_source, pointer_to(key) + "/" + std::to_string(i));
            out.push_back(read(element));
            element.finish();
        }
        return out;
    }

    /// Refuses members that were not read.
    void finish() const;
    /// Refuses the value of a member. @param allowed  what is allowed instead
    [[noreturn]] void refuse(const char* key, const std::string& allowed) const;
    /// Refuses a value that contradicts another one.
    [[noreturn]] void contradict(const std::string& key, const std::string& text) const;
    [[nodiscard]] bool has(const char* key) const { return m_value->contains(key); }

  private:
    const json* find(const char* key, bool mandatory);
    const json& array(const char* key, range<std::size_t> items);
    [[nodiscard]] std::string pointer_to(const std::string& key) const;
    [[noreturn]] void raise(fault kind, const std::string& pointer, const std::string& text) const;

    const json* m_value;
    std::string m_source;
    std::string m_pointer;
    std::set<std::string> m_known;
};

} // namespace endivelever::detail
