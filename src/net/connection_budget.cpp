#include "endivelever/net/connection_budget.hpp"

namespace endivelever {
namespace {

// Connections that are closed together when a listener is full, so that the search for them is not repeated
// for each new connection.
constexpr std::size_t max_freed_connections = 32;

} // namespace

const char* name_of(close_cause cause) {
    switch (cause) {
    case close_cause::memory:
        return "memory";
    case close_cause::connections:
        return "connections";
    case close_cause::stalled:
        break;
    }
    return "stalled";
}

void connection_budget::join(budgeted_connection& it) {
    it.m_index = m_connections.size();
    m_connections.push_back(&it);
    ++m_usage.connections;
}

void connection_budget::leave(budgeted_connection& it) {
    auto& memory = it.m_closing ? m_closing_memory : m_usage.connections_memory;
    memory.value -= it.m_charged.value;
    m_connections[it.m_index] = m_connections.back();
    m_connections[it.m_index]->m_index = it.m_index;
    m_connections.pop_back();
    --m_usage.connections;
}

std::vector<connection_use> connection_budget::uses() const {
    std::vector<connection_use> all;
    all.reserve(m_connections.size());
    for (const auto* it : m_connections) {
        // Those that end already cannot be chosen again.
        const auto held = it->m_closing ? byte_count{} : it->m_charged;
        all.push_back({held, !it->m_closing && it->waits_for_caller(), it->last_transfer(), it->listener()});
    }
    return all;
}

void connection_budget::close(budgeted_connection& it, close_cause cause) {
    m_usage.connections_memory.value -= it.m_charged.value;
    m_closing_memory.value += it.m_charged.value;
    it.m_closing = true;
    count_closed(cause);
    it.close_by_limit();
}

void connection_budget::charge(budgeted_connection& it, byte_count held) {
    if (it.m_closing) {
        return;
    }
    m_usage.connections_memory.value += held.value - it.m_charged.value;
    it.m_charged = held;
    if (m_limits.memory.value != 0 &&
        m_usage.connections_memory.value + m_usage.bodies_memory.value > m_limits.memory.value) {
        for (const auto index : choose_to_free_memory(m_limits, m_usage, uses())) {
            close(*m_connections[index], close_cause::memory);
        }
    }
}

void connection_budget::free_connections(const void* listener) {
    for (const auto index :
         choose_to_free_connections(uses(), max_freed_connections, boot_clock::now(), listener)) {
        close(*m_connections[index], close_cause::connections);
    }
}

bool connection_budget::reserve_body(byte_count size, byte_count held) {
    if (!admits_body(m_limits, m_usage, size, held)) {
        return false;
    }
    m_usage.bodies_memory.value += size.value;
    return true;
}

} // namespace endivelever
