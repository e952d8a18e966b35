#include "transport/event_stream.h"
#include "transport/response_end.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace briarhead {

namespace {

http_head headWith(int status, std::vector<http_field> fields)
{
    http_head head;
    head.status = status;
    head.fields = std::move(fields);
    return head;
}

response_end endOf(body_framing framing, bool framingComplete, connection_end connection)
{
    response_end end = brokenEnd(connection);
    end.framing = framing;
    end.framingComplete = framingComplete;
    return end;
}

/// The events of a stream, each with the bytes that it takes with its line ends.
std::vector<std::string> drawEvents(const std::string &lineEnd)
{
    std::vector<std::string> events;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 1; i <= count; ++i) {
        std::string event;
        if (*rc::gen::inRange(0, 4) == 0) {
            event += ": comment" + lineEnd;
        }
        event += "id: " + std::to_string(i) + lineEnd;
        for (int line = *rc::gen::inRange(1, 4); line > 0; --line) {
            event +=
                "data: " + std::string(static_cast<std::size_t>(*rc::gen::inRange(0, 20)), 'x') + lineEnd;
        }
        events.push_back(event + lineEnd);
    }
    return events;
}

std::size_t countIds(const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = text.find("id: "); at != std::string::npos; at = text.find("id: ", at + 1)) {
        ++count;
    }
    return count;
}

}

/// Guards against a response that is taken for whole without a proof of its end.
TEST(ResponseEnd, OnlyLengthChunksAndHeadsWithoutABodyProveAResponse)
{
    for (const auto connection : {connection_end::Open, connection_end::Orderly, connection_end::Reset}) {
        for (const auto framing : {body_framing::None, body_framing::Length, body_framing::Chunked}) {
            EXPECT_EQ(resultOf(endOf(framing, true, connection)), send_result::Complete);
            EXPECT_EQ(resultOf(endOf(framing, false, connection)), send_result::Broken);
        }
    }
    EXPECT_EQ(
        resultOf(endOf(body_framing::Connection, false, connection_end::Orderly)), send_result::Unknown);
    for (const auto connection : {connection_end::Open, connection_end::Reset, connection_end::Timeout}) {
        EXPECT_EQ(resultOf(endOf(body_framing::Connection, false, connection)), send_result::Broken);
    }
    EXPECT_EQ(resultOf(unsentEnd()), send_result::NotSent);
}

/// Guards against half an event at the end of a response whose framing is complete.
TEST(ResponseEnd, AStreamThatEndsInsideAnEventIsBroken)
{
    for (const auto framing :
        {body_framing::None, body_framing::Length, body_framing::Chunked, body_framing::Connection}) {
        response_end end = endOf(framing, true, connection_end::Orderly);
        end.insideEvent = true;
        EXPECT_EQ(resultOf(end), send_result::Broken);
    }
}

/// Guards against a last chunk for a response of which nothing proves the end.
TEST(ResponseEnd, AnUnknownEndIsBrokenWhereTheCallerWasPromisedOne)
{
    response_end end = endOf(body_framing::Connection, false, connection_end::Orderly);
    end.endPromised = true;
    EXPECT_EQ(resultOf(end), send_result::Broken);
}

TEST(ResponseEnd, FramingFollowsTheHead)
{
    EXPECT_EQ(framingOf(headWith(200, {}), false), body_framing::Connection);
    EXPECT_EQ(framingOf(headWith(200, {{"content-length", "4"}}), false), body_framing::Length);
    EXPECT_EQ(framingOf(headWith(200, {{"Transfer-Encoding", "Chunked"}}), false), body_framing::Chunked);
    EXPECT_EQ(
        framingOf(headWith(200, {{"Transfer-Encoding", "gzip, chunked "}}), false), body_framing::Chunked);
    EXPECT_EQ(framingOf(headWith(200, {{"Transfer-Encoding", "gzip"}}), false), body_framing::Connection);
    EXPECT_EQ(framingOf(headWith(200, {}), true), body_framing::None);
    for (const int status : {100, 204, 304}) {
        EXPECT_EQ(framingOf(headWith(status, {}), false), body_framing::None);
    }
}

/// Guards against half events, whatever the line ends and wherever the stream is cut.
RC_GTEST_PROP(EventStream, PassesOnWholeEventsAlone, ())
{
    const std::string lineEnd = *rc::gen::element<std::string>("\n", "\r\n", "\r");
    const std::vector<std::string> events = drawEvents(lineEnd);
    std::string text = *rc::gen::inRange(0, 3) == 0 ? "\xEF\xBB\xBF" : "";
    std::vector<std::size_t> ends;
    for (const std::string &event : events) {
        text += event;
        ends.push_back(text.size());
    }
    const auto cut = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(text.size()) + 1));
    event_stream stream;
    std::string received;
    for (std::size_t at = 0; at < cut;) {
        const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
        received += extractEvents(stream, std::string_view(text).substr(at, std::min(size, cut - at)));
        at += size;
    }
    const auto whole =
        static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), [cut](std::size_t end) {
            return end <= cut;
        }));
    RC_ASSERT(countIds(received) == whole);
    RC_ASSERT(stream.lastId == (whole == 0 ? "" : std::to_string(whole)));
    RC_ASSERT(text.starts_with(received));
    RC_ASSERT(received + stream.partial == text.substr(0, cut));
    const bool betweenEvents = cut == 0 || std::find(ends.begin(), ends.end(), cut) != ends.end();
    RC_ASSERT(!betweenEvents || !isInsideEvent(stream));
    RC_ASSERT(canResume(stream));
}

TEST(EventStream, AnEventWithoutAnIdCannotBeResumedAfter)
{
    event_stream stream;
    EXPECT_EQ(extractEvents(stream, "id: 1\ndata: x\n\n"), "id: 1\ndata: x\n\n");
    EXPECT_TRUE(canResume(stream));
    EXPECT_EQ(extractEvents(stream, "data: y\n\n"), "data: y\n\n");
    EXPECT_FALSE(canResume(stream));
    EXPECT_EQ(extractEvents(stream, "id\ndata: z\n\n"), "id\ndata: z\n\n") << "an id without a value";
    EXPECT_FALSE(canResume(stream));
    EXPECT_EQ(extractEvents(stream, "id: 4\ndata: x\n\n"), "id: 4\ndata: x\n\n");
    EXPECT_TRUE(canResume(stream));
}

TEST(EventStream, CommentsArePassedOnAtOnceAndAreNoEvents)
{
    event_stream stream;
    EXPECT_EQ(extractEvents(stream, ": alive\n"), ": alive\n");
    EXPECT_FALSE(isInsideEvent(stream));
    EXPECT_FALSE(stream.anyEvent);
    EXPECT_EQ(extractEvents(stream, ": ali"), "");
    EXPECT_TRUE(isInsideEvent(stream));
}

}
