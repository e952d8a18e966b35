#include "protocol/seal.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {
namespace {

seal_keys keysOf(char digit)
{
    error why;
    const auto keys = parseSealKeys(std::string(2 * sealKeyBytes, digit), why);
    EXPECT_TRUE(keys) << message(why);
    return keys.value_or(seal_keys{});
}

/// One direction of a connection between two daemons.
struct direction
{
    std::string fromHello;
    std::string toHello;
    seal_key key;

    explicit direction(const seal_keys &keys)
        : fromHello(sealHello(keys, makeHello("entry-1", 1)))
        , toHello(sealHello(keys, makeHello("entry-2", 1)))
        , key(directionKey(keys, fromHello, toHello))
    {
    }
};

wire_state openOne(frame_opener &opener, const std::string &frame)
{
    std::string_view bytes;
    std::size_t used = 0;
    return opener.open(frame, bytes, used);
}

TEST(seal, takesOnlyAWholeHexKey)
{
    error why;
    EXPECT_FALSE(parseSealKeys("", why));
    EXPECT_FALSE(parseSealKeys(std::string(62, 'a'), why));
    EXPECT_FALSE(parseSealKeys(std::string(66, 'a'), why));
    EXPECT_FALSE(parseSealKeys(std::string(64, 'x'), why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
}

RC_GTEST_PROP(seal, refusesChangedDatagrams, (const std::string &content))
{
    const seal_keys keys = keysOf('a');
    std::string sealed = sealDatagram(keys, content);
    RC_ASSERT(openDatagram(keys, sealed) == std::optional<std::string_view>(content));
    RC_ASSERT(!openDatagram(keysOf('b'), sealed));
    RC_ASSERT(!openDatagram(keys, sealed.substr(0, sealed.size() - 1)));
    sealed[*rc::gen::inRange<std::size_t>(0, sealed.size())] ^= 1;
    RC_ASSERT(!openDatagram(keys, sealed));
}

TEST(seal, opensAHelloOnlyWholeAndUnderItsKey)
{
    const seal_keys keys = keysOf('a');
    const std::string sealed = sealHello(keys, makeHello("entry-1", 42));
    hello said;
    std::size_t used = 0;
    for (std::size_t size = 0; size < sealed.size(); ++size) {
        EXPECT_EQ(openHello(keys, sealed.substr(0, size), said, used), wire_state::Incomplete);
    }
    ASSERT_EQ(openHello(keys, sealed + "next", said, used), wire_state::Ready);
    EXPECT_EQ(said.instance, "entry-1");
    EXPECT_EQ(said.incarnation, 42U);
    EXPECT_EQ(used, sealed.size());
    EXPECT_EQ(openHello(keysOf('b'), sealed, said, used), wire_state::Bad);
    EXPECT_EQ(openHello(keys, "GET / HTTP/1.1", said, used), wire_state::Bad);
    for (std::size_t at = 0; at < sealed.size(); ++at) {
        std::string changed = sealed;
        changed[at] ^= 1;
        EXPECT_NE(openHello(keys, changed, said, used), wire_state::Ready);
    }
}

// A request runs twice although its entry sent it once: someone on the network recorded the frame and
// sent it again, on the same connection, on another one, or back to its sender.
TEST(seal, refusesReplayedFrames)
{
    const seal_keys keys = keysOf('a');
    const direction there(keys);
    frame_sealer sealer(there.key);
    const std::string first = sealer.seal("run it");
    const std::string second = sealer.seal("run that");

    frame_opener opener(there.key);
    EXPECT_EQ(openOne(opener, first), wire_state::Ready);
    EXPECT_EQ(openOne(opener, first), wire_state::Bad);

    frame_opener swapped(there.key);
    EXPECT_EQ(openOne(swapped, second), wire_state::Bad);
    frame_opener otherConnection(direction(keys).key);
    EXPECT_EQ(openOne(otherConnection, first), wire_state::Bad);
    frame_opener otherDirection(directionKey(keys, there.toHello, there.fromHello));
    EXPECT_EQ(openOne(otherDirection, first), wire_state::Bad);
}

RC_GTEST_PROP(seal, opensFramesInAnyPieces, (const std::vector<std::string> &contents))
{
    const direction there(keysOf('a'));
    frame_sealer sealer(there.key);
    frame_opener opener(there.key);
    std::string wire;
    for (const std::string &content : contents) {
        wire += sealer.seal(content);
    }
    for (const std::string &content : contents) {
        std::string_view bytes;
        std::size_t used = 0;
        const auto cut = *rc::gen::inRange<std::size_t>(0, frameHeadBytes + content.size());
        RC_ASSERT(opener.open(wire.substr(0, cut), bytes, used) == wire_state::Incomplete);
        RC_ASSERT(opener.open(wire, bytes, used) == wire_state::Ready);
        RC_ASSERT(bytes == content);
        wire.erase(0, used);
    }
}

TEST(seal, refusesAFrameThatClaimsTooMuch)
{
    const direction there(keysOf('a'));
    frame_opener opener(there.key);
    EXPECT_EQ(openOne(opener, std::string("\xff\xff\xff\xff", 4)), wire_state::Bad);
}

}
}
