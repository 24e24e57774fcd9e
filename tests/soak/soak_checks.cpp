#include "soak/soak_run.hpp"

#include <algorithm>

namespace endivelever::soak {
namespace {

// A request that runs later than this after its caller sent it was held by a link, and sent in another
// window.
constexpr duration longest_counted_delay = 300ms;

bool denies_run(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void soak_run::judge(const call_record& call, const http_reply& reply) {
    if (reply.result.failure != transfer_failure::none) {
        ++report.unclear;
        return;
    }
    auto& gateway = gateways[call.gateway];
    const bool same_life = gateway.life == call.life;
    const auto status = reply.result.status;
    const auto* id = find_header(reply.headers, "X-Request-Id");
    if (id != nullptr && *id != call.id) {
        violate(call.id + ": response of " + *id);
    }
    if (status == 200) {
        ++report.done;
        const auto* signature = find_header(reply.headers, "X-Response-Signature");
        if (reply.body != "answer" || signature == nullptr || *signature != "sig-" + call.id) {
            violate(call.id + ": success without the server's response");
        }
    } else if (denies_run(status)) {
        ++report.refused;
        calls[call.id].denied = true;
    } else {
        ++report.unclear;
    }
    if (status == 404 && !call.added_route) {
        violate(call.id + ": route of every configuration is not known");
    }
    if (call.added_route && same_life) {
        if (status == 404 && gateway.served_added_route) {
            violate(call.id + ": configuration went back at " + gateway.vm);
        }
        gateway.served_added_route = gateway.served_added_route || status == 200;
    }
}

void soak_run::check_run(const server_stand_in& server, const std::string& id, time_point at) {
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    const auto& call = found->second;
    const auto& headers = server.target->heads.at(id);
    const auto* tenant = find_header(headers, "X-Tenant");
    if (tenant == nullptr || *tenant != call.tenant) {
        violate(id + ": server got another tenant than " + call.tenant);
    }
    if (find_header(headers, "Authorization") != nullptr) {
        violate(id + ": server got the key");
    }
    const auto replaced = replaced_at.find(call.key_until);
    if (call.key_until != 0 && replaced != replaced_at.end() &&
        call.sent > replaced->second + revocation_bound) {
        violate(id + ": ran with a key that was revoked " +
                std::to_string(to_milliseconds(call.sent - replaced->second)) + " ms before");
    }
    const bool is_evacuated = std::any_of(evacuations.begin(), evacuations.end(), [at](const time_span& it) {
        return at > it.from + evacuation_bound && at < it.until;
    });
    if (server.may_be_evacuated && is_evacuated) {
        violate(id + ": ran in an evacuated domain");
    }
}

void soak_run::check_quota(std::vector<time_point> runs) {
    std::sort(runs.begin(), runs.end());
    const double bound =
        (quota_rate * to_seconds(quota_window) + quota_burst) * (1.0 + quota_overage) + quota_tolerance;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < runs.size(); ++last) {
        while (runs[last] - runs[first] > quota_window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    report.most_in_window = most;
    if (static_cast<double>(most) > bound) {
        violate(std::to_string(most) + " requests of the limited tenant ran in a window");
    }
}

void soak_run::count_runs() {
    std::map<std::string, std::uint32_t> runs;
    std::vector<time_point> limited;
    for (const auto& server : servers) {
        for (std::size_t i = 0; i < server.target->ran.size(); ++i) {
            const auto& id = server.target->ran[i];
            const auto at = server.target->ran_at[i];
            ++runs[id];
            check_run(server, id, at);
            const auto found = calls.find(id);
            if (found != calls.end() && found->second.tenant == "limited" &&
                at - found->second.sent <= longest_counted_delay) {
                limited.push_back(at);
            }
        }
    }
    check_quota(std::move(limited));
    for (const auto& [id, n] : runs) {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            violate(id + ": no caller sent it");
        } else if (found->second.once && n > 1) {
            violate(id + ": ran " + std::to_string(n) + " times");
        } else if (found->second.once && found->second.denied) {
            violate(id + ": was said not to have run");
        }
    }
}

} // namespace endivelever::soak
