#include "failure/fleet.h"
#include "failure/load.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>
#include <string>

using namespace briarhead::testing;

namespace {

constexpr std::size_t pieces = 200;

sockaddr_in loopbackAt(std::uint16_t port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

std::string randomBytes(std::mt19937 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &one : bytes) {
        one = static_cast<char>(random());
    }
    return bytes;
}

/// Sends each piece as a datagram, or on a TCP connection of its own that is then closed.
void throwAt(std::uint16_t port, int type, std::mt19937 &random)
{
    const sockaddr_in at = loopbackAt(port);
    for (std::size_t i = 0; i < pieces; ++i) {
        const int fd = socket(AF_INET, type, 0);
        ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at), 0);
        const std::string bytes = randomBytes(random, 1 + random() % 1'400);
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        close(fd);
    }
}

/// A counter of a daemon's metrics page.
double counterOf(const fleet &all, std::size_t daemon, const std::string &name)
{
    const std::string page = call("GET", all.url(daemon) + "/metrics").body;
    const auto at = page.find('\n' + name + ' ');
    return at == std::string::npos ? -1 : std::stod(page.substr(at + name.size() + 2));
}

std::uint16_t peerPortOf(const fleet &all, std::size_t daemon)
{
    const std::string list =
        "http://127.0.0.1:" + std::to_string(all.ports()["live_list"].get<int>()) + "/instances?region=r";
    const json page = call("GET", list).parsed();
    for (const json &line : page.value("changed", json::array())) {
        if (line.value("name", "") == all.name(daemon)) {
            return line.value("port", std::uint16_t{0});
        }
    }
    return 0;
}

}

// A scanner on the network throws random bytes at all of a daemon's ports. They are counted and dropped: the
// daemon goes on, keeps its peers, and serves.
TEST(Hostile, RandomBytesOnEveryPortAreCountedAndDropped)
{
    fleet all;
    const std::uint16_t peerPort = peerPortOf(all, 0);
    ASSERT_NE(peerPort, 0);
    const auto callerPort =
        static_cast<std::uint16_t>(std::stoi(all.url(0).substr(all.url(0).rfind(':') + 1)));
    std::mt19937 random(7);
    throwAt(peerPort, SOCK_DGRAM, random);
    throwAt(peerPort, SOCK_STREAM, random);
    throwAt(callerPort, SOCK_STREAM, random);
    // A datagram may be lost when its socket's buffer is full; most are read.
    EXPECT_TRUE(eventually([&] {
        return counterOf(all, 0, "briarhead_peer_dropped") >= pieces;
    })) << counterOf(all, 0, "briarhead_peer_dropped");
    std::vector<told> answers;
    for (int i = 0; i < 6; ++i) {
        answers.push_back(ask(all, 0, "a" + std::to_string(i), 4));
        EXPECT_EQ(answers.back().outcome, "done") << answers.back().code;
    }
    EXPECT_EQ(call("GET", all.url(0) + "/readyz").status, 200);
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}
