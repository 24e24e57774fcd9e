#include "endivelever/control/control_process.hpp"

#include "endivelever/base/log.hpp"
#include "endivelever/control/exchange.hpp"
#include "endivelever/control/feed.hpp"
#include "endivelever/control/links.hpp"
#include "endivelever/control/operator_api.hpp"
#include "endivelever/control/store_watch.hpp"

#include <algorithm>
#include <ev.h>

namespace endivelever {
namespace detail {

constexpr auto turn_interval = std::chrono::milliseconds(100);
constexpr auto heartbeat_interval = std::chrono::milliseconds(500);
// Lets the announcement reach the peers before the links close.
constexpr auto shortest_stop = std::chrono::milliseconds(500);

void init_board(control_board& board, const settings& config) {
    board.config = config;
    board.random = make_random_source();
    auto& self = board.members.self;
    self.vm = config.vm;
    self.life.value = static_cast<std::uint64_t>(wall_clock_us());
    self.failure_domain = config.failure_domain;
    self.caller_address = config.caller_address.text;
    self.feed_address = config.feed_address.text;
    self.admin_address = config.admin_address.text;
    init_store_watch(board);
}

bool entry_is_leaving(const control_board& board) {
    return std::any_of(board.connections.begin(), board.connections.end(), [&board](const auto& link) {
        return is_linked_entry(*link) && link->peer->vm == board.config.vm && link->report &&
               link->report->state == member_state::leaving;
    });
}

} // namespace detail

struct control_process::state {
    state(struct ev_loop* loop, const settings& config)
        : turn_timer(loop, [this] { turn(); }), heartbeat_timer(loop, [this] { beat(); }) {
        it.loop = loop;
        detail::init_board(it.board, config);
        it.store = std::make_unique<store_client>(loop, config.platform_address, store_limits{});
    }

    control it;
    std::unique_ptr<operator_api> operators;
    std::unique_ptr<frame_listener> listener;
    time_point stop_started{};
    timer turn_timer;
    timer heartbeat_timer;

    void turn() {
        const auto now = boot_clock::now();
        recover_from_pause(it, now);
        maintain_links(it, now);
        send_changed_members(it, now);
        run_store_watch(it, now);
        if (it.board.stopping && may_exit(now)) {
            LOG(INFO) << "[control] stopped";
            ev_break(it.loop, EVBREAK_ALL);
        }
    }
    void beat() {
        const auto now = boot_clock::now();
        recover_from_pause(it, now);
        send_heartbeats(it, now);
        feed_entries(it, now);
        heartbeat_timer.start(with_jitter(detail::heartbeat_interval, it.board.random));
    }
    [[nodiscard]] bool may_exit(time_point now) const {
        const auto waited = now - stop_started;
        if (waited >= it.board.config.graceful_stop_limit && waited >= detail::shortest_stop) {
            return true;
        }
        const bool busy = it.board.changes_in_progress > 0 || detail::entry_is_leaving(it.board);
        return !busy && waited >= detail::shortest_stop;
    }
};

result<std::unique_ptr<control_process>> control_process::open(struct ev_loop* loop, const settings& config) {
    auto created = std::make_unique<state>(loop, config);
    auto* self = created.get();
    auto listener =
        frame_listener::open(loop, config.feed_address, [self](int fd) { accept_link(self->it, fd); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    created->listener = std::move(*listener);
    auto operators = operator_api::open(created->it);
    if (!operators) {
        return tl::unexpected(operators.error());
    }
    created->operators = std::move(*operators);
    created->turn_timer.start(duration::zero(), detail::turn_interval);
    created->heartbeat_timer.start(duration::zero());
    return std::unique_ptr<control_process>(new control_process(std::move(created)));
}

control_process::control_process(std::unique_ptr<state> it) : m_state(std::move(it)) {}

control_process::~control_process() {
    reset_links(m_state->it);
}

void control_process::stop() {
    auto& it = m_state->it;
    if (it.board.stopping) {
        return;
    }
    LOG(INFO) << "[control] leaving";
    it.board.stopping = true;
    m_state->stop_started = boot_clock::now();
    m_state->operators->stop_accepting();
    send_heartbeats(it, m_state->stop_started);
    send_changed_members(it, m_state->stop_started);
}

const control_board& control_process::board() const {
    return m_state->it.board;
}

std::uint16_t control_process::feed_port() const {
    return m_state->listener->port();
}

std::uint16_t control_process::operator_port() const {
    return m_state->operators->port();
}

} // namespace endivelever
