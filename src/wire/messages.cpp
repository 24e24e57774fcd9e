#include "endivelever/wire/messages.hpp"

#include "endivelever/wire/limits.hpp"

#include "generated/messages_generated.h"

#include <array>

namespace endivelever {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// -- encode ----------------------------------------------------------------------------------------------

fb::State to_fb(member_state value) {
    return value == member_state::leaving ? fb::State::leaving : fb::State::live;
}

fb::Role to_fb(process_role value) {
    return value == process_role::control ? fb::Role::control : fb::Role::entry;
}

Offset<fb::Member> pack(FlatBufferBuilder& out, const member_record& value) {
    const auto vm = out.CreateString(value.vm.text);
    const auto domain = out.CreateString(value.failure_domain.text);
    const auto caller = out.CreateString(value.caller_address);
    const auto feed = out.CreateString(value.feed_address);
    const auto admin = out.CreateString(value.admin_address);
    const auto demand = out.CreateVector(value.demand);
    return fb::CreateMember(out, vm, value.life.value, value.sequence, to_fb(value.state), domain, caller,
                            feed, admin, value.entry_life.value, value.generation, value.applied.value,
                            demand);
}

Offset<void> pack_body(FlatBufferBuilder& out, const hello_message& value) {
    const auto vm = out.CreateString(value.vm.text);
    const auto domain = out.CreateString(value.failure_domain.text);
    const auto caller = out.CreateString(value.caller_address);
    const auto feed = out.CreateString(value.feed_address);
    const auto admin = out.CreateString(value.admin_address);
    return fb::CreateHello(out, vm, to_fb(value.role), value.life.value, domain, caller, feed, admin).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const heartbeat_message& value) {
    const auto self = pack(out, value.self);
    std::vector<Offset<fb::Digest>> digests;
    digests.reserve(value.digests.size());
    for (const auto& it : value.digests) {
        digests.push_back(fb::CreateDigest(out, out.CreateString(it.key.text), it.version.value));
    }
    return fb::CreateHeartbeat(out, self, out.CreateVector(digests), value.store_age_ms).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const document_message& value) {
    const auto key = out.CreateString(value.key.text);
    const auto payload = out.CreateString(value.payload);
    return fb::CreateDocument(out, key, value.version.value, payload).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const member_table_message& value) {
    std::vector<Offset<fb::Member>> members;
    members.reserve(value.members.size());
    for (const auto& it : value.members) {
        members.push_back(pack(out, it));
    }
    return fb::CreateMemberTable(out, out.CreateVector(members)).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const lease_message& value) {
    return fb::CreateLease(out, value.valid_ms).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const entry_report_message& value) {
    const auto demand = out.CreateVector(value.demand);
    std::vector<Offset<flatbuffers::String>> servers;
    servers.reserve(value.draining.size());
    for (const auto& it : value.draining) {
        servers.push_back(out.CreateString(it.text));
    }
    const auto draining = out.CreateVector(servers);
    return fb::CreateEntryReport(out, value.life.value, value.generation, value.applied.value,
                                 to_fb(value.state), value.open_calls, demand, draining)
        .Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const gateway_status_message& value) {
    const auto vm = out.CreateString(value.vm.text);
    const auto domain = out.CreateString(value.failure_domain.text);
    const auto caller = out.CreateString(value.caller_address);
    const auto peer = out.CreateString(value.peer_address);
    const auto relay = out.CreateString(value.relay_address);
    const auto near = out.CreateVectorOfStrings(value.domain_addresses);
    const auto far = out.CreateVectorOfStrings(value.other_addresses);
    std::vector<Offset<flatbuffers::String>> domains;
    domains.reserve(value.evacuated_domains.size());
    for (const auto& it : value.evacuated_domains) {
        domains.push_back(out.CreateString(it.text));
    }
    const auto evacuated = out.CreateVector(domains);
    std::vector<fb::Echo> heard;
    heard.reserve(value.echoes.size());
    for (const auto& it : value.echoes) {
        heard.emplace_back(it.vm, it.life.value, it.sequence);
    }
    const auto echoes = out.CreateVectorOfStructs(heard);
    std::vector<fb::QuotaLease> held;
    held.reserve(value.quota_leases.size());
    for (const auto& it : value.quota_leases) {
        held.emplace_back(it.revision, it.holder, it.shard, it.released);
    }
    const auto leases = out.CreateVectorOfStructs(held);
    return fb::CreateGatewayStatus(
               out, vm, value.life.value, value.sequence, to_fb(value.state), domain, caller, peer, relay,
               value.routing_version, value.servers_revision.value, value.is_head, value.store_answers,
               value.fleet_size, near, far, value.store_heard, value.capacity, value.knowledge_age_ms,
               value.evacuations_revision.value, evacuated, echoes, leases, value.proof_age_ms,
               value.store_era.value, value.servers_revision.era.value, value.evacuations_revision.era.value)
        .Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const quota_request_message& value) {
    const auto vm = out.CreateString(value.vm.text);
    const auto reply_to = out.CreateString(value.reply_to);
    std::vector<fb::QuotaDemand> wanted;
    wanted.reserve(value.demands.size());
    for (const auto& it : value.demands) {
        wanted.emplace_back(it.tenant, it.wanted, it.is_extra);
    }
    const auto demands = out.CreateVectorOfStructs(wanted);
    return fb::CreateQuotaRequest(out, vm, value.life.value, value.number, reply_to, demands).Union();
}

Offset<void> pack_body(FlatBufferBuilder& out, const quota_grant_message& value) {
    std::vector<fb::QuotaTokens> granted;
    granted.reserve(value.grants.size());
    for (const auto& it : value.grants) {
        granted.emplace_back(it.tenant, it.tokens, it.retry_after_ms);
    }
    const auto grants = out.CreateVectorOfStructs(granted);
    return fb::CreateQuotaGrant(out, value.number, value.is_holder, value.lifetime_ms, grants).Union();
}

fb::Body body_type(const message& value) {
    static constexpr std::array types{fb::Body::Hello,         fb::Body::Heartbeat,    fb::Body::Document,
                                      fb::Body::MemberTable,   fb::Body::Lease,        fb::Body::EntryReport,
                                      fb::Body::GatewayStatus, fb::Body::QuotaRequest, fb::Body::QuotaGrant};
    static_assert(types.size() == std::variant_size_v<message>);
    return types.at(value.index());
}

// -- decode ----------------------------------------------------------------------------------------------

/// Reads fields and records the first one that is out of range.
struct field_reader {
    const char* invalid_field = nullptr;

    bool check_limit(std::size_t size, std::size_t limit, const char* what) {
        if (size <= limit) {
            return true;
        }
        invalid_field = invalid_field == nullptr ? what : invalid_field;
        return false;
    }

    std::string text(const flatbuffers::String* value, std::size_t limit, const char* what) {
        return check_limit(value->size(), limit, what) ? value->str() : std::string();
    }

    std::string name(const flatbuffers::String* value) {
        return text(value, wire_limits::name_bytes, "name or address");
    }

    std::vector<std::uint32_t> numbers(const flatbuffers::Vector<std::uint32_t>* values) {
        if (values == nullptr || !check_limit(values->size(), wire_limits::kinds, "demand")) {
            return {};
        }
        return {values->begin(), values->end()};
    }

    /// Reads each element of a vector with `read`; returns an empty vector if it has more than `limit`
    /// elements.
    template <typename Vector, typename Read>
    auto list(const Vector* values, std::size_t limit, const char* what, Read read) {
        std::vector<decltype(read(values->Get(0)))> out;
        if (values == nullptr || !check_limit(values->size(), limit, what)) {
            return out;
        }
        out.reserve(values->size());
        for (const auto* it : *values) {
            out.push_back(read(it));
        }
        return out;
    }
};

bool is_known(fb::State value) {
    return value <= fb::State::MAX;
}

member_state from_fb(fb::State value) {
    return value == fb::State::leaving ? member_state::leaving : member_state::live;
}

member_record unpack(field_reader& in, const fb::Member* value) {
    if (!is_known(value->state())) {
        in.check_limit(1, 0, "member state");
    }
    return {vm_id(in.name(value->vm())),
            incarnation{value->life()},
            value->sequence(),
            from_fb(value->state()),
            failure_domain(in.name(value->failure_domain())),
            in.name(value->caller_address()),
            in.name(value->feed_address()),
            in.name(value->admin_address()),
            incarnation{value->entry_life()},
            value->generation(),
            document_version{value->applied()},
            in.numbers(value->demand())};
}

message unpack(field_reader& in, const fb::Hello* value) {
    if (value->role() > fb::Role::MAX) {
        in.check_limit(1, 0, "role");
    }
    const auto role = value->role() == fb::Role::control ? process_role::control : process_role::entry;
    return hello_message{vm_id(in.name(value->vm())),      role,
                         incarnation{value->life()},       failure_domain(in.name(value->failure_domain())),
                         in.name(value->caller_address()), in.name(value->feed_address()),
                         in.name(value->admin_address())};
}

message unpack(field_reader& in, const fb::Heartbeat* value) {
    const auto digest = [&in](const fb::Digest* it) {
        return document_digest{document_key(in.name(it->key())), document_version{it->version()}};
    };
    return heartbeat_message{unpack(in, value->self()),
                             in.list(value->digests(), wire_limits::digests, "digests", digest),
                             value->store_age_ms()};
}

message unpack(field_reader& in, const fb::Document* value) {
    return document_message{document_key(in.name(value->key())), document_version{value->version()},
                            in.text(value->payload(), wire_limits::document_bytes, "document payload")};
}

message unpack(field_reader& in, const fb::MemberTable* value) {
    const auto member = [&in](const fb::Member* it) { return unpack(in, it); };
    return member_table_message{in.list(value->members(), wire_limits::members, "members", member)};
}

message unpack(field_reader& in, const fb::EntryReport* value) {
    if (!is_known(value->state())) {
        in.check_limit(1, 0, "entry state");
    }
    const auto server = [&in](const flatbuffers::String* it) { return server_id(in.name(it)); };
    return entry_report_message{incarnation{value->life()},
                                value->generation(),
                                document_version{value->applied()},
                                from_fb(value->state()),
                                value->open_calls(),
                                in.numbers(value->demand()),
                                in.list(value->draining(), wire_limits::servers, "draining", server)};
}

message unpack(field_reader& in, const fb::GatewayStatus* value) {
    if (!is_known(value->state())) {
        in.check_limit(1, 0, "gateway state");
    }
    const auto address = [&in](const flatbuffers::String* it) { return in.name(it); };
    const auto domain = [&in](const flatbuffers::String* it) { return failure_domain(in.name(it)); };
    const auto echo = [](const fb::Echo* it) {
        return status_echo{it->vm(), incarnation{it->life()}, it->sequence()};
    };
    const auto lease = [](const fb::QuotaLease* it) {
        return quota_lease_status{it->revision(), it->holder(), it->shard(), it->released()};
    };
    return gateway_status_message{
        vm_id(in.name(value->vm())),
        incarnation{value->life()},
        value->sequence(),
        from_fb(value->state()),
        failure_domain(in.name(value->failure_domain())),
        in.name(value->caller_address()),
        in.name(value->peer_address()),
        in.name(value->relay_address()),
        value->routing_version(),
        object_revision{store_era{value->servers_era()}, value->servers_revision()},
        value->is_head(),
        value->store_answers(),
        value->fleet_size(),
        in.list(value->domain_addresses(), wire_limits::members, "domain addresses", address),
        in.list(value->other_addresses(), wire_limits::members, "other addresses", address),
        value->store_heard(),
        value->capacity(),
        value->knowledge_age_ms(),
        object_revision{store_era{value->evacuations_era()}, value->evacuations_revision()},
        in.list(value->evacuated_domains(), wire_limits::failure_domains, "evacuated domains", domain),
        in.list(value->echoes(), wire_limits::members, "echoes", echo),
        in.list(value->quota_leases(), wire_limits::quota_shards, "quota leases", lease),
        value->proof_age_ms(),
        store_era{value->store_era()}};
}

message unpack(field_reader& in, const fb::QuotaRequest* value) {
    const auto demand = [](const fb::QuotaDemand* it) {
        return quota_demand{it->tenant(), it->wanted(), it->is_extra()};
    };
    return quota_request_message{vm_id(in.name(value->vm())), incarnation{value->life()}, value->number(),
                                 in.name(value->reply_to()),
                                 in.list(value->demands(), wire_limits::quota_tenants, "demands", demand)};
}

message unpack(field_reader& in, const fb::QuotaGrant* value) {
    const auto tokens = [](const fb::QuotaTokens* it) {
        return quota_tokens{it->tenant(), it->tokens(), it->retry_after_ms()};
    };
    return quota_grant_message{value->number(), value->is_holder(), value->lifetime_ms(),
                               in.list(value->grants(), wire_limits::quota_tenants, "grants", tokens)};
}

result<message> unpack(field_reader& in, const fb::Envelope* value) {
    switch (value->body_type()) {
    case fb::Body::Hello:
        return unpack(in, value->body_as_Hello());
    case fb::Body::Heartbeat:
        return unpack(in, value->body_as_Heartbeat());
    case fb::Body::Document:
        return unpack(in, value->body_as_Document());
    case fb::Body::MemberTable:
        return unpack(in, value->body_as_MemberTable());
    case fb::Body::Lease:
        return lease_message{value->body_as_Lease()->valid_ms()};
    case fb::Body::EntryReport:
        return unpack(in, value->body_as_EntryReport());
    case fb::Body::GatewayStatus:
        return unpack(in, value->body_as_GatewayStatus());
    case fb::Body::QuotaRequest:
        return unpack(in, value->body_as_QuotaRequest());
    case fb::Body::QuotaGrant:
        return unpack(in, value->body_as_QuotaGrant());
    case fb::Body::NONE:
        break;
    }
    const auto type = std::to_string(static_cast<unsigned>(value->body_type()));
    return fail("wire", 2, "unknown message type " + type);
}

} // namespace

std::string encode(const message& value) {
    FlatBufferBuilder out;
    const auto body = std::visit([&out](const auto& it) { return pack_body(out, it); }, value);
    out.Finish(fb::CreateEnvelope(out, body_type(value), body));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

result<message> decode(std::span<const std::uint8_t> payload) {
    // FlatBuffers reads fields in place, so the buffer must be aligned for the widest type, 8 bytes.
    if (reinterpret_cast<std::uintptr_t>(payload.data()) % alignof(std::uint64_t) != 0) {
        const std::vector<std::uint8_t> aligned(payload.begin(), payload.end());
        return decode(aligned);
    }
    flatbuffers::Verifier verifier(payload.data(), payload.size(), wire_limits::depth, wire_limits::tables);
    if (!fb::VerifyEnvelopeBuffer(verifier)) {
        return fail("wire", 1,
                    "payload of " + std::to_string(payload.size()) + " bytes is not a valid message");
    }
    field_reader in;
    auto decoded = unpack(in, fb::GetEnvelope(payload.data()));
    if (in.invalid_field != nullptr) {
        return fail("wire", 3, std::string("field '") + in.invalid_field + "' is out of range");
    }
    return decoded;
}

} // namespace endivelever
