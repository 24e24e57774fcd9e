#include "pipelined_server.hpp"

#include "deferred_call.hpp"
#include "endivelever/net/event_loop.hpp"
#include "endivelever/net/socket_endpoint.hpp"
#include "pipelined_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace endivelever::detail {
namespace {

using namespace std::chrono_literals;

constexpr duration timeout_check_interval = 1s;
constexpr duration max_timeout_check_gap = 3s;
// Connections accepted per loop iteration, so that a burst does not delay other events.
constexpr std::size_t max_accepts_per_event = 64;

class pipelined_server final : public http_server {
  public:
    pipelined_server(struct ev_loop* loop, int listen_fd, const options& opts, handlers callbacks);
    ~pipelined_server() override;
    pipelined_server(const pipelined_server&) = delete;
    pipelined_server& operator=(const pipelined_server&) = delete;
    pipelined_server(pipelined_server&&) = delete;
    pipelined_server& operator=(pipelined_server&&) = delete;

    [[nodiscard]] std::uint16_t port() const override { return m_port; }
    [[nodiscard]] std::size_t open_exchanges() const override { return m_core.open_exchanges; }
    [[nodiscard]] std::size_t open_connections() const override { return m_connections.size(); }
    void announce_close() override { m_core.stopping = true; }
    void stop_accepting() override;
    void drain() override;

  private:
    void accept_pending(std::size_t limit);
    void process_scheduled();
    void resume_accepting();
    void start_timeout_checks();
    void free_connections();
    [[nodiscard]] bool may_accept() const {
        return m_connections.size() < m_core.opts.max_connections && m_core.budget->has_free_connection();
    }
    void check_timeouts();

    pipelined_core m_core;
    int m_listen_fd;
    std::uint16_t m_port;
    ev_io m_acceptable{};
    std::unordered_map<pipelined_connection*, std::shared_ptr<pipelined_connection>> m_connections;
    std::vector<std::shared_ptr<pipelined_connection>> m_scheduled;
    std::vector<std::shared_ptr<pipelined_connection>> m_continued; ///< for the next loop iteration
    deferred_call m_process_later;
    next_iteration_call m_process_next;
    timer m_timeout_check_timer;
    time_point m_last_timeout_check{};
};

pipelined_server::pipelined_server(struct ev_loop* loop, int listen_fd, const options& opts,
                                   handlers callbacks)
    : m_listen_fd(listen_fd), m_port(bound_port(listen_fd)),
      m_process_later(loop, [this] { process_scheduled(); }),
      m_process_next(loop,
                     [this] {
                         for (auto& it : std::exchange(m_continued, {})) {
                             m_scheduled.push_back(std::move(it));
                         }
                         m_process_later.schedule();
                     }),
      m_timeout_check_timer(loop, [this] { check_timeouts(); }) {
    m_core.loop = loop;
    m_core.callbacks = std::move(callbacks);
    m_core.opts = opts;
    m_core.budget =
        opts.budget != nullptr ? opts.budget : std::make_shared<connection_budget>(intake_limits{});
    m_core.schedule_processing = [this](std::shared_ptr<pipelined_connection> it) {
        if (std::exchange(it->processing_scheduled, true)) {
            return;
        }
        if (it->processing) {
            m_continued.push_back(std::move(it));
            m_process_next.schedule();
        } else {
            m_scheduled.push_back(std::move(it));
            m_process_later.schedule();
        }
    };
    ev_io_init(
        &m_acceptable,
        [](struct ev_loop*, ev_io* it, int) {
            static_cast<pipelined_server*>(it->data)->accept_pending(max_accepts_per_event);
        },
        listen_fd, EV_READ);
    m_acceptable.data = this;
    ev_io_start(loop, &m_acceptable);
}

pipelined_server::~pipelined_server() {
    stop_accepting();
    m_scheduled.clear();
    m_continued.clear();
    m_connections.clear();
}

void pipelined_server::stop_accepting() {
    m_core.stopping = true;
    if (m_listen_fd >= 0) {
        ev_io_stop(m_core.loop, &m_acceptable);
        close(m_listen_fd);
        m_listen_fd = -1;
    }
}

void pipelined_server::drain() {
    if (std::exchange(m_core.draining, true)) {
        return;
    }
    if (m_listen_fd >= 0) {
        accept_pending(m_core.opts.max_connections);
    }
    stop_accepting();
    for (const auto& it : m_connections) {
        it.second->begin_drain();
    }
}

void pipelined_server::accept_pending(std::size_t limit) {
    for (std::size_t i = 0; i < limit; ++i) {
        if (!may_accept()) {
            // Accepting goes on when a connection has been freed; check_timeouts() tries again otherwise.
            free_connections();
            ev_io_stop(m_core.loop, &m_acceptable);
            start_timeout_checks();
            return;
        }
        const int fd = accept4(m_listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                ev_io_stop(m_core.loop, &m_acceptable); // out of descriptors; check_timeouts() retries
                start_timeout_checks();
            }
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto it = std::make_shared<pipelined_connection>(m_core, fd);
        auto& added = *m_connections.emplace(it.get(), it).first->second;
        added.charge_memory();
        start_timeout_checks();
    }
}

void pipelined_server::process_scheduled() {
    for (const auto& it : std::exchange(m_scheduled, {})) {
        it->processing_scheduled = false;
        it->processing = true;
        const bool is_open = it->process();
        it->processing = false;
        if (!is_open) {
            m_connections.erase(it.get());
        }
    }
    resume_accepting();
}

void pipelined_server::start_timeout_checks() {
    if (!m_timeout_check_timer.active()) {
        m_last_timeout_check = boot_clock::now();
        m_timeout_check_timer.start(timeout_check_interval);
    }
}

void pipelined_server::free_connections() {
    const bool is_full = m_connections.size() >= m_core.opts.max_connections;
    m_core.budget->free_connections(is_full ? &m_core : nullptr);
}

void pipelined_server::resume_accepting() {
    if (m_listen_fd >= 0 && may_accept()) {
        ev_io_start(m_core.loop, &m_acceptable);
    }
}

void pipelined_server::check_timeouts() {
    const auto now = boot_clock::now();
    // After a pause of this process, data that arrived meanwhile is still unread, so this check ends nothing.
    const bool was_suspended = now - std::exchange(m_last_timeout_check, now) > max_timeout_check_gap;
    if (!was_suspended) {
        for (const auto& it : m_connections) {
            it.second->check_timeout(now);
        }
    }
    if (m_listen_fd >= 0 && !may_accept() && !ev_is_active(&m_acceptable)) {
        free_connections();
    }
    resume_accepting();
    if (!m_connections.empty() || (m_listen_fd >= 0 && !ev_is_active(&m_acceptable))) {
        m_timeout_check_timer.start(timeout_check_interval);
    }
}

} // namespace

std::unique_ptr<http_server> make_pipelined_server(struct ev_loop* loop, int listen_fd,
                                                   const http_server::options& opts,
                                                   http_server::handlers callbacks) {
    return std::make_unique<pipelined_server>(loop, listen_fd, opts, std::move(callbacks));
}

} // namespace endivelever::detail
