#include "serving/word_watch.h"

#include <algorithm>

namespace briarhead {

std::optional<std::string> afterLeaving(const std::vector<said_word> &said,
    const std::vector<server_arrival> &arrivals, const sender_of &senderOf)
{
    for (const server_arrival &each : arrivals) {
        const std::string sender = senderOf(each.id, each.at);
        const auto told = std::find_if(said.begin(), said.end(), [&](const said_word &word) {
            return word.leaving && word.at + leavingContact < each.at && senderOf(word.id, word.at) == sender;
        });
        if (!sender.empty() && told != said.end()) {
            return sender + " sent " + each.id + ' ' + std::to_string((each.at - told->at).count)
                + " ms after it was told that the server leaves";
        }
    }
    return std::nullopt;
}

std::optional<std::string> withinPause(const std::vector<said_word> &said,
    const std::vector<server_arrival> &arrivals, const sender_of &senderOf)
{
    for (const said_word &word : said) {
        const std::string asked = senderOf(word.id, word.at);
        if (asked.empty() || word.pause <= millis{}) {
            continue;
        }
        const auto count =
            static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &each) {
                return each.at > word.at + pauseContact && each.at < word.at + word.pause
                    && senderOf(each.id, each.at) == asked;
            }));
        if (count > pauseAllowed) {
            return asked + " sent " + std::to_string(count) + " requests in a pause of "
                + std::to_string(word.pause.count) + " ms";
        }
    }
    return std::nullopt;
}

}
