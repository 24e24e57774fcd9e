#include "endivelever/net/http_client.hpp"

#include "http_client_core.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelever {
namespace detail {
namespace {

constexpr long max_cached_connections = 8192;
constexpr duration progress_check_interval = std::chrono::milliseconds(10);
/// A longer time between two progress checks means that this process was not scheduled in between.
constexpr duration max_progress_check_gap = std::chrono::milliseconds(50);

constexpr int keep_alive_probes = 2;

void set_keep_alive(int fd, duration interval) {
    if (interval <= duration::zero()) {
        return;
    }
    const int on = 1;
    const int seconds =
        std::max(1, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(interval).count()));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof keep_alive_probes);
}

} // namespace

client_core::client_core(struct ev_loop* event_loop, std::uint32_t max_connections_per_address)
    : loop(event_loop), multi(curl_multi_init()) {
    timeout = std::make_unique<timer>(loop, [this] {
        timeout_due = true;
        run_later->schedule();
    });
    progress_check = std::make_unique<timer>(loop, [this] { check_progress(); });
    run_later = std::make_unique<deferred_call>(loop, [this] { run(); });
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &client_core::on_socket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &client_core::on_timer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(max_connections_per_address));
}

client_core::~client_core() {
    for (auto& entry : transfers) {
        release(*entry.second);
    }
    transfers.clear();
    curl_multi_cleanup(multi);
}

transfer_id client_core::start(http_request request, transfer_handlers callbacks) {
    auto it = std::make_unique<transfer_state>();
    it->core = this;
    it->id = ++last_id;
    it->request = std::move(request);
    it->handlers = std::move(callbacks);
    const auto id = it->id;
    transfers.emplace(id, std::move(it));
    to_add.push_back(id);
    run_later->schedule();
    return id;
}

void client_core::cancel(transfer_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end() || found->second->cancelled) {
        return;
    }
    found->second->cancelled = true;
    found->second->handlers.on_done = nullptr;
    to_cancel.push_back(id);
    run_later->schedule();
}

void client_core::resume(transfer_id id) {
    const auto found = transfers.find(id);
    if (found == transfers.end() || found->second->resume_requested) {
        return;
    }
    found->second->resume_requested = true;
    to_resume.push_back(id);
    run_later->schedule();
}

void client_core::discard_idle(const std::string& address) {
    for (const auto& entry : sockets) {
        if (!entry.second->busy && entry.second->address == address) {
            // libcurl checks a cached connection before reuse and drops one that was shut down.
            shutdown(entry.first, SHUT_RDWR);
        }
    }
}

void client_socket::watch_while_idle(struct ev_loop* loop) {
    ev_io_stop(loop, &watcher);
    ev_io_set(&watcher, watcher.fd, EV_READ);
    ev_io_start(loop, &watcher);
}

void client_core::mark_idle(CURL* easy) {
    curl_socket_t fd = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy, CURLINFO_ACTIVESOCKET, &fd);
    const auto found = sockets.find(fd);
    // libcurl may have assigned the connection to the next transfer before this one was collected.
    if (found != sockets.end() && !found->second->polled) {
        found->second->busy = false;
        found->second->watch_while_idle(loop);
    }
}

curl_socket_t client_core::open_socket(void* data, curlsocktype /*purpose*/, struct curl_sockaddr* address) {
    auto& it = *static_cast<transfer_state*>(data);
    const auto fd = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    set_keep_alive(fd, it.request.keep_alive_interval);
    auto opened = std::make_unique<client_socket>();
    opened->core = it.core;
    opened->address = it.request.address.text;
    opened->watcher.data = opened.get();
    ev_io_init(&opened->watcher, &client_core::on_ready, fd, 0);
    it.core->sockets[fd] = std::move(opened);
    return fd;
}

int client_core::close_socket(void* data, curl_socket_t fd) {
    auto& self = *static_cast<client_core*>(data);
    const auto found = self.sockets.find(fd);
    if (found != self.sockets.end()) {
        ev_io_stop(self.loop, &found->second->watcher);
        self.sockets.erase(found);
    }
    return close(fd);
}

int client_core::on_socket(CURL* /*easy*/, curl_socket_t fd, int what, void* data, void* /*socket_data*/) {
    auto& self = *static_cast<client_core*>(data);
    const auto found = self.sockets.find(fd);
    if (found == self.sockets.end()) {
        return 0;
    }
    auto& watcher = found->second->watcher;
    ev_io_stop(self.loop, &watcher);
    found->second->polled = what != CURL_POLL_REMOVE;
    if (what == CURL_POLL_REMOVE) {
        return 0;
    }
    found->second->busy = true;
    const int events =
        ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    if (events != 0) {
        ev_io_set(&watcher, fd, events);
        ev_io_start(self.loop, &watcher);
    }
    return 0;
}

int client_core::on_timer(CURLM* /*multi*/, long timeout_ms, void* data) {
    auto& self = *static_cast<client_core*>(data);
    if (timeout_ms < 0) {
        self.timeout->stop();
    } else if (timeout_ms == 0) {
        self.timeout->stop();
        self.timeout_due = true;
        self.run_later->schedule();
    } else {
        self.timeout->start(std::chrono::milliseconds(timeout_ms));
    }
    return 0;
}

void client_core::on_ready(struct ev_loop* /*loop*/, ev_io* watcher, int events) {
    const auto& socket = *static_cast<client_socket*>(watcher->data);
    auto& self = *socket.core;
    if (!socket.busy) {
        // libcurl checks a cached connection before reuse and drops one that was shut down.
        ev_io_stop(self.loop, watcher);
        shutdown(watcher->fd, SHUT_RDWR);
        return;
    }
    const int flags =
        ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    self.socket_action(watcher->fd, flags);
}

void client_core::socket_action(curl_socket_t fd, int flags) {
    int running = 0;
    curl_multi_socket_action(multi, fd, flags, &running);
    collect_finished();
}

void client_core::run() {
    cancel_waiting();
    add_waiting();
    resume_waiting();
    if (timeout_due) {
        timeout_due = false;
        socket_action(CURL_SOCKET_TIMEOUT, 0);
    }
}

void client_core::add_waiting() {
    const auto ids = std::exchange(to_add, {});
    for (const auto id : ids) {
        const auto found = transfers.find(id);
        if (found == transfers.end()) {
            continue;
        }
        auto& it = *found->second;
        it.easy = curl_easy_init();
        prepare_handle(it);
        it.last_progress = boot_clock::now();
        it.added = true;
        curl_multi_add_handle(multi, it.easy);
        if (it.request.progress_timeout > duration::zero() && !progress_check->active()) {
            last_progress_check = boot_clock::now();
            progress_check->start(progress_check_interval, progress_check_interval);
        }
    }
}

void client_core::resume_waiting() {
    const auto ids = std::exchange(to_resume, {});
    for (const auto id : ids) {
        const auto found = transfers.find(id);
        if (found == transfers.end()) {
            continue;
        }
        auto& it = *found->second;
        it.resume_requested = false;
        if (!it.added || it.cancelled) {
            continue;
        }
        it.paused = false;
        it.last_progress = boot_clock::now();
        curl_easy_pause(it.easy, CURLPAUSE_CONT);
    }
    if (!ids.empty()) {
        collect_finished();
    }
}

void client_core::cancel_waiting() {
    const auto ids = std::exchange(to_cancel, {});
    for (const auto id : ids) {
        const auto found = transfers.find(id);
        if (found != transfers.end()) {
            release(*found->second);
            transfers.erase(found);
        }
    }
}

void client_core::collect_finished() {
    int messages_left = 0;
    while (const auto* info = curl_multi_info_read(multi, &messages_left)) {
        if (info->msg != CURLMSG_DONE) {
            continue;
        }
        transfer_state* it = nullptr;
        const auto code = info->data.result;
        curl_easy_getinfo(info->easy_handle, CURLINFO_PRIVATE, &it);
        finish(*it, code);
    }
}

void client_core::finish(transfer_state& it, CURLcode code) {
    set_result(it, code);
    const auto found = transfers.find(it.id);
    const auto owned = std::move(found->second);
    transfers.erase(found);
    mark_idle(it.easy);
    release(it);
    if (it.handlers.on_done) {
        it.handlers.on_done(it.result);
    }
}

void client_core::release(transfer_state& it) {
    if (it.easy != nullptr) {
        // Removing a handle during a transfer closes its connection.
        curl_multi_remove_handle(multi, it.easy);
        // curl_easy_reset() keeps a pointer to the last header line, which libcurl 7.88 follows if the first
        // line of the next response is folded.
        curl_easy_cleanup(it.easy);
        it.easy = nullptr;
    }
    curl_slist_free_all(it.header_list);
    it.header_list = nullptr;
}

void client_core::check_progress() {
    const auto now = boot_clock::now();
    // Data that arrived while this process was not scheduled is still unread, so this check ends no transfer.
    const bool was_suspended = now - std::exchange(last_progress_check, now) > max_progress_check_gap;
    std::vector<transfer_id> stalled;
    bool has_limited_transfers = false;
    for (const auto& entry : transfers) {
        const auto& it = *entry.second;
        const auto limit = it.request.progress_timeout;
        if (limit <= duration::zero() || it.cancelled) {
            continue;
        }
        has_limited_transfers = true;
        if (!was_suspended && it.added && !it.paused && now - it.last_progress > limit) {
            stalled.push_back(entry.first);
        }
    }
    for (const auto id : stalled) {
        const auto found = transfers.find(id);
        if (found != transfers.end()) {
            found->second->stalled = true;
            finish(*found->second, CURLE_OPERATION_TIMEDOUT);
        }
    }
    if (!has_limited_transfers) {
        progress_check->stop();
    }
}

} // namespace detail

struct http_client::state {
    detail::client_core core;
};

http_client::http_client(struct ev_loop* loop, std::uint32_t max_connections_per_address)
    : m_state(new state{detail::client_core(loop, max_connections_per_address)}) {}

http_client::~http_client() = default;

transfer_id http_client::start(http_request request, transfer_handlers callbacks) {
    return m_state->core.start(std::move(request), std::move(callbacks));
}

void http_client::cancel(transfer_id id) {
    m_state->core.cancel(id);
}

void http_client::resume(transfer_id id) {
    m_state->core.resume(id);
}

void http_client::discard_idle(const socket_address& address) {
    m_state->core.discard_idle(address.text);
}

namespace {

/// State of one fetch() call.
struct fetch_state {
    http_client& client;
    transfer_id id = 0;
    byte_count max_body;
    std::function<void(const http_reply&)> on_done;
    http_reply reply;
};

bool append_body(fetch_state& it, std::string_view data) {
    if (it.reply.body.size() + data.size() <= it.max_body.value) {
        it.reply.body.append(data);
        return true;
    }
    it.client.cancel(it.id);
    it.reply.result.failure = transfer_failure::broken;
    it.reply.result.sent = true;
    it.reply.result.detail = "response body is larger than allowed";
    it.on_done(it.reply);
    return true;
}

} // namespace

transfer_id fetch(http_client& client, http_request request, byte_count max_body,
                  std::function<void(const http_reply&)> on_done) {
    auto it = std::make_shared<fetch_state>(fetch_state{client, 0, max_body, std::move(on_done), {}});
    transfer_handlers handlers;
    handlers.on_head = [it](unsigned status, const http_headers& headers) {
        it->reply.result.status = status;
        it->reply.headers = headers;
    };
    handlers.on_body = [it](std::string_view data) { return append_body(*it, data); };
    handlers.on_done = [it](const transfer_result& end) {
        it->reply.result = end;
        it->on_done(it->reply);
    };
    it->id = client.start(std::move(request), std::move(handlers));
    return it->id;
}

} // namespace endivelever
