#include "serving/account_check.h"
#include "serving/edge_fixture.h"
#include "state/key_hash.h"

#include <rapidcheck/gtest.h>

namespace briarhead {

namespace {

using json = nlohmann::json;

json account(const std::string &name, const std::vector<std::string> &keys)
{
    return {{"name", name}, {"apiKeys", keys}};
}

std::string fieldAt(const front_request &request, const char *name)
{
    const std::string *value = findField(request.head, name);
    return value == nullptr ? std::string("(none)") : *value;
}

std::optional<serving_config> configWith(const json &accounts, error &why)
{
    const json config{{"version", 1},
        {"routes", {{{"name", "r"}, {"host", "h"}, {"prefix", "/r/"}, {"service", "app"}}}},
        {"services", {{{"name", "app"}}}}, {"tenants", accounts}};
    return platform::readConfig(config.dump(), why);
}

class account_test : public edge_test
{
protected:
    void expectServersSawNoAccount() const
    {
        for (const auto &server : m_plain) {
            for (const front_request &each : server->ran) {
                EXPECT_EQ(fieldAt(each, "x-briarhead-tenant"), "(none)");
                EXPECT_EQ(fieldAt(each, "x-briarhead-credential"), "(none)");
            }
        }
    }
    /// Asks until the answer has a status, with pauses; the answers that it had before.
    std::size_t triesUntil(const std::string &path, const std::string &status)
    {
        constexpr std::size_t most = 200;
        for (std::size_t tries = 0; tries < most; ++tries) {
            if (statusOf(answerTo(path)) == status) {
                return tries;
            }
            runRounds(50);
        }
        ADD_FAILURE() << "never answered " << status;
        return most;
    }
};

}

TEST_F(account_test, AKeyOfAnAccountLetsItsCallerIn)
{
    m_accounts = json::array({account("ana", {"k1", "k2"})});
    m_key = "k2";
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
}

TEST_F(account_test, AMissingOrUnknownKeyIsRefusedAtOnceAndRunsNowhere)
{
    m_accounts = json::array({account("ana", {"k1"})});
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "401");
    m_key = "k1x";
    EXPECT_EQ(statusOf(answerTo("/once/x")), "401");
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "401");
    EXPECT_EQ(ranOn(m_plain) + ranOn(m_models), 0U);
}

// A caller's key is passed on to a server, or the caller names another account than its own: whoever reads
// the server's log could use the key, or would bill the wrong account. A server gets the account and never
// the key.
TEST_F(account_test, ServersGetTheAccountAndNeverTheKey)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_key = "k1";
    m_fields = {{"x-briarhead-tenant", "eva"}, {"Connection", "X-Briarhead-Tenant"}};
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
    EXPECT_EQ(statusOf(answerTo("/gen/x", "a1")), "200");
    EXPECT_EQ(statusOf(answerTo("/open/x")), "200");
    for (const auto *servers : {&m_plain, &m_models}) {
        for (const auto &server : *servers) {
            for (const front_request &each : server->ran) {
                EXPECT_EQ(fieldAt(each, "x-briarhead-tenant"), "ana");
                EXPECT_EQ(fieldAt(each, "x-briarhead-credential"), "(none)");
            }
        }
    }
}

TEST_F(account_test, AnOpenRouteNeedsNoKeyAndNamesNoAccount)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_fields = {{"X-Briarhead-Tenant", "ana"}};
    start();
    EXPECT_EQ(statusOf(answerTo("/open/x")), "200");
    m_key = "nobody's";
    EXPECT_EQ(statusOf(answerTo("/open/x")), "200");
    expectServersSawNoAccount();
}

TEST_F(account_test, AConfigurationWithoutAccountsAsksForNoKeyAndPassesNoneOn)
{
    m_key = "k1";
    m_fields = {{"X-Briarhead-Tenant", "ana"}};
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
    expectServersSawNoAccount();
}

// An operator takes a key away. The daemon hears of it as of any change, and from then on the key opens
// nothing.
TEST_F(account_test, AWithdrawnKeyOpensNothingOnceTheVersionIsInForce)
{
    m_accounts = json::array({account("ana", {"k1", "k2"})});
    m_key = "k1";
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
    m_accounts = json::array({account("ana", {"k2"})});
    putConfig(2);
    triesUntil("/once/x", "401");
    m_key = "k2";
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
}

// The store's item with the configuration is kept and passed on to other daemons. They get hashes: nothing
// that one daemon tells another holds a key.
TEST_F(account_test, WhatDaemonsKeepAndTellOfAConfigurationHoldsNoKey)
{
    m_accounts = json::array({account("ana", {"very-secret-key"})});
    start();
    const auto peer = http_testing::raw_socket::connectTo(m_settings.peers.port);
    peer->send("GET /news?after=0 HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n");
    std::string seen;
    EXPECT_TRUE(runUntil([&] {
        return !peer->receive(seen);
    }));
    EXPECT_EQ(seen.find("very-secret-key"), std::string::npos);
    const std::string hidden = platform::hashAccountKeys(m_store.items["op/config"].value);
    EXPECT_EQ(hidden.find("very-secret-key"), std::string::npos);
    error why;
    const auto config = platform::readConfig(hidden, why);
    ASSERT_TRUE(config) << message(why);
    EXPECT_EQ(config->accountOfKey.count(keyHash("very-secret-key")), 1U);
    EXPECT_EQ(platform::hashAccountKeys(R"({"apiKeys": ["half of a)"), "");
}

// A daemon that hears of no changes can't know whether keys were withdrawn. Where the operator asks for it,
// it refuses what needs a key; what needs none goes on.
TEST_F(account_test, WhereStrictADaemonThatCantKnowOfWithdrawnKeysRefusesThem)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_key = "k1";
    m_settings.strictWithdrawal = true;
    m_settings.withdrawnKnown = millis{3'000};
    start();
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
    m_client.fault = store_fault::RefusesCalls;
    triesUntil("/once/x", "503");
    EXPECT_EQ(statusOf(answerTo("/open/x")), "200");
    m_client.fault = store_fault::None;
    triesUntil("/once/x", "200");
}

// An account has used up its limit. Its next request is told so at once, with when to come back, and runs
// nowhere; another account's is served.
TEST_F(account_test, AnAccountOverItsLimitIsToldSoAndAnotherOneIsServed)
{
    json ana = account("ana", {"k1"});
    ana["ratePerS"] = 0.01;
    ana["burst"] = 1;
    m_accounts = json::array({ana, account("eva", {"k2"})});
    m_settings.quota = {millis{8'000}, 0, 0};
    m_key = "k1";
    start();
    triesUntil("/once/x", "429");
    const std::string last = answerTo("/once/x");
    EXPECT_EQ(statusOf(last), "429");
    EXPECT_NE(last.find("Retry-After: "), std::string::npos);
    EXPECT_LE(ranOn(m_plain), 1U); // its burst
    m_key = "k2";
    EXPECT_EQ(statusOf(answerTo("/once/x")), "200");
}

TEST(Accounts, AnAccountsRankGoesBeforeItsRoutes)
{
    route way;
    way.rank = 2;
    client_account ana;
    EXPECT_EQ(rankOf(way, nullptr), 2);
    EXPECT_EQ(rankOf(way, &ana), 2);
    ana.rank = 0;
    EXPECT_EQ(rankOf(way, &ana), 0);
}

// Tokens are counted as announced; a request that announces none counts as a plain one, and one of whose
// numbers one can't be read counts by the other.
TEST(Accounts, ARequestCountsWhatItAnnounces)
{
    const auto costWith = [](const std::vector<http_field> &tokens) {
        front_request raw;
        raw.head.method = "POST";
        raw.head.target = "/r/x";
        raw.head.fields = {{"Host", "h"}, {"X-Briarhead-Request-Id", "id"}};
        raw.head.fields.insert(raw.head.fields.end(), tokens.begin(), tokens.end());
        client_account ana;
        ana.countsTokens = true;
        ana.plainTokens = 200;
        error why;
        return costOf(ana, *platform::requestCodec().readRequest(raw, why));
    };
    EXPECT_EQ(costWith({}), 200);
    EXPECT_EQ(costWith({{"X-Briarhead-Token-Count", "1460,80"}}), 1'540);
    EXPECT_EQ(costWith({{"X-Briarhead-Token-Count", "1460"}}), 1'460);
    EXPECT_EQ(costWith({{"X-Briarhead-Token-Count", "x,80"}}), 80);
    EXPECT_EQ(costWith({{"X-Briarhead-Token-Count", "x,y"}}), 200);
    EXPECT_EQ(costWith({{"X-Briarhead-Token-Count", "-5,80"}}), 80);
    EXPECT_LE(costWith({{"X-Briarhead-Token-Count", "99999999999999999999,1"}}), 1'000'000'001);
    client_account byRequests;
    EXPECT_EQ(costOf(byRequests, {}), 1);
}

TEST(Accounts, TwoKeysInOneRequestAreRefusedWithTheRemedy)
{
    front_request raw;
    raw.head.method = "GET";
    raw.head.target = "/r/x";
    raw.head.fields = {{"Host", "h"}, {"X-Briarhead-Request-Id", "id"}, {"X-Briarhead-Credential", "a"},
        {"x-briarhead-credential", "a"}};
    error why;
    EXPECT_FALSE(platform::requestCodec().readRequest(raw, why));
    EXPECT_NE(message(why).find("send one"), std::string::npos) << message(why);
}

TEST(Accounts, AnUnusableAccountIsNamedWithTheRemedy)
{
    const auto whyNot = [](const json &accounts) {
        error why;
        return configWith(accounts, why) ? std::string() : message(why);
    };
    const json named{{"name", "ana"}};
    json wrong = named;
    wrong["ratePerS"] = -1;
    EXPECT_NE(whyNot(json::array({wrong})).find("ana"), std::string::npos);
    wrong["ratePerS"] = "many";
    EXPECT_NE(whyNot(json::array({wrong})).find("rate"), std::string::npos);
    EXPECT_NE(whyNot(json::array({json{{"apiKeys", {"k"}}}})).find("no name"), std::string::npos);
    EXPECT_NE(whyNot(json::array({named, named})).find("two accounts"), std::string::npos);
    json unlimited = named;
    unlimited["ratePerS"] = 0;
    unlimited["apiKeys"] = json::array();
    EXPECT_EQ(whyNot(json::array({unlimited})), "");
    unlimited["ratePerS"] = 1e300;
    EXPECT_EQ(whyNot(json::array({unlimited})), "");
}

// A key stands with two accounts. The configuration stays usable, the key counts for the first, and the
// operator is told.
TEST(Accounts, AKeyThatTwoAccountsHoldCountsForTheFirst)
{
    error why;
    const auto config = configWith(json::array({account("ana", {"k"}), account("eva", {"k", "e"})}), why);
    ASSERT_TRUE(config);
    EXPECT_EQ(config->accounts[config->accountOfKey.at(keyHash("k"))].name, "ana");
    ASSERT_EQ(config->remarks.size(), 1U);
    EXPECT_NE(config->remarks[0].find("eva"), std::string::npos);
    EXPECT_EQ(config->remarks[0].find("\"k\""), std::string::npos);
}

// Whatever bytes stand in the key's field, or in the accounts of a configuration: nothing crashes, and no key
// that isn't an account's lets anybody in.
RC_GTEST_PROP(Accounts, NoBytesLetAnybodyInButAKey, (const std::string &bytes))
{
    front_request raw;
    raw.head.method = "GET";
    raw.head.target = "/r/x";
    raw.head.fields = {{"Host", "h"}, {"X-Briarhead-Request-Id", "id"}, {"X-Briarhead-Credential", bytes},
        {"X-Briarhead-Token-Count", bytes}};
    error why;
    const auto request = platform::requestCodec().readRequest(raw, why);
    RC_ASSERT(request.has_value());
    RC_ASSERT(findField(request->head, "x-briarhead-credential") == nullptr);
    const auto config = configWith(json::array({account("ana", {"the-key"})}), why);
    const caller_standing standing = standingOf(*config, config->routes[0], request->keyHash);
    RC_ASSERT((standing.verdict == caller_verdict::Accepted) == (bytes == "the-key"));
    const json odd{{"name", bytes.empty() ? "x" : "n"},
        {"apiKeys", json::array({1, nullptr, json::array({"k"})})}, {"ratePerS", nullptr}};
    (void)configWith(json::array({odd, 7}), why);
    (void)platform::hashAccountKeys("{\"tenants\":[" + bytes + "],\"apiKeys\":1}");
}

}
