#include "coordination/rendezvous.h"
#include "coordination/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>

namespace briarhead {

namespace {

using names = std::vector<std::string>;

constexpr std::uint32_t batchLimit = 32;

/// Three servers of one base model, in the rendezvous order of adapter "a".
std::vector<server_view> threeServers(std::uint32_t first, std::uint32_t second, std::uint32_t third)
{
    const std::vector<std::uint32_t> loads{first, second, third};
    std::vector<server_view> servers;
    for (const auto &name : rendezvousOrder("a", {"s1", "s2", "s3"}, 0)) {
        server_view server{.name = name, .failureDomain = "d-" + name, .baseModel = "base"};
        server.hintedInFlight = loads[servers.size()];
        server.batchLimit = batchLimit;
        servers.push_back(server);
    }
    return servers;
}

route_query queryFor(std::vector<std::string> replicas = {})
{
    return {.adapter = {"a", 1}, .baseModel = "base", .failureDomain = "d", .replicas = std::move(replicas)};
}

/// How often each server is chosen in 200 tries.
std::map<std::string, int> countChoices(
    const route_query &query, const std::vector<server_view> &servers, double weight)
{
    std::mt19937_64 random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
        ++counts[chooseServer(query, servers, weight, routing_kind::Briarhead, random).value_or("none")];
    }
    return counts;
}

server_view randomServerView(const std::string &name)
{
    server_view server{.name = name};
    server.baseModel = *rc::gen::element<std::string>("base", "other");
    server.leaving = *rc::gen::arbitrary<bool>();
    server.unavailable = *rc::gen::arbitrary<bool>();
    server.sentHere = *rc::gen::inRange(0U, 80U);
    server.hintedInFlight = *rc::gen::inRange(0U, 80U);
    server.batchLimit = *rc::gen::inRange(0U, 64U);
    server.hintAge = {*rc::gen::inRange(0, 10'000)};
    return server;
}

constexpr std::array allKinds{
    routing_kind::Briarhead, routing_kind::Random, routing_kind::LeastLoaded, routing_kind::RendezvousLru};

}

RC_GTEST_PROP(Routing, EveryKindChoosesAnEligibleServerIfThereIsOne, ())
{
    std::vector<server_view> servers;
    for (const auto &name : *rc::gen::element(names{}, names{"s1"}, names{"s1", "s2", "s3", "s4", "s5"})) {
        servers.push_back(randomServerView(name));
    }
    auto query = queryFor(*rc::gen::element(names{}, names{"s1", "gone"}, names{"s2", "s3", "s4"}));
    query.tried = *rc::gen::element(names{}, names{"s2"}, names{"s1", "s3", "gone"});
    query.prefix = *rc::gen::inRange(0U, 4U);
    const auto isEligible = [&](const server_view &server) {
        return !server.leaving && !server.unavailable && server.baseModel == "base"
            && std::find(query.tried.begin(), query.tried.end(), server.name) == query.tried.end();
    };
    std::mt19937_64 random(1);
    for (const auto kind : allKinds) {
        const auto chosen = chooseServer(query, servers, *rc::gen::inRange(0, 11) / 10.0, kind, random);
        RC_ASSERT(chosen.has_value() == std::any_of(servers.begin(), servers.end(), isEligible));
        RC_ASSERT((!chosen || std::any_of(servers.begin(), servers.end(), [&](const auto &s) {
            return s.name == *chosen && isEligible(s);
        })));
    }
}

TEST(Routing, AnAdapterWithoutReplicasGoesToItsFirstServerUntilThatOneOverflows)
{
    auto servers = threeServers(batchLimit, 0, 0);
    EXPECT_EQ(countChoices(queryFor(), servers, 0.5)[servers[0].name], 200)
        << "waiting for a full batch is faster than a load";
    servers[0].hintedWaiting = batchLimit;
    EXPECT_EQ(countChoices(queryFor(), servers, 0.5)[servers[1].name], 200);
}

TEST(Routing, TheStallWeightChoosesBetweenFullBatchesAndEmptyServers)
{
    const auto servers = threeServers(16, 2, 0);
    const auto query = queryFor({servers[0].name, servers[1].name});
    EXPECT_EQ(countChoices(query, servers, 0)[servers[0].name], 200);
    EXPECT_EQ(countChoices(query, servers, 1)[servers[1].name], 200);
    const auto nearlyFull = threeServers(31, 2, 0);
    EXPECT_EQ(countChoices(query, nearlyFull, 0)[servers[0].name], 200) << "filled up to the last place";
    const auto full = threeServers(40, 2, 0);
    EXPECT_EQ(countChoices(query, full, 0)[servers[1].name], 200)
        << "a fuller server is preferred only while it has room";
}

TEST(Routing, APrefixStaysOnItsServerUntilThatOneIsClearlyFuller)
{
    auto servers = threeServers(8, 8, 8);
    auto query = queryFor({servers[0].name, servers[1].name, servers[2].name});
    query.prefix = 77;
    const auto counts = countChoices(query, servers, 1);
    ASSERT_EQ(counts.size(), 1U) << "one server per prefix";
    for (auto &server : servers) {
        server.hintedInFlight = server.name == counts.begin()->first ? 30 : 8;
    }
    EXPECT_EQ(countChoices(query, servers, 1).count(counts.begin()->first), 0U);
}

TEST(Routing, TheEntrysOwnFailureDomainDecidesNearTies)
{
    auto servers = threeServers(8, 9, 0);
    auto query = queryFor({servers[0].name, servers[1].name});
    query.failureDomain = servers[1].failureDomain;
    EXPECT_EQ(countChoices(query, servers, 1)[servers[1].name], 200);
}

TEST(Routing, AnOldHintFadesAndFirstHandCountsStay)
{
    server_view server{.sentHere = 4, .hintedInFlight = 32, .batchLimit = batchLimit};
    EXPECT_DOUBLE_EQ(expectedFill(server), 1);
    server.hintAge = millis{60'000};
    EXPECT_NEAR(expectedFill(server), 4.0 / batchLimit, 1e-6);
    server.hintAge = millis{0};
    server.sentSinceHint = 4;
    EXPECT_DOUBLE_EQ(expectedFill(server), 36.0 / batchLimit);
}

TEST(Routing, NamesOfKindsCanBeParsedBack)
{
    for (const auto kind : allKinds) {
        EXPECT_EQ(routingKindOf(nameOf(kind)), kind);
    }
    EXPECT_FALSE(routingKindOf("round_robin"));
}

}
