#include "http_transfer.hpp"

#include "http_client_core.hpp"
#include "http_framing.hpp"

#include <algorithm>
#include <charconv>
#include <strings.h>

namespace endivelever::detail {
namespace {

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
// Header bytes of one response, including interim responses and trailers; servers send a few hundred bytes.
constexpr std::size_t max_head_bytes = 64UL << 10U;

transfer_state& transfer_of(void* data) {
    return *static_cast<transfer_state*>(data);
}

std::string_view without_line_break(std::string_view line) {
    line.remove_suffix(line.ends_with('\n') ? 1 : 0);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    return line;
}

/// @return true if the end of the body can be determined without the connection being closed
bool is_self_delimited(const transfer_state& it) {
    const auto status = it.result.status;
    return it.request.method == "HEAD" || status == status_no_content || status == status_not_modified ||
           find_header(it.response_headers, "Content-Length") != nullptr ||
           find_header(it.response_headers, "Transfer-Encoding") != nullptr;
}

/// @return false to end the transfer
bool finish_head(transfer_state& it) {
    // No request asks for another protocol. libcurl takes what follows for the body of this response.
    it.malformed_head = it.result.status == status_switching_protocols;
    if (it.malformed_head) {
        return false;
    }
    if (it.result.status < first_final_status) {
        it.response_headers.clear();
        it.status_line_done = false;
        return true;
    }
    it.malformed_head = !has_valid_length(it.response_headers) || !has_valid_encoding(it.response_headers);
    if (it.malformed_head) {
        return false;
    }
    it.head_done = true;
    it.rejected_close_delimited = !it.request.accepts_close_delimited && !is_self_delimited(it);
    if (it.rejected_close_delimited) {
        return false;
    }
    if (it.handlers.on_head) {
        it.handlers.on_head(it.result.status, it.response_headers);
    }
    return !it.cancelled;
}

size_t on_header(char* buf, size_t size, size_t count, void* data) {
    auto& it = transfer_of(data);
    const std::string_view line(buf, size * count);
    if (it.cancelled) {
        return 0;
    }
    it.last_progress = boot_clock::now();
    it.head_bytes += line.size();
    it.oversized_head = it.head_bytes > max_head_bytes;
    if (it.oversized_head) {
        return 0;
    }
    if (it.head_done) {
        return line.size(); // trailers
    }
    const auto text = without_line_break(line);
    if (!it.status_line_done) {
        it.status_line_done = true;
        it.result.status = parse_status_line(text);
        it.malformed_head = it.result.status == 0;
    } else if (text.empty()) {
        return finish_head(it) ? line.size() : 0;
    } else if (auto header = parse_header_line(text)) {
        it.response_headers.push_back(std::move(*header));
    } else {
        it.malformed_head = true;
    }
    return it.malformed_head ? 0 : line.size();
}

size_t on_body(char* buf, size_t size, size_t count, void* data) {
    auto& it = transfer_of(data);
    const std::string_view part(buf, size * count);
    if (it.cancelled) {
        return 0;
    }
    it.last_progress = boot_clock::now();
    it.malformed_head = !it.head_done;
    if (it.malformed_head) {
        return 0; // a body without a final head belongs to no response
    }
    if (it.handlers.on_body && !it.handlers.on_body(part)) {
        it.paused = true;
        return it.cancelled ? 0 : CURL_WRITEFUNC_PAUSE;
    }
    return it.cancelled ? 0 : part.size();
}

size_t on_read(char* buf, size_t size, size_t count, void* data) {
    auto& it = transfer_of(data);
    if (it.cancelled) {
        return CURL_READFUNC_ABORT;
    }
    it.last_progress = boot_clock::now();
    std::size_t n = 0;
    const auto state = it.handlers.on_read(buf, size * count, n);
    if (it.cancelled || state == read_state::abort) {
        return CURL_READFUNC_ABORT;
    }
    if (state == read_state::pause) {
        it.paused = true;
        return CURL_READFUNC_PAUSE;
    }
    return state == read_state::end ? 0 : n;
}

/// Called before each send of the request, including a resend by libcurl after a reused connection failed.
int on_before_send(void* data, char* /*remote*/, char* /*local*/, int /*remote_port*/, int /*local_port*/) {
    auto& it = transfer_of(data);
    if (it.cancelled) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (it.result.sent) {
        it.result.failure = transfer_failure::resend_prevented;
        return CURL_PREREQFUNC_ABORT;
    }
    it.result.sent = true;
    it.last_progress = boot_clock::now();
    return CURL_PREREQFUNC_OK;
}

bool has_header(const http_headers& headers, std::string_view name) {
    return find_header(headers, name) != nullptr;
}

void add_line(transfer_state& it, const char* line) {
    it.header_list = curl_slist_append(it.header_list, line);
}

void set_headers(transfer_state& it) {
    std::string line;
    for (const auto& header : it.request.headers) {
        line = header.name;
        line += header.value.empty() ? ";" : ": ";
        line += header.value;
        add_line(it, line.c_str());
    }
    // A header name without a value suppresses the default header of libcurl.
    if (!has_header(it.request.headers, "Accept")) {
        add_line(it, "Accept:");
    }
    if (it.request.has_body) {
        add_line(it, "Expect:");
        if (!has_header(it.request.headers, "Content-Type")) {
            add_line(it, "Content-Type:");
        }
    }
    curl_easy_setopt(it.easy, CURLOPT_HTTPHEADER, it.header_list);
}

void set_body(transfer_state& it) {
    auto* easy = it.easy;
    if (!it.request.has_body) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        if (it.request.method == "HEAD") {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        return;
    }
    if (it.handlers.on_read) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        const auto length = it.request.content_length;
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, length ? static_cast<curl_off_t>(*length) : -1);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &on_read);
        curl_easy_setopt(easy, CURLOPT_READDATA, &it);
        return;
    }
    const auto& body = it.request.shared_body != nullptr ? *it.request.shared_body : it.request.body;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
}

long whole_milliseconds(duration value) {
    return std::max(1L, static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(value).count()));
}

} // namespace

void prepare_handle(transfer_state& it) {
    auto* easy = it.easy;
    const auto url = "http://" + it.request.address.text + "/";
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, it.request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, whole_milliseconds(it.request.timeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, whole_milliseconds(it.request.connect_timeout));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &on_before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &client_core::open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &it);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &client_core::close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, it.core);
    set_body(it);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.request.method.c_str());
    set_headers(it);
}

void set_result(transfer_state& it, CURLcode code) {
    auto& end = it.result;
    long connects = 0;
    curl_easy_getinfo(it.easy, CURLINFO_NUM_CONNECTS, &connects);
    end.new_connection = connects > 0;
    if (it.stalled) {
        end.failure = transfer_failure::timeout;
        end.detail = "no progress";
        return;
    }
    if (code == CURLE_OK) {
        // libcurl accepts a response head that is truncated by the end of the connection.
        end.failure = it.head_done ? transfer_failure::none : transfer_failure::broken;
        end.detail = it.head_done ? "" : "response head is cut off";
        return;
    }
    end.detail = curl_easy_strerror(code);
    // libcurl reports a header line above its own limit as CURLE_OUT_OF_MEMORY.
    if (it.oversized_head || (end.sent && !it.head_done && code == CURLE_OUT_OF_MEMORY)) {
        end.failure = transfer_failure::broken;
        end.detail = "response head is too large";
    } else if (it.malformed_head) {
        end.failure = transfer_failure::broken;
        end.detail = "response head is malformed";
    } else if (it.rejected_close_delimited) {
        end.failure = transfer_failure::broken;
        end.detail = "response has neither length nor chunked encoding";
    } else if (end.failure == transfer_failure::resend_prevented) {
        return;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        end.failure = transfer_failure::timeout;
    } else if (!end.sent && (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)) {
        end.failure = transfer_failure::connect;
    } else if (code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE ||
               code == CURLE_GOT_NOTHING) {
        end.failure = transfer_failure::broken;
    } else {
        end.failure = transfer_failure::other;
    }
}

} // namespace endivelever::detail
