#include "endivelever/control/store_watch.hpp"

#include "endivelever/control/exchange.hpp"

namespace endivelever {
namespace detail {

// A watch proves currency as of its start. One second keeps the proof well inside the limit of 4 s.
constexpr auto in_force_wait = std::chrono::seconds(1);
constexpr auto other_wait = std::chrono::seconds(5);
constexpr auto shortest_poll = std::chrono::seconds(20);
constexpr auto poll_spread_ms = 10'000.0;
// Pause after an answer that brought nothing new, so that a store that answers watches at once is not
// flooded.
constexpr auto quiet_delay = std::chrono::milliseconds(500);
// An absent document cannot be watched. Its first version also arrives from the control that creates it.
constexpr auto absent_delay = std::chrono::seconds(2);

duration poll_delay(control_board& board) {
    return shortest_poll + from_milliseconds(poll_spread_ms * random_unit(board.random));
}

duration delay_after(control_board& board, const store_answer& answer, bool newer) {
    if (!board.watcher) {
        return poll_delay(board);
    }
    if (answer.status == store_status::absent) {
        return with_jitter(absent_delay, board.random);
    }
    const bool waited = answer.status == store_status::unchanged;
    return newer || waited ? duration::zero() : with_jitter(quiet_delay, board.random);
}

void finish_call(control& it, watched_document& item, const store_answer& answer) {
    auto& board = it.board;
    const auto now = boot_clock::now();
    item.in_flight = false;
    if (answer.status == store_status::unavailable) {
        item.next = now + next_delay(item.delay, board.random);
        return;
    }
    item.delay.failures = 0;
    const bool newer = answer.version > version_of(board.documents, item.key);
    if (answer.status == store_status::ok) {
        learn_document(it, {item.key, answer.version, answer.payload});
    }
    if (item.key == in_force_key) {
        board.currency.last_store_read = std::max(board.currency.last_store_read, answer.started);
    }
    item.next = now + delay_after(board, answer, newer);
}

void start_call(control& it, watched_document& item) {
    item.in_flight = true;
    const auto known = version_of(it.board.documents, item.key);
    auto done = [&it, &item](const store_answer& answer) { finish_call(it, item, answer); };
    if (it.board.watcher && known.value != 0) {
        it.store->watch(item.key, known, item.wait, std::move(done));
    } else {
        it.store->read(item.key, store_purpose::background, std::move(done));
    }
}

void read_definition(control& it, const document_key& key) {
    it.store->read(key, store_purpose::background, [&it, key](const store_answer& answer) {
        if (answer.status == store_status::ok) {
            learn_document(it, {key, answer.version, answer.payload});
        } else if (answer.status == store_status::unavailable) {
            it.board.next_definitions =
                boot_clock::now() + with_jitter(std::chrono::seconds(2), it.board.random);
        }
    });
}

// Reads a few definitions at a time, so that a long list does not use up the budget of the watches.
void finish_list(control& it, const store_list_answer& answer) {
    constexpr int batch = 4;
    auto& board = it.board;
    const auto now = boot_clock::now();
    board.definitions_in_flight = false;
    board.next_definitions = now + poll_delay(board);
    if (answer.status != store_status::ok) {
        board.next_definitions = now + with_jitter(std::chrono::seconds(2), board.random);
        return;
    }
    int started = 0;
    for (const auto& digest : answer.objects) {
        if (digest.version <= version_of(board.documents, digest.key)) {
            continue;
        }
        if (started++ == batch) {
            board.next_definitions = now + with_jitter(std::chrono::seconds(1), board.random);
            return;
        }
        read_definition(it, digest.key);
    }
}

} // namespace detail

void init_store_watch(control_board& board) {
    for (const auto& key : {in_force_key, drains_key, vm_list_key}) {
        auto& item = board.watched.emplace_back();
        item.key = key;
        item.wait = key == in_force_key ? detail::in_force_wait : detail::other_wait;
    }
}

void run_store_watch(control& it, time_point now) {
    auto& board = it.board;
    const bool was_watcher = board.watcher;
    board.watcher = is_watcher(board.members, now);
    for (auto& item : board.watched) {
        if (board.watcher && !was_watcher && item.delay.failures == 0) {
            item.next = now;
        }
        if (!item.in_flight && now >= item.next) {
            detail::start_call(it, item);
        }
    }
    if (!board.definitions_in_flight && now >= board.next_definitions) {
        board.definitions_in_flight = true;
        it.store->list(definition_prefix,
                       [&it](const store_list_answer& answer) { detail::finish_list(it, answer); });
    }
}

} // namespace endivelever
