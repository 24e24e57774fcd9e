#pragma once

#include "endivelever/decide/intake_budget.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace endivelever {

/// Why a connection was closed by a limit.
enum class close_cause {
    memory,      ///< the process exceeded its memory and this connection held most
    connections, ///< another caller needed the connection
    stalled      ///< too few bytes in the progress timeout
};

inline constexpr std::size_t close_cause_count = 3;

/// @return the cause as a metric label
const char* name_of(close_cause cause);

/// Connection that takes part in a budget. It joins and leaves the budget with its lifetime.
class budgeted_connection {
  public:
    virtual ~budgeted_connection() = default;
    budgeted_connection(const budgeted_connection&) = delete;
    budgeted_connection& operator=(const budgeted_connection&) = delete;
    budgeted_connection(budgeted_connection&&) = delete;
    budgeted_connection& operator=(budgeted_connection&&) = delete;

    [[nodiscard]] virtual bool waits_for_caller() const = 0;
    [[nodiscard]] virtual time_point last_transfer() const = 0;
    /// Ends the connection later in this loop iteration; does not destroy it.
    virtual void close_by_limit() = 0;
    /// Identifies the listener that accepted the connection.
    [[nodiscard]] virtual const void* listener() const = 0;

  protected:
    budgeted_connection() = default;

  private:
    friend class connection_budget;
    std::size_t m_index = 0; ///< in the budget's list
    byte_count m_charged;
    bool m_closing = false; ///< chosen to end; its memory no longer counts for the choice of others
};

/// Memory and connections of all listeners of a process.
class connection_budget {
  public:
    explicit connection_budget(const intake_limits& limits) : m_limits(limits) {}

    [[nodiscard]] const intake_limits& limits() const { return m_limits; }
    [[nodiscard]] const intake_usage& usage() const { return m_usage; }
    [[nodiscard]] std::uint64_t closed(close_cause cause) const {
        return m_closed.at(static_cast<std::size_t>(cause));
    }
    [[nodiscard]] bool has_free_connection() const {
        return m_limits.connections == 0 || m_usage.connections < m_limits.connections;
    }

    /// True if requests may be read. Connections that were chosen to end count until they are freed.
    [[nodiscard]] bool has_free_memory() const {
        return m_limits.memory.value == 0 ||
               m_usage.connections_memory.value + m_closing_memory.value <= m_limits.memory.value;
    }

    void join(budgeted_connection& it);
    void leave(budgeted_connection& it);
    /// Replaces the memory that a connection is charged for, and closes the ones that hold most if the
    /// process exceeds its memory.
    void charge(budgeted_connection& it, byte_count held);
    /// Closes connections that wait for their callers, so that new ones can be accepted. They are freed later
    /// in this loop iteration.
    /// @param listener  the listener that is full; nullptr if the process has too many connections
    void free_connections(const void* listener);
    /// Counts a connection from which no further request is read until earlier ones have ended or the caller
    /// has read their responses.
    void count_paused_reading() { ++m_paused_readings; }
    [[nodiscard]] std::uint64_t paused_readings() const { return m_paused_readings; }
    /// Counts a request whose head is larger than allowed or cannot be read.
    void count_rejected_head() { ++m_rejected_heads; }
    [[nodiscard]] std::uint64_t rejected_heads() const { return m_rejected_heads; }
    void count_closed(close_cause cause) { ++m_closed.at(static_cast<std::size_t>(cause)); }

    /// Reserves memory for a request body. @return false if it must not be read
    [[nodiscard]] bool reserve_body(byte_count size, byte_count held = {});
    void release_body(byte_count size) { m_usage.bodies_memory.value -= size.value; }

  private:
    [[nodiscard]] std::vector<connection_use> uses() const;
    void close(budgeted_connection& it, close_cause cause);

    intake_limits m_limits;
    intake_usage m_usage;
    byte_count m_closing_memory; ///< of connections that were chosen to end
    std::vector<budgeted_connection*> m_connections;
    std::array<std::uint64_t, close_cause_count> m_closed{};
    std::uint64_t m_paused_readings = 0;
    std::uint64_t m_rejected_heads = 0;
};

} // namespace endivelever
