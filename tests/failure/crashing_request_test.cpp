#include "failure/fleet.h"
#include "standins/engine_standin.h"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

using namespace briarhead::testing;

// What a user sees: streams of all callers break off about once a second, each time on another engine. One
// caller sends the same bytes again and again; an engine that begins to run them restarts, and the next
// attempt is handed to the next engine. Cause: an owner that lost a run looked at the engine anew and forgot
// the run, so no daemon knew of more than one.
namespace {

/// The request may end so many engines, and be handed over so many times more once the daemons have had time
/// to tell each other.
constexpr std::size_t endsAllowed = 3;
constexpr std::size_t runsAllowed = 3;
constexpr std::chrono::seconds contact{3};
const std::string fatalPrompt = "fatal";
constexpr int longAnswer = 400; ///< tokens: it would run for far longer than it takes to end its engine

class fatal_fleet
{
public:
    fatal_fleet()
    {
        const std::string hash = briarhead::standinPromptHash(json{{"prompt", fatalPrompt}});
        for (const std::string &engine : all.engines()) {
            all.faults(engine, {{"fatal_prompt", hash}});
        }
        m_atFirst = all.coldStarts();
    }
    /// Restarts of engines under the request.
    std::size_t ends() const
    {
        return all.coldStarts() - m_atFirst;
    }
    void endEngines()
    {
        ASSERT_TRUE(eventually([this] {
            attempt(m_attempts++ % all.size());
            return ends() >= endsAllowed;
        }));
        std::this_thread::sleep_for(contact);
    }
    answer attempt(std::size_t daemon) const
    {
        return all.complete(daemon, "a0", fatalPrompt, longAnswer, {"X-Non-Idempotent: true"});
    }
    /// Two attempts at each daemon; all are to be refused, and truthfully.
    void expectRefused() const
    {
        for (std::size_t i = 0; i < 2 * all.size(); ++i) {
            const answer got = attempt(i % all.size());
            EXPECT_EQ(got.outcome(), "not_run") << got.body;
            const json error = got.parsed().value("error", json::object());
            EXPECT_EQ(error.value("code", ""), "ends_servers") << got.body;
            EXPECT_GT(error.value("retry_after_ms", 0), 0) << got.body;
        }
    }

    fleet all;

private:
    std::size_t m_atFirst = 0;
    std::size_t m_attempts = 0;
};

}

TEST(CrashingRequest, IsHandedToHardlyAnEngineOnceThreeHaveEndedUnderIt)
{
    fatal_fleet fatal;
    fatal.endEngines();
    const std::size_t before = fatal.ends();
    fatal.expectRefused();
    EXPECT_LE(fatal.ends() - before, runsAllowed);
    EXPECT_TRUE(eventually([&] {
        return fatal.all.complete(0, "a1", "another").outcome() == "done";
    })) << "others are served";
}

// The same after all daemons were killed: they keep nothing themselves.
TEST(CrashingRequest, IsStillKnownAfterAllDaemonsHaveBeenKilled)
{
    fatal_fleet fatal;
    fatal.endEngines();
    const std::size_t before = fatal.ends();
    for (std::size_t i = 0; i < fatal.all.size(); ++i) {
        fatal.all.kill(i);
    }
    for (std::size_t i = 0; i < fatal.all.size(); ++i) {
        fatal.all.start(i);
    }
    ASSERT_TRUE(fatal.all.whole());
    fatal.expectRefused();
    EXPECT_LE(fatal.ends() - before, runsAllowed);
}
