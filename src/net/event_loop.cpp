#include "endivelever/net/event_loop.hpp"

#include <csignal>
#include <ev.h>
#include <utility>

namespace endivelever {

struct timer::state {
    struct ev_loop* loop = nullptr;
    ev_timer watcher{};
    std::function<void()> callback;

    static void on_expiry(struct ev_loop* /*loop*/, ev_timer* watcher, int /*revents*/) {
        static_cast<state*>(watcher->data)->callback();
    }
};

timer::timer(struct ev_loop* loop, std::function<void()> callback) : m_state(std::make_unique<state>()) {
    m_state->loop = loop;
    m_state->callback = std::move(callback);
    ev_timer_init(&m_state->watcher, &state::on_expiry, 0.0, 0.0);
    m_state->watcher.data = m_state.get();
}

timer::~timer() {
    stop();
}

void timer::start(duration delay, duration repeat) {
    auto& it = *m_state;
    ev_timer_stop(it.loop, &it.watcher);
    // libev caches the time per loop iteration; a stale time would make the timer expire early.
    ev_now_update(it.loop);
    ev_timer_set(&it.watcher, to_seconds(delay), to_seconds(repeat));
    ev_timer_start(it.loop, &it.watcher);
}

void timer::stop() {
    ev_timer_stop(m_state->loop, &m_state->watcher);
}

bool timer::active() const {
    return ev_is_active(&m_state->watcher);
}

struct stop_signal::state {
    struct ev_loop* loop = nullptr;
    ev_signal terminate{};
    ev_signal interrupt{};
    std::function<void()> callback;

    static void on_signal(struct ev_loop* /*loop*/, ev_signal* watcher, int /*revents*/) {
        static_cast<state*>(watcher->data)->callback();
    }
};

stop_signal::stop_signal(struct ev_loop* loop, std::function<void()> callback)
    : m_state(std::make_unique<state>()) {
    auto& it = *m_state;
    it.loop = loop;
    it.callback = std::move(callback);
    ev_signal_init(&it.terminate, &state::on_signal, SIGTERM);
    ev_signal_init(&it.interrupt, &state::on_signal, SIGINT);
    it.terminate.data = &it;
    it.interrupt.data = &it;
    ev_signal_start(loop, &it.terminate);
    ev_signal_start(loop, &it.interrupt);
}

stop_signal::~stop_signal() {
    ev_signal_stop(m_state->loop, &m_state->terminate);
    ev_signal_stop(m_state->loop, &m_state->interrupt);
}

} // namespace endivelever
