#include "soak/versions_fixture.h"

namespace briarhead::soak {

namespace {

/// Streams that are in progress when daemons end.
constexpr std::size_t streamCount = 20;

/// Daemons end while two software versions serve streams, and callers take these up after the restart.
class stream_origin_test : public versions_fixture
{
protected:
    std::vector<std::unique_ptr<stream_attempt>> m_streams;

    void beginStreams(std::size_t count = streamCount)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_streams.push_back(begin(i % m_daemons.size()));
        }
    }
    void killAll()
    {
        for (daemon_process &daemon : m_daemons) {
            signal(daemon, SIGKILL);
        }
    }
    std::size_t totalStarts() const
    {
        std::size_t sum = 0;
        for (const daemon_process &daemon : m_daemons) {
            sum += daemon.starts;
        }
        return sum;
    }
    /// Takes all streams up, each at the next daemon or at the given one. Returns how many went on; each of
    /// these did so at its version.
    std::size_t takeUpAll(std::optional<std::size_t> daemon = std::nullopt)
    {
        std::size_t wentOn = 0;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            const auto resumed = takeUp(*m_streams[i], daemon.value_or((i + 1) % m_daemons.size()));
            expectOneVersion(*m_streams[i], *resumed);
            wentOn += resumed->status() == 200 ? 1 : 0;
        }
        return wentOn;
    }
};

}

/// Guards against text of two versions where the record of a service's versions could not be written: the
/// second version came and went, and daemons that start see the first alone.
TEST_F(stream_origin_test, VersionThatWasNeverRecordedIsNotTakenForAnother)
{
    runFor({2'000});
    m_store.refusedPrefix = "briarhead/versions/";
    startSecondVersion();
    beginStreams();
    const std::size_t starts = totalStarts();
    killAll();
    removeServers("v2");
    m_store.refusedPrefix.clear();
    awaitRestart(starts + m_daemons.size());
    runFor({2'000}); // by then the first version is certain to be the only one
    takeUpAll();
}

}
