#include "state/latency.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

constexpr int underflowBin = -1;
constexpr int overflowBin = static_cast<int>(latencyBins);
constexpr std::size_t allBins = latencyBins + 2;

}

namespace detail {

latency_bins makeLatencyBins()
{
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>{},
        latency_axis{static_cast<unsigned>(latencyBins), minLatencyMs, maxLatencyMs});
}

}

void record(latency_histogram &into, double ms)
{
    into.bins(ms);
    into.sumMs += ms;
}

void merge(latency_histogram &into, const latency_histogram &from)
{
    into.bins += from.bins;
    into.sumMs += from.sumMs;
}

std::uint64_t countOf(const latency_histogram &of)
{
    std::uint64_t count = 0;
    for (int bin = underflowBin; bin <= overflowBin; ++bin) {
        count += of.bins.at(bin);
    }
    return count;
}

double quantileMs(const latency_histogram &of, double quantile)
{
    const std::uint64_t count = countOf(of);
    if (count == 0) {
        return 0;
    }
    const auto rank = std::max<std::uint64_t>(1, std::ceil(quantile * static_cast<double>(count)));
    std::uint64_t below = 0;
    for (int bin = underflowBin; bin < overflowBin; ++bin) {
        below += of.bins.at(bin);
        if (below >= rank) {
            return of.bins.axis().value(bin + 1);
        }
    }
    return maxLatencyMs;
}

std::uint64_t countBelow(const latency_histogram &of, std::size_t doublings)
{
    std::uint64_t count = 0;
    const auto end = static_cast<int>(std::min(doublings * latencyBinsPerDoubling, latencyBins));
    for (int bin = underflowBin; bin < end; ++bin) {
        count += of.bins.at(bin);
    }
    return count;
}

std::vector<std::uint64_t> countsOf(const latency_histogram &of)
{
    std::vector<std::uint64_t> counts;
    for (int bin = underflowBin; bin <= overflowBin; ++bin) {
        counts.push_back(of.bins.at(bin));
    }
    while (!counts.empty() && counts.back() == 0) {
        counts.pop_back();
    }
    return counts;
}

bool setCounts(latency_histogram &of, const std::vector<std::uint64_t> &counts)
{
    if (counts.size() > allBins) {
        return false;
    }
    of.bins.reset();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        of.bins.at(static_cast<int>(i) + underflowBin) = counts[i];
    }
    return true;
}

}
