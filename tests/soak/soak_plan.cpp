#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace briarhead::soak {

namespace {

constexpr std::int64_t meanPauseMs = 700;
constexpr std::int64_t calmStartMs = 2'000;
constexpr std::int64_t shortestMs = 100;
constexpr std::int64_t longestMs = 2'500;
/// Long enough for the rule on first attempts to bind for a while.
constexpr std::int64_t shortestCutMs = 4'500;
constexpr double seriesShare = 0.33;
constexpr int cutResponsesOneIn = 10;
constexpr std::size_t variants = 8;
constexpr std::int64_t shortestFatalMs = 150;
constexpr std::int64_t allRoutes = 4;
constexpr int serverSpells = 2;
constexpr std::int64_t shortestSpellMs = 400;
constexpr std::int64_t shortestCrowdMs = 2'000;
constexpr std::size_t firstModelRoute = 2;
constexpr std::int64_t modelRoutes = 2;
/// Servers that ended are back before the recovery is looked at.
constexpr millis fatalCalmEnd{1'500};

struct weighted_kind
{
    fault_kind kind;
    double weight;
};

constexpr std::array<weighted_kind, 12> kinds{
    {{fault_kind::KillDaemon, 2}, {fault_kind::PauseDaemon, 2}, {fault_kind::EndDaemon, 2},
        {fault_kind::RereadSettings, 1}, {fault_kind::StoreTrouble, 2}, {fault_kind::StoreLink, 3},
        {fault_kind::ServerLink, 3}, {fault_kind::ServerMood, 4}, {fault_kind::CrashServer, 2},
        {fault_kind::ChangeConfig, 3}, {fault_kind::NameVersion, 1}, {fault_kind::ForgetHistory, 1}}};

/// A function that draws a number from 0 up to its argument, without that.
auto drawsBelow(std::mt19937_64 &random)
{
    return [&random](std::int64_t bound) {
        return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random);
    };
}

std::vector<server_spell> drawServerSpells(std::uint64_t seed, millis length, std::size_t servers)
{
    std::mt19937_64 random(seed);
    const auto below = drawsBelow(random);
    std::vector<server_spell> spells;
    spells.reserve(serverSpells);
    for (int i = 0; i < serverSpells; ++i) {
        spells.push_back({{calmStartMs + below(std::max<std::int64_t>(length.count - 2 * calmStartMs, 1))},
            {shortestSpellMs + below(shortestSpellMs)},
            static_cast<std::size_t>(below(static_cast<std::int64_t>(servers)))});
    }
    return spells;
}

fatal_spell drawSpell(std::uint64_t seed, millis length, std::size_t firstRoute, std::int64_t routes)
{
    std::mt19937_64 random(seed);
    const auto below = drawsBelow(random);
    fatal_spell spell;
    spell.from = {calmStartMs / 2 + below(calmStartMs)};
    spell.until = length - fatalCalmEnd;
    spell.every = {shortestFatalMs + below(shortestFatalMs)};
    spell.route = firstRoute + static_cast<std::size_t>(below(routes));
    return spell;
}

}

std::string_view nameOf(fault_kind value)
{
    static constexpr std::array<std::string_view, 12> names{"kill daemon", "pause daemon", "end daemon",
        "reread settings", "store trouble", "store link", "server link", "server mood", "crash server",
        "change configuration", "name version", "forget history"};
    return names[static_cast<std::size_t>(value)];
}

std::vector<fault> drawFaults(std::uint64_t seed, millis length, std::size_t daemons, std::size_t servers)
{
    std::mt19937_64 random(seed);
    const auto below = drawsBelow(random);
    std::vector<double> weights;
    weights.reserve(kinds.size());
    for (const weighted_kind &each : kinds) {
        weights.push_back(each.weight);
    }
    std::discrete_distribution<std::size_t> kindOf(weights.begin(), weights.end());
    std::vector<fault> faults;
    std::int64_t at = calmStartMs;
    while (true) {
        at += 1 + below(2 * meanPauseMs);
        if (at >= length.count) {
            break;
        }
        fault one;
        one.kind = kinds[kindOf(random)].kind;
        const bool ofDaemon = one.kind <= fault_kind::RereadSettings || one.kind == fault_kind::StoreLink;
        one.target = static_cast<std::size_t>(below(static_cast<std::int64_t>(ofDaemon ? daemons : servers)));
        one.variant = static_cast<std::size_t>(below(variants));
        const bool series = std::uniform_real_distribution<double>(0, 1)(random) < seriesShare;
        for (std::int64_t i = 0, from = at; i < (series ? 3 : 1) && from < length.count; ++i) {
            one.at = {from};
            one.lasts = {std::min(shortestMs + below(longestMs - shortestMs), length.count - from)};
            faults.push_back(one);
            from += one.lasts.count + 1 + below(meanPauseMs);
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const fault &a, const fault &b) {
        return a.at < b.at;
    });
    return faults;
}

fatal_spell drawFatalSpell(std::uint64_t seed, millis length)
{
    return drawSpell(seed * 31 + 17, length, 0, allRoutes);
}

fatal_spell drawFatalPartSpell(std::uint64_t seed, millis length)
{
    return drawSpell(seed * 41 + 23, length, firstModelRoute, modelRoutes);
}

std::vector<server_spell> drawEndless(std::uint64_t seed, millis length, std::size_t servers)
{
    return drawServerSpells(seed * 71 + 5, length, servers);
}

std::vector<server_spell> drawSpoiling(std::uint64_t seed, millis length, std::size_t modelServers)
{
    return drawServerSpells(seed * 79 + 3, length, modelServers);
}

std::vector<server_spell> drawSlowConnects(std::uint64_t seed, millis length, std::size_t servers)
{
    return drawServerSpells(seed * 83 + 7, length, servers);
}

std::vector<crowd_plan> drawCrowds(std::uint64_t seed, millis length, std::size_t daemons)
{
    std::mt19937_64 random(seed * 73 + 11);
    const auto below = drawsBelow(random);
    std::vector<crowd_plan> plans;
    const auto first = static_cast<std::size_t>(below(static_cast<std::int64_t>(daemons)));
    const millis lasts{shortestCrowdMs + below(shortestCrowdMs)};
    const millis at{calmStartMs + below(std::max<std::int64_t>(length.count - 4 * shortestCrowdMs, 1))};
    plans.push_back({at, lasts, first});
    plans.push_back({at + lasts, lasts, (first + 1) % daemons});
    return plans;
}

std::vector<limit_change_plan> drawLimits(std::uint64_t seed, millis length, std::size_t servers)
{
    std::mt19937_64 random(seed * 53 + 29);
    const auto below = drawsBelow(random);
    static constexpr double limits[] = {0.1, 0.5, 1, 1.7, 4, 9};
    std::vector<limit_change_plan> changes;
    for (std::size_t server = 0; server < servers; ++server) {
        if (below(2) == 0) {
            continue;
        }
        const millis from{calmStartMs / 4 + below(calmStartMs)};
        changes.push_back({from, server, limits[below(std::size(limits))]});
        if (below(2) == 0) { // it changes in the second half
            const millis at{length.count / 2 + below(std::max<std::int64_t>(length.count / 4, 1))};
            const bool ends = below(3) == 0;
            changes.push_back(
                {at, server, ends ? std::nullopt : std::optional(limits[below(std::size(limits))])});
        }
    }
    return changes;
}

std::vector<cut_plan> drawCuts(std::uint64_t seed, millis length, std::size_t domains)
{
    std::mt19937_64 random(seed * 97 + 5);
    const auto below = drawsBelow(random);
    std::vector<cut_plan> cuts;
    std::int64_t at = calmStartMs / 2 + below(calmStartMs);
    while (at + shortestCutMs < length.count) {
        const std::int64_t lasts = std::min(shortestCutMs + below(shortestCutMs), length.count - at);
        cuts.push_back({{at}, {lasts}, static_cast<std::size_t>(below(static_cast<std::int64_t>(domains))),
            static_cast<std::size_t>(below(variants))});
        at += lasts + shortestMs + below(longestMs);
    }
    return cuts;
}

std::vector<power_loss_plan> drawPowerLosses(std::uint64_t seed, millis length)
{
    std::mt19937_64 random(seed * 89 + 13);
    const auto below = drawsBelow(random);
    std::vector<power_loss_plan> plans;
    std::int64_t at = calmStartMs + shortestCrowdMs + below(2 * calmStartMs);
    while (at + 2 * calmStartMs < length.count) {
        const millis before{below(2 * longestMs / 2)};
        plans.push_back({{at}, before, {below(2 * longestMs)}, static_cast<std::size_t>(below(variants))});
        at += shortestCutMs + below(shortestCutMs);
    }
    return plans;
}

std::vector<brittle_plan> drawBrittle(std::uint64_t seed, std::size_t first, std::size_t last)
{
    std::mt19937_64 random(seed * 101 + 3);
    const auto below = drawsBelow(random);
    std::vector<brittle_plan> plans;
    for (std::size_t server = first; server < last; ++server) {
        if (below(2) == 0) {
            plans.push_back({{below(calmStartMs)}, server, static_cast<int>(3 + below(6))});
        }
    }
    return plans;
}

std::vector<word_plan> drawWords(std::uint64_t seed, millis length, std::size_t servers)
{
    std::mt19937_64 random(seed * 71 + 41);
    const auto below = drawsBelow(random);
    static constexpr const char *pauses[] = {"0.4", "1", "2.5", "", ""};
    std::vector<word_plan> words;
    for (std::size_t server = 0; server < servers; ++server) {
        if (below(2) == 0) {
            continue;
        }
        const millis from{calmStartMs + below(std::max<std::int64_t>(length.count / 2, 1))};
        const millis lasts{longestMs + below(longestMs)};
        words.push_back({from, lasts, server, pauses[below(std::size(pauses))]});
    }
    return words;
}

ending_plan drawEnding(std::uint64_t seed, std::size_t server, int start)
{
    std::mt19937_64 random(seed * 131 + server * 17 + static_cast<std::uint64_t>(start));
    const auto below = drawsBelow(random);
    ending_plan plan;
    plan.byConnection = below(2) == 0;
    plan.cutOneIn = below(2) == 0 ? cutResponsesOneIn : 0;
    // Two versions serve from the start on; which one a server comes back with is random.
    plan.secondVersion = start == 1 ? server % 2 == 1 : below(2) == 0;
    return plan;
}

}
