#include "endivelever/trace/span_ring.hpp"

#include <nlohmann/json.hpp>

namespace endivelever {
namespace {

std::string span_text(std::uint64_t id) {
    return to_text(trace_id{0, id}).substr(16);
}

} // namespace

void add_span(span_ring& ring, span value) {
    if (ring.spans.size() < ring.capacity) {
        ring.spans.push_back(std::move(value));
        return;
    }
    ring.spans[ring.next] = std::move(value);
    ring.next = (ring.next + 1) % ring.capacity;
}

std::vector<span> spans_of(const span_ring& ring, const trace_id& trace) {
    std::vector<span> found;
    for (std::size_t i = 0; i < ring.spans.size(); ++i) {
        const auto& it = ring.spans[(ring.next + i) % ring.spans.size()];
        if (it.trace == trace) {
            found.push_back(it);
        }
    }
    return found;
}

std::string to_json(const std::vector<span>& spans) {
    auto list = nlohmann::json::array();
    for (const auto& it : spans) {
        list.push_back(
            {{"trace", to_text(it.trace)},
             {"span", span_text(it.id)},
             {"parent", it.parent == 0 ? "" : span_text(it.parent)},
             {"name", it.name},
             {"peer", it.peer},
             {"outcome", it.outcome},
             {"status", it.status},
             {"start_us", it.start_us},
             {"length_us", std::chrono::duration_cast<std::chrono::microseconds>(it.length).count()}});
    }
    return list.dump();
}

} // namespace endivelever
