#include "soak/fleet_fixture.h"
#include "transport/backend_pool.h"

namespace briarhead::soak {

namespace {

struct kind_of_request
{
    const char *name;
    const char *path;
    const char *service;
};

std::ostream &operator<<(std::ostream &out, const kind_of_request &kind)
{
    return out << kind.path;
}

/// Callers at all daemons send requests of one kind at a steady rate.
class server_limit_test : public fleet_fixture, public testing::WithParamInterface<kind_of_request>
{
protected:
    backend_pool m_callers{m_loop};
    std::vector<std::shared_ptr<void>> m_traffic; ///< before the callers' pool goes
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_failed = 0;
    millis m_longestRefusal;

    void TearDown() override
    {
        m_traffic.clear();
        fleet_fixture::TearDown();
    }
    bool isModel() const
    {
        return std::string(GetParam().service) == "llm";
    }
    void sendOne(const daemon_process &daemon)
    {
        std::string text = std::string("POST ") + GetParam().path
            + "x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: id" + std::to_string(++m_lastId)
            + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nContent-Length: 0\r\n";
        text += isModel() ? "X-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: 50,50\r\n" : "";
        const millis sent = bootNow();
        const auto seen = std::make_shared<http_head>();
        send_handlers calls;
        calls.onHead = [seen](const http_head &head) {
            *seen = head;
            return true;
        };
        calls.onBody = [](const std::string &) {};
        calls.onEnd = [this, seen, sent](send_end how, const error &) {
            const bool whole = how == send_end::Whole;
            m_served += whole && seen->status == 200 ? 1 : 0;
            m_failed += !whole || (seen->status != 200 && seen->status != 503) ? 1 : 0;
            if (whole && seen->status == 503) {
                ++m_refused;
                m_longestRefusal = std::max(m_longestRefusal, bootNow() - sent);
                EXPECT_NE(findField(*seen, "retry-after"), nullptr);
            }
        };
        m_callers.start({"127.0.0.1", daemon.frontPort}, text + "\r\n", false, std::move(calls));
    }
    /// At each daemon one request in so long.
    void sendEvery(millis pause)
    {
        m_traffic.push_back(m_loop.timer(pause, pause, [this] {
            for (const daemon_process &daemon : m_daemons) {
                if (daemon.pid != 0) {
                    sendOne(daemon);
                }
            }
        }));
    }
    std::vector<backend_standin *> serversOfKind()
    {
        std::vector<backend_standin *> out;
        for (const auto &[id, server] : m_servers) {
            if (id.starts_with(GetParam().service)) {
                out.push_back(server.get());
            }
        }
        return out;
    }
    void expectWithinLimits()
    {
        for (const backend_standin *server : serversOfKind()) {
            EXPECT_EQ(server->overLimit().value_or(""), "") << server->id;
        }
    }
};

}

// Each daemon sent as if a server had named no limit: the limit of all was exceeded by any of them.
TEST_P(server_limit_test, OfAFewServersHoldsForAllDaemonsTogether)
{
    sendEvery({40});
    runFor({1'000});
    const auto servers = serversOfKind();
    servers[0]->nameLimit(1);
    servers[1]->nameLimit(2.5);
    runFor(limitContact + limitWindow + millis{2'000});
    expectWithinLimits();
    EXPECT_GE(m_served, (m_served + m_refused) * 9 / 10) << "others take what these may not";
    EXPECT_EQ(m_failed, 0U);
}

INSTANTIATE_TEST_SUITE_P(Kinds, server_limit_test,
    testing::Values(kind_of_request{"Stream", "/gen/", "llm"},
        kind_of_request{"ResumableStream", "/resume/", "llm"}, kind_of_request{"Idempotent", "/safe/", "app"},
        kind_of_request{"NonIdempotent", "/once/", "app"}),
    [](const testing::TestParamInfo<kind_of_request> &each) {
        return each.param.name;
    });

}
