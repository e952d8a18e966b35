#include "serving/limit_watch.h"

#include <algorithm>

namespace briarhead {

namespace {

constexpr double msPerSecond = 1'000;

}

std::optional<std::string> overLimit(
    const std::vector<limit_spell> &spells, std::vector<millis> arrivals, millis now)
{
    std::sort(arrivals.begin(), arrivals.end());
    for (const limit_spell &spell : spells) {
        const millis from = spell.from + limitContact;
        const millis until = spell.until.count == 0 ? now : spell.until;
        const double allowed =
            limitOverage * spell.perSecond * static_cast<double>(limitWindow.count) / msPerSecond
            + limitSlack;
        std::vector<millis> counted;
        std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(counted), [&](millis at) {
            return at >= from && at <= until;
        });
        std::size_t first = 0;
        for (std::size_t i = 0; i < counted.size(); ++i) {
            while (counted[first] + limitWindow <= counted[i]) {
                ++first;
            }
            const std::size_t got = i - first + 1;
            if (static_cast<double>(got) > allowed) {
                return std::to_string(got) + " requests within 4 s at a limit of "
                    + std::to_string(spell.perSecond) + " a second, "
                    + std::to_string((counted[i] - spell.from).count) + " ms after it was named";
            }
        }
    }
    return std::nullopt;
}

}
