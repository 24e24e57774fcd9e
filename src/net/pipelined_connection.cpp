#include "pipelined_connection.hpp"

#include "http_framing.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelever::detail {
namespace {

using namespace std::chrono_literals;

// Concurrent requests of one connection; further requests are not parsed until one of these ends.
constexpr std::size_t max_open_requests = 32;
// Time for the caller to read the last response and close the connection, which takes one round trip.
// Closing earlier could reset the connection before the caller has read the response.
constexpr duration linger_limit = 2s;
// Input that is read while no request may be parsed; further input stays in the socket.
constexpr std::size_t max_unparsed_input = 4UL * 1024UL;
// Bytes read at once outside of a body. Most heads are shorter; what is left over is kept until it can be
// parsed.
constexpr std::size_t head_read_size = 4UL * 1024UL;
constexpr int keep_parsing = 0;
constexpr int stop_parsing = -1;

pipelined_connection& connection_of(http_parser* parser) {
    return *static_cast<pipelined_connection*>(parser->data);
}

void trim_end(std::string& text) {
    text.erase(text.find_last_not_of(" \t") + 1);
}

bool has_one_host(const http_headers& headers) {
    return std::count_if(headers.begin(), headers.end(),
                         [](const http_header& it) { return header_names_equal(it.name, "Host"); }) == 1;
}

} // namespace

pipelined_connection::pipelined_connection(pipelined_core& core, int fd)
    : m_core(core), m_fd(fd), m_last_transfer(boot_clock::now()) {
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    ev_io_init(
        &m_readable,
        [](struct ev_loop*, ev_io* it, int) {
            static_cast<pipelined_connection*>(it->data)->read_available();
        },
        fd, EV_READ);
    ev_io_init(
        &m_writable,
        [](struct ev_loop*, ev_io* it, int) {
            auto& self = *static_cast<pipelined_connection*>(it->data);
            self.m_write_blocked = false;
            self.schedule_processing();
        },
        fd, EV_WRITE);
    m_readable.data = this;
    m_writable.data = this;
    ev_io_start(m_core.loop, &m_readable);
    m_core.budget->join(*this);
}

pipelined_connection::~pipelined_connection() {
    m_core.budget->leave(*this);
    ev_io_stop(m_core.loop, &m_readable);
    ev_io_stop(m_core.loop, &m_writable);
    close(m_fd);
}

void pipelined_connection::read_available() {
    if (m_ended) {
        return;
    }
    if (m_closed_idle) {
        // Either the caller closed as well, or a request crossed the close. It stays unread, so that close()
        // resets the connection and the caller knows that the request was not handled.
        m_ended = true;
        schedule_processing();
        return;
    }
    if (m_reads_requests && m_receiving == nullptr && !m_core.budget->has_free_memory()) {
        // Connections are processed later in this loop iteration. If the ones that end then free too little,
        // this one is read again in the next iteration.
        schedule_processing();
        return;
    }
    auto& buf = m_core.read_buffer;
    const auto n = recv(m_fd, buf.data(), receive_size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    note_transfer(static_cast<std::size_t>(std::max<ssize_t>(0, n)));
    if (n <= 0) {
        m_ended = true;
    } else if (m_reads_requests) {
        pause_if_needed();
        parse({buf.data(), static_cast<std::size_t>(n)});
        charge_memory();
    }
    schedule_processing();
}

/// Bodies are passed on at once. Other input may have to be kept until earlier requests have ended.
std::size_t pipelined_connection::receive_size() const {
    if (m_receiving != nullptr || !m_reads_requests) {
        return m_core.read_buffer.size();
    }
    const auto kept = std::min(m_unparsed_input.size(), head_read_size - 1);
    return std::min(head_read_size - kept, m_core.read_buffer.size());
}

void pipelined_connection::note_transfer(std::size_t n) {
    m_last_transfer = boot_clock::now();
    m_progress.bytes += n;
}

http_parser_settings pipelined_connection::parser_settings() {
    http_parser_settings on;
    http_parser_settings_init(&on);
    on.on_message_begin = [](http_parser* parser) {
        auto& self = connection_of(parser);
        self.m_head = {};
        self.m_head_size = 0;
        self.m_in_head = true;
        self.m_has_value = false;
        return keep_parsing;
    };
    on.on_url = [](http_parser* parser, const char* data, std::size_t size) {
        auto& self = connection_of(parser);
        self.m_head.target.append(data, size);
        return self.on_header({}, {});
    };
    on.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
        return connection_of(parser).on_header({data, size}, {});
    };
    on.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
        // Also called for an empty value, so that the next name starts a new header.
        auto& self = connection_of(parser);
        self.m_has_value = self.m_has_value || self.m_in_head;
        return self.on_header({}, {data, size});
    };
    on.on_headers_complete = [](http_parser* parser) { return connection_of(parser).on_headers_complete(); };
    on.on_body = [](http_parser* parser, const char* data, std::size_t size) {
        return connection_of(parser).on_body({data, size});
    };
    on.on_message_complete = [](http_parser* parser) { return connection_of(parser).on_message_complete(); };
    return on;
}

void pipelined_connection::parse(std::string_view data) {
    static const http_parser_settings settings = parser_settings();
    const auto n = http_parser_execute(&m_parser, &settings, data.data(), data.size());
    if (!m_reads_requests) {
        return;
    }
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
        m_unparsed_input.reserve(m_unparsed_input.size() + data.size() - n);
        m_unparsed_input.append(data.substr(n));
    } else if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        reject_input();
    }
}

int pipelined_connection::on_header(std::string_view name, std::string_view value) {
    if (!m_in_head) {
        return keep_parsing; // trailers of a chunked body are ignored
    }
    if (!name.empty()) {
        if (m_head.headers.empty() || m_has_value) {
            m_head.headers.emplace_back();
            m_has_value = false;
        }
        m_head.headers.back().name.append(name);
    }
    if (!value.empty()) {
        m_head.headers.back().value.append(value);
    }
    m_head_size += name.size() + value.size();
    if (m_head_size + m_head.target.size() > m_core.opts.max_header_size.value) {
        m_error_status = status_header_too_large;
        return stop_parsing;
    }
    return keep_parsing;
}

int pipelined_connection::on_headers_complete() {
    m_in_head = false;
    for (auto& it : m_head.headers) {
        trim_end(it.value);
    }
    m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    m_head.http_1_1 = m_parser.http_major == 1 && m_parser.http_minor >= 1;
    m_head.keep_alive = http_should_keep_alive(&m_parser) != 0;
    m_error_status = validate_request_head(m_head.headers, m_head.target.size(),
                                           static_cast<std::size_t>(m_core.opts.max_header_size.value));
    const bool is_connect_method = m_parser.method == HTTP_CONNECT;
    if (m_error_status == 0 && (m_parser.http_major != 1 || is_connect_method ||
                                (m_head.http_1_1 && !has_one_host(m_head.headers)))) {
        m_error_status = status_bad_request;
    }
    if (m_error_status != 0) {
        return stop_parsing;
    }
    m_parser.upgrade = 0; // protocol upgrades are not supported
    m_receiving =
        m_exchanges.emplace_back(std::make_unique<pipelined_exchange>(*this, std::move(m_head))).get();
    ++m_core.open_exchanges;
    const bool expects_continue = find_header(m_receiving->headers(), "Expect") != nullptr;
    if (m_core.callbacks.on_head) {
        m_core.callbacks.on_head(*m_receiving);
    }
    if (expects_continue) {
        m_receiving->send_continue();
    }
    pause_if_needed();
    return keep_parsing;
}

int pipelined_connection::on_body(std::string_view data) {
    if (m_receiving != nullptr && !m_receiving->receive_body(data)) {
        m_ended = true;
        return stop_parsing;
    }
    pause_if_needed();
    return keep_parsing;
}

int pipelined_connection::on_message_complete() {
    m_progress.open = m_progress.open && m_write_blocked; // a complete request is progress, however short
    m_close_after_last = m_close_after_last || m_core.draining || http_should_keep_alive(&m_parser) == 0;
    m_reads_requests = !m_close_after_last;
    if (auto* it = std::exchange(m_receiving, nullptr)) {
        it->receive_body_end();
    }
    pause_if_needed();
    return keep_parsing;
}

bool pipelined_connection::should_pause_input() const {
    if (m_receiving != nullptr) {
        return m_receiving->is_paused();
    }
    if (!m_reads_requests || m_exchanges.size() >= max_open_requests) {
        return true;
    }
    // Applies backpressure to a caller that does not read its responses.
    std::uint64_t unsent = 0;
    std::uint64_t held = 0;
    for (const auto& it : m_exchanges) {
        if (it->holds_next_requests()) {
            return true;
        }
        unsent += it->buffered_bytes();
        held += it->held_bytes();
    }
    return unsent > m_core.opts.response_buffer.value ||
           !reads_requests(m_core.budget->limits(), byte_count{held});
}

void pipelined_connection::pause_if_needed() {
    if (should_pause_input()) {
        http_parser_pause(&m_parser, 1);
    }
}

void pipelined_connection::reject_input() {
    m_reads_requests = false;
    if (m_ended) {
        return;
    }
    m_core.budget->count_rejected_head();
    const auto status = m_error_status != 0 ? m_error_status : status_bad_request;
    const auto* reason = status == status_header_too_large ? "header is too large" : "request cannot be read";
    auto* it = std::exchange(m_receiving, nullptr);
    const bool reported = it != nullptr;
    if (it == nullptr) {
        it = m_exchanges.emplace_back(std::make_unique<pipelined_exchange>(*this, request_head{})).get();
    }
    m_close_after_last = true;
    it->reject(status, reason, reported);
}

bool pipelined_connection::decide_close_after(const pipelined_exchange& it, bool requested) {
    // Later requests of this connection were already passed to the handlers; their responses must still be
    // sent.
    const bool is_last = !m_exchanges.empty() && m_exchanges.back().get() == &it;
    if (is_last && (requested || m_core.stopping || m_close_after_last || !it.keeps_alive())) {
        m_close_after_last = true;
        m_reads_requests = m_receiving != nullptr;
        return true;
    }
    return false;
}

bool pipelined_connection::send_pending(pipelined_exchange& it) {
    while (!m_write_blocked) {
        const auto data = it.sendable();
        if (data.empty()) {
            return true;
        }
        const auto n = send(m_fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n > 0) {
            note_transfer(static_cast<std::size_t>(n));
            it.mark_sent(static_cast<std::size_t>(n));
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            m_write_blocked = true;
        } else if (errno != EINTR) {
            m_ended = true;
            return false;
        }
    }
    return false;
}

void pipelined_connection::notify_closed(pipelined_exchange& it, bool completed) {
    if (!it.is_reported()) {
        return;
    }
    --m_core.open_exchanges;
    if (m_core.callbacks.on_closed) {
        m_core.callbacks.on_closed(it, completed);
    }
}

void pipelined_connection::send_responses() {
    while (!m_exchanges.empty() && !m_ended) {
        auto& it = *m_exchanges.front();
        if (!it.is_aborted() && (!send_pending(it) || !it.is_sent())) {
            return;
        }
        if (it.is_aborted() || it.is_truncated()) {
            if (it.is_aborted()) {
                reset_connection(m_fd);
            }
            m_ended = true;
            return;
        }
        if (m_receiving == &it) {
            m_receiving = nullptr; // early response; the rest of the request body is ignored
            m_reads_requests = false;
        }
        const auto ended = std::move(m_exchanges.front());
        m_exchanges.pop_front();
        if (m_exchanges.empty()) {
            m_progress.open = false; // whatever the caller waited for is sent
        }
        notify_closed(*ended, !ended->is_rejected());
    }
    if (m_exchanges.empty() && m_close_after_last && !m_reads_requests) {
        start_lingering_close();
    }
}

/// close() with unread input resets the connection, which may discard the last response at the caller.
void pipelined_connection::start_lingering_close() {
    if (!m_lingering) {
        m_lingering = true;
        m_linger_begin = boot_clock::now();
        m_unparsed_input.clear();
        shutdown(m_fd, SHUT_WR);
    }
}

void pipelined_connection::begin_drain() {
    if (m_ended || m_lingering) {
        return;
    }
    if (m_reads_requests && m_receiving == nullptr && !m_in_head) {
        read_available(); // a request that has already arrived
    }
    if (m_receiving == nullptr && !m_in_head) {
        m_closed_idle = m_exchanges.empty() && !m_close_after_last;
        m_close_after_last = true;
        m_reads_requests = false;
        m_unparsed_input.clear();
    }
    schedule_processing();
}

bool pipelined_connection::process() {
    if (!m_ended) {
        send_responses();
    }
    // A completed response may allow further requests to be parsed.
    if (!m_ended && HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED && !should_pause_input()) {
        http_parser_pause(&m_parser, 0);
        if (!m_unparsed_input.empty()) { // http_parser treats empty input as end of file
            parse(std::exchange(m_unparsed_input, {}));
            schedule_processing();
        }
    }
    if (m_ended) {
        end_exchanges();
        return false;
    }
    charge_memory();
    update_watchers();
    return true;
}

void pipelined_connection::end_exchanges() {
    ev_io_stop(m_core.loop, &m_readable);
    ev_io_stop(m_core.loop, &m_writable);
    m_receiving = nullptr;
    for (const auto& it : std::exchange(m_exchanges, {})) {
        notify_closed(*it, false);
    }
}

std::size_t pipelined_connection::held_bytes() const {
    auto n = sizeof *this + m_unparsed_input.capacity() + (m_in_head ? m_head_size : 0);
    for (const auto& it : m_exchanges) {
        n += it->held_bytes();
    }
    return n;
}

bool pipelined_connection::waits_for_caller() const {
    return m_exchanges.empty() || m_receiving != nullptr || m_write_blocked;
}

void pipelined_connection::charge_memory() {
    m_core.budget->charge(*this, byte_count{held_bytes()});
}

void pipelined_connection::close_by_limit() {
    m_ended = true;
    schedule_processing();
}

void pipelined_connection::update_watchers() {
    // Reading continues while requests are held and after the last request, so that the close by the caller
    // is detected; after the last request the input is discarded.
    const bool may_buffer = m_receiving == nullptr && m_unparsed_input.size() < max_unparsed_input;
    if (m_reads_requests && should_pause_input() && !may_buffer) {
        if (m_receiving == nullptr && ev_is_active(&m_readable)) {
            m_core.budget->count_paused_reading();
        }
        ev_io_stop(m_core.loop, &m_readable);
    } else {
        ev_io_start(m_core.loop, &m_readable);
    }
    if (m_write_blocked) {
        ev_io_start(m_core.loop, &m_writable);
    } else {
        ev_io_stop(m_core.loop, &m_writable);
    }
}

void pipelined_connection::check_timeout(time_point now) {
    const auto& limits = m_core.budget->limits();
    const auto limit = m_lingering ? linger_limit : m_core.opts.idle_timeout;
    const bool is_idle = waits_for_caller() && now - m_last_transfer > limit;
    // A caller that goes on sending after the last response is not waited for without end.
    const bool lingers_too_long = m_lingering && now - m_linger_begin > limits.progress_timeout;
    const bool is_receiving = m_receiving != nullptr && !m_receiving->is_paused();
    const bool waits_for_bytes = !m_lingering && (m_in_head || is_receiving || m_write_blocked);
    const bool stalled = has_stalled(m_progress, limits, waits_for_bytes, now);
    if (stalled || lingers_too_long) {
        m_core.budget->count_closed(close_cause::stalled);
    }
    if (is_idle || stalled || lingers_too_long) {
        m_ended = true;
        schedule_processing();
    }
}

} // namespace endivelever::detail
