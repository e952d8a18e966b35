#include "transport/live_list.h"

#include "standins/run_until.h"
#include "transport/http_server.h"

#include <gtest/gtest.h>

namespace briarhead {
namespace {

/// A list service that sends the prepared response, with the client that polls it.
struct list_service
{
    loop events;
    http_client http{events};
    std::vector<std::string> queries;
    std::string response;
    int status = 200;
    std::unique_ptr<http_server> server;
    std::unique_ptr<live_list> list;

    list_service()
    {
        error why;
        const auto serve = [this](const http_request &request, const std::shared_ptr<http_reply> &reply) {
            queries.push_back(request.query.at("since") + '/' + request.query.at("region"));
            reply->respond(status, {}, response);
        };
        server = http_server::listen(events, "127.0.0.1", 0, 1'000'000, serve, why);
        EXPECT_TRUE(server) << message(why);
        list = std::make_unique<live_list>(
            events, http, "http://127.0.0.1:" + std::to_string(server->port()), "hr north");
    }

    bool poll(std::string body)
    {
        response = std::move(body);
        std::optional<bool> result;
        list->poll([&](const live_view &, bool ok) {
            result = ok;
        });
        EXPECT_TRUE(runUntil(events, [&] {
            return result.has_value();
        }));
        return result.value_or(false);
    }

    /// The names in the view, each with "-" if it is leaving or a space if not.
    std::string names() const
    {
        std::string names;
        for (const auto &[name, instance] : list->view().instances) {
            names += name + (instance.leaving ? "- " : " ");
        }
        return names;
    }
};

std::string item(const std::string &name, const std::string &moreFields = "")
{
    return R"({"name": ")" + name + R"(", "kind": "entry", "address": "127.0.0.1", "port": 9)" + moreFields
        + "}";
}

std::string responseOf(
    int revision, bool isFullList, const std::string &changed, const std::string &removed = "")
{
    return R"({"revision": )" + std::to_string(revision) + R"(, "whole": )" + (isFullList ? "true" : "false")
        + R"(, "changed": [)" + changed + R"(], "gone": [)" + removed + "]}";
}

TEST(live_list, appliesChangesAndFullLists)
{
    list_service service;
    EXPECT_TRUE(service.poll(responseOf(3, true, item("a") + ',' + item("b"))));
    EXPECT_EQ(service.names(), "a b ");
    EXPECT_TRUE(
        service.poll(responseOf(5, false, item("a", R"(, "leaving": true)") + ',' + item("c"), R"("b")")));
    EXPECT_EQ(service.names(), "a- c ");
    EXPECT_EQ(service.queries, (std::vector<std::string>{"0/hr north", "3/hr north"}));
    // Changes from a replica that lags behind are ignored.
    EXPECT_FALSE(service.poll(responseOf(4, false, item("b"))));
    EXPECT_EQ(service.names(), "a- c ");
    // A full list from a service that was set up anew is applied, without instances of an unknown kind.
    EXPECT_TRUE(service.poll(responseOf(1, true, item("d") + R"(, {"name": "x", "kind": "cache"})")));
    EXPECT_EQ(service.names(), "d ");
}

// The list service sends malformed or incomplete lists, or an error. The daemon must keep its current list:
// an empty or partial list would look like the loss of the fleet.
TEST(live_list, keepsItsViewAfterABadResponse)
{
    list_service service;
    ASSERT_TRUE(service.poll(responseOf(3, true, item("a"))));
    for (const std::string &body : {std::string(), std::string("{"), std::string("[]"), std::string("null"),
             std::string(R"({"revision": "4"})"), responseOf(4, true, R"({"kind": "entry"})"),
             responseOf(4, true, R"({"name": "b", "kind": "entry", "address": "127.0.0.1", "port": 70000})"),
             responseOf(4, true, "7"), responseOf(4, false, item("b"), "7")}) {
        EXPECT_FALSE(service.poll(body)) << body;
    }
    service.status = 500;
    EXPECT_FALSE(service.poll(responseOf(4, true, item("b"))));
    EXPECT_EQ(service.names(), "a ");
    EXPECT_EQ(service.list->view().revision, 3U);
}

}
}
