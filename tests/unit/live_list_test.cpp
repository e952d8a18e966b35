#include "transport/live_list.h"

#include "standins/run_until.h"
#include "transport/http_server.h"

#include <gtest/gtest.h>

namespace briarhead {
namespace {

/// A list service that gives one prepared answer after the other.
struct list_service
{
    loop events;
    http_client http{events};
    std::vector<std::string> queries;
    std::string answer;
    int status = 200;
    std::unique_ptr<http_server> server;
    std::unique_ptr<live_list> list;

    list_service()
    {
        error why;
        const auto serve = [this](const http_request &request, const std::shared_ptr<http_reply> &reply) {
            queries.push_back(request.query.at("since") + '/' + request.query.at("region"));
            reply->respond(status, {}, answer);
        };
        server = http_server::listen(events, "127.0.0.1", 0, 1'000'000, serve, why);
        EXPECT_TRUE(server) << message(why);
        list = std::make_unique<live_list>(
            events, http, "http://127.0.0.1:" + std::to_string(server->port()), "hr north");
    }

    bool poll(std::string next)
    {
        answer = std::move(next);
        std::optional<bool> result;
        list->poll([&](const live_view &, bool ok) {
            result = ok;
        });
        EXPECT_TRUE(runUntil(events, [&] {
            return result.has_value();
        }));
        return result.value_or(false);
    }

    std::string names() const
    {
        std::string all;
        for (const auto &[name, instance] : list->view().instances) {
            all += name + (instance.leaving ? "- " : " ");
        }
        return all;
    }
};

std::string line(const std::string &name, const std::string &rest = "")
{
    return R"({"name": ")" + name + R"(", "kind": "entry", "address": "127.0.0.1", "port": 9)" + rest + "}";
}

std::string answerOf(int revision, bool whole, const std::string &changed, const std::string &gone = "")
{
    return R"({"revision": )" + std::to_string(revision) + R"(, "whole": )" + (whole ? "true" : "false")
        + R"(, "changed": [)" + changed + R"(], "gone": [)" + gone + "]}";
}

TEST(live_list, followsDifferences)
{
    list_service service;
    EXPECT_TRUE(service.poll(answerOf(3, true, line("a") + ',' + line("b"))));
    EXPECT_EQ(service.names(), "a b ");
    EXPECT_TRUE(
        service.poll(answerOf(5, false, line("a", R"(, "leaving": true)") + ',' + line("c"), R"("b")")));
    EXPECT_EQ(service.names(), "a- c ");
    EXPECT_EQ(service.queries, (std::vector<std::string>{"0/hr north", "3/hr north"}));
    // A replica that is behind; a service that was set up anew; a kind of a later platform.
    EXPECT_FALSE(service.poll(answerOf(4, false, line("b"))));
    EXPECT_EQ(service.names(), "a- c ");
    EXPECT_TRUE(service.poll(answerOf(1, true, line("d") + R"(, {"name": "x", "kind": "cache"})")));
    EXPECT_EQ(service.names(), "d ");
}

// The list service answers with rubbish, in part or with an error. The daemon goes on with the list that it
// has: an empty or half list would look like the loss of the fleet.
TEST(live_list, keepsItsViewAfterABadAnswer)
{
    list_service service;
    ASSERT_TRUE(service.poll(answerOf(3, true, line("a"))));
    for (const std::string &bad : {std::string(), std::string("{"), std::string("[]"), std::string("null"),
             std::string(R"({"revision": "4"})"), answerOf(4, true, R"({"kind": "entry"})"),
             answerOf(4, true, R"({"name": "b", "kind": "entry", "address": "127.0.0.1", "port": 70000})"),
             answerOf(4, true, "7"), answerOf(4, false, line("b"), "7")}) {
        EXPECT_FALSE(service.poll(bad)) << bad;
    }
    service.status = 500;
    EXPECT_FALSE(service.poll(answerOf(4, true, line("b"))));
    EXPECT_EQ(service.names(), "a ");
    EXPECT_EQ(service.list->view().revision, 3U);
}

}
}
