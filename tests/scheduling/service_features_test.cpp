#include "scheduling/service_features.h"

#include "protocol/codec.h"
#include "scheduling/slot_queue.h"

#include <gtest/gtest.h>

namespace briarhead {

namespace {

serving_config configOf(const std::vector<route> &routes, bool withEngine)
{
    serving_config config;
    config.routes = routes;
    service_spec service{"llm", 0, std::nullopt};
    if (withEngine) {
        service.engine = engine_spec{};
    }
    config.services["llm"] = service;
    return config;
}

route routeOf(int rank, millis target, millis timeout, millis maxGap)
{
    route result;
    result.rank = rank;
    result.target = target;
    result.timeout = timeout;
    result.maxGap = maxGap;
    result.services = {{"llm", 1}};
    return result;
}

}

// Guards against features that are on where the configuration doesn't call for them: such a deployment must
// be served as before.
TEST(ServiceFeatures, PlainConfigurationSwitchesNothingOnForModelServers)
{
    const auto features =
        featuresOf(configOf({routeOf(1, millis{1'000}, millis{1'500}, {})}, true)).at("llm");
    EXPECT_FALSE(anyFeature(features));
    EXPECT_EQ(namesOf(features), "");
}

TEST(ServiceFeatures, RoutesSwitchOnWhatTheyState)
{
    const serving_config config = configOf(
        {routeOf(0, millis{800}, millis{4'000}, millis{400}), routeOf(2, millis{1'000}, millis{1'500}, {})},
        true);
    EXPECT_EQ(namesOf(featuresOf(config).at("llm")), "route_ranks gap_prediction");
    EXPECT_FALSE(limitsByRank(config));
}

TEST(ServiceFeatures, LimitsGoByRankWhereAccountsHaveLimits)
{
    serving_config config = configOf(
        {routeOf(0, millis{1'000}, millis{1'500}, {}), routeOf(1, millis{1'000}, millis{1'500}, {})}, true);
    config.accounts.resize(2);
    EXPECT_FALSE(limitsByRank(config));
    config.accounts[0].limit.rate = 10;
    EXPECT_TRUE(limitsByRank(config));
}

// Guards against a newer daemon's request that an older build's defaults or a newer build's unknown fields
// change: both builds run in one fleet during a release.
TEST(SlotTerms, UnknownTagsAreSkippedAndMissingOnesHaveDefaults)
{
    const slot_terms defaults = decodeTerms({});
    EXPECT_EQ(defaults.maxGap, millis{});
    EXPECT_EQ(defaults.routeRank, noRouteRank);
    EXPECT_TRUE(encodeTerms(defaults).empty());
    slot_terms sent{millis{400}, 2};
    optional_fields fields = encodeTerms(sent);
    fields.push_back({9'999, 5});
    error why;
    const auto got = decodeFleetDatagram(
        encode(fleet_datagram{"n", 1, extended_slot_request{slot_request{"id"}, fields}}), why);
    ASSERT_TRUE(got) << message(why);
    const slot_terms terms = decodeTerms(std::get<extended_slot_request>(got->body).fields);
    EXPECT_EQ(terms.maxGap, sent.maxGap);
    EXPECT_EQ(terms.routeRank, 2);
}

// Guards against an account's rank hiding those of its routes: all its requests would be equally urgent, and
// its summaries would take the room of its urgent reviews.
TEST(CombinedRank, RoutesDecideAmongRequestsOfOneAccountsRank)
{
    EXPECT_LT(combinedRank(1, 0), combinedRank(1, 2));
    EXPECT_LT(combinedRank(0, 9), combinedRank(1, 0)) << "the account's rank takes precedence";
    EXPECT_EQ(combinedRank(1, noRouteRank), combinedRank(1, 1)) << "an older build states one rank";
    EXPECT_EQ(combinedRank(1, 50), combinedRank(1, 9));
}

// Guards against values of a corrupted or foreign message that would reverse an order.
TEST(SlotTerms, ImpossibleValuesBecomeDefaults)
{
    const slot_terms terms = decodeTerms({{1, -1}, {2, -5}});
    EXPECT_EQ(terms.maxGap, millis{});
    EXPECT_EQ(terms.routeRank, noRouteRank);
    EXPECT_EQ(decodeTerms({{2, 1'000'000'000'000}}).routeRank, 9);
}

}
