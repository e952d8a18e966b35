#include "serving/endless_server.h"
#include "soak/fleet_fixture.h"
#include "transport/backend_pool.h"

// Guards against servers whose answers never end: a daemon collected what they sent until it had used up its
// memory, and all its callers lost their requests.
namespace briarhead::soak {

namespace {

constexpr std::size_t atOnce = 10;
constexpr std::size_t maxGrowthKb = 32 * 1024;
/// From a request's arrival until its daemon has closed the connection to the server: the deadline, and some
/// time for a loaded machine.
constexpr millis closedWithin{6'000};
constexpr millis soundPause{50};
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string signature = "X-Briarhead-Server-Stamp: by-x\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string events = "Content-Type: text/event-stream\r\n";

struct endless_case
{
    const char *name;
    const char *path;
    std::string begin;
    std::string repeated;
    bool atOnceClosed =
        true; ///< what comes is no answer, so that the connection is closed before the deadline
};

std::ostream &operator<<(std::ostream &out, const endless_case &each)
{
    return out << each.name;
}

class endless_bytes_test : public fleet_fixture, public testing::WithParamInterface<endless_case>
{
protected:
    endless_server m_endless{m_loop, GetParam().begin, GetParam().repeated};
    backend_pool m_callers{m_loop};
    std::vector<std::shared_ptr<void>> m_traffic; ///< ends before the callers' pool
    std::size_t m_soundSent = 0;
    std::size_t m_soundServed = 0;

    void SetUp() override
    {
        fleet_fixture::SetUp();
        const auto route = [](const char *prefix, const char *kind) {
            return nlohmann::json{{"name", prefix}, {"host", "h"}, {"prefix", prefix}, {"routeType", kind},
                {"timeoutMs", 4'000}, {"targetLatencyMs", 1'000}, {"maxAttempts", 1}, {"service", "endless"}};
        };
        nlohmann::json config = nlohmann::json::parse(m_store.items.at("op/config").value);
        config["version"] = 2;
        config["routes"].push_back(route("/endless/", "non_idempotent"));
        config["routes"].push_back(route("/endless-stream/", "streaming"));
        config["services"].push_back({{"name", "endless"}});
        m_store.put("op/config", config.dump());
        m_store.put("servers/x",
            nlohmann::json{{"service", "endless"}, {"address", "127.0.0.1:" + std::to_string(m_endless.port)},
                {"zone", "z"}, {"slots", 64}, {"state", "ready"}, {"models", nlohmann::json::array()}}
                .dump());
        runFor({1'000});
    }
    void TearDown() override
    {
        m_traffic.clear();
        fleet_fixture::TearDown();
    }
    void send(const std::string &path, std::function<void(int)> done)
    {
        const std::string text = "GET " + path + "x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id"
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 4000\r\n\r\n";
        const auto status = std::make_shared<int>(0);
        send_handlers calls;
        calls.onHead = [status](const http_head &head) {
            *status = head.status;
            return true;
        };
        calls.onBody = [](const std::string &) {};
        calls.onEnd = [status, done = std::move(done)](const response_end &, const error &) {
            done(*status);
        };
        m_callers.start({"127.0.0.1", m_daemons[0].frontPort}, text, false, std::move(calls));
    }
};

}

TEST_P(endless_bytes_test, AreCutOffAndCostLittleMemory)
{
    m_traffic.push_back(m_loop.timer(soundPause, soundPause, [this] {
        ++m_soundSent;
        send("/safe/", [this](int status) {
            m_soundServed += status == 200 ? 1 : 0;
        });
    }));
    runFor({500});
    const std::size_t before = residentKb(m_daemons[0]);
    std::size_t highest = before;
    for (std::size_t i = 0; i < atOnce; ++i) {
        send(GetParam().path, [](int) {});
    }
    const millis began = bootNow();
    const millis bound = GetParam().atOnceClosed ? millis{2'000} : closedWithin;
    while ((m_endless.begun < atOnce || m_endless.closed < m_endless.begun) && bootNow() - began < bound) {
        runFor({20});
        highest = std::max(highest, residentKb(m_daemons[0]));
    }
    EXPECT_EQ(m_endless.begun, atOnce) << logOf(m_daemons[0]);
    EXPECT_EQ(m_endless.closed, m_endless.begun) << "after " << (bootNow() - began).count << " ms";
    EXPECT_LT(highest - before, maxGrowthKb) << m_endless.sentBytes / 1024 << " KB sent";
    m_traffic.clear();
    runFor({1'000});
    EXPECT_GE(m_soundServed + 1, m_soundSent) << "sound requests beside them";
}

INSTANTIATE_TEST_SUITE_P(Cases, endless_bytes_test,
    testing::Values(endless_case{"Head", "/endless/", ok, "X-A: 0123456789\r\n"},
        endless_case{"HeadLine", "/endless/", ok + "X-A: ", "0123456789"},
        endless_case{"InterimHeads", "/endless/", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_case{"UnsignedBody", "/endless/", ok + "\r\n", "0123456789"},
        endless_case{"UnsignedChunks", "/endless/", ok + chunked, "a\r\n0123456789\r\n"},
        endless_case{"ChunkExtension", "/endless/", ok + signature + chunked + "a;x=", "0123456789"},
        endless_case{"ChunkSizes", "/endless/", ok + signature + chunked, "ffffffffffffffff\r\n"},
        endless_case{"Trailers", "/endless/", ok + signature + chunked + "0\r\n", "X-A: 0123456789\r\n"},
        endless_case{"SignedBody", "/endless/", ok + signature + "\r\n", "0123456789", false},
        endless_case{"SignedChunks", "/endless/", ok + signature + chunked, "a\r\n0123456789\r\n", false},
        endless_case{"Failure", "/endless/", "HTTP/1.1 500 E\r\n" + signature + "\r\n", "0123456789", false},
        endless_case{"UnsignedEvents", "/endless-stream/", ok + events + "\r\n", "data: x\n\n"},
        endless_case{"Event", "/endless-stream/", ok + signature + events + "\r\ndata: ", "0123456789"},
        endless_case{"EventLines", "/endless-stream/", ok + signature + events + "\r\n", "data: x\n"},
        endless_case{"Comments", "/endless-stream/", ok + signature + events + "\r\n", ": x\n\n", false}),
    [](const testing::TestParamInfo<endless_case> &each) {
        return each.param.name;
    });

}
