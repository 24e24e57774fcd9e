#include "pipelined_exchange.hpp"

#include "http_framing.hpp"
#include "pipelined_connection.hpp"

#include <array>
#include <charconv>
#include <http_parser.h>

namespace endivelever::detail {
namespace {

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

/// Rejects line breaks, which allow header injection (response splitting).
bool has_no_line_break(const http_header& it) {
    return it.name.find_first_of("\r\n") == std::string::npos &&
           it.value.find_first_of("\r\n") == std::string::npos;
}

void append_header(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

// Of the allocator, for the blocks of one exchange.
constexpr std::size_t allocation_overhead = 128;

std::size_t memory_of(const request_head& head) {
    auto n = allocation_overhead + head.target.capacity() + head.headers.capacity() * sizeof(http_header);
    for (const auto& it : head.headers) {
        n += it.name.capacity() + it.value.capacity();
    }
    return n;
}

} // namespace

pipelined_exchange::pipelined_exchange(pipelined_connection& connection, request_head head)
    : m_connection(connection), m_head(std::move(head)), m_head_bytes(sizeof *this + memory_of(m_head)),
      m_length(find_body_length(m_head.headers)) {}

void pipelined_exchange::resume_body() {
    m_paused = false;
    m_connection.schedule_processing();
}

bool pipelined_exchange::has_next_requests() const {
    return m_connection.has_requests_after(*this);
}

void pipelined_exchange::write_head(unsigned status, const http_headers& headers,
                                    std::optional<std::uint64_t> length) {
    m_response_begun = true;
    m_early_response = !m_body_ended && may_respond_early(m_head.headers, m_length);
    m_without_body = m_head.method == "HEAD" || status == status_no_content || status == status_not_modified;
    m_chunked = !m_without_body && !length && m_head.http_1_1;
    m_remaining_length = m_without_body ? std::nullopt : length;
    const bool is_close_delimited = !length && !m_chunked && !m_without_body;
    const bool close =
        m_connection.decide_close_after(*this, m_early_response || m_rejected || is_close_delimited);

    m_output.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    m_output.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
    for (const auto& it : headers) {
        if (!is_framing_header(it.name) && has_no_line_break(it)) {
            append_header(m_output, it.name, it.value);
        }
    }
    if (m_chunked) {
        append_header(m_output, "Transfer-Encoding", "chunked");
    } else if (length && status != status_no_content) {
        append_header(m_output, "Content-Length", std::to_string(*length));
    }
    if (close) {
        append_header(m_output, "Connection", "close");
    } else if (!m_head.http_1_1) {
        append_header(m_output, "Connection", "keep-alive");
    }
    m_output.append("\r\n");
}

void pipelined_exchange::respond(unsigned status, const http_headers& headers, std::string body) {
    if (m_response_begun || m_aborted) {
        return;
    }
    write_head(status, headers, body.size());
    if (!m_without_body) {
        append_body(body);
    }
    finish();
}

void pipelined_exchange::begin_response(unsigned status, const http_headers& headers,
                                        std::optional<std::uint64_t> length) {
    if (m_response_begun || m_aborted) {
        return;
    }
    write_head(status, headers, length);
    m_connection.schedule_processing();
}

void pipelined_exchange::append_body(std::string_view data) {
    if (m_remaining_length) {
        if (data.size() > *m_remaining_length) {
            abort();
            return;
        }
        *m_remaining_length -= data.size();
    }
    if (m_chunked) {
        std::array<char, 16> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
        m_output.append(size.data(), end).append("\r\n").append(data).append("\r\n");
    } else {
        m_output.append(data);
    }
}

void pipelined_exchange::write(std::string_view data) {
    if (data.empty() || m_without_body || m_finished || m_aborted) {
        return;
    }
    if (m_output_begin > m_output.size() / 2) {
        m_output.erase(0, m_output_begin);
        m_output_begin = 0;
    }
    append_body(data);
    m_buffer_full = writable_bytes() == 0;
    m_connection.schedule_processing();
}

std::size_t pipelined_exchange::writable_bytes() const {
    const auto held = m_output.size() - m_output_begin;
    const auto limit = static_cast<std::size_t>(m_connection.options().response_buffer.value);
    return held >= limit ? 0 : limit - held;
}

void pipelined_exchange::finish() {
    if (m_chunked && !m_finished) {
        m_output.append("0\r\n\r\n");
    }
    m_finished = true;
    // The response may wait for a caller that does not read; the request is not needed any more.
    m_head.target = {};
    m_head.headers = {};
    m_head_bytes = sizeof *this + allocation_overhead;
    m_connection.schedule_processing();
}

void pipelined_exchange::abort() {
    m_aborted = true;
    m_connection.schedule_processing();
}

void pipelined_exchange::send_continue() {
    if (!m_response_begun && m_head.http_1_1) {
        m_output.append("HTTP/1.1 100 Continue\r\n\r\n");
        m_connection.schedule_processing();
    }
}

bool pipelined_exchange::receive_body(std::string_view data) {
    if (m_response_begun || m_aborted) {
        m_discarded_bytes += data.size();
        return m_discarded_bytes <= max_discarded_bytes;
    }
    if (m_connection.handlers().on_body) {
        m_connection.handlers().on_body(*this, data);
    }
    return true;
}

void pipelined_exchange::receive_body_end() {
    m_body_ended = true;
    if (!m_response_begun && !m_aborted && m_connection.handlers().on_body_end) {
        m_connection.handlers().on_body_end(*this);
    }
    m_connection.schedule_processing();
}

void pipelined_exchange::reject(unsigned status, std::string reason, bool reported) {
    m_rejected = true;
    m_reported = reported;
    m_body_ended = true;
    reason.push_back('\n');
    respond(status, {}, std::move(reason));
}

bool pipelined_exchange::may_send() const {
    return !m_response_begun || m_body_ended || m_early_response;
}

std::string_view pipelined_exchange::sendable() const {
    return may_send() ? std::string_view(m_output).substr(m_output_begin) : std::string_view();
}

void pipelined_exchange::mark_sent(std::size_t n) {
    m_output_begin += n;
    if (m_output_begin == m_output.size()) {
        m_output.clear();
        m_output_begin = 0;
    }
    const auto limit = static_cast<std::size_t>(m_connection.options().response_buffer.value);
    if (m_buffer_full && writable_bytes() >= limit / 2) {
        m_buffer_full = false;
        if (m_reported && m_connection.handlers().on_writable) {
            m_connection.handlers().on_writable(*this);
        }
    }
}

} // namespace endivelever::detail
