#include "endivelever/net/frame_link.hpp"
#include "endivelever/net/socket_endpoint.hpp"
#include "endivelever/wire/frame.hpp"

#include <ev.h>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace endivelever {
namespace {

using namespace std::chrono_literals;

const std::string cluster_key = "a key for the tests only";

/// A listener and both ends of a link, on a separate loop.
struct link_pair : testing::Test {
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
    link_counts counts;
    std::unique_ptr<frame_listener> listener;
    std::unique_ptr<frame_link> accepted;
    std::unique_ptr<frame_link> connected;
    std::vector<message> received;               ///< messages received by the accepting side
    std::optional<std::string> acceptor_closed;  ///< close reason at the accepting side
    std::optional<std::string> connector_closed; ///< close reason at the connecting side
    bool ready = false;                          ///< on_ready was called at the connecting side

    void SetUp() override {
        auto opened = frame_listener::open(loop, socket_address("127.0.0.1:0"), [this](int fd) {
            accepted = frame_link::accept(loop, fd, cluster_key, accepting(), counts);
        });
        ASSERT_TRUE(opened) << opened.error().message;
        listener = std::move(*opened);
    }

    void TearDown() override {
        connected.reset();
        accepted.reset();
        listener.reset();
        ev_loop_destroy(loop);
    }

    frame_link::handlers accepting() {
        return {nullptr, [this](const message& it) { received.push_back(it); },
                [this](const std::string& reason) { acceptor_closed = reason; }};
    }

    socket_address address() const { return socket_address("127.0.0.1:" + std::to_string(listener->port())); }

    void connect(const std::string& key) {
        connected = frame_link::connect(loop, address(), key,
                                        {[this] { ready = true; }, nullptr,
                                         [this](const std::string& reason) { connector_closed = reason; }},
                                        counts);
    }

    /// Runs the loop until the condition holds. @return false after 20 s
    template <typename Condition>
    bool wait_for(Condition condition) {
        const auto limit = boot_clock::now() + 20s;
        ev_timer tick{};
        ev_init(&tick, [](struct ev_loop*, ev_timer*, int) {});
        ev_timer_set(&tick, 0.01, 0.01);
        ev_timer_start(loop, &tick);
        while (!condition() && boot_clock::now() < limit) {
            ev_run(loop, EVRUN_ONCE);
        }
        ev_timer_stop(loop, &tick);
        return condition();
    }

    /// Connects a plain socket, exchanges nonces, sends the bytes that `make` returns for the channel and
    /// waits for the link to close.
    template <typename Make>
    void send_raw(Make make) {
        const auto endpoint = to_endpoint(address());
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(::connect(fd, endpoint->get(), endpoint->length), 0);
        frame_channel channel;
        channel.key = derive_frame_key(cluster_key);
        ASSERT_EQ(::send(fd, channel.connector_nonce.data(), frame_nonce_size, 0), 16);
        ASSERT_TRUE(wait_for([this] { return accepted && accepted->ready(); }));
        ASSERT_EQ(::recv(fd, channel.acceptor_nonce.data(), frame_nonce_size, MSG_WAITALL), 16);
        const std::string bytes = make(channel);
        ASSERT_EQ(::send(fd, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
        EXPECT_TRUE(wait_for([this] { return acceptor_closed.has_value(); }));
        ::close(fd);
    }
};

TEST_F(link_pair, messages_arrive_complete_and_in_order) {
    connect(cluster_key);
    ASSERT_TRUE(wait_for([this] { return ready; }));
    const std::string large(1'000'000, 'x');
    for (std::uint64_t i = 1; i <= 3; ++i) {
        connected->send(document_message{document_key("vm-list"), document_version{i}, large});
    }
    connected->send(lease_message{3500});
    ASSERT_TRUE(wait_for([this] { return received.size() == 4; }));
    EXPECT_EQ(std::get<document_message>(received[2]).version, document_version{3});
    EXPECT_EQ(std::get<document_message>(received[2]).payload, large);
    EXPECT_EQ(std::get<lease_message>(received[3]).valid_ms, 3500U);
    EXPECT_EQ(counts.frames_sent, 4U);
    EXPECT_EQ(counts.bytes_sent, counts.bytes_received);
}

TEST_F(link_pair, different_keys_close_both_sides) {
    connect("another key of enough letters");
    ASSERT_TRUE(wait_for([this] { return ready; }));
    connected->send(lease_message{1});
    ASSERT_TRUE(wait_for([this] { return acceptor_closed && connector_closed; }));
    EXPECT_TRUE(received.empty());
    EXPECT_EQ(counts.bad_frames, 1U);
}

TEST_F(link_pair, refused_connection_is_reported_from_the_loop) {
    const auto free_port = address();
    listener.reset();
    connected = frame_link::connect(
        loop, free_port, cluster_key,
        {nullptr, nullptr, [this](const std::string& it) { connector_closed = it; }}, counts);
    EXPECT_FALSE(connector_closed);
    EXPECT_TRUE(wait_for([this] { return connector_closed.has_value(); }));
}

// Guards against an established connection over which no frames arrive any more, e.g. after a network
// failure.
TEST_F(link_pair, connection_without_frames_is_closed_on_both_sides) {
    connect(cluster_key);
    EXPECT_TRUE(wait_for([this] { return acceptor_closed && connector_closed; }));
    EXPECT_NE(connector_closed->find("no frame"), std::string::npos) << *connector_closed;
}

TEST_F(link_pair, send_queue_above_the_limit_closes_the_link) {
    connect(cluster_key);
    ASSERT_TRUE(wait_for([this] { return ready; }));
    const document_message large{document_key("k"), {}, std::string(1'000'000, 'x')};
    for (int i = 0; i < 5; ++i) {
        connected->send(large);
    }
    EXPECT_FALSE(connector_closed);
    EXPECT_TRUE(wait_for([this] { return connector_closed.has_value(); }));
}

// Guards against use after free when a handler destroys its own link.
TEST_F(link_pair, link_may_be_destroyed_from_its_handlers) {
    connected = frame_link::connect(loop, address(), cluster_key,
                                    {[this] {
                                         connected->send(lease_message{1});
                                         connected.reset();
                                         ready = true;
                                     },
                                     nullptr, nullptr},
                                    counts);
    ASSERT_TRUE(wait_for([this] { return ready && acceptor_closed; }));
    EXPECT_EQ(connected, nullptr);
}

TEST_F(link_pair, undecodable_payload_with_valid_mac_closes_the_link) {
    send_raw([](frame_channel& channel) {
        std::string out;
        append_frame(channel, std::string(64, '\x7f'), out);
        return out;
    });
    EXPECT_EQ(counts.bad_frames, 1U);
}

TEST_F(link_pair, replayed_frame_closes_the_link) {
    send_raw([](frame_channel& channel) {
        std::string out;
        append_frame(channel, encode(lease_message{7}), out);
        return out + out;
    });
    EXPECT_EQ(received.size(), 1U);
    EXPECT_EQ(counts.bad_frames, 1U);
}

TEST_F(link_pair, invalid_length_closes_the_link) {
    send_raw([](frame_channel&) { return std::string(4, '\xff'); });
    EXPECT_EQ(counts.bad_frames, 1U);
}

TEST(frame_listener, address_in_use_is_an_error) {
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
    auto first = frame_listener::open(loop, socket_address("127.0.0.1:0"), [](int fd) { ::close(fd); });
    ASSERT_TRUE(first);
    const socket_address used("127.0.0.1:" + std::to_string((*first)->port()));
    const auto second = frame_listener::open(loop, used, [](int fd) { ::close(fd); });
    ASSERT_FALSE(second);
    EXPECT_NE(second.error().message.find(used.text), std::string::npos);
    first->reset();
    ev_loop_destroy(loop);
}

} // namespace
} // namespace endivelever
