#include "http_exchange.hpp"

#include "http_framing.hpp"

#include <algorithm>
#include <cstring>

namespace endivelever::detail {
namespace {

constexpr std::size_t reader_block_size = 32UL * 1024UL;

} // namespace

exchange_state::exchange_state(server_core& core, connection_context& connection, const char* method)
    : m_core(core), m_connection(connection), m_method(method), m_target(std::move(connection.target)) {}

exchange_state::~exchange_state() {
    if (m_response != nullptr) {
        MHD_destroy_response(m_response);
    }
}

void exchange_state::copy_headers() {
    const auto add = [](void* cls, MHD_ValueKind /*kind*/, const char* key, size_t key_size,
                        const char* value, size_t value_size) -> MHD_Result {
        auto& target = *static_cast<http_headers*>(cls);
        target.push_back(
            {std::string(key, key_size), std::string(value == nullptr ? "" : value, value_size)});
        return MHD_YES;
    };
    m_headers.reserve(8);
    MHD_get_connection_values_n(m_connection.handle, MHD_HEADER_KIND, add, &m_headers);
}

MHD_Result exchange_state::handle(const char* data, std::size_t* size) {
    if (m_aborted) {
        return MHD_NO;
    }
    if (!m_started) {
        return handle_head();
    }
    if (m_suspended_in_head) {
        return continue_after_head();
    }
    return *size > 0 ? handle_body(data, size) : handle_end();
}

MHD_Result exchange_state::handle_head() {
    m_started = true;
    copy_headers();
    m_length = find_body_length(m_headers);
    // libmicrohttpd 0.9.75 accepts requests with contradictory body lengths.
    const auto max_size = static_cast<std::size_t>(m_core.opts.max_header_size.value);
    if (const unsigned status = validate_request_head(m_headers, m_target.size(), max_size); status != 0) {
        m_must_close = true;
        respond(status, {},
                status == status_bad_request ? "body length is ambiguous\n" : "header is too large\n");
    } else {
        m_core.callbacks.on_head(*this);
    }
    return m_aborted ? MHD_NO : continue_after_head();
}

/// libmicrohttpd calls the handler for the head again if the connection was suspended in that call.
MHD_Result exchange_state::continue_after_head() {
    if (m_response != nullptr && (m_must_close || may_respond_early(m_headers, m_length))) {
        m_suspended_in_head = false;
        return queue_response();
    }
    m_suspended_in_head = m_paused && m_response == nullptr;
    return m_suspended_in_head ? suspend() : MHD_YES;
}

MHD_Result exchange_state::handle_body(const char* data, std::size_t* size) {
    if (m_response != nullptr) {
        m_discarded_bytes += *size;
        *size = 0;
        return m_discarded_bytes > max_discarded_bytes ? MHD_NO : MHD_YES;
    }
    const std::string_view part(data, *size);
    *size = 0;
    if (m_core.callbacks.on_body) {
        m_core.callbacks.on_body(*this, part);
    }
    if (m_aborted) {
        return MHD_NO;
    }
    return m_paused && m_response == nullptr ? suspend() : MHD_YES;
}

MHD_Result exchange_state::handle_end() {
    if (!m_body_ended) {
        m_body_ended = true;
        if (m_response == nullptr && m_core.callbacks.on_body_end) {
            m_core.callbacks.on_body_end(*this);
        }
    }
    if (m_aborted) {
        return MHD_NO;
    }
    return m_response != nullptr ? queue_response() : suspend();
}

MHD_Result exchange_state::queue_response() {
    if (m_queued) {
        return MHD_YES;
    }
    m_queued = true;
    const auto queued = MHD_queue_response(m_connection.handle, m_status, m_response);
    return queued;
}

MHD_Result exchange_state::suspend() {
    if (m_connection.peer_closed) {
        m_aborted = true;
        return MHD_NO;
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection.handle);
    return MHD_YES;
}

void exchange_state::resume_connection() {
    if (m_suspended) {
        m_suspended = false;
        MHD_resume_connection(m_connection.handle);
        m_core.schedule_run();
    }
}

void exchange_state::on_peer_closed() {
    if (m_suspended) {
        m_aborted = true;
        resume_connection();
    }
}

void exchange_state::resume_body() {
    m_paused = false;
    if (!m_body_ended) {
        resume_connection();
    }
}

void exchange_state::set_response(unsigned status, const http_headers& headers, MHD_Response* response) {
    m_status = status;
    m_response = response;
    for (const auto& it : headers) {
        if (!is_framing_header(it.name)) {
            MHD_add_response_header(response, it.name.c_str(), it.value.c_str());
        }
    }
    if (m_core.stopping || m_must_close) {
        MHD_add_response_header(response, "Connection", "close");
    }
}

void exchange_state::respond(unsigned status, const http_headers& headers, std::string body) {
    if (m_response != nullptr || m_aborted) {
        return;
    }
    m_output = std::move(body);
    m_finished = true;
    auto* response =
        MHD_create_response_from_buffer(m_output.size(), m_output.data(), MHD_RESPMEM_PERSISTENT);
    set_response(status, headers, response);
    resume_connection();
}

void exchange_state::begin_response(unsigned status, const http_headers& headers,
                                    std::optional<std::uint64_t> length) {
    if (m_response != nullptr || m_aborted) {
        return;
    }
    m_response_length = length;
    auto* response = MHD_create_response_from_callback(length.value_or(MHD_SIZE_UNKNOWN), reader_block_size,
                                                       &exchange_state::read_body, this, nullptr);
    set_response(status, headers, response);
    resume_connection();
}

void exchange_state::write(std::string_view data) {
    if (m_output_begin == m_output.size()) {
        m_output.clear();
        m_output_begin = 0;
    } else if (m_output_begin > m_output.size() / 2) {
        m_output.erase(0, m_output_begin);
        m_output_begin = 0;
    }
    m_output.append(data);
    m_written_bytes += data.size();
    m_buffer_full = writable_bytes() == 0;
    resume_connection();
}

std::size_t exchange_state::writable_bytes() const {
    const auto held = m_output.size() - m_output_begin;
    const auto limit = static_cast<std::size_t>(m_core.opts.response_buffer.value);
    return held >= limit ? 0 : limit - held;
}

void exchange_state::finish() {
    m_finished = true;
    resume_connection();
}

void exchange_state::abort() {
    m_aborted = true;
    reset_connection(m_connection.fd);
    resume_connection();
}

ssize_t exchange_state::read_body(void* cls, std::uint64_t /*pos*/, char* buf, std::size_t max) {
    return static_cast<exchange_state*>(cls)->read_body(buf, max);
}

ssize_t exchange_state::read_body(char* buf, std::size_t max) {
    if (m_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const auto held = m_output.size() - m_output_begin;
    if (held == 0) {
        if (m_finished) {
            const bool is_complete = !m_response_length || *m_response_length == m_written_bytes;
            return is_complete ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
        }
        return suspend() == MHD_YES ? 0 : static_cast<ssize_t>(MHD_CONTENT_READER_END_WITH_ERROR);
    }
    const auto n = std::min(held, max);
    std::memcpy(buf, m_output.data() + m_output_begin, n);
    m_output_begin += n;
    if (m_buffer_full && held - n <= m_core.opts.response_buffer.value / 2) {
        m_buffer_full = false;
        if (m_core.callbacks.on_writable) {
            m_core.callbacks.on_writable(*this);
        }
    }
    return static_cast<ssize_t>(n);
}

} // namespace endivelever::detail
