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
    void expectNoAccountSent() const
    {
        for (const auto &server : m_plain) {
            for (const front_request &each : server->ran) {
                EXPECT_EQ(fieldAt(each, "x-briarhead-tenant"), "(none)");
                EXPECT_EQ(fieldAt(each, "x-briarhead-credential"), "(none)");
            }
        }
    }
    /// Repeats a request until the response has this status. Returns the number of other responses before.
    std::size_t requestsUntil(const std::string &path, const std::string &status)
    {
        constexpr std::size_t maxTries = 200;
        for (std::size_t tries = 0; tries < maxTries; ++tries) {
            if (statusOf(responseTo(path)) == status) {
                return tries;
            }
            runRounds(50);
        }
        ADD_FAILURE() << "no response with status " << status;
        return maxTries;
    }
};

}

TEST_F(account_test, RequestWithAccountKeyIsServed)
{
    m_accounts = json::array({account("ana", {"k1", "k2"})});
    m_key = "k2";
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
}

TEST_F(account_test, MissingOrUnknownKeyIsRejectedWith401AndRunsNowhere)
{
    m_accounts = json::array({account("ana", {"k1"})});
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "401");
    m_key = "k1x";
    EXPECT_EQ(statusOf(responseTo("/once/x")), "401");
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "401");
    EXPECT_EQ(requestsRunOn(m_plain) + requestsRunOn(m_models), 0U);
}

// A key forwarded to a server could be read from the server's log and reused. An account name set by the
// caller would let it bill another account.
TEST_F(account_test, ServersReceiveTheAccountButNeverTheKey)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_key = "k1";
    m_fields = {{"x-briarhead-tenant", "eva"}, {"Connection", "X-Briarhead-Tenant"}};
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    EXPECT_EQ(statusOf(responseTo("/gen/x", "a1")), "200");
    EXPECT_EQ(statusOf(responseTo("/open/x")), "200");
    for (const auto *servers : {&m_plain, &m_models}) {
        for (const auto &server : *servers) {
            for (const front_request &each : server->ran) {
                EXPECT_EQ(fieldAt(each, "x-briarhead-tenant"), "ana");
                EXPECT_EQ(fieldAt(each, "x-briarhead-credential"), "(none)");
            }
        }
    }
}

TEST_F(account_test, AnonymousRouteNeedsNoKeyAndSendsNoAccount)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_fields = {{"X-Briarhead-Tenant", "ana"}};
    start();
    EXPECT_EQ(statusOf(responseTo("/open/x")), "200");
    m_key = "nobody's";
    EXPECT_EQ(statusOf(responseTo("/open/x")), "200");
    expectNoAccountSent();
}

TEST_F(account_test, WithoutAccountsNoKeyIsRequiredOrForwarded)
{
    m_key = "k1";
    m_fields = {{"X-Briarhead-Tenant", "ana"}};
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    expectNoAccountSent();
}

TEST_F(account_test, RevokedKeyIsRejectedOnceTheConfigurationIsInForce)
{
    m_accounts = json::array({account("ana", {"k1", "k2"})});
    m_key = "k1";
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    m_accounts = json::array({account("ana", {"k2"})});
    putConfig(2);
    requestsUntil("/once/x", "401");
    m_key = "k2";
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
}

// Daemons keep the configuration item of the store and send it to each other. It must contain only hashes of
// keys.
TEST_F(account_test, ConfigurationThatDaemonsStoreAndSendContainsNoKeys)
{
    m_accounts = json::array({account("ana", {"very-secret-key"})});
    start();
    const auto peer = http_testing::raw_socket::connectTo(m_settings.peers.port);
    peer->send("GET /news?after=0 HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n");
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        return !peer->receive(received);
    }));
    EXPECT_EQ(received.find("very-secret-key"), std::string::npos);
    const std::string hashed = platform::hashAccountKeys(m_store.items["op/config"].value);
    EXPECT_EQ(hashed.find("very-secret-key"), std::string::npos);
    error why;
    const auto config = platform::readConfig(hashed, why);
    ASSERT_TRUE(config) << message(why);
    EXPECT_EQ(config->accountByKeyHash.count(keyHash("very-secret-key")), 1U);
    EXPECT_EQ(platform::hashAccountKeys(R"({"apiKeys": ["half of a)"), "");
}

// A daemon that has lost the store can't know whether keys have been revoked. With strictRevocation it
// refuses requests that need a key.
TEST_F(account_test, WithStrictRevocationRequestsWithKeysAreRefusedWhileTheStoreIsLost)
{
    m_accounts = json::array({account("ana", {"k1"})});
    m_key = "k1";
    m_settings.strictRevocation = true;
    m_settings.maxRevocationDelay = millis{3'000};
    start();
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
    m_client.fault = store_fault::RefusesCalls;
    requestsUntil("/once/x", "503");
    EXPECT_EQ(statusOf(responseTo("/open/x")), "200");
    m_client.fault = store_fault::None;
    requestsUntil("/once/x", "200");
}

TEST_F(account_test, AccountOverItsLimitGets429WithRetryAfterWhileOthersAreServed)
{
    json ana = account("ana", {"k1"});
    ana["ratePerS"] = 0.01;
    ana["burst"] = 1;
    m_accounts = json::array({ana, account("eva", {"k2"})});
    m_settings.quota = {millis{8'000}, 0, 0};
    m_key = "k1";
    start();
    requestsUntil("/once/x", "429");
    const std::string response = responseTo("/once/x");
    EXPECT_EQ(statusOf(response), "429");
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
    EXPECT_LE(requestsRunOn(m_plain), 1U); // the account's burst
    m_key = "k2";
    EXPECT_EQ(statusOf(responseTo("/once/x")), "200");
}

TEST(Accounts, RankOfTheAccountOverridesRankOfTheRoute)
{
    route matchedRoute;
    matchedRoute.rank = 2;
    client_account ana;
    EXPECT_EQ(rankOf(matchedRoute, nullptr), 2);
    EXPECT_EQ(rankOf(matchedRoute, &ana), 2);
    ana.rank = 0;
    EXPECT_EQ(rankOf(matchedRoute, &ana), 0);
}

// Guards against a route of another service that makes all prompts of an account less urgent.
TEST(Accounts, MostUrgentRankIsThatOfTheService)
{
    serving_config config;
    for (const auto &[rank, service] :
        {std::pair{1, "models"}, std::pair{2, "models"}, std::pair{3, "plain"}}) {
        route matchedRoute;
        matchedRoute.rank = rank;
        matchedRoute.services = {{service, 1}};
        config.routes.push_back(matchedRoute);
    }
    indexRoutes(config);
    EXPECT_EQ(mostUrgentRank(config, "models"), 1);
    EXPECT_EQ(mostUrgentRank(config, "plain"), 3);
}

// A request without token counts costs the account's default. If only one of the two counts can't be parsed,
// the other one is used.
TEST(Accounts, RequestCostsTheTokensThatItAnnounces)
{
    const auto unitsWith = [](const std::vector<http_field> &tokens) {
        front_request raw;
        raw.head.method = "POST";
        raw.head.target = "/r/x";
        raw.head.fields = {{"Host", "h"}, {"X-Briarhead-Request-Id", "id"}};
        raw.head.fields.insert(raw.head.fields.end(), tokens.begin(), tokens.end());
        client_account ana;
        ana.countsTokens = true;
        ana.defaultTokens = 200;
        error why;
        return unitsOf(ana, *platform::requestCodec().readRequest(raw, why));
    };
    EXPECT_EQ(unitsWith({}), 200);
    EXPECT_EQ(unitsWith({{"X-Briarhead-Token-Count", "1460,80"}}), 1'540);
    EXPECT_EQ(unitsWith({{"X-Briarhead-Token-Count", "1460"}}), 1'460);
    EXPECT_EQ(unitsWith({{"X-Briarhead-Token-Count", "x,80"}}), 80);
    EXPECT_EQ(unitsWith({{"X-Briarhead-Token-Count", "x,y"}}), 200);
    EXPECT_EQ(unitsWith({{"X-Briarhead-Token-Count", "-5,80"}}), 80);
    EXPECT_LE(unitsWith({{"X-Briarhead-Token-Count", "99999999999999999999,1"}}), 1'000'000'001);
    client_account byRequests;
    EXPECT_EQ(unitsOf(byRequests, {}), 1);
}

TEST(Accounts, RequestWithTwoKeysIsRejectedWithAnErrorThatSaysWhatToDo)
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

TEST(Accounts, InvalidAccountIsNamedInTheError)
{
    const auto errorFor = [](const json &accounts) {
        error why;
        return configWith(accounts, why) ? std::string() : message(why);
    };
    const json named{{"name", "ana"}};
    json invalid = named;
    invalid["ratePerS"] = -1;
    EXPECT_NE(errorFor(json::array({invalid})).find("ana"), std::string::npos);
    invalid["ratePerS"] = "many";
    EXPECT_NE(errorFor(json::array({invalid})).find("rate"), std::string::npos);
    EXPECT_NE(errorFor(json::array({json{{"apiKeys", {"k"}}}})).find("no name"), std::string::npos);
    EXPECT_NE(errorFor(json::array({named, named})).find("two accounts"), std::string::npos);
    json unlimited = named;
    unlimited["ratePerS"] = 0;
    unlimited["apiKeys"] = json::array();
    EXPECT_EQ(errorFor(json::array({unlimited})), "");
    unlimited["ratePerS"] = 1e300;
    EXPECT_EQ(errorFor(json::array({unlimited})), "");
}

// The configuration stays usable, and a warning tells the operator which accounts share a key.
TEST(Accounts, KeyOfTwoAccountsBelongsToTheFirstAndGivesAWarning)
{
    error why;
    const auto config = configWith(json::array({account("ana", {"k"}), account("eva", {"k", "e"})}), why);
    ASSERT_TRUE(config);
    EXPECT_EQ(config->accounts[config->accountByKeyHash.at(keyHash("k"))].name, "ana");
    ASSERT_EQ(config->warnings.size(), 1U);
    EXPECT_NE(config->warnings[0].find("eva"), std::string::npos);
    EXPECT_EQ(config->warnings[0].find("\"k\""), std::string::npos);
}

// Arbitrary bytes in the key's field or in the accounts of a configuration must not crash the parser.
RC_GTEST_PROP(Accounts, OnlyAKeyOfAnAccountIsAccepted, (const std::string &bytes))
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
    const auth_result caller = authenticate(*config, config->routes[0], request->keyHash);
    RC_ASSERT((caller.status == auth_status::Accepted) == (bytes == "the-key"));
    const json malformed{{"name", bytes.empty() ? "x" : "n"},
        {"apiKeys", json::array({1, nullptr, json::array({"k"})})}, {"ratePerS", nullptr}};
    (void)configWith(json::array({malformed, 7}), why);
    (void)platform::hashAccountKeys("{\"tenants\":[" + bytes + "],\"apiKeys\":1}");
}

}
