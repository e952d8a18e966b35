#include "failure/fleet.h"
#include "failure/load.h"

#include <gtest/gtest.h>

#include <thread>

using namespace briarhead::testing;

namespace {

const std::vector<std::string> callerHeaders{
    "Authorization: Bearer " + fleet::callerKey, "Content-Type: application/json"};

}

TEST(Path, EveryEntryAnswersOnTheRightAdapterAndVersion)
{
    fleet all;
    std::vector<told> answers;
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        for (int i = 0; i < 6; ++i) {
            answers.push_back(ask(all, daemon, "a" + std::to_string(i), 4));
            EXPECT_EQ(answers.back().outcome, "done") << answers.back().code;
            EXPECT_EQ(answers.back().adapter, "a" + std::to_string(i) + ":1");
        }
    }
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

TEST(Path, StreamsChatServicesAndModelsAreServed)
{
    fleet all;
    const json chat{{"model", "a1"}, {"stream", true}, {"max_tokens", 3},
        {"messages", json::array({{{"role", "user"}, {"content", "hello"}}})}};
    const answer streamed = call("POST", all.url(1) + "/v1/chat/completions", chat.dump(), callerHeaders);
    EXPECT_EQ(streamed.status, 200);
    EXPECT_TRUE(streamed.whole);
    EXPECT_NE(streamed.body.find("data: [DONE]"), std::string::npos);
    EXPECT_NE(streamed.body.find("\"delta\""), std::string::npos);

    const answer order = call("POST", all.url(2) + "/orders/7", "{\"meal\":\"halal\"}", callerHeaders);
    EXPECT_EQ(order.status, 201);

    const answer models = call("GET", all.url(0) + "/v1/models", "", callerHeaders);
    EXPECT_EQ(models.parsed()["data"].size(), 50U);
}

TEST(Path, BadInputGetsAClearErrorAndNothingBreaks)
{
    fleet all;
    const std::string url = all.url(0) + "/v1/completions";
    const auto codeOf = [](const answer &got) {
        return got.parsed().is_object() ? got.parsed()["error"].value("code", "") : got.body;
    };
    EXPECT_EQ(codeOf(call("POST", url, "{broken", callerHeaders)), "bad_request");
    EXPECT_EQ(codeOf(call("POST", url, "{\"model\":\"nobody\"}", callerHeaders)), "unknown_adapter");
    EXPECT_EQ(codeOf(call("POST", url, "{\"model\":\"a1:9\"}", callerHeaders)), "unknown_adapter");
    EXPECT_EQ(call("POST", url, "{\"model\":\"a1\"}", {"Authorization: Bearer wrong"}).status, 401);
    EXPECT_EQ(call("POST", url, std::string(2'000'000, 'x'), callerHeaders).status, 413);
    EXPECT_EQ(codeOf(all.complete(0, "a1", "x", 1, {"X-Deadline-Ms: soon"})), "bad_request");
    EXPECT_EQ(call("GET", all.url(0) + "/nowhere", "", callerHeaders).status, 404);
    EXPECT_EQ(call("GET", all.url(0) + "/admin/servers", "", callerHeaders).status, 401);
    EXPECT_EQ(
        all.patch({{"adapters", {{"b", {{"base_model", "base"}, {"active", 3}, {"versions", {1}}}}}}}, 1)
            .status,
        400);
    EXPECT_EQ(ask(all, 0, "a1", 2).outcome, "done");
}

// An operator moves an adapter to another version. Callers that come after the version is in force must get
// the new one; requests admitted before keep theirs. The cause of a fault would be an entry or an engine's
// slot that still holds the old version under the same name.
TEST(Path, ANewVersionIsUsedOnceItIsInForce)
{
    fleet all;
    std::vector<told> answers{ask(all, 0, "a1", 4)};
    ASSERT_EQ(
        all.patch({{"adapters", {{"a1", {{"base_model", "base"}, {"active", 2}, {"versions", {1, 2}}}}}}}, 1)
            .status,
        200);
    for (std::size_t daemon = 0; daemon < all.size(); ++daemon) {
        ASSERT_TRUE(eventually([&] {
            return all.version(daemon) == 2;
        }));
        answers.push_back(ask(all, daemon, "a1", 4));
        EXPECT_EQ(answers.back().adapter, "a1:2");
    }
    EXPECT_EQ(faultsIn(all, answers), std::vector<std::string>{});
}

// An engine answers from another version than it was asked for (its slots got mixed up). The caller must not
// see a byte of that answer. The cause is the engine; the guard is the check of its word before the first
// byte goes out.
TEST(Path, AnAnswerFromTheWrongVersionIsNeverPassedOn)
{
    fleet all;
    ASSERT_EQ(ask(all, 0, "a1", 2).outcome, "done");
    for (const std::string &engine : all.engines()) {
        all.faults(engine, {{"run_as", "a1:2"}});
    }
    const answer got = all.complete(0, "a1", "hello", 4);
    EXPECT_NE(got.status, 200);
    EXPECT_EQ(got.body.find("a1:2"), std::string::npos) << got.body;
}

// A caller's query holds a space, '&' and a percent sign. The service must get the very same text; sent on
// decoded, the call would break or mean something else. The cause is that the HTTP server hands out decoded
// text.
TEST(Path, AServicesPathAndQueryArriveUnchanged)
{
    fleet all;
    const answer order =
        call("POST", all.url(0) + "/orders/7%20a?note=halal%20%26%20100%25&x=1", "{}", callerHeaders);
    EXPECT_EQ(order.status, 201) << order.body;
    EXPECT_EQ(order.parsed().value("path", ""), "/orders/7 a") << order.body;
}

// A plain server turned calls away and asked for a pause, and said that it leaves: it got the next call at
// once.
TEST(Path, APlainServerThatAsksForAPauseOrLeavesIsSpared)
{
    fleet all;
    const std::string server =
        "http://127.0.0.1:" + std::to_string(all.ports()["services"]["orders-1"].get<int>());
    const auto setFaults = [&server](const json &faults) {
        call("POST", server + "/standin/faults", faults.dump());
    };
    const auto order = [&all] {
        return call("POST", all.url(0) + "/orders/7", "{}", callerHeaders);
    };
    const auto arrived = [&server] {
        return call("GET", server + "/standin/record").parsed().value("entries", json::array()).size();
    };
    setFaults({{"refuse", true}, {"words", {{"Retry-After", "1.5"}}}});
    EXPECT_EQ(order().status, 503);
    const std::size_t before = arrived();
    const answer refused = order();
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.outcome(), "not_run");
    EXPECT_EQ(arrived(), before);
    setFaults({{"refuse", false}, {"words", {{"X-Leaving", "1"}}}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1'600));
    EXPECT_EQ(order().status, 201) << "a pause ends by itself";
    const std::size_t served = arrived();
    EXPECT_EQ(order().status, 503);
    EXPECT_EQ(arrived(), served);
}
