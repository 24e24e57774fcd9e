#include "endivelever/net/frame_link.hpp"

#include "endivelever/base/log.hpp"
#include "endivelever/net/socket_endpoint.hpp"
#include "endivelever/wire/frame.hpp"

#include <array>
#include <cerrno>
#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <system_error>
#include <unistd.h>

namespace endivelever {
namespace {

constexpr ev_tstamp receive_timeout_s = 3.0; ///< also limits connecting and the nonce exchange
constexpr std::size_t max_queued_bytes = 4'194'304;
constexpr std::size_t read_size = 65'536;
constexpr int max_reads_per_event = 8;                 ///< so that a busy link does not starve the others
constexpr std::size_t max_idle_buffer_bytes = 262'144; ///< an empty buffer above this size is released

std::string errno_text(int number) {
    return std::generic_category().message(number);
}

std::span<const std::uint8_t> bytes_of(const std::string& text, std::size_t offset) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()) + offset, text.size() - offset};
}

} // namespace

struct frame_link::state : std::enable_shared_from_this<frame_link::state> {
    struct ev_loop* loop = nullptr;
    int fd = -1;
    bool connecting = false;
    bool ready = false;
    bool closed = false;
    handlers callbacks;
    link_counts* counts = nullptr;
    frame_nonce own_nonce{};
    frame_channel sending;
    frame_channel receiving;
    std::string in;
    std::string out;
    std::size_t out_offset = 0;
    std::string failure; ///< reason to close, reported in the next loop iteration
    ev_io reader{};
    ev_io writer{};
    ev_timer receive_timer{};
    ev_timer deferred{};

    state(struct ev_loop* on_loop, const std::string& key, handlers handle, link_counts& count)
        : loop(on_loop), callbacks(std::move(handle)), counts(&count), own_nonce(make_frame_nonce()) {
        sending.key = derive_frame_key(key);
        receiving.key = sending.key;
        ev_init(&reader, [](struct ev_loop*, ev_io* it, int) { run(it, &state::on_readable); });
        ev_init(&writer, [](struct ev_loop*, ev_io* it, int) { run(it, &state::on_writable); });
        ev_init(&receive_timer,
                [](struct ev_loop*, ev_timer* it, int) { run(it, &state::on_receive_timeout); });
        ev_init(&deferred, [](struct ev_loop*, ev_timer* it, int) { run(it, &state::on_deferred); });
        reader.data = this;
        writer.data = this;
        receive_timer.data = this;
        deferred.data = this;
        receive_timer.repeat = receive_timeout_s;
    }

    ~state() { release(); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    /// Runs an event handler and keeps the state alive meanwhile, because a callback may destroy the link.
    template <typename Watcher>
    static void run(Watcher* watcher, void (state::*event)()) {
        const auto self = static_cast<state*>(watcher->data)->shared_from_this();
        ((*self).*event)();
    }

    void set_roles(bool connector) {
        sending.direction = connector ? frame_direction::from_connector : frame_direction::from_acceptor;
        receiving.direction = connector ? frame_direction::from_acceptor : frame_direction::from_connector;
    }

    void open(int socket) {
        fd = socket;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ev_io_set(&reader, fd, EV_READ);
        ev_io_set(&writer, fd, EV_WRITE);
        ev_timer_again(loop, &receive_timer);
        out.assign(reinterpret_cast<const char*>(own_nonce.data()), own_nonce.size());
        ev_io_start(loop, &writer);
    }

    /// Closes the socket and stops all watchers without calling on_closed.
    void release() {
        closed = true;
        ready = false;
        ev_io_stop(loop, &reader);
        ev_io_stop(loop, &writer);
        ev_timer_stop(loop, &receive_timer);
        ev_timer_stop(loop, &deferred);
        if (fd >= 0) {
            ::close(fd);
            fd = -1;
        }
    }

    void close_with_reason(const std::string& reason) {
        if (closed) {
            return;
        }
        release();
        if (callbacks.on_closed) {
            callbacks.on_closed(reason);
        }
    }

    /// Closes the link in the next loop iteration, so that on_closed is not called inside connect() or
    /// send().
    void close_later(const std::string& reason) {
        if (!failure.empty()) {
            return;
        }
        failure = reason;
        ev_io_stop(loop, &reader);
        ev_io_stop(loop, &writer);
        ev_timer_set(&deferred, 0.0, 0.0);
        ev_timer_start(loop, &deferred);
    }

    void on_deferred() { close_with_reason(failure); }

    void on_receive_timeout() {
        close_with_reason(connecting ? "connection attempt timed out" : "no frame received for 3 s");
    }

    void on_writable() {
        if (connecting && !finish_connect()) {
            return;
        }
        ev_io_start(loop, &reader);
        const auto sent = ::send(fd, out.data() + out_offset, out.size() - out_offset, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                close_with_reason("send failed: " + errno_text(errno));
            }
            return;
        }
        counts->bytes_sent += static_cast<std::uint64_t>(sent);
        out_offset += static_cast<std::size_t>(sent);
        if (out_offset == out.size()) {
            ev_io_stop(loop, &writer);
            discard_sent();
        }
    }

    void discard_sent() {
        out.erase(0, out_offset);
        out_offset = 0;
        if (out.empty() && out.capacity() > max_idle_buffer_bytes) {
            out.shrink_to_fit();
        }
    }

    bool finish_connect() {
        int code = 0;
        socklen_t size = sizeof(code);
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
        if (code != 0) {
            close_with_reason("connection attempt failed: " + errno_text(code));
            return false;
        }
        connecting = false;
        ev_timer_again(loop, &receive_timer);
        return true;
    }

    void on_readable() {
        for (int i = 0; i < max_reads_per_event && !closed; ++i) {
            const auto old_size = in.size();
            in.resize(old_size + read_size);
            const auto count = ::recv(fd, in.data() + old_size, read_size, 0);
            const int code = errno;
            in.resize(old_size + (count > 0 ? static_cast<std::size_t>(count) : 0));
            if (count < 0 && (code == EAGAIN || code == EINTR)) {
                return;
            }
            if (count <= 0) {
                close_with_reason(count == 0 ? "closed by the peer" : "receive failed: " + errno_text(code));
                return;
            }
            counts->bytes_received += static_cast<std::uint64_t>(count);
            process_input();
            if (static_cast<std::size_t>(count) < read_size) {
                return;
            }
        }
    }

    void process_input() {
        std::size_t offset = 0;
        if (!ready && !receive_nonce(offset)) {
            return;
        }
        while (!closed && failure.empty() && handle_frame(offset)) {
        }
        in.erase(0, offset);
        if (in.empty() && in.capacity() > max_idle_buffer_bytes) {
            in.shrink_to_fit();
        }
    }

    bool receive_nonce(std::size_t& offset) {
        if (in.size() < frame_nonce_size) {
            return false;
        }
        frame_nonce peer{};
        std::copy_n(bytes_of(in, 0).begin(), peer.size(), peer.begin());
        offset = peer.size();
        const bool connector = sending.direction == frame_direction::from_connector;
        sending.connector_nonce = connector ? own_nonce : peer;
        sending.acceptor_nonce = connector ? peer : own_nonce;
        receiving.connector_nonce = sending.connector_nonce;
        receiving.acceptor_nonce = sending.acceptor_nonce;
        ready = true;
        if (callbacks.on_ready) {
            callbacks.on_ready();
        }
        return true;
    }

    void reject(const std::string& reason) {
        ++counts->bad_frames;
        close_with_reason(reason);
    }

    /// Handles one frame. @return false if no complete frame was received or the frame was rejected
    bool handle_frame(std::size_t& offset) {
        const auto frame = read_frame(receiving, bytes_of(in, offset));
        if (frame.state == frame_state::bad_length) {
            reject("received a frame with an invalid length");
        } else if (frame.state == frame_state::bad_mac) {
            reject("received a frame with an invalid MAC: the cluster keys differ, or the frame is corrupt "
                   "or replayed");
        }
        if (frame.state != frame_state::complete) {
            return false;
        }
        const auto decoded = decode(frame.payload);
        offset += frame.consumed;
        if (!decoded) {
            reject(decoded.error().message);
            return false;
        }
        ++counts->frames_received;
        ev_timer_again(loop, &receive_timer);
        if (callbacks.on_message) {
            callbacks.on_message(*decoded);
        }
        return true;
    }

    void send(const message& value) {
        if (!ready || !failure.empty()) {
            return;
        }
        const auto payload = encode(value);
        if (out.size() - out_offset + payload.size() > max_queued_bytes) {
            close_later("send queue exceeds 4 MB");
            return;
        }
        if (!append_frame(sending, payload, out)) {
            LOG(ERROR) << "[net] dropped a message of " << payload.size()
                       << " bytes: larger than the frame limit";
            return;
        }
        ++counts->frames_sent;
        ev_io_start(loop, &writer);
    }
};

std::unique_ptr<frame_link> frame_link::connect(struct ev_loop* loop, const socket_address& address,
                                                const std::string& key, handlers callbacks,
                                                link_counts& counts) {
    auto it = std::make_shared<state>(loop, key, std::move(callbacks), counts);
    it->set_roles(true);
    it->connecting = true;
    std::unique_ptr<frame_link> link(new frame_link(it));
    const auto endpoint = to_endpoint(address);
    if (!endpoint) {
        it->close_later(endpoint.error().message);
        return link;
    }
    const int fd = ::socket(endpoint->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        it->close_later("cannot create socket: " + errno_text(errno));
        return link;
    }
    it->open(fd);
    if (::connect(fd, endpoint->get(), endpoint->length) != 0 && errno != EINPROGRESS) {
        it->close_later("connection attempt failed: " + errno_text(errno));
    }
    return link;
}

std::unique_ptr<frame_link> frame_link::accept(struct ev_loop* loop, int fd, const std::string& key,
                                               handlers callbacks, link_counts& counts) {
    auto it = std::make_shared<state>(loop, key, std::move(callbacks), counts);
    it->set_roles(false);
    it->open(fd);
    return std::unique_ptr<frame_link>(new frame_link(it));
}

frame_link::frame_link(std::shared_ptr<state> it) : m_state(std::move(it)) {}

frame_link::~frame_link() {
    m_state->release();
}

void frame_link::send(const message& value) {
    m_state->send(value);
}

void frame_link::close() {
    m_state->release();
}

bool frame_link::ready() const {
    return m_state->ready;
}

} // namespace endivelever
