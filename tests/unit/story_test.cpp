#include "ctl/story.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

const std::string log = R"(noise
{"t":900,"event":"server.draining","node":"n2","server":"s9"}
{"t":1000,"event":"request.accepted","node":"n1","id":"r1","config":4}
   1.0 n1 {"t":1003,"event":"request.sent","node":"n1","id":"r1","server":"s1"}
{"t":990,"event":"server.draining","node":"n1","server":"s1"}
{"t":1050,"event":"request.broken","node":"n1","id":"r1","server":"s1","why":"reset"}
{"t":1051,"event":"request.ended","node":"n1","id":"r1","outcome":"failed"}
{"t":1052,"event":"request.ended","node":"n1","id":"r2","outcome":"served"}
)";

}

// An on-call engineer has the id of a failed request and the logs of some instances. The story has the lines
// of the request sorted by time, and those about the servers that it was sent to.
TEST(Story, IncludesLinesOfTheRequestAndItsServersInTimeOrder)
{
    const request_story story = tellStory(log, "r1");
    ASSERT_EQ(story.lines.size(), 5U);
    EXPECT_EQ(story.lines[0].event, "server.draining");
    EXPECT_NE(story.lines[0].fields.find("s1"), std::string::npos);
    EXPECT_EQ(story.lines.back().event, "request.ended");
    EXPECT_TRUE(story.missing.empty());
    EXPECT_NE(storyText(story).find("60 ms  n1  request.broken"), std::string::npos);
}

TEST(Story, ReportsMissingAndDroppedLines)
{
    EXPECT_FALSE(tellStory(log, "r3").missing.empty());
    const request_story incomplete =
        tellStory(R"({"t":1,"event":"request.accepted","node":"n1","id":"r1","lines_dropped":7})", "r1");
    ASSERT_EQ(incomplete.missing.size(), 2U);
    EXPECT_NE(incomplete.missing[0].find("request.ended"), std::string::npos);
    EXPECT_NE(incomplete.missing[1].find("7 lines"), std::string::npos);
}

}
