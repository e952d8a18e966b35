#include "transport/kv_client.h"

#include <nlohmann/json.hpp>
#include <sodium/utils.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace briarhead {

namespace {

using nlohmann::json;

constexpr millis maxConnectTimeout{1'000};
constexpr int httpOk = 200;
constexpr int httpServerError = 500;
/// gRPC's status code NOT_FOUND, which the gateway puts into an error's body.
constexpr std::int64_t grpcNotFound = 5;

/// Status codes which prove that nothing was written: a gateway or proxy sends them only if it did not
/// forward the request or the service rejected it as a whole. 408 and all server errors are excluded, since
/// etcd also responds 503 and 504 when a write was proposed and may still be committed ("request timed out",
/// "leader changed").
constexpr std::array rejectedStatuses{400, 401, 403, 404, 405, 413, 429};

/// Reads fields as the gateway encodes them: an absent field means zero, an int64 is a string, and bytes are
/// base64. `valid` becomes false at the first field that cannot be read.
struct field_reader
{
    bool valid = true;

    std::int64_t number(const json &object, const char *name)
    {
        const auto found = object.find(name);
        if (found == object.end()) {
            return 0;
        }
        if (found->is_number_integer()) {
            return found->get<std::int64_t>();
        }
        std::int64_t value = 0;
        if (found->is_string()) {
            const auto &text = found->get_ref<const std::string &>();
            const char *end = text.data() + text.size();
            const auto result = std::from_chars(text.data(), end, value);
            if (result.ec == std::errc() && result.ptr == end) {
                return value;
            }
        }
        valid = false;
        return 0;
    }

    std::string bytes(const json &object, const char *name)
    {
        const auto found = object.find(name);
        if (found == object.end()) {
            return {};
        }
        const auto decoded = found->is_string() ? detail::fromBase64(found->get_ref<const std::string &>())
                                                : std::optional<std::string>();
        valid = valid && decoded.has_value();
        return decoded.value_or(std::string());
    }

    kv_entry entry(const json &object)
    {
        return {bytes(object, "key"), bytes(object, "value"), number(object, "mod_revision")};
    }

    std::vector<kv_entry> entries(const json &range)
    {
        std::vector<kv_entry> entries;
        for (const auto &item : range.value("kvs", json::array())) {
            entries.push_back(entry(item));
        }
        return entries;
    }

    /// Every response carries the store's revision, which is never 0.
    std::int64_t revision(const json &response)
    {
        const auto value = number(response.value("header", json::object()), "revision");
        valid = valid && value > 0;
        return value;
    }
};

/// Returns a child object, or an empty one if the field is missing or of another type.
json childOf(const json &parent, const char *name)
{
    const auto found = parent.is_object() ? parent.find(name) : parent.end();
    return found != parent.end() && found->is_object() ? *found : json::object();
}

/// Parses a body as a JSON object; returns an empty one if it is not an object.
json parseObject(std::string_view text)
{
    auto parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? std::move(parsed) : json::object();
}

/// Runs a function that reads a response's fields; returns false if a field is missing or malformed.
template <class reader>
bool readFields(reader &&read)
{
    field_reader fields;
    try {
        read(fields);
    } catch (const json::exception &) {
        return false;
    }
    return fields.valid;
}

/// Returns what an HTTP result proves about a write. Only a request that was never sent, or a response which
/// says that it was rejected, proves that nothing was written; a lost response proves nothing.
kv_status writeStatus(const http_result &result)
{
    if (endedInOrder(result) && result.status == httpOk) {
        return kv_status::Ok;
    }
    const bool rejected =
        endedInOrder(result) && std::ranges::find(rejectedStatuses, result.status) != rejectedStatuses.end();
    return !result.sent || rejected ? kv_status::Unavailable : kv_status::Ambiguous;
}

/// Whether a body is the gateway's error NOT_FOUND. The code is at the top level, or inside "error" for a
/// streaming call.
bool isNotFound(const json &body)
{
    const auto streamed = childOf(body, "error");
    std::int64_t code = 0;
    const bool readable = readFields([&](field_reader &fields) {
        code = std::max({fields.number(body, "code"), fields.number(streamed, "code"),
            fields.number(streamed, "grpc_code")});
    });
    return readable && code == grpcNotFound;
}

/// Splits a stream into lines; each holds one JSON object.
class line_buffer
{
public:
    template <class function>
    void feed(std::string_view bytes, function &&onLine)
    {
        m_text.append(bytes);
        std::size_t start = 0;
        for (auto end = m_text.find('\n', m_searched); end != std::string::npos;
             end = m_text.find('\n', start)) {
            onLine(std::string_view(m_text).substr(start, end - start));
            start = end + 1;
        }
        m_text.erase(0, start);
        m_searched = m_text.size();
    }

    /// The bytes after the last line end.
    const std::string &rest() const
    {
        return m_text;
    }

private:
    std::string m_text;
    std::size_t m_searched = 0;
};

/// Returns a txn that executes `success` if the key's modRevision is `expected`, and otherwise reads the
/// stored entry.
json compareTxn(const std::string &key, std::int64_t expected, json success)
{
    const auto wireKey = detail::toBase64(key);
    const json compare{
        {"key", wireKey}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expected)}};
    const json readBack{{"request_range", {{"key", wireKey}}}};
    return {{"compare", json::array({compare})}, {"success", json::array({std::move(success)})},
        {"failure", json::array({readBack})}};
}

kv_write readTxn(const std::string &key, const http_result &result)
{
    kv_write write{writeStatus(result), 0, {key, {}, 0}};
    if (write.status != kv_status::Ok) {
        return write;
    }
    const auto body = parseObject(result.body);
    const bool readable = readFields([&](field_reader &fields) {
        write.revision = fields.revision(body);
        if (body.value("succeeded", false)) {
            return;
        }
        write.status = kv_status::Conflict;
        const auto stored = fields.entries(body.at("responses").at(0).at("response_range"));
        if (!stored.empty()) {
            write.current = stored.front();
        }
    });
    if (!readable) {
        write.status = kv_status::Ambiguous;
    }
    return write;
}

kv_read readRange(const http_result &result)
{
    kv_read read;
    if (!endedInOrder(result) || result.status != httpOk) {
        return read;
    }
    const auto body = parseObject(result.body);
    const bool readable = readFields([&](field_reader &fields) {
        read.entries = fields.entries(body);
        read.revision = fields.revision(body);
    });
    if (!readable) {
        return {};
    }
    read.status = kv_status::Ok;
    return read;
}

/// Returns the state of a lease according to the first object of the keep-alive stream.
kv_status readKeepAlive(std::int64_t lease, kv_status httpStatus, const json &response)
{
    if (isNotFound(response)) {
        return kv_status::Conflict;
    }
    if (httpStatus != kv_status::Ok) {
        return httpStatus;
    }
    const auto result = childOf(response, "result");
    std::int64_t id = 0;
    std::int64_t ttl = 0;
    const bool readable = readFields([&](field_reader &fields) {
        id = fields.number(result, "ID");
        ttl = fields.number(result, "TTL");
    });
    if (!readable || id != lease) {
        return kv_status::Ambiguous;
    }
    return ttl > 0 ? kv_status::Ok : kv_status::Conflict;
}

/// A keep-alive in progress. It ends at the first object, whether or not the stream ends there too.
struct keep_alive_call
{
    line_buffer lines;
    http_client::call_id id = 0;
    bool answered = false;
};

/// An open watch. `finished` is set when it broke or its handle was dropped.
struct watch_call
{
    line_buffer lines;
    http_client::call_id id = 0;
    std::shared_ptr<void> confirmTimer;
    std::function<void(const kv_entry &)> changed;
    std::function<void()> ended;
    std::size_t urlIndex = 0;
    bool confirmed = false;
    bool finished = false;
};

/// One message of a watch's stream.
struct watch_message
{
    std::vector<kv_entry> changes;
    bool confirmed = false;
    bool broken = false;
};

watch_message readWatch(std::string_view line)
{
    const auto response = parseObject(line);
    const auto result = childOf(response, "result");
    watch_message message;
    const bool readable = readFields([&](field_reader &fields) {
        message.confirmed = result.value("created", false);
        message.broken = result.empty() || result.value("canceled", false);
        for (const auto &event : result.value("events", json::array())) {
            auto entry = fields.entry(event.at("kv"));
            if (event.value("type", "PUT") == "DELETE") {
                entry.modRevision = 0;
            }
            message.changes.push_back(std::move(entry));
        }
    });
    message.broken = message.broken || !readable;
    return message;
}

}

namespace detail {

std::string toBase64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
        bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // the terminating zero is counted in the encoded length
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(), text.data(),
            text.size(), nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    constexpr char lastByte = '\xff';
    while (!prefix.empty() && prefix.back() == lastByte) {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        return std::string(1, '\0');
    }
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

}

std::string_view nameOf(kv_status value)
{
    static constexpr std::array<std::string_view, 4> names{"ok", "conflict", "unavailable", "ambiguous"};
    return names.at(static_cast<std::size_t>(value));
}

struct kv_client::impl
{
    loop &eventLoop;
    std::vector<std::string> urls;
    millis timeout;
    http_client http;
    kv_counters counters;
    std::size_t currentUrl = 0; ///< index into `urls`, modulo their number
    /// Expires with the client, so that calls queued on the loop and watch handles can tell.
    std::shared_ptr<int> alive = std::make_shared<int>(0);

    impl(loop &theLoop, std::vector<std::string> theUrls, millis theTimeout)
        : eventLoop(theLoop)
        , urls(std::move(theUrls))
        , timeout(theTimeout)
        , http(theLoop)
    {
    }

    http_call request(std::string_view path, const json &body) const
    {
        http_call call;
        call.method = "POST";
        call.url = urls.empty() ? std::string() : urls[currentUrl % urls.size()] + std::string(path);
        // Without an empty "Expect:" libcurl waits up to 1 s for "100 Continue" before it sends a large
        // value.
        call.headers = {"Content-Type: application/json", "Expect:"};
        call.body = body.dump();
        call.timeout = timeout;
        call.connectTimeout = std::min(timeout, maxConnectTimeout);
        return call;
    }

    /// Switches to the next URL after a failure. When several calls on one URL fail, only the first one
    /// switches.
    void switchUrl(std::size_t index)
    {
        if (index == currentUrl) {
            ++currentUrl;
        }
    }

    void recordResult(std::size_t index, const http_result &result)
    {
        if (!endedInOrder(result) || result.status >= httpServerError) {
            switchUrl(index);
        }
    }

    void recordStatus(kv_status status)
    {
        if (status != kv_status::Ok && status != kv_status::Conflict) {
            ++counters.failed;
        }
    }

    void start(const http_call &call, std::function<void(const http_result &)> done)
    {
        http.start(call, [this, index = currentUrl, done = std::move(done)](const http_result &result) {
            recordResult(index, result);
            done(result);
        });
    }

    void range(const json &body, std::function<void(const kv_read &)> done)
    {
        ++counters.reads;
        start(request("/v3/kv/range", body), [this, done = std::move(done)](const http_result &result) {
            const auto read = readRange(result);
            recordStatus(read.status);
            done(read);
        });
    }

    void txn(const std::string &key, const json &body, std::function<void(const kv_write &)> done)
    {
        ++counters.writes;
        auto call = request("/v3/kv/txn", body);
        // libcurl silently resends a request when a kept connection turns out to be closed. If the first
        // request did take effect, the second one would find that write and report a conflict, which promises
        // that nothing was written. On a new connection libcurl never resends.
        call.freshConnection = true;
        start(call, [this, key, done = std::move(done)](const http_result &result) {
            const auto write = readTxn(key, result);
            recordStatus(write.status);
            done(write);
        });
    }

    void keepAlive(std::int64_t lease, std::function<void(kv_status)> done);
    std::shared_ptr<void> watch(
        const json &create, std::function<void(const kv_entry &)> changed, std::function<void()> ended);
    void onWatchLine(const std::shared_ptr<watch_call> &call, std::string_view line);
    void endWatch(const std::shared_ptr<watch_call> &call);

    /// Queues a function on the loop, which is dropped if the client has been destroyed by then. Callbacks
    /// are queued because they may destroy the client, which must not happen while a stream is being parsed.
    void postGuarded(std::function<void()> call)
    {
        eventLoop.post([guard = std::weak_ptr<int>(alive), call = std::move(call)] {
            if (!guard.expired()) {
                call();
            }
        });
    }
};

void kv_client::impl::keepAlive(std::int64_t lease, std::function<void(kv_status)> done)
{
    ++counters.leaseCalls;
    const auto call = std::make_shared<keep_alive_call>();
    const auto finish = [this, done = std::move(done)](kv_status status) {
        recordStatus(status);
        done(status);
    };
    const auto onDone = [this, call, lease, finish, index = currentUrl](const http_result &result) {
        if (call->answered) {
            return;
        }
        call->answered = true;
        recordResult(index, result);
        finish(readKeepAlive(lease, writeStatus(result), parseObject(call->lines.rest())));
    };
    const auto onData = [this, call, lease, finish](const http_result &sofar, std::string_view bytes) {
        call->lines.feed(bytes, [&](std::string_view line) {
            if (call->answered || sofar.status != httpOk) {
                return;
            }
            call->answered = true;
            const auto status = readKeepAlive(lease, kv_status::Ok, parseObject(line));
            postGuarded([this, call, finish, status] {
                http.cancel(call->id);
                finish(status);
            });
        });
    };
    const json body{{"ID", std::to_string(lease)}};
    call->id = http.start(request("/v3/lease/keepalive", body), onDone, onData);
}

std::shared_ptr<void> kv_client::impl::watch(
    const json &create, std::function<void(const kv_entry &)> changed, std::function<void()> ended)
{
    ++counters.watches;
    const auto call = std::make_shared<watch_call>();
    call->changed = std::move(changed);
    call->ended = std::move(ended);
    call->urlIndex = currentUrl;
    auto openCall = request("/v3/watch", {{"create_request", create}});
    openCall.timeout = millis{0};
    call->id = http.start(
        openCall,
        [this, call](const http_result &) {
            endWatch(call);
        },
        [this, call](const http_result &, std::string_view bytes) {
            call->lines.feed(bytes, [&](std::string_view line) {
                onWatchLine(call, line);
            });
        });
    // Without this timer, a service that accepts connections but never responds would look like an idle
    // watch.
    call->confirmTimer = eventLoop.timer(timeout, millis{0}, [this, weak = std::weak_ptr(call)] {
        if (const auto watched = weak.lock(); watched && !watched->confirmed) {
            endWatch(watched);
        }
    });
    const auto close = [this, guard = std::weak_ptr<int>(alive), call](void *) {
        call->finished = true;
        if (!guard.expired()) {
            postGuarded([this, call] {
                call->confirmTimer.reset();
                http.cancel(call->id);
            });
        }
    };
    return {call.get(), close};
}

void kv_client::impl::onWatchLine(const std::shared_ptr<watch_call> &call, std::string_view line)
{
    auto message = readWatch(line);
    call->confirmed = call->confirmed || message.confirmed;
    if (!message.changes.empty()) {
        postGuarded([call, changes = std::move(message.changes)] {
            for (const auto &entry : changes) {
                if (call->finished) {
                    return;
                }
                call->changed(entry);
            }
        });
    }
    if (message.broken) {
        endWatch(call);
    }
}

void kv_client::impl::endWatch(const std::shared_ptr<watch_call> &call)
{
    // Queued after the changes that were received before the end.
    postGuarded([this, call] {
        if (call->finished) {
            return;
        }
        call->finished = true;
        call->confirmTimer.reset();
        http.cancel(call->id);
        ++counters.failed;
        switchUrl(call->urlIndex);
        call->ended();
    });
}

kv_client::kv_client(loop &eventLoop, std::vector<std::string> urls, millis timeout)
    : m_impl(std::make_unique<impl>(eventLoop, std::move(urls), timeout))
{
}

kv_client::~kv_client() = default;

void kv_client::get(const std::string &key, std::function<void(const kv_read &)> done)
{
    m_impl->range({{"key", detail::toBase64(key)}}, std::move(done));
}

void kv_client::getIfChanged(
    const std::string &key, std::int64_t minRevision, std::function<void(const kv_read &)> done)
{
    m_impl->range(
        {{"key", detail::toBase64(key)}, {"min_mod_revision", std::to_string(minRevision)}}, std::move(done));
}

void kv_client::list(const std::string &prefix, std::int64_t limit, std::function<void(const kv_read &)> done)
{
    const auto first = prefix.empty() ? std::string(1, '\0') : prefix;
    m_impl->range(
        {{"key", detail::toBase64(first)}, {"range_end", detail::toBase64(detail::prefixEnd(prefix))},
            {"limit", std::to_string(limit)}},
        std::move(done));
}

void kv_client::compareAndSwap(const std::string &key, std::int64_t expected, const std::string &value,
    std::int64_t lease, std::function<void(const kv_write &)> done)
{
    const json put{{"request_put",
        {{"key", detail::toBase64(key)}, {"value", detail::toBase64(value)},
            {"lease", std::to_string(lease)}}}};
    m_impl->txn(key, compareTxn(key, expected, put), std::move(done));
}

void kv_client::compareAndRemove(
    const std::string &key, std::int64_t expected, std::function<void(const kv_write &)> done)
{
    const json remove{{"request_delete_range", {{"key", detail::toBase64(key)}}}};
    m_impl->txn(key, compareTxn(key, expected, remove), std::move(done));
}

void kv_client::grantLease(millis ttl, std::function<void(kv_status, std::int64_t id)> done)
{
    constexpr std::int64_t msPerSecond = 1'000;
    ++m_impl->counters.leaseCalls;
    // The service's TTL is in whole seconds. Rounding up makes sure that a lease never expires before its
    // holder expects it to.
    const auto seconds = (ttl.count + msPerSecond - 1) / msPerSecond;
    const auto finish = [this, done = std::move(done)](const http_result &result) {
        auto status = writeStatus(result);
        std::int64_t id = 0;
        if (status == kv_status::Ok) {
            const auto body = parseObject(result.body);
            const bool readable = readFields([&](field_reader &fields) {
                id = fields.number(body, "ID");
            });
            status = readable && id != 0 ? kv_status::Ok : kv_status::Ambiguous;
        }
        m_impl->recordStatus(status);
        done(status, status == kv_status::Ok ? id : 0);
    };
    m_impl->start(m_impl->request("/v3/lease/grant", {{"TTL", std::to_string(seconds)}}), finish);
}

void kv_client::keepAlive(std::int64_t lease, std::function<void(kv_status)> done)
{
    m_impl->keepAlive(lease, std::move(done));
}

void kv_client::revokeLease(std::int64_t lease, std::function<void(kv_status)> done)
{
    ++m_impl->counters.leaseCalls;
    const auto finish = [this, done = std::move(done)](const http_result &result) {
        // A lease that no longer exists counts as revoked.
        const bool notFound = endedInOrder(result) && isNotFound(parseObject(result.body));
        const auto status = notFound ? kv_status::Ok : writeStatus(result);
        m_impl->recordStatus(status);
        done(status);
    };
    m_impl->start(m_impl->request("/v3/lease/revoke", {{"ID", std::to_string(lease)}}), finish);
}

std::shared_ptr<void> kv_client::watch(const std::string &key, std::int64_t fromRevision,
    std::function<void(const kv_entry &)> changed, std::function<void()> ended)
{
    const json create{{"key", detail::toBase64(key)}, {"start_revision", std::to_string(fromRevision)}};
    return m_impl->watch(create, std::move(changed), std::move(ended));
}

const kv_counters &kv_client::counters() const
{
    return m_impl->counters;
}

}
