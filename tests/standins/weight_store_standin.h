#pragma once

#include "standins/standin_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace briarhead {

/// The platform's weight store: all loads share one rate, so one load alone goes at full speed and N at a
/// time take N times as long. Engines in this process call load(). Further faults:
///   {"loads_per_second": n, "refuse": bool, "fail_loads": n, "paused": bool}
class weight_store_standin : public standin_server
{
public:
    weight_store_standin(loop &eventLoop, double loadsPerSecond);

    using load_id = std::uint64_t;
    using on_loaded = std::function<void(bool ok)>;
    /// `done` comes exactly once unless the load is cancelled, never from inside load().
    load_id load(const std::string &path, on_loaded done);
    void cancel(load_id id);

    json summary() const override;
    void setFaults(const json &faults) override;

private:
    struct transfer
    {
        std::string path;
        on_loaded done;
        millis begun;
        double left = 1; ///< share of the load still to come
    };

    void advance();
    void arm();
    void finish(load_id id, std::string_view result);

    double m_loadsPerSecond;
    bool m_refuse = false;
    bool m_paused = false;
    std::uint32_t m_failLoads = 0;
    std::map<load_id, transfer> m_transfers;
    load_id m_lastId = 0;
    millis m_advancedAt;
    std::shared_ptr<void> m_timer;
};

}
