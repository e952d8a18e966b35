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

/// Opens a frame that is expected to be the next one.
wire_state openFrame(frame_opener &opener, const std::string &frame)
{
    std::string_view bytes;
    std::size_t used = 0;
    return opener.open(frame, bytes, used);
}

TEST(seal, rejectsKeysThatAreNot64HexDigits)
{
    error why;
    EXPECT_FALSE(parseSealKeys("", why));
    EXPECT_FALSE(parseSealKeys(std::string(62, 'a'), why));
    EXPECT_FALSE(parseSealKeys(std::string(66, 'a'), why));
    EXPECT_FALSE(parseSealKeys(std::string(64, 'x'), why));
    EXPECT_EQ(why.kind, error_kind::BadSettings);
}

RC_GTEST_PROP(seal, rejectsAlteredDatagrams, (const std::string &content))
{
    const seal_keys keys = keysOf('a');
    std::string sealed = sealDatagram(keys, content);
    RC_ASSERT(openDatagram(keys, sealed) == std::optional<std::string_view>(content));
    RC_ASSERT(!openDatagram(keysOf('b'), sealed));
    RC_ASSERT(!openDatagram(keys, sealed.substr(0, sealed.size() - 1)));
    sealed[*rc::gen::inRange<std::size_t>(0, sealed.size())] ^= 1;
    RC_ASSERT(!openDatagram(keys, sealed));
}

TEST(seal, opensOnlyACompleteHelloUnderItsKey)
{
    const seal_keys keys = keysOf('a');
    const std::string sealed = sealHello(keys, makeHello("entry-1", 42));
    hello received;
    std::size_t used = 0;
    for (std::size_t size = 0; size < sealed.size(); ++size) {
        EXPECT_EQ(openHello(keys, sealed.substr(0, size), received, used), wire_state::Incomplete);
    }
    ASSERT_EQ(openHello(keys, sealed + "next", received, used), wire_state::Ready);
    EXPECT_EQ(received.instance, "entry-1");
    EXPECT_EQ(received.incarnation, 42U);
    EXPECT_EQ(used, sealed.size());
    EXPECT_EQ(openHello(keysOf('b'), sealed, received, used), wire_state::Bad);
    EXPECT_EQ(openHello(keys, "GET / HTTP/1.1", received, used), wire_state::Bad);
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        std::string altered = sealed;
        altered[i] ^= 1;
        EXPECT_NE(openHello(keys, altered, received, used), wire_state::Ready);
    }
}

// Guards against a request that runs twice because someone on the network recorded its frame and replayed it
// on the same connection, on another one, or back to its sender.
TEST(seal, rejectsReplayedFrames)
{
    const seal_keys keys = keysOf('a');
    const direction forward(keys);
    frame_sealer sealer(forward.key);
    const std::string first = sealer.seal("run it");
    const std::string second = sealer.seal("run that");

    frame_opener opener(forward.key);
    EXPECT_EQ(openFrame(opener, first), wire_state::Ready);
    EXPECT_EQ(openFrame(opener, first), wire_state::Bad);

    frame_opener withoutFirst(forward.key);
    EXPECT_EQ(openFrame(withoutFirst, second), wire_state::Bad);
    frame_opener otherConnection(direction(keys).key);
    EXPECT_EQ(openFrame(otherConnection, first), wire_state::Bad);
    frame_opener otherDirection(directionKey(keys, forward.toHello, forward.fromHello));
    EXPECT_EQ(openFrame(otherDirection, first), wire_state::Bad);
}

RC_GTEST_PROP(seal, opensFramesThatArriveInParts, (const std::vector<std::string> &contents))
{
    const direction forward(keysOf('a'));
    frame_sealer sealer(forward.key);
    frame_opener opener(forward.key);
    std::string buffer;
    for (const std::string &content : contents) {
        buffer += sealer.seal(content);
    }
    for (const std::string &content : contents) {
        std::string_view bytes;
        std::size_t used = 0;
        const auto partSize = *rc::gen::inRange<std::size_t>(0, frameHeaderBytes + content.size());
        RC_ASSERT(opener.open(buffer.substr(0, partSize), bytes, used) == wire_state::Incomplete);
        RC_ASSERT(opener.open(buffer, bytes, used) == wire_state::Ready);
        RC_ASSERT(bytes == content);
        buffer.erase(0, used);
    }
}

TEST(seal, rejectsAFrameLongerThanTheLimit)
{
    const direction forward(keysOf('a'));
    frame_opener opener(forward.key);
    EXPECT_EQ(openFrame(opener, std::string("\xff\xff\xff\xff", 4)), wire_state::Bad);
}

}
}
