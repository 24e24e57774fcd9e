#include "endivelever/control/change_preset.hpp"

#include "endivelever/config/check_preset.hpp"
#include "endivelever/control/exchange.hpp"

#include <utility>

namespace endivelever {
namespace detail {

constexpr int max_writes = 3;
constexpr int max_read_backs = 6;
constexpr auto max_change_time = std::chrono::seconds(6); // after this an operator hears "unknown"

/// One change in progress. It keeps itself alive through the handlers of its calls.
struct preset_change : std::enable_shared_from_this<preset_change> {
    preset_change(control& with, change_request what, std::function<void(const change_result&)> done)
        : it(with), request(std::move(what)), on_done(std::move(done)),
          retry(with.loop, [this] { resume(); }) {}

    control& it;
    change_request request;
    std::function<void(const change_result&)> on_done;
    timer retry;
    std::shared_ptr<preset_change> waiting; ///< holds this object while only the timer refers to it
    std::optional<in_force_record> present;
    std::string payload;
    back_off delay;
    time_point started = boot_clock::now();
    int writes = 0;
    int read_backs = 0;

    void finish(change_outcome outcome, unsigned status, std::string reason, bool lost_race = false) {
        --it.board.changes_in_progress;
        std::exchange(on_done, nullptr)({outcome, status, std::move(reason), lost_race});
    }
    void refuse(unsigned status, std::string reason) {
        finish(change_outcome::not_run, status, std::move(reason));
    }
    void lose_race() { finish(change_outcome::not_run, 409, "another change was accepted first", true); }
    void give_up() {
        finish(change_outcome::unknown, 504, "the store did not confirm the change, it may take effect");
    }

    // Every successful read is passed on to peers and entries like any other document.
    std::optional<in_force_record> parse(const store_answer& answer) {
        learn_document(it, {in_force_key, answer.version, answer.payload});
        auto record = parse_in_force(answer.payload);
        return record ? std::optional(std::move(*record)) : std::nullopt;
    }

    void start() {
        it.store->read(in_force_key, store_purpose::change,
                       [self = shared_from_this()](const store_answer& answer) { self->on_present(answer); });
    }
    void on_present(const store_answer& answer) {
        if (answer.status != store_status::ok && answer.status != store_status::absent) {
            refuse(503, "the store is not available");
            return;
        }
        if (answer.status == store_status::ok) {
            present = parse(answer);
            if (!present && request.kind != change_kind::switch_preset) {
                refuse(409, "the preset in force cannot be read");
                return;
            }
        }
        check(answer.version);
    }
    void check(document_version version) {
        if (present && trace_of(*present, request.operation, {}) == operation_trace::present) {
            finish(change_outcome::done, 200, {});
            return;
        }
        if (version != request.expect) {
            lose_race();
            return;
        }
        if (const auto refusal = check_change(request, present); refusal.status != 0) {
            refuse(refusal.status, refusal.reason);
            return;
        }
        if (request.kind == change_kind::switch_preset) {
            read_definition();
        } else {
            prepare(present->content);
        }
    }
    void read_definition() {
        it.store->read(
            document_key(definition_prefix + request.name.text), store_purpose::change,
            [self = shared_from_this()](const store_answer& answer) { self->on_definition(answer); });
    }
    void on_definition(const store_answer& answer) {
        if (answer.status == store_status::absent) {
            refuse(404, "there is no preset " + request.name.text);
            return;
        }
        if (answer.status != store_status::ok) {
            refuse(503, "the store is not available");
            return;
        }
        const auto source = "preset " + request.name.text;
        const auto content = parse_preset(answer.payload, source);
        if (!content) {
            refuse(409, content.error().message);
            return;
        }
        if (const auto fits = check_preset(*content, it.board.config, source); !fits) {
            refuse(409, fits.error().message);
            return;
        }
        prepare(*content);
    }
    void prepare(const preset& content) {
        payload = to_json(next_record(request, present, content, wall_clock_us()));
        write();
    }
    void write() {
        ++writes;
        it.store->write(
            in_force_key, payload, request.expect,
            [self = shared_from_this()](const store_answer& answer) { self->on_written(answer); });
    }
    void on_written(const store_answer& answer) {
        if (answer.status == store_status::ok) {
            learn_document(it, {in_force_key, answer.version, payload});
            finish(change_outcome::done, 200, {});
            return;
        }
        if (answer.status == store_status::unavailable && writes == 1) {
            refuse(503, "the store is not available");
            return;
        }
        read_back();
    }
    void read_back() {
        ++read_backs;
        it.store->read(
            in_force_key, store_purpose::change,
            [self = shared_from_this()](const store_answer& answer) { self->on_read_back(answer); });
    }
    void on_read_back(const store_answer& answer) {
        if (answer.status != store_status::ok && answer.status != store_status::absent) {
            wait();
            return;
        }
        if (answer.version == request.expect) {
            // The write has not taken effect yet but still may. Writing again is safe: the expected version
            // lets at most one of the two through.
            wait();
            return;
        }
        const auto record = parse(answer);
        const auto before = present ? present->operation : operation_id{};
        const auto trace = record ? trace_of(*record, request.operation, before) : operation_trace::unclear;
        if (trace == operation_trace::present) {
            finish(change_outcome::done, 200, {});
        } else if (trace == operation_trace::absent) {
            lose_race();
        } else {
            give_up();
        }
    }
    void wait() {
        const bool late = boot_clock::now() - started > max_change_time;
        if (late || read_backs >= max_read_backs || writes >= max_writes) {
            give_up();
            return;
        }
        waiting = shared_from_this();
        retry.start(next_delay(delay, it.board.random));
    }
    void resume() {
        const auto self = std::exchange(waiting, nullptr);
        // An odd attempt reads only: a store that is slow rather than down has often applied the write by
        // now.
        if (read_backs % 2 == 1) {
            read_back();
        } else {
            write();
        }
    }
};

} // namespace detail

bool has_majority(const control_board& board, time_point now) {
    const auto contact = last_majority_contact(board.currency, board.config.vm, board.listed_live, now);
    return contact != time_point{} && now - contact <= board.members.limits.suspect_after;
}

void change_preset(control& it, const change_request& request,
                   std::function<void(const change_result&)> on_done) {
    ++it.board.changes_in_progress;
    std::make_shared<detail::preset_change>(it, request, std::move(on_done))->start();
}

} // namespace endivelever
