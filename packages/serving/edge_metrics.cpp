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

void put(std::ostringstream &out, const char *name, const latency_histogram &histogram)
{
    for (const double quantile : quantiles) {
        out << "briarhead_" << name << "_ms{quantile=\"" << quantile << "\"} "
            << quantileMs(histogram, quantile) << '\n';
    }
    out << "briarhead_" << name << "_ms_count " << countOf(histogram) << '\n';
}

void putFront(std::ostringstream &out, const front_counters &front)
{
    for (const auto &[kindAndOutcome, count] : front.ended) {
        out << "briarhead_requests_total{kind=\"" << kindAndOutcome.first << "\",outcome=\""
            << kindAndOutcome.second << "\"} " << count << '\n';
    }
    for (const auto &[why, count] : front.refused) {
        out << "briarhead_requests_refused_total{why=\"" << why << "\"} " << count << '\n';
    }
    for (const auto &[name, account] : front.accounts) {
        const std::string label = "{account=\"" + (name.empty() ? "others" : name) + "\"} ";
        out << "briarhead_account_accepted_total" << label << account.accepted << '\n'
            << "briarhead_account_over_limit_total" << label << account.overLimit << '\n'
            << "briarhead_account_units_total" << label << account.units << '\n'
            << "briarhead_account_urgent_accepted_total" << label << account.urgentAccepted << '\n'
            << "briarhead_account_urgent_over_limit_total" << label << account.urgentOverLimit << '\n';
        if (!name.empty() && account.limit > 0) { // the others have no common limit
            out << "briarhead_account_limit_units_per_second" << label << account.limit << '\n'
                << "briarhead_account_limit_share" << label << account.share << '\n';
        }
    }
    put(out, "first_answer", front.firstResponse);
    put(out, "event_gap", front.eventGap);
    put(out, "whole_answer", front.duration);
    put(out, "place_wait", front.slotWait);
    put(out, "sends_total", front.sends);
    put(out, "repeats_total", front.retries);
    put(out, "repeats_denied_total", front.retriesDenied);
    put(out, "sends_forbidden_total", front.sendsForbidden);
    put(out, "replies_mixed_total", front.bytesWithheld);
    put(out, "stage_changes_forbidden_total", front.stageChangesForbidden);
    put(out, "place_asks_total", front.slotRequests);
    put(out, "unreadable_part_lists_total", front.unreadableParts);
    put(out, "responses_oversized_total", front.oversized);
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

void putPaths(std::ostringstream &out, const path_counters &paths, bool cutOff)
{
    put(out, "cut_off_from_servers", cutOff ? 1 : 0);
    put(out, "cuts_from_servers_total", paths.cuts);
    put(out, "relayed_total{domain=\"same\"}", paths.relayedSameDomain);
    put(out, "relayed_total{domain=\"other\"}", paths.relayedOtherDomain);
    put(out, "relayed_bytes_total{domain=\"same\"}", paths.relayedBytesSameDomain);
    put(out, "relayed_bytes_total{domain=\"other\"}", paths.relayedBytesOtherDomain);
    put(out, "relayed_for_peers_total", paths.servedForPeers);
    put(out, "relays_refused_total", paths.refusedForPeers);
}

}

std::string metricsText(const edge_metric_sources &sources)
{
    std::ostringstream out;
    putFront(out, *sources.front);
    put(out, "server_ends_total", sources.crashes->serverCrashes);
    put(out, "requests_blocked_total", sources.crashes->blocked);
    put(out, "requests_cleared_total", sources.crashes->cleared);
    putOrders(out, *sources.orders);
    putPaths(out, *sources.paths, sources.cutOff);
    put(out, "stream_origins_sent_total", sources.origins->recordsSent);
    put(out, "streams_taken_up_total{version=\"known\"}", sources.origins->found);
    put(out, "streams_taken_up_total{version=\"unknown\"}", sources.origins->unknown);
    put(out, "streams_taken_up_total{version=\"store away\"}", sources.origins->storeAway);
    put(out, "origin_log_writes_total", sources.origins->logWrites);
    put(out, "origin_log_reads_total", sources.origins->logReads);
    put(out, "origin_log_dropped_total", sources.origins->logDropped);
    put(out, "connections_opened_total", sources.pool->opened);
    put(out, "connections_failed_total", sources.pool->connectFailures);
    put(out, "connections_reused_total", sources.pool->reused);
    put(out, "connections_stray_total", sources.pool->stray);
    put(out, "caller_connections", sources.callerConnections);
    put(out, "caller_connections_closed_unread_total", sources.callersClosedUnread);
    put(out, "requests_active", sources.active);
    put(out, "datagrams_sent_total", sources.fleet->sent);
    put(out, "datagram_bytes_sent_total", sources.fleet->sentBytes);
    put(out, "datagrams_bad_total", sources.fleet->undecodable);
    put(out, "handlers_failed_total", sources.handlersFailed);
    put(out, "loop_lag", *sources.loopLag);
    put(out, "log_lines_dropped_total", sources.linesDropped);
    put(out, "config_version", sources.configVersion);
    if (sources.configConfirmedAt) {
        put(out, "config_age_ms", (bootNow() - *sources.configConfirmedAt).count);
    }
    put(out, "quota_asks_total", sources.quota->requests);
    put(out, "quota_answers_total", sources.quota->responses);
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        put(out, "peak_memory_bytes", usage.ru_maxrss * bytesPerKilobyte);
    }
    return out.str();
}

}
