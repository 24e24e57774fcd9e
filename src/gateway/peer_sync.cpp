#include "endivelever/gateway/controllers.hpp"

#include <algorithm>
#include <cstring>
#include <zlib.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr const char* routing_path = "/peer/routing";
constexpr const char* servers_path = "/peer/servers";
constexpr const char* since_parameter = "?since=";
constexpr const char* era_parameter = "&era=";
// A peer in the same failure domain usually responds in milliseconds, but a large configuration takes longer.
constexpr duration pull_timeout = 1500ms;
// A pull that takes longer may never end: its connection can be dead or its peer paused. A second one
// follows.
constexpr duration slow_pull_time = 300ms;
constexpr std::size_t max_parallel_pulls = 2;
constexpr byte_count max_pull_response_size{8UL << 20U};
// A response contains the time that missing servers have left, so a cached one must not be much older.
constexpr duration cache_lifetime = 100ms;
constexpr double max_expired_ms = 60'000.0;
constexpr std::size_t max_decompressed_size = 64UL << 20U;

std::string compress_text(const std::string& text) {
    uLongf size = compressBound(static_cast<uLong>(text.size()));
    std::string out(sizeof(std::uint64_t) + size, '\0');
    const std::uint64_t length = text.size();
    std::memcpy(out.data(), &length, sizeof length);
    compress(reinterpret_cast<Bytef*>(out.data() + sizeof length), &size,
             reinterpret_cast<const Bytef*>(text.data()), static_cast<uLong>(text.size()));
    out.resize(sizeof length + size);
    return out;
}

json decompress_json(const std::string& data) {
    std::uint64_t length = 0;
    if (data.size() < sizeof length) {
        return {};
    }
    std::memcpy(&length, data.data(), sizeof length);
    if (length > max_decompressed_size) {
        return {};
    }
    std::string text(length, '\0');
    uLongf size = static_cast<uLongf>(length);
    const auto code = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                 reinterpret_cast<const Bytef*>(data.data() + sizeof length),
                                 static_cast<uLong>(data.size() - sizeof length));
    return code == Z_OK && size == length ? json::parse(text, nullptr, false) : json();
}

std::string make_servers_response(const gateway_board& board, object_revision since) {
    const auto now = boot_clock::now();
    const auto& recent = board.recent_server_changes;
    const bool is_delta = since >= board.recent_changes_start && since.value != 0;
    json changed = json::array();
    if (is_delta) {
        for (const auto& it : recent) {
            if (it.revision > since) {
                changed.push_back({{"name", it.change.object.name},
                                   {"removed", it.change.removed},
                                   {"content", it.change.object.content}});
            }
        }
    } else {
        for (const auto& it : board.server_objects) {
            changed.push_back({{"name", it.first}, {"removed", false}, {"content", it.second}});
        }
    }
    json expired = json::object();
    for (const auto& it : missing_servers(board.registry, now)) {
        expired[it.first.text] = to_milliseconds(it.second);
    }
    // VMs of earlier builds require the two fields about the store.
    const json body{{"revision", board.servers_revision.value},
                    {"era", board.servers_revision.era.value},
                    {"complete", !is_delta},
                    {"expired_ms", std::move(expired)},
                    {"store_away", board.registry.store_unavailable},
                    {"store_back_ms", -1.0},
                    {"changed", std::move(changed)}};
    return compress_text(body.dump(-1, ' ', false, json::error_handler_t::replace));
}

std::vector<object_change> read_changes(const json& body) {
    std::vector<object_change> changes;
    for (const auto& it : body.at("changed")) {
        object_change change;
        change.object.name = it.at("name").get<std::string>();
        change.object.content = it.at("content");
        change.removed = it.at("removed").get<bool>();
        changes.push_back(std::move(change));
    }
    return changes;
}

expired_servers read_expired(const json& body) {
    expired_servers expired;
    const auto found = body.find("expired_ms");
    if (found != body.end()) {
        for (const auto& [name, ms] : found->items()) {
            expired[server_id(name)] = from_milliseconds(std::clamp(ms.get<double>(), 0.0, max_expired_ms));
        }
    }
    return expired;
}

/// VMs of earlier builds name no era.
object_revision read_revision(const json& body) {
    return {store_era{body.value("era", std::uint64_t{0})}, body.at("revision").get<std::uint64_t>()};
}

void apply_servers_response(gateway_board& board, const json& body, const std::string& /*source*/) {
    const auto revision = read_revision(body);
    if (revision <= board.servers_revision) {
        return;
    }
    const auto changes = read_changes(body);
    const auto expired = read_expired(body);
    if (!body.at("complete").get<bool>()) {
        apply_server_changes(board, changes, revision, &expired);
        return;
    }
    std::vector<stored_object> objects;
    objects.reserve(changes.size());
    for (const auto& it : changes) {
        objects.push_back(it.object);
    }
    apply_server_list(board, objects, revision, &expired);
}

void apply_routing_response(gateway_board& board, const json& body, const std::string& source) {
    stored_object object;
    object.name = board.dialect.routing_object;
    object.content = body.at("content");
    apply_routing(board, object, read_revision(body), source);
}

void pull(gateway_board& board, const std::string& address, std::string target, peer_pulls& pulls,
          void (*take)(gateway_board&, const json&, const std::string&)) {
    const auto now = boot_clock::now();
    if (pulls.in_progress > 0) {
        if (pulls.in_progress >= max_parallel_pulls || now - pulls.last_started_at < slow_pull_time) {
            return;
        }
        // Other kept connections to this peer may be dead as well.
        board.store_http_client->discard_idle(socket_address(address));
    }
    ++pulls.in_progress;
    pulls.last_started_at = now;
    http_request request;
    request.address = socket_address(address);
    request.target = std::move(target);
    request.headers.push_back({"Host", address});
    request.timeout = pull_timeout;
    request.connect_timeout = 500ms;
    count(board, "peer_pulls_total");
    fetch(*board.store_http_client, std::move(request), max_pull_response_size,
          [&board, &pulls, take, address, started = now](const http_reply& reply) {
              --pulls.in_progress;
              if (reply.result.failure != transfer_failure::none || reply.result.status != status_ok) {
                  count(board, "peer_pull_failures_total");
                  write_event(board.log, "peer_pull_failed",
                              {{"peer", address},
                               {"status", static_cast<std::int64_t>(reply.result.status)},
                               {"cause", reply.result.detail},
                               {"after_ms", to_milliseconds(boot_clock::now() - started)}});
                  return;
              }
              try {
                  take(board, decompress_json(reply.body), address);
              } catch (const json::exception& it) {
                  count(board, "peer_pull_failures_total");
                  write_event(board.log, "peer_answer_unreadable", {{"cause", std::string_view(it.what())}});
              }
          });
}

/// @return the compressed response for peers that have revision `since`. It is cached because all VMs of a
/// domain request the same changes at the same time.
const std::string& cached_servers_response(gateway_board& board, object_revision since) {
    const auto now = boot_clock::now();
    auto& it = board.compressed_servers;
    const bool is_current = !it.body.empty() && it.since == since && it.revision == board.servers_revision &&
                            now - it.compressed_at <= cache_lifetime;
    if (!is_current) {
        it = {since, board.servers_revision, now, make_servers_response(board, since)};
    }
    return it.body;
}

/// @return the number behind a parameter of a target; 0 if it is missing
std::uint64_t read_parameter(const std::string& target, const char* parameter) {
    const auto at = target.find(parameter);
    return at == std::string::npos ? 0
                                   : std::strtoull(target.c_str() + at + std::strlen(parameter), nullptr, 10);
}

} // namespace

void pull_if_newer(gateway_board& board, const gateway_status_message& status) {
    const auto own_version = board.routes == nullptr ? 0 : board.routes->config.version.value;
    if (status.routing_version > own_version) {
        pull(board, status.relay_address, routing_path, board.routing_pulls, &apply_routing_response);
    }
    const auto known = board.servers_revision;
    if (status.servers_revision > known) {
        pull(board, status.relay_address,
             servers_path + std::string(since_parameter) + std::to_string(known.value) + era_parameter +
                 std::to_string(known.era.value),
             board.servers_pulls, &apply_servers_response);
    }
}

bool is_peer_path(std::string_view path) {
    return path == routing_path || path == servers_path;
}

bool handle_peer_request(gateway_board& board, http_exchange& exchange) {
    const auto path = exchange.path();
    const http_headers headers{{"Content-Type", "application/octet-stream"}};
    if (path == routing_path && board.routes != nullptr) {
        if (board.compressed_routing.empty()) {
            const json body{{"revision", board.routing_revision.value},
                            {"era", board.routing_revision.era.value},
                            {"content", board.routing_content}};
            board.compressed_routing =
                compress_text(body.dump(-1, ' ', false, json::error_handler_t::replace));
        }
        exchange.respond(status_ok, headers, board.compressed_routing);
        return true;
    }
    if (path == servers_path && board.registry.loaded) {
        const auto& target = exchange.target();
        const object_revision since{store_era{read_parameter(target, era_parameter)},
                                    read_parameter(target, since_parameter)};
        exchange.respond(status_ok, headers, cached_servers_response(board, since));
        return true;
    }
    if (is_peer_path(path)) {
        exchange.respond(status_not_found, {}, "not known yet\n");
        return true;
    }
    return false;
}

} // namespace endivelever
