#include "endivelever/entry/feed.hpp"
#include "endivelever/base/log.hpp"

#include "endivelever/entry/controllers.hpp"
#include "endivelever/net/event_loop.hpp"
#include "endivelever/net/frame_link.hpp"

#include <algorithm>

namespace endivelever {
namespace {

constexpr duration report_interval = std::chrono::milliseconds(500);
constexpr duration retry_interval = std::chrono::milliseconds(200);
constexpr duration failover_after = std::chrono::seconds(2);
constexpr std::uint32_t jitter_ms = 100;
// A longer gap between two report times means that this process was paused.
constexpr duration pause_limit = std::chrono::milliseconds(1500);

} // namespace

struct feed_client::state {
    entry_board& board;
    link_counts counts;
    std::unique_ptr<frame_link> link;
    bool linked_to_own = false;
    time_point own_lost{};   ///< since when the own control has been unavailable
    time_point last_heard{}; ///< last message of any control
    time_point last_turn{};  ///< last report time
    std::size_t next_other = 0;
    timer reports;
    timer retries;

    explicit state(entry_board& at)
        : board(at), own_lost(boot_clock::now()), reports(at.loop, [this] { on_report_time(); }),
          retries(at.loop, [this] { connect(); }) {
        last_turn = own_lost;
        reports.start(report_interval, report_interval);
        connect();
    }

    [[nodiscard]] std::vector<socket_address> other_controls() const;
    void connect();
    void on_ready();
    void on_message(const message& incoming);
    void on_closed(const std::string& reason);
    void on_report_time();
    void schedule_retry();
    bool recover_from_pause(time_point now);
};

std::vector<socket_address> feed_client::state::other_controls() const {
    std::vector<socket_address> others;
    const auto add = [&](const socket_address& it) {
        if (!it.empty() && it != board.conf.feed_address &&
            std::find(others.begin(), others.end(), it) == others.end()) {
            others.push_back(it);
        }
    };
    for (const auto& it : board.members) {
        add(socket_address(it.feed_address));
    }
    for (const auto& it : board.conf.seeds) {
        add(it);
    }
    return others;
}

void feed_client::state::connect() {
    const auto others = other_controls();
    const bool own_down = boot_clock::now() - own_lost >= failover_after;
    auto target = board.conf.feed_address;
    linked_to_own = true;
    if (own_down && !others.empty() && next_other % 2 == 0) {
        target = others[(next_other / 2) % others.size()];
        linked_to_own = false;
    }
    next_other += own_down ? 1 : 0;
    last_heard = boot_clock::now();
    frame_link::handlers on;
    on.on_ready = [this] { on_ready(); };
    on.on_message = [this](const message& it) { on_message(it); };
    on.on_closed = [this](const std::string& reason) { on_closed(reason); };
    link = frame_link::connect(board.loop, target, board.conf.cluster_key, std::move(on), counts);
}

void feed_client::state::on_ready() {
    hello_message hello;
    hello.vm = board.conf.vm;
    hello.role = process_role::entry;
    hello.life = board.life;
    hello.failure_domain = board.conf.failure_domain;
    hello.caller_address = board.conf.caller_address.text;
    hello.feed_address = board.conf.feed_address.text;
    hello.admin_address = board.conf.admin_address.text;
    link->send(hello);
    link->send(make_report(board));
}

/// Leases that waited in the socket during a pause are older than their receipt, so they are not used.
/// @return true if this process was paused; the link is then closed and the lease withdrawn
bool feed_client::state::recover_from_pause(time_point now) {
    const bool paused = now - last_turn > pause_limit;
    last_turn = now;
    if (paused) {
        LOG(WARNING) << "[entry] resumed after a pause, connecting anew";
        board.lease_until = time_point{};
        link.reset();
        schedule_retry();
    }
    return paused;
}

void feed_client::state::on_message(const message& incoming) {
    const auto now = boot_clock::now();
    if (now - last_turn > pause_limit) {
        recover_from_pause(now);
        return;
    }
    last_heard = now;
    if (linked_to_own) {
        own_lost = last_heard;
        next_other = 0;
    }
    if (const auto* it = std::get_if<document_message>(&incoming)) {
        const auto before = board.applied;
        apply_document(board, *it);
        if (board.applied != before) {
            link->send(make_report(board));
        }
    } else if (const auto* members = std::get_if<member_table_message>(&incoming)) {
        apply_members(board, *members);
    } else if (const auto* lease = std::get_if<lease_message>(&incoming)) {
        board.lease_until = last_heard + std::chrono::milliseconds(lease->valid_ms);
    }
}

void feed_client::state::on_closed(const std::string& reason) {
    LOG(WARNING) << "[entry] feed closed: " << reason;
    ++counter(board.counters, "feed_closed_total");
    schedule_retry();
}

void feed_client::state::schedule_retry() {
    retries.start(retry_interval + std::chrono::milliseconds(random_below(board.random, jitter_ms)));
}

void feed_client::state::on_report_time() {
    update_demand(board, report_interval);
    if (recover_from_pause(boot_clock::now())) {
        return;
    }
    if (link && link->ready()) {
        link->send(make_report(board));
    }
    const bool silent = boot_clock::now() - last_heard >= failover_after;
    if (silent && !retries.active()) {
        LOG(WARNING) << "[entry] feed is silent, connecting anew";
        link.reset();
        schedule_retry();
    }
    board.counters.counters["feed_bytes_received_total"] = counts.bytes_received;
    board.counters.counters["feed_bytes_sent_total"] = counts.bytes_sent;
}

feed_client::feed_client(entry_board& board) : m_state(std::make_unique<state>(board)) {}

feed_client::~feed_client() = default;

void feed_client::report() {
    if (m_state->link && m_state->link->ready()) {
        m_state->link->send(make_report(m_state->board));
    }
}

} // namespace endivelever
