#include "coordination/server_notices.h"

#include <algorithm>

namespace briarhead {

bool recordLeaving(server_notices &notices, const std::string &incarnation, millis now)
{
    std::erase_if(notices.leaving, [now](const auto &each) {
        return now - each.second > leavingRetention;
    });
    return notices.leaving.emplace(incarnation, now).second;
}

bool recordPause(server_notices &notices, const std::string &incarnation, const std::string &daemon,
    millis pause, millis now)
{
    std::erase_if(notices.pauses, [now](const auto &each) {
        return each.second <= now;
    });
    if (pause <= millis{}) {
        return false;
    }
    millis &until = notices.pauses[{incarnation, daemon}];
    const millis requestedUntil = now + std::min(pause, maxServerPause);
    const bool longer = requestedUntil > until;
    until = std::max(until, requestedUntil);
    return longer;
}

bool isLeaving(const server_notices &notices, const std::string &incarnation)
{
    return notices.leaving.count(incarnation) != 0;
}

millis pauseLeft(
    const server_notices &notices, const std::string &incarnation, const std::string &daemon, millis now)
{
    const auto found = notices.pauses.find({incarnation, daemon});
    return found == notices.pauses.end() ? millis{} : std::max(found->second - now, millis{});
}

}
