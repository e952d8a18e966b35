#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace briarhead {

/// Four bins per doubling from 1 ms to 2^18 ms (about 4.4 min), so a reported quantile is at most 19% too
/// high. All instances of a release use the same axis, so their histograms can be summed.
constexpr std::size_t latencyDoublings = 18;
constexpr std::size_t latencyBinsPerDoubling = 4;
constexpr std::size_t latencyBins = latencyDoublings * latencyBinsPerDoubling;
constexpr double minLatencyMs = 1;
constexpr double maxLatencyMs = minLatencyMs * (1 << latencyDoublings);

namespace detail {

using latency_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_bins =
    boost::histogram::histogram<std::tuple<latency_axis>, boost::histogram::dense_storage<std::uint64_t>>;

latency_bins makeLatencyBins();

}

/// A histogram of durations over many requests. Its memory does not grow with the number of samples.
struct latency_histogram
{
    detail::latency_bins bins = detail::makeLatencyBins();
    double sumMs = 0;
};

void record(latency_histogram &into, double durationMs);
void merge(latency_histogram &into, const latency_histogram &from);
/// The total number of samples.
std::uint64_t countOf(const latency_histogram &histogram);

/// The upper edge, in milliseconds, of the bin that contains the quantile (0 to 1). 0 if there are no
/// samples; maxLatencyMs if the quantile lies in the overflow bin.
double quantileMs(const latency_histogram &histogram, double quantile);

/// The number of samples in the bins below 2^doublings ms.
std::uint64_t countBelow(const latency_histogram &histogram, std::size_t doublings);

/// The count of each bin from underflow to overflow, without the empty bins at the end.
std::vector<std::uint64_t> countsOf(const latency_histogram &histogram);
/// Sets the bins from the result of countsOf(). Returns false, and changes nothing, if there are more counts
/// than bins.
bool setCounts(latency_histogram &histogram, const std::vector<std::uint64_t> &counts);

}
