#include "scheduling/limit_check.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

}

std::optional<std::string> findLimitViolation(
    const std::vector<limit_period> &periods, std::vector<millis> arrivals, millis now)
{
    std::sort(arrivals.begin(), arrivals.end());
    for (const limit_period &period : periods) {
        const millis from = period.from + limitReactionTime;
        const millis until = period.until.count == 0 ? now : period.until;
        const double allowed =
            maxLimitOverage * period.perSecond * static_cast<double>(limitWindow.count) / msPerSecond
            + limitSlackRequests;
        std::vector<millis> counted;
        std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(counted), [&](millis at) {
            return at >= from && at <= until;
        });
        std::size_t first = 0;
        for (std::size_t i = 0; i < counted.size(); ++i) {
            while (counted[first] + limitWindow <= counted[i]) {
                ++first;
            }
            const std::size_t count = i - first + 1;
            if (static_cast<double>(count) > allowed) {
                return std::to_string(count) + " requests within 4 s at a limit of "
                    + std::to_string(period.perSecond) + " a second, "
                    + std::to_string((counted[i] - period.from).count) + " ms after it was named";
            }
        }
    }
    return std::nullopt;
}

}
