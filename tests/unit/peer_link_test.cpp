#include "transport/peer_link.h"

#include "protocol/codec.h"
#include "protocol/seal.h"
#include "standins/run_until.h"
#include "transport/peer_socket.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <random>

namespace briarhead {
namespace {

const std::string key(2 * sealKeyBytes, 'a');
const std::string otherKey(2 * sealKeyBytes, 'b');

/// A daemon's end, with all that came in.
struct end_point
{
    std::vector<peer_message> messages;
    std::vector<std::string> senders;
    std::vector<peer_datagram> datagrams;
    std::vector<std::string> broken;
    std::vector<peer_message> unsent;
    std::unique_ptr<peer_link> link;

    end_point(
        loop &events, const std::string &name, std::uint64_t incarnation = 1, const std::string &hexKey = key)
    {
        peer_link::handlers calls;
        calls.onMessage = [this](const std::string &from, std::uint64_t, peer_message message) {
            senders.push_back(from);
            messages.push_back(std::move(message));
        };
        calls.onDatagram = [this](const peer_address &, const peer_datagram &datagram) {
            datagrams.push_back(datagram);
        };
        calls.onBroken = [this](const std::string &peer) {
            broken.push_back(peer);
        };
        calls.onUnsent = [this](const std::string &, const peer_message &message) {
            unsent.push_back(message);
        };
        error why;
        link = peer_link::open(events, name, incarnation, {"127.0.0.1", 0}, hexKey, calls, why);
        EXPECT_TRUE(link) << message(why);
    }

    peer_address address() const
    {
        return {"127.0.0.1", link->port()};
    }
};

peer_message bytesMessage(std::uint64_t sequence, std::size_t size = 1)
{
    return run_bytes{{"entry-1", 1, sequence}, std::string(size, 'x')};
}

std::vector<std::uint64_t> sequencesOf(const std::vector<peer_message> &messages)
{
    std::vector<std::uint64_t> sequences;
    sequences.reserve(messages.size());
    for (const peer_message &each : messages) {
        sequences.push_back(std::get<run_bytes>(each).id.sequence);
    }
    return sequences;
}

/// A plain socket that speaks to a link's port without being a daemon.
struct stranger
{
    owned_fd fd;

    explicit stranger(const end_point &to)
    {
        error why;
        fd = std::move(*startConnect(to.address(), why));
    }

    void say(loop &events, const std::string &bytes) const
    {
        std::size_t sent = 0;
        runUntil(events, [&] {
            const auto count = send(fd.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            return sent == bytes.size();
        });
    }

    bool closed() const
    {
        char buffer[4096];
        ssize_t count = 1;
        while (count > 0) {
            count = recv(fd.get(), buffer, sizeof(buffer), MSG_DONTWAIT);
        }
        return count == 0 || errno == ECONNRESET;
    }
};

TEST(peer_link, carriesMessagesInOrderBothWays)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b");
    std::vector<std::uint64_t> expected;
    for (std::uint64_t i = 0; i < 2'000; ++i) {
        ASSERT_TRUE(a.link->send("b", b.address(), bytesMessage(i, i % 97)));
        expected.push_back(i);
    }
    ASSERT_TRUE(runUntil(events, [&] {
        return b.messages.size() == expected.size();
    }));
    EXPECT_EQ(sequencesOf(b.messages), expected);
    EXPECT_EQ(b.senders.front(), "a");
    // The answer takes the connection that stands: the address given isn't dialled.
    ASSERT_TRUE(b.link->send("a", {"127.0.0.1", 1}, load_grant{7}));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
    EXPECT_EQ(std::get<load_grant>(a.messages.front()).ticket, 7U);
    EXPECT_GT(a.link->counters().controlBytesIn, 0U);
    EXPECT_LT(a.link->counters().controlBytesOut, a.link->counters().frameBytesOut);
    EXPECT_EQ(a.link->counters().framesOut, expected.size());
    EXPECT_EQ(a.link->queuedBytes("b"), 0U);
}

TEST(peer_link, carriesDatagramsAndLargeMessages)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b");
    peer_datagram sent;
    sent.from = "a";
    sent.sequence = 5;
    a.link->sendDatagram(b.address(), sent);
    EXPECT_TRUE(a.link->send("b", b.address(), bytesMessage(1, maxFrameBytes - 100)));
    EXPECT_FALSE(a.link->send("b", b.address(), bytesMessage(2, maxFrameBytes + 1)));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.datagrams.size() == 1 && b.messages.size() == 1;
    }));
    EXPECT_EQ(b.datagrams.front().sequence, 5U);
    EXPECT_EQ(std::get<run_bytes>(b.messages.front()).bytes.size(), maxFrameBytes - 100);
}

// Two daemons turn to each other in the same moment and each connects. No message may be lost or overtake
// another, whichever of the two connections is ready first.
TEST(peer_link, keepsOrderWhenBothSidesConnectAtOnce)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b");
    std::vector<std::uint64_t> expected;
    std::uint64_t next = 0;
    const auto feeder = events.timer({}, millis{1}, [&] {
        for (int i = 0; i < 20 && next < 1'000; ++i, ++next) {
            a.link->send("b", b.address(), bytesMessage(next));
            b.link->send("a", a.address(), bytesMessage(next));
            expected.push_back(next);
        }
    });
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1'000 && b.messages.size() == 1'000;
    }));
    EXPECT_EQ(sequencesOf(a.messages), expected);
    EXPECT_EQ(sequencesOf(b.messages), expected);
    EXPECT_TRUE(a.broken.empty() && b.broken.empty());
}

// A request waits until its deadline although its owner died at once: the entry wasn't told that the link
// broke. What certainly didn't leave is named, so that it can run elsewhere.
TEST(peer_link, tellsOfABrokenLinkAndOfWhatNeverLeft)
{
    loop events;
    end_point a(events, "a");
    auto b = std::make_unique<end_point>(events, "b");
    const peer_address address = b->address();
    a.link->send("b", address, bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return b->messages.size() == 1;
    }));
    b.reset();
    ASSERT_TRUE(runUntil(events, [&] {
        return a.broken.size() == 1;
    }));
    EXPECT_TRUE(a.unsent.empty());
    // Nobody listens there any more: refused at once, or told soon after.
    if (a.link->send("b", address, bytesMessage(2))) {
        ASSERT_TRUE(runUntil(events, [&] {
            return a.broken.size() == 2;
        }));
        EXPECT_EQ(sequencesOf(a.unsent), std::vector<std::uint64_t>{2});
    }
}

// An address passes to another instance. What waits for the old one must not reach the new one.
TEST(peer_link, closesALinkToAPeerWithAnotherName)
{
    loop events;
    end_point a(events, "a");
    end_point c(events, "c");
    ASSERT_TRUE(a.link->send("b", c.address(), bytesMessage(1)));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.broken.size() == 1;
    }));
    EXPECT_EQ(a.broken.front(), "b");
    EXPECT_EQ(a.unsent.size(), 1U);
    EXPECT_TRUE(c.messages.empty());
    EXPECT_EQ(a.link->counters().dropped, 1U);
}

// A restarted daemon connects while the link to its earlier process still looks alive. Answers must go to
// the new process, and what was sent to the old one is reported; a paused earlier process gets nowhere.
TEST(peer_link, prefersTheHigherIncarnationOfAPeer)
{
    loop events;
    end_point a(events, "a");
    end_point first(events, "b", 1);
    end_point second(events, "b", 2);
    first.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
    second.link->send("a", a.address(), bytesMessage(2));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 2 && first.broken.size() == 1;
    }));
    EXPECT_EQ(a.broken, std::vector<std::string>{"b"});
    a.link->send("b", {"127.0.0.1", 1}, bytesMessage(3));
    first.link->send("a", a.address(), bytesMessage(4));
    ASSERT_TRUE(runUntil(events, [&] {
        return second.messages.size() == 1 && first.broken.size() == 2;
    }));
    EXPECT_EQ(a.messages.size(), 2U);
}

// A peer takes nothing any more while requests for it go on coming in. The daemon must not grow until it
// is killed: past the bound the link is given up and its senders are told.
TEST(peer_link, givesUpAPeerThatTakesNothing)
{
    loop events;
    end_point a(events, "a");
    error why;
    const auto silent = bindPeerPort({"127.0.0.1", 0}, why);
    ASSERT_TRUE(silent);
    std::size_t taken = 0;
    while (a.link->send("b", {"127.0.0.1", silent->port}, bytesMessage(taken, 1024 * 1024))) {
        ++taken;
        ASSERT_LT(taken, 100U);
    }
    EXPECT_GT(taken, 20U);
    ASSERT_TRUE(runUntil(events, [&] {
        return !a.broken.empty();
    }));
    EXPECT_EQ(a.unsent.size(), taken);
    EXPECT_EQ(a.link->queuedBytes("b"), 0U);
}

TEST(peer_link, tellsOfALinkThatWasClosedHere)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b");
    a.link->send("b", b.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.messages.size() == 1;
    }));
    a.link->closeOlderIncarnations("b", 1);
    a.link->send("b", b.address(), bytesMessage(2));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.messages.size() == 2;
    }));
    a.link->close("b");
    EXPECT_TRUE(a.broken.empty());
    EXPECT_FALSE(a.link->send("b", b.address(), bytesMessage(3)));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.broken.size() == 1 && b.broken.size() == 1;
    }));
}

TEST(peer_link, refusesPeersWithAnotherKey)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b", 1, otherKey);
    b.link->send("a", a.address(), bytesMessage(1));
    b.link->sendDatagram(a.address(), {probe_kind::Ping, "b"});
    ASSERT_TRUE(runUntil(events, [&] {
        return a.link->counters().dropped == 2 && b.broken.size() == 1;
    }));
    EXPECT_TRUE(a.messages.empty() && a.datagrams.empty());
}

// Anyone on the network can record a daemon's hello and send it again. Without the key of the new
// connection it must neither count as a link nor take the place of the real one.
TEST(peer_link, aReplayedHelloIsNoLink)
{
    loop events;
    end_point a(events, "a");
    end_point b(events, "b");
    b.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
    error why;
    const stranger replaying(a);
    replaying.say(events, sealHello(*parseSealKeys(key, why), {"b", 9, {}}) + std::string(20, '\0'));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.link->counters().dropped == 1 && replaying.closed();
    }));
    EXPECT_TRUE(a.broken.empty());
    a.link->send("b", b.address(), bytesMessage(2));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.messages.size() == 1;
    }));
}

// Random bytes on either socket, whole or cut off, are counted and dropped; the daemon goes on.
TEST(peer_link, survivesRandomInput)
{
    loop events;
    end_point a(events, "a");
    error why;
    const auto udp = bindPeerPort({"127.0.0.1", 0}, why);
    const auto address = toSocketAddress(a.address());
    std::mt19937 random(1);
    constexpr std::uint64_t rounds = 50;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        std::string bytes(random() % 1'900, '\0');
        std::generate(bytes.begin(), bytes.end(), std::ref(random));
        sendto(udp->udp.get(), bytes.data(), bytes.size(), 0, address->raw(), address->size);
        bytes[0] = 'x';
        const stranger noise(a);
        noise.say(events, bytes);
        ASSERT_TRUE(runUntil(events, [&] {
            return noise.closed() && a.link->counters().dropped == 2 * (round + 1);
        }));
    }
    end_point b(events, "b");
    b.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
}

TEST(peer_link, saysWhyItCannotOpen)
{
    loop events;
    error why;
    EXPECT_FALSE(peer_link::open(events, "a", 1, {"not an address", 0}, key, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
    const end_point taken(events, "a");
    EXPECT_FALSE(peer_link::open(events, "b", 1, taken.address(), key, {}, why));
    EXPECT_NE(why.detail.find("bind"), std::string::npos);
}

}
}
