#include "endivelever/decide/run_evidence.hpp"

#include <algorithm>

namespace endivelever {
namespace {

constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;

} // namespace

std::string_view name_of(not_run_proof proof) {
    switch (proof) {
    case not_run_proof::none:
        return "none";
    case not_run_proof::not_sent:
        return "not_sent";
    case not_run_proof::rejected:
        return "rejected";
    case not_run_proof::misdirected:
        return "misdirected";
    }
    return "none";
}

bool may_have_run(std::span<const not_run_proof> attempts) {
    return std::find(attempts.begin(), attempts.end(), not_run_proof::none) != attempts.end();
}

bool promises_not_run(unsigned status) {
    return status == status_request_timeout || status == status_misdirected || status == status_too_many ||
           status == status_unavailable;
}

response_status response_status::permit(unsigned wanted, std::span<const not_run_proof> attempts) {
    const bool is_final = wanted >= first_final_status && wanted <= last_status;
    if (!is_final || (promises_not_run(wanted) && may_have_run(attempts))) {
        return {status_bad_gateway, true};
    }
    return {wanted, false};
}

} // namespace endivelever
