#include "endivelever/entry/entry_process.hpp"
#include "endivelever/base/log.hpp"

#include "endivelever/decide/address_answer.hpp"
#include "endivelever/entry/controllers.hpp"
#include "endivelever/entry/feed.hpp"
#include "endivelever/net/event_loop.hpp"

#include <ev.h>

namespace endivelever {
namespace {

constexpr duration review_interval = std::chrono::milliseconds(5);
constexpr duration probe_interval = std::chrono::milliseconds(20);
constexpr duration stop_check_interval = std::chrono::milliseconds(50);

/// @return the address with the port that is bound; it differs if the settings name port 0
socket_address with_port(const socket_address& address, std::uint16_t port) {
    return socket_address(address.text.substr(0, address.text.rfind(':') + 1) + std::to_string(port));
}

} // namespace

struct entry_process::state {
    entry_board board;
    std::unique_ptr<feed_client> feed;
    std::unique_ptr<timer> review;
    std::unique_ptr<timer> probes;
    std::unique_ptr<timer> stop_check;

    result<void> listen();
    void start_timers();
    void check_stop();
};

result<void> entry_process::state::listen() {
    const auto& conf = board.conf;
    http_server::options opts;
    opts.max_connections = conf.limits.max_connections;
    opts.max_header_size = conf.limits.max_header_size;
    if (conf.limits.idle_timeout > duration::zero()) {
        opts.idle_timeout = conf.limits.idle_timeout;
    }
    auto callers = http_server::open(board.loop, conf.caller_address, opts, caller_handlers(board));
    if (!callers) {
        return tl::unexpected<error>(callers.error());
    }
    board.callers = std::move(*callers);
    board.conf.caller_address = with_port(conf.caller_address, board.callers->port());
    auto admin = http_server::open(board.loop, conf.admin_address, {}, admin_handlers(board));
    if (!admin) {
        return tl::unexpected<error>(admin.error());
    }
    board.admin = std::move(*admin);
    board.conf.admin_address = with_port(conf.admin_address, board.admin->port());
    return {};
}

void entry_process::state::start_timers() {
    review = std::make_unique<timer>(board.loop, [this] { review_calls(board); });
    review->start(review_interval, review_interval);
    probes = std::make_unique<timer>(board.loop, [this] { send_probes(board); });
    probes->start(probe_interval, probe_interval);
    stop_check = std::make_unique<timer>(board.loop, [this] { check_stop(); });
}

void entry_process::state::check_stop() {
    const auto now = boot_clock::now();
    const bool idle = board.calls.empty() && board.callers->open_exchanges() == 0;
    if ((idle && now >= board.stop->started + address_drain_time(board.conf.address_keep)) ||
        now >= board.stop->started + board.conf.graceful_stop_limit) {
        LOG(INFO) << "[entry] stopped with " << board.calls.size() << " calls in progress";
        stop_check->stop();
        ev_break(board.loop, EVBREAK_ALL);
    }
}

entry_process::entry_process(std::unique_ptr<state> it) : m_state(std::move(it)) {}

entry_process::~entry_process() {
    auto& board = m_state->board;
    m_state->feed.reset();
    board.client.reset();
    board.callers.reset();
    board.admin.reset();
}

result<std::unique_ptr<entry_process>> entry_process::open(struct ev_loop* loop, settings conf) {
    auto it = std::make_unique<state>();
    auto& board = it->board;
    board.conf = std::move(conf);
    board.loop = loop;
    board.random = make_random_source();
    board.life = incarnation{static_cast<std::uint64_t>(wall_clock_us())};
    board.registry.vm = board.conf.vm;
    board.registry.life = board.life;
    board.registry.generation_start = boot_clock::now();
    build_routes(board);
    board.client = std::make_unique<http_client>(loop, 0);
    if (auto listening = it->listen(); !listening) {
        return tl::unexpected<error>(listening.error());
    }
    it->feed = std::make_unique<feed_client>(board);
    it->start_timers();
    return std::unique_ptr<entry_process>(new entry_process(std::move(it)));
}

void entry_process::stop() {
    auto& board = m_state->board;
    if (board.stop) {
        return;
    }
    board.stop = plan_stop(boot_clock::now(), address_drain_time(board.conf.address_keep),
                           board.conf.graceful_stop_limit);
    board.callers->stop_accepting();
    m_state->feed->report();
    m_state->stop_check->start(stop_check_interval, stop_check_interval);
    LOG(INFO) << "[entry] stopping, " << board.calls.size() << " calls in progress";
}

entry_board& entry_process::board() {
    return m_state->board;
}

} // namespace endivelever
