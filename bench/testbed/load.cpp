#include "testbed/load.hpp"

#include "endivelever/base/random.hpp"
#include "testbed/body_pattern.hpp"
#include "testbed/caller.hpp"
#include "testbed/delayed_calls.hpp"

#include <cmath>
#include <ev.h>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace endivelever::testbed {
namespace detail {

/// Extra wait of a caller beyond the deadline, so that an answer sent at the deadline still arrives.
constexpr duration deadline_grace = std::chrono::milliseconds(250);

/// One call from its intended send time to its outcome.
struct load_call {
    const load_kind* kind = nullptr;
    kind_report* report = nullptr; ///< nullptr during warm-up
    caller* from = nullptr;
    std::string unique;
    std::string target;
    time_point intended{};
    time_point deadline{};
    bool duplicate = false; ///< second copy of a call
    std::uint32_t attempts = 0;
    std::string key;        ///< call id of the last attempt; empty for idempotent kinds
    std::string resend_key; ///< call id to use again; empty means a new one
};

/// One attempt and what arrived of its response.
struct load_attempt {
    socket_address address;
    bool direct = false;
    unsigned status = 0;
    std::string outcome_header;
    bool ran_no = false;
    duration retry_after{};
    body_pattern pattern;
    std::uint64_t received = 0;
    bool mismatch = false;
};

struct load_run {
    load_run(struct ev_loop* ev, const load_options& opts)
        : loop(ev), options(opts), random(opts.seed), timers(ev) {}

    struct ev_loop* loop;
    const load_options& options;
    load_report report;
    caller::counts address_counts;
    random_source random;
    delayed_calls timers;
    std::vector<std::unique_ptr<caller>> callers;
    std::unordered_map<std::string, call_record> records;
    time_point start{};
    std::uint64_t last_number = 0;
    std::uint64_t open = 0;
    std::size_t open_streams = 0; ///< kinds that still send

    void begin();
    void schedule_next(const load_kind& kind, time_point after);
    void arrive(const load_kind& kind, time_point intended);
    void send(const std::shared_ptr<load_call>& call);
    void send_to(const std::shared_ptr<load_call>& call, const std::vector<answered_address>& addresses);
    void start_attempt(const std::shared_ptr<load_call>& call, const answered_address& to, bool direct);
    http_request build_request(load_call& call, const answered_address& to, bool direct);
    void end_attempt(const std::shared_ptr<load_call>& call, const load_attempt& attempt,
                     const transfer_result& end);
    bool may_resend(const load_call& call, call_outcome outcome) const;
    void resend(const std::shared_ptr<load_call>& call, call_outcome outcome, duration delay);
    void end_call(load_call& call, call_outcome outcome);
    void note(const load_call& call, call_outcome outcome);
    void stop_if_idle();
};

call_outcome classify(const load_call& call, const load_attempt& attempt, const transfer_result& end) {
    if (attempt.mismatch) {
        return call_outcome::wrong;
    }
    if (!end.sent) {
        return call_outcome::not_run;
    }
    if (end.failure != transfer_failure::none) {
        return end.failure == transfer_failure::timeout ? call_outcome::unknown : call_outcome::broken;
    }
    const bool not_run = attempt.direct ? attempt.ran_no : attempt.outcome_header == "not-run";
    if (not_run) {
        const bool load = attempt.status == 429 || attempt.status == 503;
        return load ? call_outcome::refused : call_outcome::not_run;
    }
    if (!attempt.direct && attempt.outcome_header == "unknown") {
        return call_outcome::unknown;
    }
    if (!attempt.direct && attempt.outcome_header != "done") {
        return call_outcome::wrong;
    }
    if (attempt.status != 200) {
        return call_outcome::failed;
    }
    return attempt.received == call.kind->response_size ? call_outcome::done : call_outcome::wrong;
}

void read_head(load_attempt& attempt, unsigned status, const http_headers& headers) {
    attempt.status = status;
    if (const auto* it = find_header(headers, "Endivelever-Outcome")) {
        attempt.outcome_header = *it;
    }
    if (const auto* it = find_header(headers, "Endivelever-Ran")) {
        attempt.ran_no = *it == "no";
    }
    if (const auto* it = find_header(headers, "Retry-After-Ms")) {
        attempt.retry_after = std::chrono::milliseconds(std::strtol(it->c_str(), nullptr, 10));
    }
}

void read_data(load_attempt& attempt, std::string_view data) {
    if (attempt.status == 200 && !matches(attempt.pattern, attempt.received, data)) {
        attempt.mismatch = true;
    }
    attempt.received += data.size();
}

void load_run::begin() {
    start = boot_clock::now();
    for (std::uint32_t i = 0; i < options.callers; ++i) {
        callers.push_back(std::make_unique<caller>(loop, options.entries, random, address_counts));
    }
    for (const auto& kind : options.kinds) {
        report.kinds[kind.kind];
        if (kind.calls_per_second > 0.0) {
            ++open_streams;
            schedule_next(kind, start);
        }
    }
}

void load_run::schedule_next(const load_kind& kind, time_point after) {
    const double gap_s = -std::log(1.0 - random_unit(random)) / kind.calls_per_second;
    const auto due = after + from_milliseconds(gap_s * 1000.0);
    if (due - start >= options.run_time) {
        --open_streams;
        timers.schedule(start + options.run_time, [this] { stop_if_idle(); });
        return;
    }
    timers.schedule(due, [this, &kind, due] {
        schedule_next(kind, due);
        arrive(kind, due);
    });
}

void load_run::arrive(const load_kind& kind, time_point intended) {
    const auto number = ++last_number;
    auto call = std::make_shared<load_call>();
    call->kind = &kind;
    call->report = intended - start >= options.warm_up ? &report.kinds[kind.kind] : nullptr;
    call->from = callers[number % callers.size()].get();
    call->unique = std::to_string(options.seed) + "-" + std::to_string(number);
    call->target = kind.path_prefix + call->unique + "?size=" + std::to_string(kind.response_size);
    call->intended = intended;
    call->deadline = intended + kind.deadline;
    record(report.send_lag, boot_clock::now() - intended);
    if (call->report != nullptr) {
        ++call->report->calls;
    }
    ++open;
    send(call);
}

void load_run::send(const std::shared_ptr<load_call>& call) {
    const auto& servers = call->kind->servers;
    if (!servers.empty()) {
        const auto picked = random_below(random, static_cast<std::uint32_t>(servers.size()));
        start_attempt(call, {servers[picked], "direct"}, true);
        return;
    }
    call->from->with_addresses([this, call](const auto& addresses) { send_to(call, addresses); });
}

void load_run::send_to(const std::shared_ptr<load_call>& call,
                       const std::vector<answered_address>& addresses) {
    if (addresses.empty()) {
        note(*call, call_outcome::not_run);
        end_call(*call, call_outcome::not_run);
        return;
    }
    const bool first = call->attempts == 0 && !call->duplicate;
    start_attempt(call, addresses[call->attempts % addresses.size()], false);
    if (first && options.duplicate_ratio > 0.0 && random_unit(random) < options.duplicate_ratio) {
        auto copy = std::make_shared<load_call>(*call);
        copy->duplicate = true;
        copy->resend_key = call->key;
        ++open;
        start_attempt(copy, addresses[1 % addresses.size()], false);
    }
}

http_request load_run::build_request(load_call& call, const answered_address& to, bool direct) {
    const auto left = std::max(call.deadline - boot_clock::now(), duration(std::chrono::milliseconds(1)));
    const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    http_request request;
    request.method = call.kind->method;
    request.address = to.address;
    request.target = call.target;
    request.headers.push_back({"Endivelever-Deadline-Ms", std::to_string(left_ms)});
    if (direct) {
        request.headers.push_back({"Endivelever-Kind", call.kind->kind.text});
    }
    if (!call.kind->idempotent) {
        const auto fresh = to.call_id_prefix + "." + call.unique + "-" + std::to_string(call.attempts);
        call.key = call.resend_key.empty() ? fresh : call.resend_key;
        request.headers.push_back({"Idempotency-Key", call.key});
    }
    if (call.kind->request_size > 0) {
        request.has_body = true;
        request.body.assign(call.kind->request_size, 'x');
        request.content_length = call.kind->request_size;
    }
    request.timeout = left + deadline_grace;
    return request;
}

void load_run::start_attempt(const std::shared_ptr<load_call>& call, const answered_address& to,
                             bool direct) {
    auto attempt = std::make_shared<load_attempt>();
    attempt->address = to.address;
    attempt->direct = direct;
    attempt->pattern = pattern_of(call->target);
    auto request = build_request(*call, to, direct);
    ++call->attempts;
    call->from->client().start(
        std::move(request),
        {.on_read = nullptr,
         .on_head = [attempt](unsigned status,
                              const http_headers& headers) { read_head(*attempt, status, headers); },
         .on_body =
             [attempt](std::string_view data) {
                 read_data(*attempt, data);
                 return true;
             },
         .on_done = [this, call, attempt](const transfer_result& end) { end_attempt(call, *attempt, end); }});
}

void load_run::end_attempt(const std::shared_ptr<load_call>& call, const load_attempt& attempt,
                           const transfer_result& end) {
    const auto outcome = classify(*call, attempt, end);
    note(*call, outcome);
    if (!end.sent || outcome == call_outcome::broken) {
        call->from->note_unreachable(attempt.address);
    }
    if (may_resend(*call, outcome)) {
        resend(call, outcome, attempt.retry_after);
        return;
    }
    end_call(*call, outcome);
}

bool load_run::may_resend(const load_call& call, call_outcome outcome) const {
    const bool over =
        outcome == call_outcome::done || outcome == call_outcome::failed || outcome == call_outcome::wrong;
    if (over || call.duplicate || options.resend == resend_policy::none) {
        return false;
    }
    if (call.attempts >= options.max_attempts || boot_clock::now() >= call.deadline) {
        return false;
    }
    const bool certain = outcome == call_outcome::not_run || outcome == call_outcome::refused;
    return certain || call.kind->idempotent || options.resend == resend_policy::same_id;
}

void load_run::resend(const std::shared_ptr<load_call>& call, call_outcome outcome, duration delay) {
    const bool certain = outcome == call_outcome::not_run || outcome == call_outcome::refused;
    call->resend_key = certain ? "" : call->key;
    if (call->report != nullptr) {
        ++call->report->resends;
    }
    timers.schedule(boot_clock::now() + delay, [this, call] { send(call); });
}

void load_run::note(const load_call& call, call_outcome outcome) {
    if (options.calls_file.empty()) {
        return;
    }
    const auto& key = call.kind->idempotent ? call.target : call.key;
    if (key.empty()) {
        return;
    }
    auto& it = records[key];
    it.key = key;
    it.idempotent = call.kind->idempotent;
    switch (outcome) {
    case call_outcome::done:
        ++it.done;
        break;
    case call_outcome::not_run:
    case call_outcome::refused:
        ++it.not_run;
        break;
    case call_outcome::failed:
    case call_outcome::unknown:
    case call_outcome::broken:
    case call_outcome::wrong:
        ++it.unclear;
    }
}

void load_run::end_call(load_call& call, call_outcome outcome) {
    if (call.report != nullptr) {
        auto& counts = call.duplicate ? call.report->duplicate_outcomes : call.report->outcomes;
        ++counts.at(static_cast<std::size_t>(outcome));
        if (outcome == call_outcome::done && !call.duplicate) {
            record(call.report->latency, boot_clock::now() - call.intended);
        }
    }
    --open;
    stop_if_idle();
}

void load_run::stop_if_idle() {
    if (open == 0 && open_streams == 0 && boot_clock::now() - start >= options.run_time) {
        ev_break(loop, EVBREAK_ALL);
    }
}

void write_records(const load_run& run) {
    std::ofstream out(run.options.calls_file);
    for (const auto& [key, it] : run.records) {
        const nlohmann::json line{{"key", key},
                                  {"idempotent", it.idempotent},
                                  {"done", it.done},
                                  {"not_run", it.not_run},
                                  {"unclear", it.unclear}};
        out << line.dump() << '\n';
    }
}

} // namespace detail

load_report run_load(const load_options& options) {
    auto* loop = ev_loop_new(EVFLAG_AUTO);
    load_report report;
    {
        detail::load_run run(loop, options);
        run.begin();
        if (run.open_streams > 0) {
            ev_run(loop, 0);
        }
        if (!options.calls_file.empty()) {
            detail::write_records(run);
        }
        report = std::move(run.report);
        report.address_requests = run.address_counts.address_requests;
        report.address_failures = run.address_counts.address_failures;
    }
    ev_loop_destroy(loop);
    return report;
}

} // namespace endivelever::testbed
