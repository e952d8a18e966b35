#include "load/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace briarhead::load {

namespace {

constexpr double msPerSecond = 1'000;
/// Requests a second that 12 engines with 16 places just answer in time, found by --rate
/// (docs/MEASUREMENTS.md).
constexpr double kneePerSecond = 100;
/// The first caller sends this share of all requests, the others equal parts of the rest.
constexpr double busyCallerShare = 0.3;
/// A burst takes one of so many most popular adapters; most of them are not resident.
constexpr std::uint32_t burstRanks = 400;
constexpr millis burstSpan{100};

class generator
{
public:
    generator(const workload &of, const schedule &when);

    std::vector<arrival> all();

private:
    double rateAt(double ms) const;
    std::uint32_t rankByPopularity();
    std::uint32_t adapterAt(std::uint32_t rank, double ms) const;
    arrival one(double ms);
    void addBurst(double ms, std::vector<arrival> &to);
    double after(double perSecond);
    double uniform(double from, double to);

    const workload &m_of;
    const schedule &m_when;
    std::mt19937_64 m_random;
    std::vector<double> m_popularity; ///< summed, by rank
    std::vector<std::uint32_t> m_adapters; ///< by rank
};

generator::generator(const workload &of, const schedule &when)
    : m_of(of)
    , m_when(when)
    , m_random(when.seed)
    , m_popularity(adapterCount)
    , m_adapters(adapterCount)
{
    double sum = 0;
    for (std::uint32_t rank = 0; rank < adapterCount; ++rank) {
        sum += std::pow(rank + 1.0, -of.zipfExponent);
        m_popularity[rank] = sum;
    }
    std::iota(m_adapters.begin(), m_adapters.end(), 0U);
    std::shuffle(m_adapters.begin(), m_adapters.end(), m_random);
}

double generator::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

double generator::after(double perSecond)
{
    return std::exponential_distribution<double>(perSecond / msPerSecond)(m_random);
}

double generator::rateAt(double ms) const
{
    const double into = ms - static_cast<double>(m_when.warmUp.count);
    if (into < 0) {
        return m_of.startRate;
    }
    // A rise, a plateau and a fall of a third of the time each.
    const double third = static_cast<double>(m_when.measured.count) / 3;
    const double fromEnd = std::min(into, 3 * third - into);
    return m_of.startRate + (m_of.peakRate - m_of.startRate) * std::clamp(fromEnd / third, 0.0, 1.0);
}

std::uint32_t generator::rankByPopularity()
{
    const double at = uniform(0, m_popularity.back());
    const auto found = std::lower_bound(m_popularity.begin(), m_popularity.end(), at);
    return static_cast<std::uint32_t>(found - m_popularity.begin());
}

std::uint32_t generator::adapterAt(std::uint32_t rank, double ms) const
{
    const auto half =
        static_cast<double>(m_when.warmUp.count) + static_cast<double>(m_when.measured.count) / 2;
    const std::uint32_t moved = m_of.shifts && ms >= half ? adapterCount / 2 : 0;
    return m_adapters[(rank + moved) % adapterCount];
}

arrival generator::one(double ms)
{
    arrival request;
    request.at = {std::llround(ms)};
    request.adapter = adapterAt(rankByPopularity(), ms);
    const double who = uniform(0, 1);
    const double others = (who - busyCallerShare) / (1 - busyCallerShare) * (callerCount - 1);
    request.caller = who < busyCallerShare ? 0 : 1 + static_cast<std::uint32_t>(others);
    request.tokens = static_cast<std::uint32_t>(uniform(m_of.fewestTokens, m_of.mostTokens + 1));
    const auto shortest = static_cast<double>(m_of.shortestDeadline.count);
    request.deadline = {std::llround(uniform(shortest, static_cast<double>(m_of.longestDeadline.count)))};
    return request;
}

void generator::addBurst(double ms, std::vector<arrival> &to)
{
    const auto rank = static_cast<std::uint32_t>(uniform(0, burstRanks));
    const auto caller = static_cast<std::uint32_t>(uniform(1, callerCount));
    for (std::uint32_t i = 0; i < m_of.burstRequests; ++i) {
        arrival request = one(ms + uniform(0, static_cast<double>(burstSpan.count)));
        request.adapter = adapterAt(rank, ms);
        request.caller = caller;
        request.rank = priority::High;
        to.push_back(request);
    }
}

std::vector<arrival> generator::all()
{
    std::vector<arrival> list;
    const auto end = static_cast<double>((m_when.warmUp + m_when.measured).count);
    const double highest = std::max(m_of.startRate, m_of.peakRate);
    const double kneeRate = kneePerSecond * m_when.rateFactor;
    // Poisson arrivals at the highest rate, thinned to the rate of the moment.
    for (double ms = after(highest * kneeRate); ms < end; ms += after(highest * kneeRate)) {
        if (uniform(0, highest) < rateAt(ms)) {
            list.push_back(one(ms));
        }
    }
    if (m_of.burstsPerSecond > 0) {
        for (double ms = after(m_of.burstsPerSecond); ms < end; ms += after(m_of.burstsPerSecond)) {
            addBurst(ms, list);
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const arrival &a, const arrival &b) {
        return a.at < b.at;
    });
    return list;
}

workload popisnicaAt(std::string_view name, double rate)
{
    return {.name = name,
        .stallWeight = 0.2,
        .startRate = rate,
        .peakRate = rate,
        .zipfExponent = 1.5,
        .fewestTokens = 24,
        .mostTokens = 72,
        .shortestDeadline{4'000},
        .longestDeadline{6'000},
        .burstsPerSecond = 0,
        .burstRequests = 0};
}

std::vector<workload> makeWorkloads()
{
    constexpr double quiet = 0.5;
    constexpr double usual = 0.8;
    constexpr double overloaded = 1.5;
    workload popisnica = popisnicaAt("popisnica", quiet);
    popisnica.peakRate = 1;
    const workload sorakaze{.name = "sorakaze",
        .stallWeight = 0.8,
        .startRate = usual,
        .peakRate = usual,
        .zipfExponent = 1.5,
        .fewestTokens = 16,
        .mostTokens = 64,
        .shortestDeadline{2'000},
        .longestDeadline{4'000},
        .burstsPerSecond = 0.5,
        .burstRequests = 12};
    workload shift = popisnicaAt("shift", usual);
    shift.shifts = true;
    workload cold = popisnicaAt("cold", usual);
    cold.coldEngines = 2;
    workload slowStore = popisnicaAt("slow-store", usual);
    slowStore.storeShare = 1.0 / 3;
    return {popisnica, sorakaze, shift, cold, slowStore, popisnicaAt("knee", 1),
        popisnicaAt("overload", overloaded)};
}

}

const std::vector<workload> &allWorkloads()
{
    static const std::vector<workload> all = makeWorkloads();
    return all;
}

std::optional<workload> workloadOf(std::string_view name)
{
    const auto &all = allWorkloads();
    const auto found = std::find_if(all.begin(), all.end(), [name](const workload &one) {
        return one.name == name;
    });
    return found == all.end() ? std::nullopt : std::optional(*found);
}

std::vector<arrival> arrivalsOf(const workload &of, const schedule &when)
{
    return generator(of, when).all();
}

}
