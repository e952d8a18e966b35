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

/// Four bins per doubling from 1 ms to 2^18 ms (about 4.4 min): a quantile is at most 19% too high. All
/// instances of one release use the same axis, so their histograms add up.
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

/// How long something took, over many requests. Memory is fixed, whatever is recorded.
struct latency_histogram
{
    detail::latency_bins bins = detail::makeLatencyBins();
    double sumMs = 0;
};

void record(latency_histogram &into, double ms);
void merge(latency_histogram &into, const latency_histogram &from);
std::uint64_t countOf(const latency_histogram &of);

/// The upper edge of the bin that holds the quantile, in milliseconds; 0 without samples, and the end of the
/// axis for a quantile past it.
double quantileMs(const latency_histogram &of, double quantile);

/// Samples at or under 2^doublings ms.
std::uint64_t countBelow(const latency_histogram &of, std::size_t doublings);

/// The counts from underflow to overflow, without the empty bins at the end.
std::vector<std::uint64_t> countsOf(const latency_histogram &of);
/// The reverse; false, and nothing set, for more counts than the axis has bins.
bool setCounts(latency_histogram &of, const std::vector<std::uint64_t> &counts);

}
