#include "protocol/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace briarhead {
namespace {

peer_datagram fullDatagram()
{
    peer_datagram datagram;
    datagram.kind = probe_kind::Ack;
    datagram.from = "entry-0001";
    datagram.incarnation = 1'790'000'000'000;
    datagram.sequence = 70'000;
    datagram.target = "entry-0002";
    datagram.configVersion = 123'456;
    for (std::size_t i = 0; i < maxFactsPerDatagram; ++i) {
        datagram.facts.push_back(
            {"entry-100" + std::to_string(i), 1'790'000'000'000, peer_state::Suspect, 1});
    }
    datagram.introductions.push_back(
        {"entry-0003", 1'790'000'000'001, "vz-centar", "10.20.30.40", 8081, 8080});
    return datagram;
}

run_end fullRunEnd()
{
    return {{"entry-1", 7, 9}, outcome::Unknown, error_kind::LoadFailed, "detail", -5, "entry-2",
        {"gpu-1", 3, 2, 8, 1}, {"gpu-1", "gpu-2"}};
}

// Guards against an enumerator that is added without updating lastOf(): slot responses with that reason are
// dropped as unreadable, and the entry never gets a response.
TEST(codec, decodesEachRefusalReasonAndSlotEvent)
{
    using enum refusal;
    for (const refusal reason :
        {None, TooBusy, NoSlot, NotOwner, ServerLeaving, ModelNotLoaded, LoadTooSlow, Limited}) {
        error why;
        const slot_response sent{"id", "s", slot_decision::Refused, reason, 3, 250, 1'500};
        const auto got = decodeFleetDatagram(encode(fleet_datagram{"n", 1, sent}), why);
        ASSERT_TRUE(got) << nameOf(reason) << ": " << message(why);
        EXPECT_EQ(std::get<slot_response>(got->body).why, reason);
        EXPECT_EQ(std::get<slot_response>(got->body).limitMilli, 1'500);
    }
    for (const slot_event event : {slot_event::FirstToken, slot_event::Ended, slot_event::AdapterNotLoaded,
             slot_event::Failed, slot_event::NotSent}) {
        error why;
        const auto got =
            decodeFleetDatagram(encode(fleet_datagram{"n", 1, slot_report{"id", "s", event}}), why);
        ASSERT_TRUE(got) << static_cast<int>(event) << ": " << message(why);
        EXPECT_EQ(std::get<slot_report>(got->body).event, event);
    }
}

TEST(codec, decodedMessageHasTheFieldsThatWereSent)
{
    error why;
    const run_end sent = fullRunEnd();
    const auto decoded = decodePeerMessage(encode(peer_message(sent)), why);
    ASSERT_TRUE(decoded) << message(why);
    const auto &got = std::get<run_end>(*decoded);
    EXPECT_EQ(got.id, sent.id);
    EXPECT_EQ(got.result, sent.result);
    EXPECT_EQ(got.why, sent.why);
    EXPECT_EQ(got.retryAfterMs, sent.retryAfterMs);
    EXPECT_EQ(got.hint.batchLimit, sent.hint.batchLimit);
    EXPECT_EQ(got.replicas, sent.replicas);
}

TEST(codec, fullDatagramTakesAtMost300Bytes)
{
    error why;
    const std::string bytes = encode(fullDatagram());
    EXPECT_LE(bytes.size(), 300U);
    const auto decoded = decodePeerDatagram(bytes, why);
    ASSERT_TRUE(decoded) << message(why);
    EXPECT_EQ(encode(*decoded), bytes);
    EXPECT_EQ(decoded->introductions.front().failureDomain, "vz-centar");
}

RC_GTEST_PROP(
    codec, decodesAnyRequestUnchanged, (const std::string &body, std::int64_t deadline, std::uint64_t prefix))
{
    run_request request;
    request.body = body;
    request.deadlineMs = deadline;
    request.prefix = prefix;
    error why;
    const auto decoded = decodePeerMessage(encode(peer_message(request)), why);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(std::get<run_request>(*decoded).body == body);
    RC_ASSERT(std::get<run_request>(*decoded).deadlineMs == deadline);
    RC_ASSERT(std::get<run_request>(*decoded).prefix == prefix);
}

// Guards against a daemon that crashes, or handles a request that was never sent, after it received a
// truncated or corrupted datagram. Input is either exactly one message or rejected with a reason.
TEST(codec, rejectsTruncatedMessagesAndExtraBytes)
{
    const std::string datagram = encode(fullDatagram());
    const std::string frame = encode(peer_message(fullRunEnd()));
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        error why;
        EXPECT_FALSE(decodePeerDatagram(datagram.substr(0, size), why));
        EXPECT_EQ(why.kind, error_kind::BadFrame);
    }
    for (std::size_t size = 0; size < frame.size(); ++size) {
        error why;
        EXPECT_FALSE(decodePeerMessage(frame.substr(0, size), why));
    }
    error why;
    EXPECT_FALSE(decodePeerDatagram(datagram + '\0', why));
    EXPECT_FALSE(decodePeerMessage(frame + '\0', why));
}

RC_GTEST_PROP(codec, decodesRandomBytesWithoutCrash, (const std::vector<char> &bytes))
{
    const std::string_view input(bytes.data(), bytes.size());
    error why;
    if (const auto decoded = decodePeerMessage(input, why)) {
        RC_ASSERT(decodePeerMessage(encode(*decoded), why).has_value());
    }
    if (const auto decoded = decodePeerDatagram(input, why)) {
        RC_ASSERT(decodePeerDatagram(encode(*decoded), why).has_value());
    }
}

RC_GTEST_PROP(codec, decodesCorruptedBytesWithoutCrash, ())
{
    std::string bytes = encode(peer_message(fullRunEnd()));
    const auto index = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[index] = *rc::gen::arbitrary<char>();
    error why;
    (void)decodePeerMessage(bytes, why);
    std::string datagram = encode(fullDatagram());
    datagram[index % datagram.size()] = *rc::gen::arbitrary<char>();
    (void)decodePeerDatagram(datagram, why);
}

// Guards against a daemon that is killed for exhausting memory: a corrupt length claims exabytes, and the
// decoder allocates them before it looks for the bytes. Lengths must be checked against the bytes that are
// there.
TEST(codec, rejectsLengthsBeyondTheInput)
{
    const std::string huge("\xff\xff\xff\xff\xff\xff\xff\xff\x7f", 9);
    const std::string runBytes = encode(peer_message(run_bytes{}));
    const std::string response = encode(peer_message(config_response{}));
    error why;
    EXPECT_FALSE(decodePeerMessage(runBytes.substr(0, runBytes.size() - 1) + huge, why));
    EXPECT_FALSE(decodePeerMessage(response.substr(0, response.size() - 1) + huge, why));
    // An element of this list, a pair of empty strings, takes two bytes in encoded form and far more in
    // memory.
    const std::string tooManyElements("\x81\x80\x04", 3);
    static_assert(maxListElements == 0x10000);
    const std::string pairs(2 * (maxListElements + 1), '\0');
    EXPECT_FALSE(decodePeerMessage(response.substr(0, response.size() - 1) + tooManyElements + pairs, why));
}

// A peer of another release sends an error kind that this release does not know. If it were accepted, it
// would index the table of error texts past its end.
TEST(codec, rejectsUnknownEnumeratorsAndDatagramsBeyondTheLimits)
{
    run_end sent = fullRunEnd();
    sent.why = static_cast<error_kind>(200);
    error why;
    EXPECT_FALSE(decodePeerMessage(encode(peer_message(sent)), why));
    peer_datagram datagram = fullDatagram();
    datagram.facts.front().state = static_cast<peer_state>(9);
    EXPECT_FALSE(decodePeerDatagram(encode(datagram), why));
    datagram = fullDatagram();
    datagram.from.clear();
    EXPECT_FALSE(decodePeerDatagram(encode(datagram), why));
    datagram = fullDatagram();
    datagram.facts.resize(maxFactsPerDatagram + 1, datagram.facts.front());
    EXPECT_FALSE(decodePeerDatagram(encode(datagram), why));
}

}
}
