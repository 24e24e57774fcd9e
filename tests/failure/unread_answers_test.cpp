#include "failure/gateway_fleet.hpp"
#include "testbed/usage.hpp"

#include <filesystem>

namespace endivelever::http_test {
namespace {

// Limits of the process in the settings of this test, in the units of the settings file.
constexpr int memory_mb = 32;
constexpr int max_fds = 1300;
constexpr std::uint64_t bytes_per_mb = 1'000'000;
constexpr std::size_t connections_to_callers = 290;
constexpr std::size_t connections_to_readiness = 200;
constexpr std::size_t resets_per_round = 5;
constexpr duration trouble_time = 6s;
constexpr std::uint16_t readiness_port = 7002;

// The allocator of AddressSanitizer keeps freed memory, so that resident memory says nothing about the
// program.
#ifdef __SANITIZE_ADDRESS__
constexpr bool measures_memory = false;
#else
constexpr bool measures_memory = true;
#endif

struct crowd_case {
    const char* name;
    const char* path;
};

std::size_t open_descriptors(pid_t pid) {
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec), end; it != end;
         it.increment(ec)) {
        ++n;
    }
    return n;
}

/// Connection that sends pipelined requests as fast as they are taken and reads no response.
class deaf_caller {
  public:
    deaf_caller(const std::string& host, std::uint16_t port, const std::string& requests)
        : m_host(host), m_port(port), m_requests(requests) {}
    ~deaf_caller() { reset(); }
    deaf_caller(const deaf_caller&) = delete;
    deaf_caller& operator=(const deaf_caller&) = delete;
    deaf_caller(deaf_caller&&) = delete;
    deaf_caller& operator=(deaf_caller&&) = delete;

    /// Sends what the socket takes; connects again if the connection was closed.
    void play() {
        if (m_fd < 0) {
            connect_without_waiting();
            return;
        }
        const auto rest = std::string_view(m_requests).substr(m_sent);
        const auto n = ::send(m_fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            m_sent = (m_sent + static_cast<std::size_t>(n)) % m_requests.size();
        } else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
            reset();
        }
    }

    /// close() with unread input resets the connection.
    void reset() {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

  private:
    void connect_without_waiting() {
        m_sent = 0;
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(m_port);
        inet_pton(AF_INET, m_host.c_str(), &to.sin_addr);
        if (connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
            reset();
        }
    }

    std::string m_host;
    std::uint16_t m_port;
    const std::string& m_requests;
    std::size_t m_sent = 0;
    int m_fd = -1;
};

void lower_limits(const fleet_gateway& gateway, gateway_fleet& fleet) {
    auto settings = platform_settings("vm-1", gateway.host, fleet.store.address(), fleet.grace_period_s);
    settings["limits"] = {{"memory_mb", memory_mb}, {"max_fds", max_fds}};
    static_cast<void>(fleet.folder.write("vm-1.json", settings.dump()));
}

class unread_answers : public testing::TestWithParam<crowd_case> {};

// Guards against a crowd that pipelines requests and reads no answers: connections were used after they had
// been freed, and each held 54 KB.
TEST_P(unread_answers, leave_the_process_alive_and_within_its_limits) {
    gateway_fleet fleet(1);
    fleet.put_config();
    fleet.add_target(1ms, "0,0,4");
    auto& gateway = fleet.prepare_gateway();
    lower_limits(gateway, fleet);
    gateway_fleet::start(gateway);
    ASSERT_TRUE(fleet.wait_until_ready());
    const auto pid = gateway.process.pid();

    std::string requests;
    for (std::size_t i = 0; i < 1000; ++i) {
        requests.append("GET ").append(GetParam().path).append(" HTTP/1.1\r\nHost: desk.example\r\n\r\n");
    }
    std::vector<std::unique_ptr<deaf_caller>> crowd;
    for (std::size_t i = 0; i < connections_to_callers; ++i) {
        crowd.push_back(std::make_unique<deaf_caller>(gateway.host, caller_port, requests));
    }
    for (std::size_t i = 0; i < connections_to_readiness; ++i) {
        crowd.push_back(std::make_unique<deaf_caller>(gateway.host, readiness_port, requests));
    }
    std::uint64_t most_memory = 0;
    std::size_t most_descriptors = 0;
    std::size_t next_reset = 0;
    fleet.loop.run_until(
        [&] {
            for (auto& it : crowd) {
                it->play();
            }
            for (std::size_t i = 0; i < resets_per_round; ++i) {
                crowd[next_reset++ % crowd.size()]->reset();
            }
            most_memory = std::max(most_memory, testbed::usage_of(pid).resident.value);
            most_descriptors = std::max(most_descriptors, open_descriptors(pid));
            return !gateway.process.running();
        },
        trouble_time);
    std::printf("resident %.1f MB, %zu descriptors\n",
                static_cast<double>(most_memory) / static_cast<double>(bytes_per_mb), most_descriptors);
    EXPECT_TRUE(gateway.process.running());
    EXPECT_EQ(pid, gateway.process.pid());
    if (measures_memory) {
        EXPECT_LT(most_memory, memory_mb * bytes_per_mb);
    }
    EXPECT_LT(most_descriptors, static_cast<std::size_t>(max_fds));
    crowd.clear();
    ASSERT_TRUE(gateway.process.running());

    fleet.path = "/once/x";
    fleet.add_callers(1);
    EXPECT_TRUE(fleet.loop.run_until([&] {
        fleet.play_all();
        return std::any_of(fleet.responses.begin(), fleet.responses.end(),
                           [](const fleet_response& it) { return it.status == 200; });
    }));
    EXPECT_TRUE(gateway.process.running());
}

INSTANTIATE_TEST_SUITE_P(paths, unread_answers,
                         testing::Values(crowd_case{"ready", "/api/ready"},
                                         crowd_case{"no_route", "/no-route"}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace endivelever::http_test
