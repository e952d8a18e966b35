#include "failure/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace briarhead::testing;

// Guards against the restart of one engine after the other by requests that are all different but for one
// message, or one block of their prompt, and against the refusal of sound requests with the same start.
namespace {

/// From this many restarts on the part counts as known, and `contact` later so many more may follow.
constexpr std::size_t restartsAllowed = 5;
constexpr std::size_t runsAllowed = 3;
constexpr std::chrono::seconds contact{3};
constexpr std::size_t soundRequests = 20;
constexpr int longAnswer = 400; ///< tokens: it would run for far longer than it takes to crash its engine
constexpr std::size_t blockBytes = 512; ///< of a plain prompt
const std::string fatalText = "crash the engine";

class crashing_part_test : public testing::TestWithParam<bool>
{
protected:
    fleet m_fleet;
    std::size_t m_atFirst = 0;
    int m_number = 0;

    void SetUp() override
    {
        for (const std::string &engine : m_fleet.engines()) {
            m_fleet.faults(engine, {{"fatal_text", fatalText}});
        }
        m_atFirst = m_fleet.coldStarts();
    }
    std::size_t restarts() const
    {
        return m_fleet.coldStarts() - m_atFirst;
    }
    static std::string block(const std::string &text)
    {
        return text + std::string(blockBytes - text.size(), '.');
    }
    /// Three parts: the first one shared by all, then `part`, then one of its own.
    answer attempt(const std::string &part, const std::string &adapter, int tokens)
    {
        const std::size_t daemon = static_cast<std::size_t>(m_number) % m_fleet.size();
        const std::string own = "question " + std::to_string(++m_number);
        json body{{"model", adapter}, {"max_tokens", tokens}};
        if (GetParam()) {
            body["messages"] = json::array({{{"role", "system"}, {"content", "be brief"}},
                {{"role", "user"}, {"content", part}}, {{"role", "user"}, {"content", own}}});
        } else {
            body["prompt"] = block("be brief") + block(part) + own;
        }
        const std::vector<std::string> headers{"Authorization: Bearer " + fleet::callerKey,
            "Content-Type: application/json", "X-Non-Idempotent: true"};
        const std::string path = GetParam() ? "/v1/chat/completions" : "/v1/completions";
        return call("POST", m_fleet.url(daemon) + path, body.dump(), headers, 30'000);
    }
    static bool isRefused(const answer &got)
    {
        return got.outcome() == "not_run"
            && got.parsed().value("error", json::object()).value("code", "") == "ends_servers";
    }
    void crashEngines()
    {
        ASSERT_TRUE(eventually([this] {
            return isRefused(attempt(fatalText, "a0", longAnswer)) || restarts() >= restartsAllowed;
        }));
        std::this_thread::sleep_for(contact);
    }
    void expectRefused()
    {
        const std::size_t before = restarts();
        for (std::size_t i = 0; i < 4 * m_fleet.size(); ++i) {
            attempt(fatalText, "a0", longAnswer);
        }
        EXPECT_LE(restarts() - before, runsAllowed);
    }
};

}

TEST_P(crashing_part_test, RestartsHardlyAnEngineOnceKnownAndSoundRequestsGoOn)
{
    crashEngines();
    expectRefused();
    std::size_t done = 0;
    for (std::size_t i = 0; i < soundRequests; ++i) {
        done += attempt("tell me", "a1", 4).outcome() == "done" ? 1 : 0;
    }
    EXPECT_GE(done, soundRequests / 2);
    const answer refused = attempt(fatalText, "a0", longAnswer);
    EXPECT_TRUE(isRefused(refused)) << refused.body;
}

// The same after all daemons were killed: they keep nothing themselves.
TEST_P(crashing_part_test, IsStillKnownAfterAllDaemonsHaveBeenKilled)
{
    crashEngines();
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.kill(i);
    }
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.start(i);
    }
    ASSERT_TRUE(m_fleet.whole());
    expectRefused();
}

INSTANTIATE_TEST_SUITE_P(
    Forms, crashing_part_test, testing::Bool(), [](const testing::TestParamInfo<bool> &each) {
        return std::string(each.param ? "ChatMessages" : "PlainPrompt");
    });
