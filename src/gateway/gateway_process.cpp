#include "endivelever/gateway/gateway_process.hpp"

#include "endivelever/gateway/controllers.hpp"
#include "endivelever/net/datagram_socket.hpp"
#include "endivelever/net/event_loop.hpp"

#include <algorithm>
#include <array>
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
// Also the number of connections that all other listeners may have together besides those of callers. They
// come out of the descriptors that the settings reserve for connections to servers.
constexpr std::uint32_t max_auxiliary_connections = 256;
// Responses may hold 1/n of the memory. Strings that grow, send buffers and the state of servers and VMs take
// the rest.
constexpr std::uint64_t response_memory_divisor = 4;
// Part of the memory for connections and request bodies, in percent. In a VM of 112 MB, the smallest, it
// takes a body of 64 MB.
constexpr std::uint64_t intake_memory_percent = 65;
// What the process needs besides connections, bodies and responses: it starts with 14 MB. Of the rest, a part
// goes to blocks that the allocator cannot use again at once.
constexpr std::uint64_t base_memory = 16UL << 20U;
constexpr std::uint64_t intake_rest_percent = 77;

byte_count intake_memory(byte_count memory) {
    const auto rest = memory.value - std::min(memory.value, base_memory);
    // 0 would mean no limit.
    return byte_count{std::max<std::uint64_t>(
        1, std::min(memory.value / 100 * intake_memory_percent, rest / 100 * intake_rest_percent))};
}

intake_limits make_intake_limits(const gateway_settings& conf) {
    intake_limits limits;
    limits.memory = intake_memory(conf.memory);
    limits.connections = conf.max_connections + max_auxiliary_connections;
    return limits;
}

http_server::options listener_options(const gateway_board& board, std::uint32_t max_connections) {
    http_server::options opts;
    opts.max_connections = max_connections;
    opts.concurrent_requests = true;
    opts.budget = board.intake;
    return opts;
}

/// Logs connections that limits have closed, at most once a second.
struct closed_connections_log {
    std::array<std::uint64_t, close_cause_count> logged{};
    time_point written_at{};

    void update(gateway_board& board) {
        const auto now = boot_clock::now();
        std::array<std::uint64_t, close_cause_count> closed{};
        for (std::size_t i = 0; i < closed.size(); ++i) {
            closed.at(i) = board.intake->closed(static_cast<close_cause>(i));
        }
        if (closed == logged || now - written_at < 1s) {
            return;
        }
        const auto since_logged = [&](close_cause cause) {
            const auto i = static_cast<std::size_t>(cause);
            return static_cast<std::int64_t>(closed.at(i) - logged.at(i));
        };
        write_event(board.log, "connections_closed",
                    {{"memory", since_logged(close_cause::memory)},
                     {"connections", since_logged(close_cause::connections)},
                     {"stalled", since_logged(close_cause::stalled)}});
        logged = closed;
        written_at = now;
    }
};

} // namespace

struct gateway_process::state {
    gateway_board board;
    closed_connections_log closed_log;
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
    const auto auxiliary = listener_options(board, max_auxiliary_connections);
    error failure = listen(board.caller_server, conf.caller_address,
                           listener_options(board, conf.max_connections), caller_handlers(board));
    if (failure.id == 0) {
        failure = listen(board.readiness_server, conf.ready_address, auxiliary, ready_handlers(board));
    }
    if (failure.id == 0) {
        failure = listen(board.lookup_server, conf.lookup_address, auxiliary, lookup_handlers(board));
    }
    if (failure.id == 0) {
        failure = listen(board.relay_server, conf.relay_address, auxiliary, relay_handlers(board));
    }
    if (failure.id != 0) {
        return failure;
    }
    if (!conf.metrics_address.empty()) {
        // Metrics are optional; requests are served without them.
        const auto ec =
            listen(board.metrics_server, conf.metrics_address, auxiliary, metrics_handlers(board));
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
        closed_log.update(board);
        send_status(board, false);
        update_watches(board);
        check_store(board, boot_clock::now());
        request_initial_state(board, boot_clock::now());
        drop_unconfirmed_evacuations(board, boot_clock::now());
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
    board.intake = std::make_shared<connection_budget>(make_intake_limits(board.conf));
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
    board.store_access.on_new_era = [&board](store_era before) { begin_store_era(board, before); };
    board.peers.own = {board.conf.vm, board.conf.failure_domain, board.conf.peer_address.text,
                       board.conf.capacity};
    board.peers.own_caller_address = board.conf.caller_address.text;
    board.peers.started =
        boot_clock::now() + (board.conf.first_start ? first_start_list_delay : duration::zero());
    for (auto& lease : board.quota.leases) {
        lease.may_have_former = !board.conf.first_start;
    }
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
