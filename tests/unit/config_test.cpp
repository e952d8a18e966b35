#include "state/config.h"
#include "state/key_hash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <utility>

using namespace briarhead;

namespace {

config_patch patchOf(std::uint64_t base, const std::string &set, const std::string &remove = "{}")
{
    error why;
    const auto text = "{\"base\":" + std::to_string(base) + ",\"id\":\"p" + std::to_string(base)
        + "\",\"by\":\"ivana\",\"set\":" + set + ",\"remove\":" + remove + '}';
    auto patch = parsePatch(text, why);
    EXPECT_TRUE(patch) << message(why);
    return patch.value_or(config_patch{});
}

/// The configuration with the patch applied, which must succeed.
config_ptr applied(const config_ptr &base, const std::string &set, const std::string &remove = "{}")
{
    error why;
    auto next = applyPatch(*base, patchOf(base->version, set, remove), why);
    EXPECT_TRUE(next) << message(why);
    return next ? next : base;
}

/// The error for a patch that must be refused.
error refused(const config_ptr &base, const std::string &set, const std::string &remove = "{}")
{
    error why;
    EXPECT_FALSE(applyPatch(*base, patchOf(base->version, set, remove), why));
    return why;
}

std::string adapterText(int active, const std::string &versions = "[1,2,3]")
{
    return R"({"base_model":"base-7b","active":)" + std::to_string(active) + ",\"versions\":" + versions
        + '}';
}

std::string callerText(const std::string &key, const std::string &groups = "[]")
{
    return "{\"key_hash\":\"" + keyHash(key) + "\",\"groups\":" + groups + '}';
}

config_ptr sampleConfig()
{
    return applied(emptyConfig(),
        R"({"adapters":{"lib/lists":)" + adapterText(2) + R"(,"lib/sums":)" + adapterText(1)
            + R"(},"callers":{"ana":)" + callerText("a", R"(["lecturers","night"])") + R"(,"bo":)"
            + callerText("b") + R"(},"services":{"orders":{"path_prefix":"/orders","idempotent":false},
            "status":{"path_prefix":"/orders/status","idempotent":true}},
            "rules":{"any":{"callers":"*","adapters":"*","best":"low"},
            "lib":{"callers":"group:lecturers","adapters":"lib/*","best":"normal"},
            "night":{"callers":"group:night","adapters":"lib/*","best":"high"},
            "one":{"callers":"*","adapters":"lib/sums","best":"urgent"},
            "ord":{"callers":"ana","service":"orders"}},
            "targets":{"t":{"callers":"*","first_token_ms":800,"penalty":12.5}},
            "policy":{"stall_weight":0.75}})");
}

/// Sets a few random adapters, some of which may not exist yet.
std::string randomSet()
{
    const auto count = *rc::gen::inRange(1, 5);
    std::string set;
    for (int i = 0; i < count; ++i) {
        const auto name = "a" + std::to_string(*rc::gen::inRange(0, 40));
        set += (i > 0 ? ",\"" : "\"") + name + "\":" + adapterText(*rc::gen::inRange(1, 4));
    }
    return "{\"adapters\":{" + set + "}}";
}

}

TEST(Config, UsesTheMostSpecificRuleAndService)
{
    const auto base = sampleConfig();
    EXPECT_EQ(findAdapterRule(*base, "ana", "lib/sums")->bestPriority, priority::Urgent);
    EXPECT_EQ(findAdapterRule(*base, "ana", "lib/lists")->bestPriority, priority::High)
        << "the better of two groups";
    EXPECT_EQ(findAdapterRule(*base, "bo", "lib/lists")->bestPriority, priority::Low);
    EXPECT_NE(findServiceRule(*base, "ana", "orders"), nullptr);
    EXPECT_EQ(findServiceRule(*base, "bo", "orders"), nullptr);
    EXPECT_EQ(*findCaller(*base, keyHash("b")), "bo");
    EXPECT_EQ(findCaller(*base, keyHash("c")), nullptr);
    std::string name;
    EXPECT_TRUE(findService(*base, "/orders/status/7", name)->idempotent);
    EXPECT_EQ(name, "status");
    EXPECT_EQ(findService(*base, "/ordersx", name), nullptr);
}

TEST(Config, RefusesInvalidEntriesAndReferencesWithTheirPath)
{
    const auto base = sampleConfig();
    const std::pair<const char *, const char *> cases[]{
        {R"({"adapters":{"x":{"base_model":"b","active":4,"versions":[1]}}})", "/set/adapters/x/active"},
        {R"({"adapters":{"x:1":{"base_model":"b","active":1,"versions":[1]}}})", "/set/adapters/x:1"},
        {R"({"adapters":{"x":{"base_modell":"b","active":1,"versions":[1]}}})", "/set/adapters/x/base_model"},
        {R"({"adapters":{"x":{"base_model":"b","active":1,"versions":[1],"rank":8}}})",
            "/set/adapters/x/rank"},
        {R"({"callers":{"x":{"key_hash":"secret"}}})", "/set/callers/x/key_hash"},
        {R"({"rules":{"x":{"callers":"group:none","adapters":"*"}}})", "/rules/x/callers"},
        {R"({"rules":{"x":{"callers":"cy","adapters":"*"}}})", "/rules/x/callers"},
        {R"({"rules":{"x":{"callers":"bo","adapters":"gone"}}})", "/rules/x/adapters"},
        {R"({"rules":{"x":{"callers":"bo","service":"gone"}}})", "/rules/x/service"},
        {R"({"rules":{"x":{"callers":"bo","adapters":"*","service":"orders"}}})", "/set/rules/x"},
        {R"({"rules":{"x":{"callers":"*","adapters":"*"}}})", "/rules/x"},
        {R"({"services":{"x":{"path_prefix":"/v1/x"}}})", "/set/services/x/path_prefix"},
        {R"({"services":{"x":{"path_prefix":"/orders"}}})", "/services/x/path_prefix"},
        {R"({"targets":{"x":{"callers":"*","whole_ms":-1}}})", "/set/targets/x/whole_ms"},
        {R"({"policy":{"stall_weight":2}})", "/set/policy/stall_weight"},
    };
    for (const auto &[set, where] : cases) {
        const auto why = refused(base, set);
        EXPECT_EQ(why.kind, error_kind::BadPatch);
        EXPECT_EQ(why.where, where) << message(why);
    }
    EXPECT_EQ(refused(base, "{}", R"({"adapters":["lib/sums"]})").where, "/rules/one/adapters");
    EXPECT_EQ(refused(base, "{}", R"({"services":["gone"]})").where, "/remove/services");
}

TEST(Config, RefusesMalformedPatchesWithThePath)
{
    const std::pair<std::string, const char *> cases[]{
        {R"({"base":1,"id":"x","set":{"adaptors":{}}})", "/set/adaptors"},
        {R"({"base":1,"id":"x","sett":{}})", "/sett"},
        {R"({"id":"x","set":{}})", "/base"},
        {R"({"base":-1,"id":"x","set":{}})", "/base"},
        {R"({"base":1,"set":{"policy":{}}})", "/id"},
        {R"({"base":1,"id":"x"})", "/set"},
        {"{\"base\":1,", "/"},
        {"[1]", "/"},
        {std::string(100'000, '['), "/"},
        {"{\"base\":1,\"id\":\"x\",\"note\":\"" + std::string(maxPatchBytes, 'n') + "\"}", "/"},
    };
    for (const auto &[text, where] : cases) {
        error why;
        EXPECT_FALSE(parsePatch(text, why));
        EXPECT_EQ(why.where, where) << message(why);
        EXPECT_NE(message(why).find("submit it again"), std::string::npos);
    }
}

TEST(Config, RefusesAStaleBaseAndNamesTheCurrentVersion)
{
    error why;
    EXPECT_FALSE(applyPatch(*sampleConfig(), patchOf(0, R"({"policy":{"max_replicas":2}})"), why));
    EXPECT_EQ(why.kind, error_kind::StalePatch);
    EXPECT_NE(why.detail.find("current version is 1"), std::string::npos);
}

TEST(Config, DescribesTheDifferencesThatAPatchMakes)
{
    const auto patch = patchOf(1,
        R"({"adapters":{"new":)" + adapterText(1) + R"(,"lib/sums":)" + adapterText(3) + R"(,"lib/lists":)"
            + adapterText(2) + R"(},"policy":{"max_replicas":8}})",
        R"({"rules":["any"]})");
    const auto lines = describePatch(*sampleConfig(), patch);
    ASSERT_EQ(lines.size(), 4U) << "an entry that stays as it is makes no line";
    EXPECT_TRUE(lines[0].starts_with("~ adapters/lib/sums "));
    EXPECT_TRUE(lines[1].starts_with("+ adapters/new "));
    EXPECT_EQ(lines[2], "- rules/any");
    EXPECT_EQ(lines[3], "~ policy/max_replicas 4 -> 8");
}

TEST(Config, SharesSectionsThatAPatchDoesNotChange)
{
    const auto base = sampleConfig();
    const auto next = applied(base, R"({"adapters":{"lib/sums":)" + adapterText(3) + "}}");
    std::size_t copied = 0;
    for (std::size_t i = 0; i < adapterShards; ++i) {
        copied += next->adapters[i].sharesEntriesWith(base->adapters[i]) ? 0 : 1;
    }
    EXPECT_EQ(copied, 1U);
    EXPECT_EQ(next->index, base->index);
    EXPECT_EQ(findAdapter(*base, "lib/sums")->active, 1U)
        << "a request keeps the version it was admitted under";
    EXPECT_EQ(findAdapter(*next, "lib/sums")->active, 3U);
}

RC_GTEST_PROP(ConfigProperty, PatchesIncrementTheVersionAndChunksGiveTheSameConfig, ())
{
    auto current = sampleConfig();
    for (int step = *rc::gen::inRange(1, 6); step > 0; --step) {
        error why;
        const auto next = applyPatch(*current, patchOf(current->version, randomSet()), why);
        RC_ASSERT(next != nullptr);
        RC_ASSERT(next->version == current->version + 1);
        current = next;
    }
    error why;
    const auto parsed = fromChunks(current->version, toChunks(*current), why);
    RC_ASSERT(parsed != nullptr);
    RC_ASSERT(toJson(*parsed) == toJson(*current));
    RC_ASSERT(toChunks(*parsed) == toChunks(*current));
}

RC_GTEST_PROP(ConfigProperty, ParsedHeadEqualsTheOriginal, ())
{
    config_head head;
    head.snapshotVersion = *rc::gen::inRange<std::uint64_t>(0, 1'000);
    head.version = head.snapshotVersion;
    head.chunks["adapters"] = "hash-1";
    head.retired = {"hash-0"};
    for (int count = *rc::gen::inRange(0, 5); count > 0; --count) {
        head.patches.push_back(patchOf(head.version++, randomSet()));
        head.patches.back().note = *rc::gen::string<std::string>().as("note") + "\"\\";
        // A patch passes parsePatch() only if it is valid UTF-8, so no other text has to be stored.
        for (auto &c : head.patches.back().note) {
            c = static_cast<char>(c & 0x7f);
        }
    }
    error why;
    const auto parsed = parseHead(toJson(head), why);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(toJson(*parsed) == toJson(head));
}

RC_GTEST_PROP(ConfigProperty, RefusesRandomTextWithoutCrash, (const std::string &text))
{
    error why;
    RC_ASSERT(!parsePatch(text, why).has_value());
    RC_ASSERT(!parseHead(text, why).has_value());
    RC_ASSERT(fromChunks(1, {{"adapters", text}}, why) == nullptr);
}

// A value in the key-value service can have at most a megabyte, including base64 encoding and JSON framing.
TEST(Config, ChunksOfTheLargestFleetStayBelowTheLimit)
{
    constexpr int adapters = 160'000;
    std::string entries = "{";
    for (int i = 0; i < adapters; ++i) {
        entries += (i > 0 ? ",\"" : "\"") + std::string("popisnica/faculty-") + std::to_string(i)
            + "\":" + adapterText(1 + i % 3);
    }
    error why;
    const auto original = fromChunks(1, {{"adapters", entries + '}'}}, why);
    ASSERT_TRUE(original) << message(why);
    ASSERT_EQ(adapterCount(*original), static_cast<std::size_t>(adapters));
    const auto chunks = toChunks(*original);
    for (const auto &[name, text] : chunks) {
        EXPECT_LT(text.size(), maxChunkBytes) << name;
    }
    const auto next = applied(original, R"({"adapters":{"popisnica/faculty-7":)" + adapterText(3) + "}}");
    std::size_t changed = 0;
    for (const auto &[name, text] : toChunks(*next)) {
        const auto old = chunks.find(name);
        changed += old != chunks.end() && old->second == text ? 0 : 1;
    }
    EXPECT_EQ(changed, 1U) << "one changed adapter rewrites one chunk";
}
