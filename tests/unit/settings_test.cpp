#include "state/key_hash.h"
#include "state/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <string>

using namespace briarhead;
using nlohmann::json;

namespace {

json sampleSettings()
{
    return {{"instance", "zg-1"}, {"failure_domain", "zg-dubrava"}, {"region", "hr-north"},
        {"kv_urls", {"http://127.0.0.1:2379"}}, {"live_list_url", "http://127.0.0.1:8500"},
        {"peer_key", std::string(64, 'a')}};
}

/// The sample with one key replaced or added.
error refusedWith(const std::string &key, const json &value)
{
    auto text = sampleSettings();
    text[key] = value;
    error why;
    EXPECT_FALSE(parseSettings(text.dump(), "daemon.json", why)) << key;
    EXPECT_EQ(why.kind, error_kind::BadSettings);
    EXPECT_NE(message(why).find("Correct the settings file"), std::string::npos);
    return why;
}

}

TEST(Settings, ReadsDefaultsAndValues)
{
    auto text = sampleSettings();
    text["caller_port"] = 9000;
    text["kv_timeout_ms"] = 250;
    error why;
    const auto all = parseSettings(text.dump(), "daemon.json", why);
    ASSERT_TRUE(all) << message(why);
    EXPECT_EQ(all->callerPort, 9000);
    EXPECT_EQ(all->peerPort, 8081);
    EXPECT_EQ(all->kvTimeout, millis{250});
    EXPECT_EQ(all->drainTimeout, millis{120'000});
}

TEST(Settings, RefusalsNameFilePathValueAndRemedy)
{
    auto why = refusedWith("caller_prot", 1);
    EXPECT_EQ(why.where, "daemon.json /caller_prot");
    EXPECT_NE(why.detail.find("caller_port"), std::string::npos);

    why = refusedWith("caller_port", "8080");
    EXPECT_EQ(why.where, "daemon.json /caller_port");
    EXPECT_NE(why.detail.find("is \"8080\"; it must be a port from 1 to 65535"), std::string::npos)
        << why.detail;

    why = refusedWith("lease_ttl_ms", 5);
    EXPECT_EQ(why.where, "daemon.json /lease_ttl_ms");
    EXPECT_NE(why.detail.find("is 5; it must be a whole number of milliseconds"), std::string::npos);

    EXPECT_EQ(refusedWith("kv_urls", {"http://10.0.0.1:1", "ftp://x"}).where, "daemon.json /kv_urls/1");
    EXPECT_EQ(refusedWith("kv_urls", json::array()).where, "daemon.json /kv_urls");
    EXPECT_EQ(refusedWith("routing", "fastest").where, "daemon.json /routing");
    EXPECT_EQ(refusedWith("peer_key", "abc").where, "daemon.json /peer_key");
    EXPECT_EQ(refusedWith("caller_address", "localhost").where, "daemon.json /caller_address");
    EXPECT_EQ(refusedWith("peer_port", 8080).where, "daemon.json /peer_port");
}

TEST(Settings, AMissingKeyIsNamed)
{
    auto text = sampleSettings();
    text.erase("peer_key");
    error why;
    EXPECT_FALSE(parseSettings(text.dump(), "daemon.json", why));
    EXPECT_EQ(why.where, "daemon.json /peer_key");
}

TEST(Settings, BrokenJsonAndMissingFilesAreNamed)
{
    error why;
    EXPECT_FALSE(parseSettings("{\"instance\": ", "daemon.json", why));
    EXPECT_EQ(why.where, "daemon.json /");
    EXPECT_FALSE(readSettings("/nonexistent/daemon.json", why));
    EXPECT_EQ(why.where, "/nonexistent/daemon.json");
    EXPECT_FALSE(parseSettings("[]", "daemon.json", why));
}

RC_GTEST_PROP(SettingsProperty, RandomTextIsRefused, (const std::string &text))
{
    error why;
    RC_ASSERT(!parseSettings(text, "f", why).has_value());
    RC_ASSERT(why.kind == error_kind::BadSettings);
}

TEST(KeyHash, IsBlake2b256)
{
    // The test vector of BLAKE2b-256 for "abc".
    EXPECT_EQ(keyHash("abc"), "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
}
