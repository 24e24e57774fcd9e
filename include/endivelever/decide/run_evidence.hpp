#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace endivelever {

/// What proves that an attempt has not run its request.
enum class not_run_proof : std::uint8_t {
    none,       ///< the request may have run, or may still run
    not_sent,   ///< the transfer ended before any byte of the request was sent
    rejected,   ///< the server states it in its response to this request
    misdirected ///< another server responded, which runs only requests that name it
};

/// @return the name of a proof, for logs and metrics
std::string_view name_of(not_run_proof proof);

/// @param attempts  the proof for each attempt of a request; empty if it was sent to no server
/// @return true if at least one attempt is without proof
bool may_have_run(std::span<const not_run_proof> attempts);

/// @return true for statuses from which callers conclude that the request was not run and never will be
bool promises_not_run(unsigned status);

/// Status of a response to a caller. It exists only as a result of permit(), so that no path to the caller
/// can leave out the check.
class response_status {
  public:
    /// Replaces by 502 a status that promises that the request was not run, unless that is proven for every
    /// attempt, and any number that is not the status of a final response.
    /// @param wanted    status of the server's response, or of the gateway's own
    /// @param attempts  as for may_have_run()
    static response_status permit(unsigned wanted, std::span<const not_run_proof> attempts);

    [[nodiscard]] unsigned value() const { return m_value; }
    /// The wanted status would have promised too much, or is none.
    [[nodiscard]] bool is_replaced() const { return m_replaced; }

  private:
    response_status(unsigned value, bool replaced) : m_value(value), m_replaced(replaced) {}
    unsigned m_value;
    bool m_replaced;
};

} // namespace endivelever
