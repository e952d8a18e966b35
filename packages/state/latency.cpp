#include "state/latency.h"

#include <algorithm>
#include <cmath>

namespace briarhead {

namespace {

constexpr int underflowBin = -1;
constexpr int overflowBin = static_cast<int>(latencyBins);
constexpr std::size_t binsWithUnderAndOverflow = latencyBins + 2;

}

namespace detail {

latency_bins makeLatencyBins()
{
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>{},
        latency_axis{static_cast<unsigned>(latencyBins), minLatencyMs, maxLatencyMs});
}

}

void record(latency_histogram &into, double durationMs)
{
    into.bins(durationMs);
    into.sumMs += durationMs;
}

void merge(latency_histogram &into, const latency_histogram &from)
{
    into.bins += from.bins;
    into.sumMs += from.sumMs;
}

std::uint64_t countOf(const latency_histogram &histogram)
{
    std::uint64_t count = 0;
    for (int bin = underflowBin; bin <= overflowBin; ++bin) {
        count += histogram.bins.at(bin);
    }
    return count;
}

double quantileMs(const latency_histogram &histogram, double quantile)
{
    const std::uint64_t count = countOf(histogram);
    if (count == 0) {
        return 0;
    }
    const auto rank = std::max<std::uint64_t>(1, std::ceil(quantile * static_cast<double>(count)));
    std::uint64_t cumulative = 0;
    for (int bin = underflowBin; bin < overflowBin; ++bin) {
        cumulative += histogram.bins.at(bin);
        if (cumulative >= rank) {
            return histogram.bins.axis().value(bin + 1);
        }
    }
    return maxLatencyMs;
}

std::uint64_t countBelow(const latency_histogram &histogram, std::size_t doublings)
{
    std::uint64_t count = 0;
    const auto end = static_cast<int>(std::min(doublings * latencyBinsPerDoubling, latencyBins));
    for (int bin = underflowBin; bin < end; ++bin) {
        count += histogram.bins.at(bin);
    }
    return count;
}

std::vector<std::uint64_t> countsOf(const latency_histogram &histogram)
{
    std::vector<std::uint64_t> counts;
    for (int bin = underflowBin; bin <= overflowBin; ++bin) {
        counts.push_back(histogram.bins.at(bin));
    }
    while (!counts.empty() && counts.back() == 0) {
        counts.pop_back();
    }
    return counts;
}

bool setCounts(latency_histogram &histogram, const std::vector<std::uint64_t> &counts)
{
    if (counts.size() > binsWithUnderAndOverflow) {
        return false;
    }
    histogram.bins.reset();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        histogram.bins.at(static_cast<int>(i) + underflowBin) = counts[i];
    }
    return true;
}

}
