#pragma once

#include "soak/fleet_fixture.h"
#include "transport/backend_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarhead::soak {

struct kind_of_request
{
    const char *name;
    const char *path;
    const char *service;
};

inline std::ostream &operator<<(std::ostream &out, const kind_of_request &kind)
{
    return out << kind.path;
}

/// Callers at all daemons send requests of one kind at a steady rate.
class callers_fixture : public fleet_fixture, public testing::WithParamInterface<kind_of_request>
{
protected:
    backend_pool m_callers{m_loop};
    std::vector<std::shared_ptr<void>> m_traffic; ///< before the callers' pool goes
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_failed = 0;
    millis m_longestRefusal;
    std::vector<std::pair<millis, millis>> m_comeBacks; ///< when callers were refused, and were to come back

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
            + "x HTTP/1.1\r\nHost: h\r\nX-Briarhead-Request-Id: " + daemon.name + '.'
            + std::to_string(++m_lastId) + "\r\nX-Briarhead-Deadline-Ms: 4000\r\nContent-Length: 0\r\n";
        text += isModel() ? "X-Briarhead-Model: m0/a1\r\nX-Briarhead-Token-Count: 50,50\r\n" : "";
        const millis sent = bootNow();
        const auto seen = std::make_shared<http_head>();
        send_handlers calls;
        calls.onHead = [seen](const http_head &head) {
            *seen = head;
            return true;
        };
        calls.onBody = [](const std::string &) {};
        calls.onEnd = [this, seen, sent](const response_end &end, const error &) {
            const bool whole = resultOf(end) == send_result::Complete;
            m_served += whole && seen->status == 200 ? 1 : 0;
            m_failed += !whole || (seen->status != 200 && seen->status != 503) ? 1 : 0;
            if (whole && seen->status == 503) {
                ++m_refused;
                m_longestRefusal = std::max(m_longestRefusal, bootNow() - sent);
                const std::string *comeBack = findField(*seen, "retry-after");
                ASSERT_NE(comeBack, nullptr);
                const double seconds = std::stod(*comeBack);
                const millis now = bootNow();
                m_comeBacks.emplace_back(now, now + millis{std::llround(seconds * 1'000)});
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
};

constexpr kind_of_request kinds[] = {{"Stream", "/gen/", "llm"}, {"NonIdempotent", "/once/", "app"},
    {"ResumableStream", "/resume/", "llm"}, {"Idempotent", "/safe/", "app"}};

inline std::string nameOfKind(const testing::TestParamInfo<kind_of_request> &each)
{
    return each.param.name;
}

}
