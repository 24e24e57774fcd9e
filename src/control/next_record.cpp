#include "endivelever/control/next_record.hpp"

#include <algorithm>

namespace endivelever {
namespace detail {

bool in_history(const in_force_record& record, const operation_id& operation) {
    return record.operation == operation ||
           std::any_of(record.history.begin(), record.history.end(),
                       [&operation](const preset_change& change) { return change.operation == operation; });
}

operator_name pin_after(const change_request& request, const std::optional<in_force_record>& present) {
    if (request.kind == change_kind::release) {
        return {};
    }
    if (request.kind == change_kind::pin || request.pin) {
        return request.who;
    }
    return present ? present->pinned_by : operator_name{};
}

} // namespace detail

const char* to_text(change_kind kind) {
    switch (kind) {
    case change_kind::switch_preset:
        return "switch";
    case change_kind::pin:
        return "pin";
    case change_kind::release:
        return "release";
    }
    return "unknown";
}

change_refusal check_change(const change_request& request, const std::optional<in_force_record>& present) {
    constexpr unsigned forbidden = 403;
    constexpr unsigned conflict = 409;
    const bool pins = request.kind != change_kind::switch_preset || request.pin;
    if (pins && !request.founder) {
        return {forbidden, "only a founder pins and releases"};
    }
    if (request.kind != change_kind::switch_preset && !present) {
        return {conflict, "no preset is in force"};
    }
    if (present && !present->pinned_by.empty() && !request.founder) {
        return {forbidden,
                "preset " + present->content.name.text + " is pinned by " + present->pinned_by.text};
    }
    return {};
}

in_force_record next_record(const change_request& request, const std::optional<in_force_record>& present,
                            const preset& content, std::int64_t when_us) {
    in_force_record next;
    next.operation = request.operation;
    next.content = content;
    next.who = request.who;
    next.when_us = when_us;
    next.replaced = request.expect;
    next.pinned_by = detail::pin_after(request, present);
    next.history.push_back({request.operation, request.who, to_text(request.kind), content.name, when_us});
    if (present) {
        next.history.insert(next.history.end(), present->history.begin(), present->history.end());
    }
    next.history.resize(std::min(next.history.size(), max_history));
    return next;
}

operation_trace trace_of(const in_force_record& record, const operation_id& operation,
                         const operation_id& before) {
    if (detail::in_history(record, operation)) {
        return operation_trace::present;
    }
    const bool reaches_back =
        before.empty() ? record.history.size() < max_history : detail::in_history(record, before);
    return reaches_back ? operation_trace::absent : operation_trace::unclear;
}

} // namespace endivelever
