#include "endivelever/gateway/gateway_process.hpp"

#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"
#include "endivelever/net/event_loop.hpp"

#include <ev.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

constexpr duration review_interval = 10ms;
// Without open requests, only the state of servers and expired registry entries need updating.
constexpr duration idle_review_interval = 100ms;
constexpr duration status_check_interval = 125ms;
constexpr duration vm_list_refresh_interval = 2s;
// When the system starts for the first time, all VMs register at once; a list read earlier would lack most
// of them.
constexpr duration first_start_list_delay = 2500ms;
constexpr duration stop_check_interval = 100ms;
// Some callers cache an address response for three times its lifetime.
constexpr int address_ttl_factor = 3;
constexpr std::uint32_t max_auxiliary_connections = 256;
// Responses may hold 1/n of the memory. Strings that grow, send buffers and the state of servers and VMs take
// the rest.
constexpr std::uint64_t response_memory_divisor = 4;

http_server::options caller_options(const gateway_settings& conf) {
    http_server::options opts;
    opts.max_connections = conf.max_connections;
    opts.concurrent_requests = true;
    return opts;
}

http_server::options auxiliary_options() {
    http_server::options opts;
    opts.max_connections = max_auxiliary_connections;
    return opts;
}

} // namespace

struct gateway_process::state {
    gateway_board board;
    std::unique_ptr<timer> review_timer;
    bool review_is_soon = false; ///< the review timer was started with review_interval
    std::unique_ptr<timer> status_timer;
    std::unique_ptr<timer> store_timer;
    std::unique_ptr<timer> stop_timer;

    error open_listeners();
    void start_timers();
    void check_stop();
};

error gateway_process::state::open_listeners() {
    const auto listen = [this](std::unique_ptr<http_server>& target, const socket_address& address,
                               const http_server::options& opts, http_server::handlers handlers) -> error {
        auto opened = http_server::open(board.loop, address, opts, std::move(handlers));
        if (!opened) {
            return opened.error();
        }
        target = std::move(*opened);
        return {};
    };
    const auto& conf = board.conf;
    error failure =
        listen(board.caller_server, conf.caller_address, caller_options(conf), caller_handlers(board));
    if (failure.id == 0) {
        failure =
            listen(board.readiness_server, conf.ready_address, auxiliary_options(), ready_handlers(board));
    }
    if (failure.id == 0) {
        failure =
            listen(board.lookup_server, conf.lookup_address, auxiliary_options(), lookup_handlers(board));
    }
    if (failure.id == 0) {
        failure = listen(board.relay_server, conf.relay_address, auxiliary_options(), relay_handlers(board));
    }
    if (failure.id != 0) {
        return failure;
    }
    if (!conf.metrics_address.empty()) {
        // Metrics are optional; requests are served without them.
        const auto ec =
            listen(board.metrics_server, conf.metrics_address, auxiliary_options(), metrics_handlers(board));
        if (ec.id != 0) {
            write_event(board.log, "metrics_unavailable", {{"cause", ec.message}});
        }
    }
    auto socket =
        datagram_socket::open(board.loop, conf.peer_address, [this](std::span<const std::uint8_t> payload) {
            receive_datagram(board, payload);
        });
    if (!socket) {
        return socket.error();
    }
    board.peer_socket = std::move(*socket);
    return {};
}

void gateway_process::state::start_timers() {
    review_timer = std::make_unique<timer>(board.loop, [this] {
        run_maintenance(board);
        review_is_soon = !board.requests.empty();
        review_timer->start(review_is_soon ? review_interval : idle_review_interval);
    });
    review_timer->start(idle_review_interval);
    board.on_first_request = [this] {
        // A new start for each request would put the review off as long as short requests follow each other.
        if (!std::exchange(review_is_soon, true)) {
            review_timer->start(review_interval);
        }
    };
    status_timer = std::make_unique<timer>(board.loop, [this] {
        send_status(board, false);
        update_watches(board);
        check_store(board, boot_clock::now());
        request_initial_state(board, boot_clock::now());
        maintain_quota_leases(board, boot_clock::now());
    });
    status_timer->start(status_check_interval, status_check_interval);
    store_timer = std::make_unique<timer>(board.loop, [this] {
        refresh_vm_list(board);
        update_pools(board);
    });
    store_timer->start(board.conf.first_start ? first_start_list_delay : duration::zero(),
                       vm_list_refresh_interval);
    stop_timer = std::make_unique<timer>(board.loop, [this] { check_stop(); });
}

void gateway_process::state::check_stop() {
    const auto& stop = *board.stop;
    const auto now = boot_clock::now();
    if (now < stop.drained_at) {
        return;
    }
    board.caller_server->drain();
    if (now >= stop.answers_due_at) {
        end_open_requests(board);
    }
    if (board.caller_server->open_connections() == 0 || now >= stop.exit_at) {
        write_event(board.log, "stopped",
                    {{"open_requests", static_cast<std::int64_t>(board.requests.size())},
                     {"open_connections", static_cast<std::int64_t>(board.caller_server->open_connections())},
                     {"after_ms", to_milliseconds(now - stop.started)}});
        stop_timer->stop();
        ev_break(board.loop, EVBREAK_ALL);
    }
}

gateway_process::gateway_process(std::unique_ptr<state> it) : m_state(std::move(it)) {}

gateway_process::~gateway_process() = default;

result<std::unique_ptr<gateway_process>> gateway_process::open(struct ev_loop* loop, gateway_settings conf,
                                                               gateway_dialect dialect) {
    auto it = std::make_unique<state>();
    auto& board = it->board;
    board.conf = std::move(conf);
    board.dialect = std::move(dialect);
    board.loop = loop;
    board.random = make_random_source();
    board.response_memory.limit = byte_count{board.conf.memory.value / response_memory_divisor};
    board.own_incarnation = incarnation{static_cast<std::uint64_t>(wall_clock_us())};
    board.log.vm = board.conf.vm.text;
    board.server_http_client = std::make_unique<http_client>(loop, 0);
    board.store_http_client = std::make_unique<http_client>(loop, 0);
    if (auto failure = it->open_listeners(); failure.id != 0) {
        return tl::unexpected<error>(std::move(failure));
    }
    board.store_access.loop = loop;
    board.store_access.client = board.store_http_client.get();
    board.store_access.random = &board.random;
    board.store_access.protocol = board.dialect.store;
    board.peers.own = {board.conf.vm, board.conf.failure_domain, board.conf.peer_address.text,
                       board.conf.capacity};
    board.peers.own_caller_address = board.conf.caller_address.text;
    board.peers.started =
        boot_clock::now() + (board.conf.first_start ? first_start_list_delay : duration::zero());
    if (board.conf.first_start) {
        register_vm(board);
    }
    it->start_timers();
    write_event(board.log, "started",
                {{"callers", board.conf.caller_address.text},
                 {"store", board.conf.store_address.text},
                 {"life", static_cast<std::int64_t>(board.own_incarnation.value)}});
    return std::unique_ptr<gateway_process>(new gateway_process(std::move(it)));
}

void gateway_process::stop() {
    auto& board = m_state->board;
    if (board.stop) {
        return;
    }
    board.stop = plan_stop(boot_clock::now(), address_ttl_factor * board.conf.address_keep,
                           board.conf.graceful_stop_limit);
    write_event(board.log, "stopping", {{"open_requests", static_cast<std::int64_t>(board.requests.size())}});
    board.caller_server->announce_close();
    release_quota_leases(board);
    send_status(board, true);
    m_state->stop_timer->start(stop_check_interval, stop_check_interval);
}

void gateway_process::reload(const gateway_settings& conf) {
    auto& board = m_state->board;
    board.conf.address_keep = conf.address_keep;
    board.conf.graceful_stop_limit = conf.graceful_stop_limit;
    board.conf.retry_ratio = conf.retry_ratio;
    board.conf.retry_allowance = conf.retry_allowance;
    board.conf.probes_per_server_per_second = conf.probes_per_server_per_second;
    write_event(board.log, "settings_reloaded", {});
    update_pools(board);
}

gateway_board& gateway_process::board() {
    return m_state->board;
}

} // namespace endivelever
