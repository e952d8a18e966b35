#include "coordination/crash_history.h"
#include "soak/crashing_fixture.h"
#include "transport/backend_pool.h"

#include <utility>

// Guards against the loss of one server after the other to requests that are all different but for one part
// of their prompts, and against the refusal of sound requests that share their caller and other parts.
namespace briarhead::soak {

namespace {

/// From this many crashes on the part counts as known.
constexpr std::size_t crashesAllowed = 5;
constexpr millis quiet{2'000};
constexpr millis judged{6'000}; ///< for how long further sends and sound requests are counted
/// Of the sound requests, at least this share begins while the others still come. The rule asks for half.
constexpr double soundShare = 0.5;
constexpr millis responseTime{80};

/// Where the part that crashes servers stands in a prompt.
enum class part_position : std::uint8_t
{
    First,
    Middle,
    UnderTwoFirstParts,
    TwoParts, ///< either of two
};

struct prompt_case
{
    const char *name;
    const char *path;
    part_position position;
};

std::ostream &operator<<(std::ostream &out, const prompt_case &each)
{
    return out << each.name;
}

/// What callers of one kind were answered.
struct answer_counts
{
    std::size_t begun = 0;
    std::size_t sent = 0;
};

class crashing_part_test : public crashing_fixture, public testing::WithParamInterface<prompt_case>
{
protected:
    std::set<std::string> m_fatalParts{"bad1", "bad2"};
    std::size_t m_fatalRuns = 0; ///< requests that reached servers which have crashed
    answer_counts m_sound;
    backend_pool m_callers{m_loop};
    std::vector<std::shared_ptr<void>> m_traffic; ///< ends before the callers' pool
    int m_number = 0;

    void prepareServer(backend_standin &server, const std::string &service) override
    {
        server.currentBehavior = backend_standin::behavior::Slow;
        server.responseDelay = responseTime;
        server.fatalParts = m_fatalParts;
        crashUnderFatalRequests(server, service);
    }
    void onCrash(const backend_standin &server) override
    {
        m_fatalRuns += server.fatalRuns;
    }
    void TearDown() override
    {
        m_traffic.clear();
        crashing_fixture::TearDown();
    }
    std::string fatalPrompt()
    {
        const std::string number = std::to_string(++m_number);
        switch (GetParam().position) {
        case part_position::First:
            return "bad1:100,c" + number + ":100,e" + number + ":10";
        case part_position::Middle:
            return "a0:100,bad1:100,e" + number + ":10";
        case part_position::UnderTwoFirstParts:
            return std::string(m_number % 2 == 0 ? "a0" : "a1") + ":100,bad1:100,e" + number + ":10";
        case part_position::TwoParts:
            return std::string("a0:100,") + (m_number % 2 == 0 ? "bad1" : "bad2") + ":100,e" + number + ":10";
        }
        return {};
    }
    /// Shares its first part, where that one is sound, and its second with other sound ones.
    std::string soundPrompt()
    {
        const std::string number = std::to_string(++m_number);
        return std::string(m_number % 3 == 0 ? "a1" : "a0") + ":100,d" + std::to_string(m_number % 7)
            + ":100,e" + number + ":10";
    }
    void send(const daemon_process &daemon, const std::string &prompt, bool sound)
    {
        const std::string body = "body " + std::to_string(m_number);
        std::string text = std::string("POST ") + GetParam().path
            + "x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id" + std::to_string(++m_lastId)
            + "\r\nX-Briarhead-Deadline-Ms: 3000\r\nX-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: "
              "210,50\r\nX-Briarhead-Prompt-Prefix: "
            + prompt + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        m_sound.sent += sound ? 1 : 0;
        send_handlers calls;
        calls.onHead = [this, sound](const http_head &head) {
            m_sound.begun += sound && head.status == 200 ? 1 : 0;
            return true;
        };
        calls.onBody = [](const std::string &) {};
        calls.onEnd = [](const response_end &, const error &) {};
        m_callers.start({"127.0.0.1", daemon.frontPort}, std::move(text), false, std::move(calls));
    }
    /// Crashing and sound requests at all daemons that run, until the test ends.
    void beginTraffic()
    {
        m_traffic.push_back(m_loop.timer({200}, {200}, [this] {
            for (const daemon_process &daemon : m_daemons) {
                if (daemon.pid != 0) {
                    send(daemon, fatalPrompt(), false);
                }
            }
        }));
        m_traffic.push_back(m_loop.timer({50}, {50}, [this] {
            for (const daemon_process &daemon : m_daemons) {
                if (daemon.pid != 0) {
                    send(daemon, soundPrompt(), true);
                }
            }
        }));
    }
    /// Waits for so many crashes, or until there have been none for `quiet`, because the part is known.
    void awaitCrashes(std::size_t count)
    {
        const millis end = bootNow() + http_testing::testTimeout;
        while (m_crashes < count && bootNow() < end && (m_crashes == 0 || bootNow() - m_crashedAt < quiet)) {
            runRounds(20);
        }
        ASSERT_GE(m_crashes, std::min(count, crashesToBlock));
    }
    std::string crashLog() const
    {
        std::string text;
        std::map<std::string, int> refusals; ///< by reason
        for (const daemon_process &daemon : m_daemons) {
            std::istringstream lines(logOf(daemon));
            for (std::string line; std::getline(lines, line);) {
                const bool told = line.find("\"crash.b") != std::string::npos
                    || line.find("\"crash.t") != std::string::npos
                    || line.find("\"crash.cl") != std::string::npos;
                text += told ? line + '\n' : "";
                const std::size_t why = line.find("\"why\":");
                if (line.find("\"request.refused\"") != std::string::npos && why != std::string::npos) {
                    ++refusals[line.substr(why, line.find(',', why) - why)];
                }
            }
        }
        for (const auto &[why, count] : refusals) {
            text += why + ": " + std::to_string(count) + " refused\n";
        }
        return text;
    }
    /// Checks both rules over the next `judged`.
    void expectKept()
    {
        runFor(contact);
        const std::size_t before = m_fatalRuns;
        m_sound = {};
        runFor(judged);
        EXPECT_LE(m_fatalRuns - before, sendsAllowed) << crashLog();
        ASSERT_GE(m_sound.sent, 20U);
        EXPECT_GE(static_cast<double>(m_sound.begun), soundShare * static_cast<double>(m_sound.sent))
            << m_sound.begun << " of " << m_sound.sent << '\n'
            << crashLog();
    }
};

}

TEST_P(crashing_part_test, ReachesHardlyAServerOnceKnownAndSoundRequestsGoOn)
{
    beginTraffic();
    awaitCrashes(crashesAllowed);
    expectKept();
}

// Daemons keep nothing themselves, and the traffic goes on right from their start.
TEST_P(crashing_part_test, IsStillKnownAfterAllDaemonsHaveBeenKilled)
{
    beginTraffic();
    awaitCrashes(crashesAllowed);
    runFor(contact);
    for (daemon_process &daemon : m_daemons) {
        stop(daemon);
    }
    startDaemons();
    expectKept();
}

// The daemons that count can't store what they know, and one of them dies.
TEST_P(crashing_part_test, IsKnownWhileTheStoreIsAwayAndADaemonDies)
{
    beginTraffic();
    awaitCrashes(1);
    m_storeServer.client.fault = store_fault::RefusesCalls;
    stop(m_daemons[0]);
    awaitCrashes(crashesAllowed);
    expectKept();
}

INSTANTIATE_TEST_SUITE_P(Prompts, crashing_part_test,
    testing::Values(prompt_case{"StreamFirst", "/gen/", part_position::First},
        prompt_case{"StreamMiddle", "/gen/", part_position::Middle},
        prompt_case{"ResumableStreamMiddle", "/resume/", part_position::Middle},
        prompt_case{"StreamUnderTwoFirstParts", "/gen/", part_position::UnderTwoFirstParts},
        prompt_case{"StreamTwoParts", "/gen/", part_position::TwoParts}),
    [](const testing::TestParamInfo<prompt_case> &each) {
        return each.param.name;
    });

}
