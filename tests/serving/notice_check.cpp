#include "serving/notice_check.h"

#include <algorithm>

namespace briarhead {

std::optional<std::string> findSendAfterLeaving(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf)
{
    for (const received_request &arrival : arrivals) {
        const std::string sender = senderOf(arrival.id, arrival.at);
        const auto notice = std::find_if(notices.begin(), notices.end(), [&](const sent_notice &each) {
            return each.leaving && each.at + leavingReactionTime < arrival.at
                && senderOf(each.id, each.at) == sender;
        });
        if (!sender.empty() && notice != notices.end()) {
            return sender + " sent " + arrival.id + ' ' + std::to_string((arrival.at - notice->at).count)
                + " ms after it was told that the server leaves";
        }
    }
    return std::nullopt;
}

std::optional<std::string> findSendInPause(const std::vector<sent_notice> &notices,
    const std::vector<received_request> &arrivals, const sender_of &senderOf)
{
    for (const sent_notice &notice : notices) {
        const std::string paused = senderOf(notice.id, notice.at);
        if (paused.empty() || notice.pause <= millis{}) {
            continue;
        }
        const auto count = static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const auto &arrival) {
                return arrival.at > notice.at + pauseReactionTime && arrival.at < notice.at + notice.pause
                    && senderOf(arrival.id, arrival.at) == paused;
            }));
        if (count > maxRequestsInPause) {
            return paused + " sent " + std::to_string(count) + " requests in a pause of "
                + std::to_string(notice.pause.count) + " ms";
        }
    }
    return std::nullopt;
}

}
