#include "serving/edge_metrics.h"

#include <sys/resource.h>

#include <sstream>

namespace briarhead {

namespace {

constexpr double quantiles[] = {0.5, 0.95, 0.99};
constexpr std::int64_t bytesPerKilobyte = 1'024;

template <class value_type>
void put(std::ostringstream &out, const char *name, const value_type &value)
{
    out << "briarhead_" << name << ' ' << value << '\n';
}

void put(std::ostringstream &out, const char *name, const latency_histogram &of)
{
    for (const double q : quantiles) {
        out << "briarhead_" << name << "_ms{quantile=\"" << q << "\"} " << quantileMs(of, q) << '\n';
    }
    out << "briarhead_" << name << "_ms_count " << countOf(of) << '\n';
}

void putFront(std::ostringstream &out, const front_counters &front)
{
    for (const auto &[of, count] : front.ended) {
        out << "briarhead_requests_total{kind=\"" << of.first << "\",outcome=\"" << of.second << "\"} "
            << count << '\n';
    }
    for (const auto &[why, count] : front.refused) {
        out << "briarhead_requests_refused_total{why=\"" << why << "\"} " << count << '\n';
    }
    for (const auto &[name, account] : front.accounts) {
        const std::string label = "{account=\"" + (name.empty() ? "others" : name) + "\"} ";
        out << "briarhead_account_accepted_total" << label << account.accepted << '\n'
            << "briarhead_account_over_limit_total" << label << account.overLimit << '\n'
            << "briarhead_account_units_total" << label << account.units << '\n';
    }
    put(out, "first_answer", front.first);
    put(out, "event_gap", front.gap);
    put(out, "whole_answer", front.whole);
    put(out, "place_wait", front.placeWait);
    put(out, "sends_total", front.sends);
    put(out, "repeats_total", front.repeats);
    put(out, "repeats_denied_total", front.repeatsDenied);
    put(out, "place_asks_total", front.asks);
}

void putOrders(std::ostringstream &out, const server_owner_counters &orders)
{
    put(out, "places_granted_total", orders.granted);
    put(out, "places_refused_total", orders.refused);
    put(out, "orders_total", orders.orders);
    put(out, "orders_unknown_total", orders.ordersUnknown);
    put(out, "loads_total", orders.loads);
    put(out, "unloads_total", orders.unloads);
    put(out, "reports_total", orders.reports);
}

}

std::string metricsText(const edge_figures &figures)
{
    std::ostringstream out;
    putFront(out, *figures.front);
    put(out, "server_ends_total", figures.crashes->ends);
    put(out, "requests_blocked_total", figures.crashes->blocked);
    put(out, "requests_cleared_total", figures.crashes->cleared);
    putOrders(out, *figures.orders);
    put(out, "connections_opened_total", figures.pool->opened);
    put(out, "connections_reused_total", figures.pool->reused);
    put(out, "connections_stray_total", figures.pool->stray);
    put(out, "caller_connections", figures.callerConnections);
    put(out, "requests_active", figures.active);
    put(out, "datagrams_sent_total", figures.fleet->sent);
    put(out, "datagram_bytes_sent_total", figures.fleet->sentBytes);
    put(out, "datagrams_bad_total", figures.fleet->bad);
    put(out, "loop_lag", *figures.loopLag);
    put(out, "log_lines_dropped_total", figures.linesDropped);
    put(out, "config_version", figures.configVersion);
    if (figures.configConfirmedAt) {
        put(out, "config_age_ms", (bootNow() - *figures.configConfirmedAt).count);
    }
    put(out, "quota_asks_total", figures.quota->asks);
    put(out, "quota_answers_total", figures.quota->answers);
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        put(out, "peak_memory_bytes", usage.ru_maxrss * bytesPerKilobyte);
    }
    return out.str();
}

}
