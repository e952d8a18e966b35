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

/// The error for the sample settings with one key replaced or added.
error errorWith(const std::string &key, const json &value)
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

TEST(Settings, ReadsGivenValuesAndDefaults)
{
    auto text = sampleSettings();
    text["caller_port"] = 9000;
    text["kv_timeout_ms"] = 250;
    error why;
    const auto parsed = parseSettings(text.dump(), "daemon.json", why);
    ASSERT_TRUE(parsed) << message(why);
    EXPECT_EQ(parsed->callerPort, 9000);
    EXPECT_EQ(parsed->peerPort, 8081);
    EXPECT_EQ(parsed->kvTimeout, millis{250});
    EXPECT_EQ(parsed->drainTimeout, millis{120'000});
}

TEST(Settings, ErrorsNameFilePathValueAndRemedy)
{
    auto why = errorWith("caller_prot", 1);
    EXPECT_EQ(why.where, "daemon.json /caller_prot");
    EXPECT_NE(why.detail.find("caller_port"), std::string::npos);

    why = errorWith("caller_port", "8080");
    EXPECT_EQ(why.where, "daemon.json /caller_port");
    EXPECT_NE(why.detail.find("is \"8080\"; it must be a port from 1 to 65535"), std::string::npos)
        << why.detail;

    why = errorWith("lease_ttl_ms", 5);
    EXPECT_EQ(why.where, "daemon.json /lease_ttl_ms");
    EXPECT_NE(why.detail.find("is 5; it must be a whole number of milliseconds"), std::string::npos);

    EXPECT_EQ(errorWith("kv_urls", {"http://10.0.0.1:1", "ftp://x"}).where, "daemon.json /kv_urls/1");
    EXPECT_EQ(errorWith("kv_urls", json::array()).where, "daemon.json /kv_urls");
    EXPECT_EQ(errorWith("routing", "fastest").where, "daemon.json /routing");
    EXPECT_EQ(errorWith("peer_key", "abc").where, "daemon.json /peer_key");
    EXPECT_EQ(errorWith("caller_address", "localhost").where, "daemon.json /caller_address");
    EXPECT_EQ(errorWith("peer_port", 8080).where, "daemon.json /peer_port");
}

TEST(Settings, ErrorNamesAMissingKey)
{
    auto text = sampleSettings();
    text.erase("peer_key");
    error why;
    EXPECT_FALSE(parseSettings(text.dump(), "daemon.json", why));
    EXPECT_EQ(why.where, "daemon.json /peer_key");
}

TEST(Settings, ErrorNamesTheFileForInvalidJsonAndMissingFiles)
{
    error why;
    EXPECT_FALSE(parseSettings("{\"instance\": ", "daemon.json", why));
    EXPECT_EQ(why.where, "daemon.json /");
    EXPECT_FALSE(readSettings("/nonexistent/daemon.json", why));
    EXPECT_EQ(why.where, "/nonexistent/daemon.json");
    EXPECT_FALSE(parseSettings("[]", "daemon.json", why));
}

RC_GTEST_PROP(SettingsProperty, RejectsRandomText, (const std::string &text))
{
    error why;
    RC_ASSERT(!parseSettings(text, "f", why).has_value());
    RC_ASSERT(why.kind == error_kind::BadSettings);
}

TEST(KeyHash, IsBlake2b256)
{
    // The BLAKE2b-256 test vector for "abc".
    EXPECT_EQ(keyHash("abc"), "bddd813c634239723171ef3fee98579b94964e3bb1cb3e427262c8c068d52319");
}
