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

constexpr ev_tstamp silence_limit_s = 3.0; ///< also the limit of connecting and of the nonce exchange
constexpr std::size_t max_waiting_bytes = 4'194'304;
constexpr std::size_t read_size = 65'536;
constexpr int reads_per_turn = 8; ///< so that one busy link does not hold up the others
constexpr std::size_t idle_buffer_bytes = 262'144;

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
    std::string failure; ///< reason of a failure that is reported from the loop
    ev_io reader{};
    ev_io writer{};
    ev_timer silence{};
    ev_timer deferred{};

    state(struct ev_loop* on_loop, const std::string& key, handlers handle, link_counts& count)
        : loop(on_loop), callbacks(std::move(handle)), counts(&count), own_nonce(make_frame_nonce()) {
        sending.key = derive_frame_key(key);
        receiving.key = sending.key;
        ev_init(&reader, [](struct ev_loop*, ev_io* it, int) { run(it, &state::on_readable); });
        ev_init(&writer, [](struct ev_loop*, ev_io* it, int) { run(it, &state::on_writable); });
        ev_init(&silence, [](struct ev_loop*, ev_timer* it, int) { run(it, &state::on_silence); });
        ev_init(&deferred, [](struct ev_loop*, ev_timer* it, int) { run(it, &state::on_deferred); });
        reader.data = this;
        writer.data = this;
        silence.data = this;
        deferred.data = this;
        silence.repeat = silence_limit_s;
    }

    ~state() { release(); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    /// Runs an event with the state kept alive, because a handler may destroy the link.
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
        ev_timer_again(loop, &silence);
        out.assign(reinterpret_cast<const char*>(own_nonce.data()), own_nonce.size());
        ev_io_start(loop, &writer);
    }

    /// Ends the link without a callback.
    void release() {
        closed = true;
        ready = false;
        ev_io_stop(loop, &reader);
        ev_io_stop(loop, &writer);
        ev_timer_stop(loop, &silence);
        ev_timer_stop(loop, &deferred);
        if (fd >= 0) {
            ::close(fd);
            fd = -1;
        }
    }

    void shut(const std::string& reason) {
        if (closed) {
            return;
        }
        release();
        if (callbacks.on_closed) {
            callbacks.on_closed(reason);
        }
    }

    /// Ends the link from the loop, so that no handler runs inside connect() or send().
    void shut_later(const std::string& reason) {
        if (!failure.empty()) {
            return;
        }
        failure = reason;
        ev_io_stop(loop, &reader);
        ev_io_stop(loop, &writer);
        ev_timer_set(&deferred, 0.0, 0.0);
        ev_timer_start(loop, &deferred);
    }

    void on_deferred() { shut(failure); }

    void on_silence() { shut(connecting ? "connecting timed out" : "no frame received for 3 s"); }

    void on_writable() {
        if (connecting && !finish_connect()) {
            return;
        }
        ev_io_start(loop, &reader);
        const auto sent = ::send(fd, out.data() + out_offset, out.size() - out_offset, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                shut("send failed: " + errno_text(errno));
            }
            return;
        }
        counts->bytes_sent += static_cast<std::uint64_t>(sent);
        out_offset += static_cast<std::size_t>(sent);
        if (out_offset == out.size()) {
            ev_io_stop(loop, &writer);
            drop_sent();
        }
    }

    void drop_sent() {
        out.erase(0, out_offset);
        out_offset = 0;
        if (out.empty() && out.capacity() > idle_buffer_bytes) {
            out.shrink_to_fit();
        }
    }

    bool finish_connect() {
        int code = 0;
        socklen_t size = sizeof(code);
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
        if (code != 0) {
            shut("connecting failed: " + errno_text(code));
            return false;
        }
        connecting = false;
        ev_timer_again(loop, &silence);
        return true;
    }

    void on_readable() {
        for (int i = 0; i < reads_per_turn && !closed; ++i) {
            const auto old_size = in.size();
            in.resize(old_size + read_size);
            const auto count = ::recv(fd, in.data() + old_size, read_size, 0);
            const int code = errno;
            in.resize(old_size + (count > 0 ? static_cast<std::size_t>(count) : 0));
            if (count < 0 && (code == EAGAIN || code == EINTR)) {
                return;
            }
            if (count <= 0) {
                shut(count == 0 ? "closed by the peer" : "receive failed: " + errno_text(code));
                return;
            }
            counts->bytes_received += static_cast<std::uint64_t>(count);
            on_received();
            if (static_cast<std::size_t>(count) < read_size) {
                return;
            }
        }
    }

    void on_received() {
        std::size_t offset = 0;
        if (!ready && !take_nonce(offset)) {
            return;
        }
        while (!closed && failure.empty() && take_frame(offset)) {
        }
        in.erase(0, offset);
        if (in.empty() && in.capacity() > idle_buffer_bytes) {
            in.shrink_to_fit();
        }
    }

    bool take_nonce(std::size_t& offset) {
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
        shut(reason);
    }

    /// Handles one frame. @return false if there is no complete frame or the link closed
    bool take_frame(std::size_t& offset) {
        const auto frame = read_frame(receiving, bytes_of(in, offset));
        if (frame.state == frame_state::bad_length) {
            reject("frame with invalid length");
        } else if (frame.state == frame_state::bad_mac) {
            reject("frame with wrong MAC: other cluster key, or a corrupt or replayed frame");
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
        ev_timer_again(loop, &silence);
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
        if (out.size() - out_offset + payload.size() > max_waiting_bytes) {
            shut_later("more than 4 MB wait to be sent");
            return;
        }
        if (!append_frame(sending, payload, out)) {
            LOG(ERROR) << "[net] message of " << payload.size() << " bytes exceeds the frame limit";
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
        it->shut_later(endpoint.error().message);
        return link;
    }
    const int fd = ::socket(endpoint->get()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        it->shut_later("no socket: " + errno_text(errno));
        return link;
    }
    it->open(fd);
    if (::connect(fd, endpoint->get(), endpoint->length) != 0 && errno != EINPROGRESS) {
        it->shut_later("connecting failed: " + errno_text(errno));
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
