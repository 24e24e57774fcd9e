#include "endivelever/wire/frame.hpp"
#include "endivelever/wire/limits.hpp"
#include "endivelever/wire/messages.hpp"
#include "generated/messages_generated.h"

#include <functional>
#include <gtest/gtest.h>

namespace endivelever {
namespace {

std::span<const std::uint8_t> bytes_of(const std::string& text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

frame_channel sender_channel() {
    frame_channel channel;
    channel.key = derive_frame_key("a key for the tests only");
    channel.connector_nonce.fill(1);
    channel.acceptor_nonce.fill(2);
    return channel;
}

std::string frame_of(frame_channel channel, const std::string& payload) {
    std::string out;
    EXPECT_TRUE(append_frame(channel, payload, out));
    return out;
}

// -- frames ----------------------------------------------------------------------------------------------

struct frame_case {
    const char* name;
    std::function<std::string(frame_channel&)> make; ///< builds the input; may modify the receiving channel
    frame_state expected;
};

class frame_input : public testing::TestWithParam<frame_case> {};

// Guards against accepting a frame that was truncated, modified, replayed, reflected or made with another
// key.
TEST_P(frame_input, is_classified) {
    auto receiver = sender_channel();
    const auto input = GetParam().make(receiver);
    const auto before = receiver.sequence;
    const auto frame = read_frame(receiver, bytes_of(input));
    EXPECT_EQ(frame.state, GetParam().expected);
    const bool complete = frame.state == frame_state::complete;
    EXPECT_EQ(receiver.sequence, before + (complete ? 1 : 0));
    EXPECT_EQ(frame.consumed, complete ? input.size() : 0);
}

std::string frame_with_flipped_bit(std::size_t position) {
    auto frame = frame_of(sender_channel(), "payload");
    frame.at(position) = static_cast<char>(frame.at(position) ^ 1);
    return frame;
}

std::string frame_from_modified_channel(const std::function<void(frame_channel&)>& change) {
    auto channel = sender_channel();
    change(channel);
    return frame_of(channel, "payload");
}

INSTANTIATE_TEST_SUITE_P(
    frames, frame_input,
    testing::Values(
        frame_case{"valid", [](auto&) { return frame_of(sender_channel(), "payload"); },
                   frame_state::complete},
        frame_case{"longest",
                   [](auto&) { return frame_of(sender_channel(), std::string(max_frame_payload, 'x')); },
                   frame_state::complete},
        frame_case{"nothing", [](auto&) { return std::string(); }, frame_state::incomplete},
        frame_case{"short_length", [](auto&) { return std::string(3, '\1'); }, frame_state::incomplete},
        frame_case{"short_mac", [](auto&) { return frame_of(sender_channel(), "payload").substr(0, 19); },
                   frame_state::incomplete},
        frame_case{"short_payload", [](auto&) { return frame_of(sender_channel(), "payload").substr(0, 26); },
                   frame_state::incomplete},
        frame_case{"zero_length", [](auto&) { return std::string(4, '\0'); }, frame_state::bad_length},
        frame_case{"one_byte_too_long", [](auto&) { return std::string("\x01\x00\x14\x00", 4); },
                   frame_state::bad_length},
        frame_case{"longest_length", [](auto&) { return std::string(4, '\xff'); }, frame_state::bad_length},
        frame_case{"wrong_mac", [](auto&) { return frame_with_flipped_bit(4); }, frame_state::bad_mac},
        frame_case{"changed_payload", [](auto&) { return frame_with_flipped_bit(20); }, frame_state::bad_mac},
        frame_case{"replayed",
                   [](frame_channel& receiver) {
                       auto frame = frame_of(sender_channel(), "payload");
                       read_frame(receiver, bytes_of(frame));
                       return frame;
                   },
                   frame_state::bad_mac},
        frame_case{"skipped",
                   [](auto&) { return frame_from_modified_channel([](auto& it) { it.sequence = 1; }); },
                   frame_state::bad_mac},
        frame_case{"wrong_direction",
                   [](auto&) {
                       return frame_from_modified_channel(
                           [](auto& it) { it.direction = frame_direction::from_acceptor; });
                   },
                   frame_state::bad_mac},
        frame_case{
            "other_connection",
            [](auto&) { return frame_from_modified_channel([](auto& it) { it.acceptor_nonce.fill(3); }); },
            frame_state::bad_mac},
        frame_case{"other_key",
                   [](auto&) {
                       return frame_from_modified_channel(
                           [](auto& it) { it.key = derive_frame_key("other"); });
                   },
                   frame_state::bad_mac}),
    [](const auto& it) { return it.param.name; });

TEST(frame, payload_out_of_range_is_not_sent) {
    auto channel = sender_channel();
    std::string out;
    EXPECT_FALSE(append_frame(channel, "", out));
    EXPECT_FALSE(append_frame(channel, std::string(max_frame_payload + 1, 'x'), out));
    EXPECT_TRUE(out.empty());
    EXPECT_EQ(channel.sequence, 0U);
}

// -- messages --------------------------------------------------------------------------------------------

member_record sample_member() {
    return {vm_id("vm-03"),
            incarnation{0x9f2c41aa},
            77,
            member_state::leaving,
            failure_domain("kr-a"),
            "127.0.0.1:1",
            "127.0.0.1:2",
            "127.0.0.1:3",
            incarnation{12},
            5,
            document_version{9},
            {100, 0, 4'000'000'000U}};
}

std::vector<message> sample_messages() {
    return {hello_message{vm_id("vm-01"), process_role::entry, incarnation{3}, failure_domain("kr-b"),
                          "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"},
            heartbeat_message{sample_member(), {{document_key("drains"), document_version{4}}}, 250},
            document_message{document_key("preset/in-force"), document_version{8}, "{\"name\":\"peak\"}"},
            member_table_message{{sample_member(), sample_member()}},
            lease_message{3500},
            entry_report_message{incarnation{6},
                                 2,
                                 document_version{8},
                                 member_state::live,
                                 17,
                                 {1, 2},
                                 {server_id("order-4"), server_id("order-5")}}};
}

// Guards against fields that are dropped, swapped or truncated: encoding the decoded message must give the
// same bytes.
TEST(messages, each_type_round_trips) {
    for (const auto& it : sample_messages()) {
        const auto bytes = encode(it);
        const auto decoded = decode(bytes_of(bytes));
        ASSERT_TRUE(decoded) << decoded.error().message;
        EXPECT_EQ(decoded->index(), it.index());
        EXPECT_EQ(encode(*decoded), bytes);
    }
    const auto decoded = decode(bytes_of(encode(sample_messages().at(1))));
    const auto& self = std::get<heartbeat_message>(*decoded).self;
    EXPECT_EQ(self.vm, vm_id("vm-03"));
    EXPECT_EQ(self.life, incarnation{0x9f2c41aa});
    EXPECT_EQ(self.feed_address, "127.0.0.1:2");
    EXPECT_EQ(self.entry_life, incarnation{12});
    EXPECT_EQ(self.applied, document_version{9});
    EXPECT_EQ(self.demand.at(2), 4'000'000'000U);
}

// Guards against reads outside the buffer and against exceptions: a payload that is truncated or has a
// modified byte either decodes or gives an error. Out-of-bounds reads show in the sanitizer build.
TEST(messages, truncated_and_modified_payloads_never_crash) {
    for (const auto& it : sample_messages()) {
        const auto bytes = encode(it);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            // The last bytes may be padding; without it the message may still decode.
            EXPECT_FALSE(i + alignof(std::uint64_t) <= bytes.size() && decode(bytes_of(bytes.substr(0, i))));
            auto copy = bytes;
            copy.at(i) = static_cast<char>(copy.at(i) ^ 0x55);
            static_cast<void>(decode(bytes_of(copy)));
            static_cast<void>(decode(bytes_of(copy).subspan(1)));
        }
    }
}

struct message_case {
    const char* name;
    std::function<std::string()> make;
    int error_id;
};

std::string finish_envelope(flatbuffers::FlatBufferBuilder& out, fb::Body type,
                            flatbuffers::Offset<void> body) {
    out.Finish(fb::CreateEnvelope(out, type, body));
    return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

/// Member table whose elements all refer to the same stored member, so that a small frame holds many
/// elements.
std::string shared_members(std::size_t count) {
    flatbuffers::FlatBufferBuilder out;
    const auto member = fb::CreateMemberDirect(out, "vm", 1, 1, fb::State::live, "d", "c", "f", "a");
    const std::vector<flatbuffers::Offset<fb::Member>> members(count, member);
    return finish_envelope(out, fb::Body::MemberTable, fb::CreateMemberTableDirect(out, &members).Union());
}

std::string heartbeat_without_self() {
    flatbuffers::FlatBufferBuilder out;
    const auto table = out.StartTable();
    out.AddElement<std::uint32_t>(fb::Heartbeat::VT_STORE_AGE_MS, 5, 0);
    const auto end = out.EndTable(table);
    return finish_envelope(out, fb::Body::Heartbeat, flatbuffers::Offset<void>(end));
}

std::string member_with_state(int state) {
    flatbuffers::FlatBufferBuilder out;
    const auto member =
        fb::CreateMemberDirect(out, "vm", 1, 1, static_cast<fb::State>(state), "d", "c", "f", "a");
    const std::vector<flatbuffers::Offset<fb::Member>> members{member};
    return finish_envelope(out, fb::Body::MemberTable, fb::CreateMemberTableDirect(out, &members).Union());
}

std::string envelope_of_unknown_type() {
    flatbuffers::FlatBufferBuilder out;
    return finish_envelope(out, static_cast<fb::Body>(99), fb::CreateLease(out, 1).Union());
}

class bad_message : public testing::TestWithParam<message_case> {};

// Guards against trusting the content of a frame because its MAC is valid.
TEST_P(bad_message, is_rejected) {
    const auto decoded = decode(bytes_of(GetParam().make()));
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().id, GetParam().error_id) << decoded.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    messages, bad_message,
    testing::Values(
        message_case{"empty", [] { return std::string(); }, 1},
        message_case{"garbage", [] { return std::string(200, '\x7f'); }, 1},
        message_case{"zeros", [] { return std::string(200, '\0'); }, 1},
        message_case{"missing_required_field", heartbeat_without_self, 1},
        message_case{"unknown_type", envelope_of_unknown_type, 2},
        message_case{"unknown_state", [] { return member_with_state(7); }, 3},
        message_case{"too_many_members", [] { return shared_members(wire_limits::members + 1); }, 3},
        message_case{"too_many_tables", [] { return shared_members(100'000); }, 1},
        message_case{"long_name",
                     [] {
                         return encode(document_message{
                             document_key(std::string(wire_limits::name_bytes + 1, 'k')), {}, ""});
                     },
                     3},
        message_case{"long_document",
                     [] {
                         return encode(document_message{document_key("k"), {}, std::string(1'048'577, 'p')});
                     },
                     3},
        message_case{"many_kinds",
                     [] {
                         entry_report_message report;
                         report.demand.resize(wire_limits::kinds + 1);
                         return encode(report);
                     },
                     3}),
    [](const auto& it) { return it.param.name; });

TEST(gateway_messages, keep_their_fields) {
    gateway_status_message status;
    status.vm = vm_id("vm-1");
    status.failure_domain = failure_domain("a");
    status.evacuations_revision = {store_era{3}, 41};
    status.servers_revision = {store_era{2}, 40};
    status.store_era = store_era{3};
    status.evacuated_domains = {failure_domain("b"), failure_domain("c")};
    status.echoes = {{7, incarnation{8}, 9}};
    status.quota_leases = {{10, 11, 3, true}};
    const auto decoded = decode(bytes_of(encode(status)));
    ASSERT_TRUE(decoded);
    const auto& read = std::get<gateway_status_message>(*decoded);
    EXPECT_EQ(status.evacuations_revision, read.evacuations_revision);
    EXPECT_EQ(status.servers_revision, read.servers_revision);
    EXPECT_EQ(store_era{3}, read.store_era);
    EXPECT_EQ(status.evacuated_domains, read.evacuated_domains);
    ASSERT_EQ(1U, read.echoes.size());
    EXPECT_EQ(9U, read.echoes.front().sequence);
    ASSERT_EQ(1U, read.quota_leases.size());
    EXPECT_EQ(3U, read.quota_leases.front().shard);
    EXPECT_TRUE(read.quota_leases.front().released);
}

TEST(quota_messages, keep_their_fields) {
    const auto request = decode(bytes_of(
        encode(quota_request_message{vm_id("vm-1"), incarnation{2}, 3, "10.0.0.1:9", {{4, 5, true}}})));
    ASSERT_TRUE(request);
    const auto& asked = std::get<quota_request_message>(*request);
    EXPECT_EQ("10.0.0.1:9", asked.reply_to);
    ASSERT_EQ(1U, asked.demands.size());
    EXPECT_EQ(5U, asked.demands.front().wanted);
    EXPECT_TRUE(asked.demands.front().is_extra);
    const auto response = decode(bytes_of(encode(quota_grant_message{3, true, 300, {{4, 2, 70}}})));
    ASSERT_TRUE(response);
    const auto& granted = std::get<quota_grant_message>(*response);
    EXPECT_TRUE(granted.is_holder);
    EXPECT_EQ(300U, granted.lifetime_ms);
    ASSERT_EQ(1U, granted.grants.size());
    EXPECT_EQ(70U, granted.grants.front().retry_after_ms);
}

} // namespace
} // namespace endivelever
