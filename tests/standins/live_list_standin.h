#pragma once

#include "standins/standin_server.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace briarhead {

/// The platform's list of live and leaving instances, as transport/live_list.h describes it. A change
/// shows after the lag. POST /standin/instances {"changed": [...], "gone": [...]} changes it.
/// Further faults: {"lag_ms": n}
class live_list_standin : public standin_server
{
public:
    live_list_standin(loop &eventLoop, millis lag);

    /// Instances in the list's own JSON shape, and the names of those that went.
    void change(const std::vector<json> &changed, const std::vector<std::string> &gone);
    /// Shows all changes at once, as for a list that stood before anything started.
    void settle();
    void setFaults(const json &faults) override;

private:
    struct line
    {
        json instance;
        bool gone = false;
        std::uint64_t revision = 0;
    };
    struct pending_line
    {
        millis visibleAt;
        json instance;
        bool gone = false;
    };

    void serveList(const http_request &request, const reply_ptr &reply);
    void showDue(millis now);

    millis m_lag;
    std::uint64_t m_revision = 0;
    std::map<std::string, line> m_lines;
    std::deque<pending_line> m_pending;
};

}
