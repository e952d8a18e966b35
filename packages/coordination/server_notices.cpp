#include "coordination/server_notices.h"

#include <algorithm>

namespace briarhead {

bool hearLeaving(server_words &words, const std::string &start, millis now)
{
    std::erase_if(words.leaving, [now](const auto &each) {
        return now - each.second > leavingKept;
    });
    return words.leaving.emplace(start, now).second;
}

bool hearPause(
    server_words &words, const std::string &start, const std::string &daemon, millis pause, millis now)
{
    std::erase_if(words.pauses, [now](const auto &each) {
        return each.second <= now;
    });
    if (pause <= millis{}) {
        return false;
    }
    millis &until = words.pauses[{start, daemon}];
    const millis asked = now + std::min(pause, longestPause);
    const bool longer = asked > until;
    until = std::max(until, asked);
    return longer;
}

bool isLeaving(const server_words &words, const std::string &start)
{
    return words.leaving.count(start) != 0;
}

millis pauseLeft(const server_words &words, const std::string &start, const std::string &daemon, millis now)
{
    const auto found = words.pauses.find({start, daemon});
    return found == words.pauses.end() ? millis{} : std::max(found->second - now, millis{});
}

}
