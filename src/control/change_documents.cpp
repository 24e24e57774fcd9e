#include "endivelever/control/change_documents.hpp"

#include "endivelever/control/exchange.hpp"

#include <algorithm>
#include <utility>

namespace endivelever {
namespace detail {

constexpr int max_rounds = 6;

/// Reads a document, edits it and writes it back under the version read, until the wanted state is seen in
/// the store. Suits edits that may be repeated.
struct document_edit : std::enable_shared_from_this<document_edit> {
    /// @return new payload; empty if the document is as wanted; an error to refuse
    using editor = std::function<result<std::optional<std::string>>(const store_answer&)>;

    document_edit(control& with, document_key of, editor change,
                  std::function<void(const change_result&)> done)
        : it(with), key(std::move(of)), edit(std::move(change)), on_done(std::move(done)),
          retry(with.loop, [this] {
              const auto self = std::exchange(waiting, nullptr);
              read();
          }) {}

    control& it;
    document_key key;
    editor edit;
    std::function<void(const change_result&)> on_done;
    timer retry;
    std::shared_ptr<document_edit> waiting; ///< holds this object while only the timer refers to it
    back_off delay;
    int rounds = 0;
    bool unknown = false; ///< a write may still take effect

    void finish(change_outcome outcome, unsigned status, std::string reason) {
        --it.board.changes_in_progress;
        std::exchange(on_done, nullptr)({outcome, status, std::move(reason), false});
    }
    void fail_unavailable() {
        if (unknown) {
            finish(change_outcome::unknown, 504, "the store did not confirm the change, it may take effect");
        } else {
            finish(change_outcome::not_run, 503, "the store is not available");
        }
    }
    void read() {
        ++rounds;
        it.store->read(key, store_purpose::change,
                       [self = shared_from_this()](const store_answer& answer) { self->on_read(answer); });
    }
    void on_read(const store_answer& answer) {
        if (answer.status != store_status::ok && answer.status != store_status::absent) {
            unknown ? wait() : fail_unavailable();
            return;
        }
        if (answer.status == store_status::ok) {
            learn_document(it, {key, answer.version, answer.payload});
        }
        auto payload = edit(answer);
        if (!payload) {
            finish(change_outcome::not_run, 409, payload.error().message);
        } else if (!*payload) {
            finish(change_outcome::done, 200, {});
        } else {
            write(answer.version, **payload);
        }
    }
    void write(document_version expected, const std::string& payload) {
        it.store->write(key, payload, expected,
                        [self = shared_from_this(), payload](const store_answer& answer) {
                            self->on_written(answer, payload);
                        });
    }
    void on_written(const store_answer& answer, const std::string& payload) {
        if (answer.status == store_status::ok) {
            learn_document(it, {key, answer.version, payload});
            finish(change_outcome::done, 200, {});
            return;
        }
        unknown = unknown || answer.status == store_status::unknown;
        wait();
    }
    void wait() {
        if (rounds >= max_rounds) {
            fail_unavailable();
            return;
        }
        waiting = shared_from_this();
        retry.start(next_delay(delay, it.board.random));
    }
};

void start_edit(control& it, const document_key& key, document_edit::editor edit,
                std::function<void(const change_result&)> on_done) {
    ++it.board.changes_in_progress;
    std::make_shared<document_edit>(it, key, std::move(edit), std::move(on_done))->read();
}

result<std::optional<std::string>> edit_drains(const store_answer& present, const server_id& server,
                                               bool draining, const operation_id& operation) {
    drain_list list;
    if (present.status == store_status::ok) {
        auto parsed = parse_drains(present.payload);
        if (!parsed) {
            return tl::unexpected(parsed.error());
        }
        list = std::move(*parsed);
    }
    const auto found = std::find(list.servers.begin(), list.servers.end(), server);
    if ((found != list.servers.end()) == draining) {
        return std::optional<std::string>{};
    }
    if (draining) {
        list.servers.push_back(server);
    } else {
        list.servers.erase(found);
    }
    list.operation = operation;
    return std::optional(to_json(list));
}

} // namespace detail

void change_drain(control& it, const server_id& server, bool draining,
                  std::function<void(const change_result&)> on_done) {
    const operation_id operation("drain-" + random_hex(it.board.random, 16));
    detail::start_edit(
        it, drains_key,
        [server, draining, operation](const store_answer& present) {
            return detail::edit_drains(present, server, draining, operation);
        },
        std::move(on_done));
}

void store_definition(control& it, const preset& definition, document_version expect,
                      std::function<void(const change_result&)> on_done) {
    const document_key key(definition_prefix + definition.name.text);
    detail::start_edit(
        it, key,
        [payload = to_json(definition),
         expect](const store_answer& present) -> result<std::optional<std::string>> {
            if (present.status == store_status::ok && present.payload == payload) {
                return std::optional<std::string>{};
            }
            if (present.version != expect) {
                return fail("control", 20,
                            "the preset exists with version " + std::to_string(present.version.value));
            }
            return std::optional(payload);
        },
        std::move(on_done));
}

} // namespace endivelever
