#include "standins/weight_store_standin.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1000.0;
/// Below this a load counts as whole; rounding to milliseconds leaves such remainders.
constexpr double roundingShare = 1e-6;

}

weight_store_standin::weight_store_standin(loop &eventLoop, double loadsPerSecond)
    : standin_server(eventLoop, "weight-store")
    , m_loadsPerSecond(loadsPerSecond)
    , m_advancedAt(bootNow())
{
}

weight_store_standin::load_id weight_store_standin::load(const std::string &path, on_loaded done)
{
    const load_id id = ++m_lastId;
    advance();
    m_transfers[id] = {path, std::move(done), bootNow()};
    if (m_refuse) {
        later({}, [this, id] {
            finish(id, "refused");
        });
        return id;
    }
    arm();
    return id;
}

void weight_store_standin::cancel(load_id id)
{
    advance();
    m_transfers.erase(id);
    arm();
}

nlohmann::json weight_store_standin::summary() const
{
    json counts = standin_server::summary();
    counts["loading"] = m_transfers.size();
    return counts;
}

void weight_store_standin::setFaults(const json &faults)
{
    advance();
    m_loadsPerSecond = faults.value("loads_per_second", m_loadsPerSecond);
    m_refuse = faults.value("refuse", m_refuse);
    m_failLoads = faults.value("fail_loads", m_failLoads);
    m_paused = faults.value("paused", m_paused);
    arm();
    standin_server::setFaults(faults);
}

void weight_store_standin::advance()
{
    const millis now = bootNow();
    const auto elapsedMs = static_cast<double>((now - m_advancedAt).count);
    m_advancedAt = now;
    if (m_paused || m_transfers.empty()) {
        return;
    }
    const double share = elapsedMs / msPerSecond * m_loadsPerSecond / static_cast<double>(m_transfers.size());
    for (auto &[id, one] : m_transfers) {
        one.left -= share;
    }
}

void weight_store_standin::arm()
{
    m_timer = nullptr;
    if (m_paused || m_transfers.empty()) {
        return;
    }
    const auto next =
        std::min_element(m_transfers.begin(), m_transfers.end(), [](const auto &a, const auto &b) {
            return a.second.left < b.second.left;
        });
    const double wait = std::max(next->second.left, 0.0) * static_cast<double>(m_transfers.size())
        / m_loadsPerSecond * msPerSecond;
    m_timer = eventLoop().timer({std::llround(std::ceil(wait))}, {}, [this, id = next->first] {
        advance();
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end() || found->second.left > roundingShare) {
            arm();
            return;
        }
        const bool fails = m_failLoads > 0;
        m_failLoads -= fails ? 1 : 0;
        finish(id, fails ? "failed" : "loaded");
    });
}

void weight_store_standin::finish(load_id id, std::string_view result)
{
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
        return;
    }
    const transfer ended = std::move(found->second);
    m_transfers.erase(found);
    arm();
    note("store_load", {{"path", ended.path}, {"begun_ms", ended.begun.count}, {"result", result}});
    ended.done(result == "loaded");
}

}
