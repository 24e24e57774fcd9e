#include "testbed/delayed_calls.hpp"

#include <ev.h>
#include <map>
#include <stdexcept>
#include <sys/timerfd.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace endivelever::testbed {

struct delayed_calls::state {
    struct ev_loop* loop = nullptr;
    int fd = -1;
    ev_io watcher{};
    id last_id = 0;
    std::map<std::pair<time_point, id>, std::function<void()>> calls;
    std::unordered_map<id, time_point> due_times;
};

namespace detail {

void arm(int fd, time_point due) {
    const auto since_boot = std::max(due.time_since_epoch(), duration(1));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since_boot);
    itimerspec spec{};
    spec.it_value.tv_sec = seconds.count();
    spec.it_value.tv_nsec = (since_boot - seconds).count();
    timerfd_settime(fd, TFD_TIMER_ABSTIME, &spec, nullptr);
}

template <typename State>
void run_due(State& it) {
    while (!it.calls.empty() && it.calls.begin()->first.first <= boot_clock::now()) {
        auto node = it.calls.extract(it.calls.begin());
        it.due_times.erase(node.key().second);
        node.mapped()();
    }
    if (!it.calls.empty()) {
        arm(it.fd, it.calls.begin()->first.first);
    }
}

template <typename State>
void on_expiry(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
    auto& it = *static_cast<State*>(watcher->data);
    std::uint64_t expirations = 0;
    if (read(it.fd, &expirations, sizeof expirations) == sizeof expirations) {
        run_due(it);
    }
}

} // namespace detail

delayed_calls::delayed_calls(struct ev_loop* loop) : m_state(std::make_unique<state>()) {
    m_state->loop = loop;
    m_state->fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    if (m_state->fd < 0) {
        throw std::runtime_error("timerfd_create failed");
    }
    ev_io_init(&m_state->watcher, detail::on_expiry<state>, m_state->fd, EV_READ);
    m_state->watcher.data = m_state.get();
    ev_io_start(loop, &m_state->watcher);
}

delayed_calls::~delayed_calls() {
    ev_io_stop(m_state->loop, &m_state->watcher);
    close(m_state->fd);
}

delayed_calls::id delayed_calls::schedule(time_point due, std::function<void()> callback) {
    const id added = ++m_state->last_id;
    const auto place = m_state->calls.emplace(std::make_pair(due, added), std::move(callback)).first;
    m_state->due_times.emplace(added, due);
    if (place == m_state->calls.begin()) {
        detail::arm(m_state->fd, due);
    }
    return added;
}

void delayed_calls::cancel(id which) {
    const auto found = m_state->due_times.find(which);
    if (found == m_state->due_times.end()) {
        return;
    }
    m_state->calls.erase({found->second, which});
    m_state->due_times.erase(found);
}

} // namespace endivelever::testbed
