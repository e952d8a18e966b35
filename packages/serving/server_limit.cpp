#include "serving/server_limit.h"

namespace briarhead {

std::string_view nameOf(limit_change value)
{
    static constexpr std::string_view names[] = {"none", "named", "changed", "ended"};
    return names[static_cast<std::size_t>(value)];
}

limit_change hearLimit(
    named_limits &limits, const std::string &server, std::optional<double> limit, millis sentAt, millis now)
{
    const auto known = limits.find(server);
    if (!limit) {
        if (known == limits.end() || sentAt <= known->second.heard) {
            return limit_change::None;
        }
        limits.erase(known);
        return limit_change::Ended;
    }
    if (known == limits.end()) {
        limits[server] = {*limit, now};
        return limit_change::Named;
    }
    const bool same = known->second.perSecond == *limit;
    known->second = {*limit, now};
    return same ? limit_change::None : limit_change::Changed;
}

}
