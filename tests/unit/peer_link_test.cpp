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

/// One daemon's peer link, which records everything it receives.
struct recording_link
{
    std::vector<peer_message> messages;
    std::vector<std::string> senders;
    std::vector<peer_datagram> datagrams;
    std::vector<std::string> broken;
    std::vector<peer_message> unsent;
    std::unique_ptr<peer_link> link;

    recording_link(
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
    for (const peer_message &message : messages) {
        sequences.push_back(std::get<run_bytes>(message).id.sequence);
    }
    return sequences;
}

/// A plain TCP socket connected to a link's port, which is not a daemon.
struct raw_client
{
    owned_fd fd;

    explicit raw_client(const recording_link &to)
    {
        error why;
        fd = std::move(*startConnect(to.address(), why));
    }

    void sendAll(loop &events, const std::string &bytes) const
    {
        std::size_t sentBytes = 0;
        runUntil(events, [&] {
            const auto count =
                send(fd.get(), bytes.data() + sentBytes, bytes.size() - sentBytes, MSG_NOSIGNAL);
            sentBytes += count > 0 ? static_cast<std::size_t>(count) : 0;
            return sentBytes == bytes.size();
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

TEST(peer_link, messagesArriveInOrderInBothDirections)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b");
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
    // The response is sent on the open connection; the given address isn't dialled.
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

TEST(peer_link, datagramsAndMessagesUpToTheFrameLimitArrive)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b");
    peer_datagram sentDatagram;
    sentDatagram.from = "a";
    sentDatagram.sequence = 5;
    a.link->sendDatagram(b.address(), sentDatagram);
    EXPECT_TRUE(a.link->send("b", b.address(), bytesMessage(1, maxFrameBytes - 100)));
    EXPECT_FALSE(a.link->send("b", b.address(), bytesMessage(2, maxFrameBytes + 1)));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.datagrams.size() == 1 && b.messages.size() == 1;
    }));
    EXPECT_EQ(b.datagrams.front().sequence, 5U);
    EXPECT_EQ(std::get<run_bytes>(b.messages.front()).bytes.size(), maxFrameBytes - 100);
}

// Two daemons connect to each other at the same time. No message may be lost or reordered, whichever of the
// two connections becomes ready first.
TEST(peer_link, orderIsKeptWhenBothSidesConnectAtOnce)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b");
    std::vector<std::uint64_t> expected;
    std::uint64_t next = 0;
    const auto sendTimer = events.timer({}, millis{1}, [&] {
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

// If the entry were not notified of a broken link, a request would wait until its deadline although its owner
// has crashed. Messages that were certainly not sent are reported, so that their requests can run elsewhere.
TEST(peer_link, peerCrashIsReportedWithTheUnsentMessages)
{
    loop events;
    recording_link a(events, "a");
    auto b = std::make_unique<recording_link>(events, "b");
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
    // Nothing listens on the address any more: send() fails at once, or the loss is reported later.
    if (a.link->send("b", address, bytesMessage(2))) {
        ASSERT_TRUE(runUntil(events, [&] {
            return a.broken.size() == 2;
        }));
        EXPECT_EQ(sequencesOf(a.unsent), std::vector<std::uint64_t>{2});
    }
}

// An address is reassigned to another instance. Messages queued for the old one must not reach the new one.
TEST(peer_link, linkToAPeerWithAnotherNameIsClosed)
{
    loop events;
    recording_link a(events, "a");
    recording_link c(events, "c");
    ASSERT_TRUE(a.link->send("b", c.address(), bytesMessage(1)));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.broken.size() == 1;
    }));
    EXPECT_EQ(a.broken.front(), "b");
    EXPECT_EQ(a.unsent.size(), 1U);
    EXPECT_TRUE(c.messages.empty());
    EXPECT_EQ(a.link->counters().dropped, 1U);
}

// A restarted daemon connects while the link to its previous incarnation still looks alive. Responses must go
// to the new incarnation, and the loss of the old link is reported. A previous incarnation that was paused
// and connects again is rejected.
TEST(peer_link, higherIncarnationReplacesLowerOne)
{
    loop events;
    recording_link a(events, "a");
    recording_link oldLink(events, "b", 1);
    recording_link newLink(events, "b", 2);
    oldLink.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
    newLink.link->send("a", a.address(), bytesMessage(2));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 2 && oldLink.broken.size() == 1;
    }));
    EXPECT_EQ(a.broken, std::vector<std::string>{"b"});
    a.link->send("b", {"127.0.0.1", 1}, bytesMessage(3));
    oldLink.link->send("a", a.address(), bytesMessage(4));
    ASSERT_TRUE(runUntil(events, [&] {
        return newLink.messages.size() == 1 && oldLink.broken.size() == 2;
    }));
    EXPECT_EQ(a.messages.size(), 2U);
}

// A peer stops reading while more requests for it arrive. The daemon's memory must not grow without bound:
// beyond the limit the link is closed and its senders are notified.
TEST(peer_link, linkToAPeerThatDoesNotReadIsClosedAtTheQueueLimit)
{
    loop events;
    recording_link a(events, "a");
    error why;
    const auto unresponsive = bindPeerPort({"127.0.0.1", 0}, why);
    ASSERT_TRUE(unresponsive);
    std::size_t accepted = 0;
    while (a.link->send("b", {"127.0.0.1", unresponsive->port}, bytesMessage(accepted, 1024 * 1024))) {
        ++accepted;
        ASSERT_LT(accepted, 100U);
    }
    EXPECT_GT(accepted, 20U);
    ASSERT_TRUE(runUntil(events, [&] {
        return !a.broken.empty();
    }));
    EXPECT_EQ(a.unsent.size(), accepted);
    EXPECT_EQ(a.link->queuedBytes("b"), 0U);
}

TEST(peer_link, locallyClosedLinkIsReportedOnBothSides)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b");
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

TEST(peer_link, inputFromAPeerWithAnotherKeyIsDropped)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b", 1, otherKey);
    b.link->send("a", a.address(), bytesMessage(1));
    b.link->sendDatagram(a.address(), {probe_kind::Ping, "b"});
    ASSERT_TRUE(runUntil(events, [&] {
        return a.link->counters().dropped == 2 && b.broken.size() == 1;
    }));
    EXPECT_TRUE(a.messages.empty() && a.datagrams.empty());
}

// Anyone on the network can record a daemon's hello and replay it. Without the key of the new connection, it
// must not establish a link or replace the real one.
TEST(peer_link, replayedHelloDoesNotReplaceTheLink)
{
    loop events;
    recording_link a(events, "a");
    recording_link b(events, "b");
    b.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
    error why;
    const raw_client replaying(a);
    replaying.sendAll(events, sealHello(*parseSealKeys(key, why), {"b", 9, {}}) + std::string(20, '\0'));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.link->counters().dropped == 1 && replaying.closed();
    }));
    EXPECT_TRUE(a.broken.empty());
    a.link->send("b", b.address(), bytesMessage(2));
    ASSERT_TRUE(runUntil(events, [&] {
        return b.messages.size() == 1;
    }));
}

// Random bytes of random length on either socket are counted and dropped, and the link keeps working.
TEST(peer_link, randomInputIsDropped)
{
    loop events;
    recording_link a(events, "a");
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
        const raw_client noise(a);
        noise.sendAll(events, bytes);
        ASSERT_TRUE(runUntil(events, [&] {
            return noise.closed() && a.link->counters().dropped == 2 * (round + 1);
        }));
    }
    recording_link b(events, "b");
    b.link->send("a", a.address(), bytesMessage(1));
    ASSERT_TRUE(runUntil(events, [&] {
        return a.messages.size() == 1;
    }));
}

TEST(peer_link, openFailsOnAnInvalidOrUsedAddress)
{
    loop events;
    error why;
    EXPECT_FALSE(peer_link::open(events, "a", 1, {"not an address", 0}, key, {}, why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
    const recording_link usingAddress(events, "a");
    EXPECT_FALSE(peer_link::open(events, "b", 1, usingAddress.address(), key, {}, why));
    EXPECT_NE(why.detail.find("bind"), std::string::npos);
}

}
}
