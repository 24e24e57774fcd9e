#include "endivelever/store/store_answer.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace endivelever {
namespace detail {

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_modified = 304;
constexpr unsigned http_not_found = 404;
constexpr unsigned http_precondition_failed = 412;

std::optional<document_version> etag_version(const http_reply& reply) {
    const auto* etag = find_header(reply.headers, "ETag");
    return etag == nullptr ? std::nullopt : parse_etag(*etag);
}

std::string describe_failure(const http_reply& reply) {
    if (reply.result.failure != transfer_failure::none) {
        return reply.result.detail.empty() ? "incomplete response" : reply.result.detail;
    }
    return "status " + std::to_string(reply.result.status) + " without a valid ETag";
}

store_answer versioned_answer(store_status status, const http_reply& reply,
                              store_status status_without_version) {
    const auto version = etag_version(reply);
    if (!version) {
        return {status_without_version, {}, {}, {}, describe_failure(reply)};
    }
    return {status, *version, {}, {}, {}};
}

} // namespace detail

std::optional<document_version> parse_etag(std::string_view text) {
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    const auto digits = text.substr(1, text.size() - 2);
    document_version version;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), version.value);
    const bool valid_number = ec == std::errc{} && end == digits.data() + digits.size();
    return valid_number && version.value != 0 ? std::optional(version) : std::nullopt;
}

store_answer classify_read_reply(const http_reply& reply) {
    if (reply.result.failure != transfer_failure::none) {
        return {store_status::unavailable, {}, {}, {}, detail::describe_failure(reply)};
    }
    switch (reply.result.status) {
    case detail::http_ok: {
        auto answer = detail::versioned_answer(store_status::ok, reply, store_status::unavailable);
        answer.payload = reply.body;
        return answer;
    }
    case detail::http_not_modified:
        return {store_status::unchanged, {}, {}, {}, {}};
    case detail::http_not_found:
        return {store_status::absent, {}, {}, {}, {}};
    default:
        return {store_status::unavailable, {}, {}, {}, detail::describe_failure(reply)};
    }
}

store_answer classify_write_reply(const http_reply& reply) {
    if (!reply.result.sent) {
        return {store_status::unavailable, {}, {}, {}, detail::describe_failure(reply)};
    }
    if (reply.result.failure != transfer_failure::none) {
        return {store_status::unknown, {}, {}, {}, detail::describe_failure(reply)};
    }
    switch (reply.result.status) {
    case detail::http_ok:
        return detail::versioned_answer(store_status::ok, reply, store_status::unknown);
    case detail::http_precondition_failed:
        // 412 means that the write was rejected even without an ETag; the caller then reads the object.
        return {store_status::conflict, detail::etag_version(reply).value_or(document_version{}), {}, {}, {}};
    default:
        return {store_status::unknown, {}, {}, {}, detail::describe_failure(reply)};
    }
}

store_list_answer classify_list_reply(const http_reply& reply) {
    if (reply.result.failure != transfer_failure::none || reply.result.status != detail::http_ok) {
        return {store_status::unavailable, {}, detail::describe_failure(reply)};
    }
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_array()) {
        return {store_status::unavailable, {}, "list response is not a JSON array"};
    }
    store_list_answer answer{store_status::ok, {}, {}};
    for (const auto& it : json) {
        const bool valid = it.is_object() && it.contains("key") && it["key"].is_string() &&
                           it.contains("version") && it["version"].is_number_unsigned();
        if (valid) {
            answer.objects.push_back(
                {document_key(it["key"].get<std::string>()), {it["version"].get<std::uint64_t>()}});
        }
    }
    return answer;
}

} // namespace endivelever
