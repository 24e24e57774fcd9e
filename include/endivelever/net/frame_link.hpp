#pragma once

#include "endivelever/base/result.hpp"
#include "endivelever/base/time.hpp"
#include "endivelever/config/settings.hpp"
#include "endivelever/wire/messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct ev_loop;

namespace endivelever {

/// Counters over all links of a process.
struct link_counts {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bad_frames = 0; ///< invalid length, invalid MAC or undecodable payload
};

/// Authenticated TCP connection that carries messages. Closed on an invalid frame, when no frame is received
/// for 3 s after the connection is established, or when the send queue exceeds 4 MB.
class frame_link {
  public:
    struct handlers {
        std::function<void()> on_ready; ///< nonces are exchanged; messages may be sent
        std::function<void(const message&)> on_message;
        std::function<void(const std::string&)> on_closed; ///< reason; the last callback
    };

    /// Starts to connect. Failures are reported through on_closed.
    static std::unique_ptr<frame_link> connect(struct ev_loop* loop, const socket_address& address,
                                               const std::string& key, handlers callbacks,
                                               link_counts& counts);
    /// Takes ownership of an accepted non-blocking socket.
    static std::unique_ptr<frame_link> accept(struct ev_loop* loop, int fd, const std::string& key,
                                              handlers callbacks, link_counts& counts);
    ~frame_link();
    frame_link(const frame_link&) = delete;
    frame_link& operator=(const frame_link&) = delete;
    frame_link(frame_link&&) = delete;
    frame_link& operator=(frame_link&&) = delete;

    /// Queues a message. Ignored before on_ready and after the link has closed. May be called from a handler.
    void send(const message& value);
    /// Closes without calling on_closed. The object may be destroyed from a handler.
    void close();
    [[nodiscard]] bool ready() const;

  private:
    struct state;
    explicit frame_link(std::shared_ptr<state> it);
    std::shared_ptr<state> m_state;
};

/// Listening TCP socket that accepts connections for frame links.
class frame_listener {
  public:
    /// @param on_accept  receives each accepted non-blocking socket; must not destroy the listener
    /// @return the listener, or error [net.N] if the address cannot be bound
    static result<std::unique_ptr<frame_listener>> open(struct ev_loop* loop, const socket_address& address,
                                                        std::function<void(int fd)> on_accept);
    ~frame_listener();
    frame_listener(const frame_listener&) = delete;
    frame_listener& operator=(const frame_listener&) = delete;
    frame_listener(frame_listener&&) = delete;
    frame_listener& operator=(frame_listener&&) = delete;
    /// @return the bound port, e.g. if the address was given with port 0
    [[nodiscard]] std::uint16_t port() const;

  private:
    struct state;
    explicit frame_listener(std::unique_ptr<state> it);
    std::unique_ptr<state> m_state;
};

} // namespace endivelever
