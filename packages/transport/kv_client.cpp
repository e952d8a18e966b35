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

constexpr millis connectTimeoutMs{1'000};
constexpr int httpOk = 200;
constexpr int httpServerError = 500;
/// gRPC's NOT_FOUND, which the gateway puts into the body of an error.
constexpr std::int64_t grpcNotFound = 5;

/// Client errors that a gateway or a proxy only answers when it didn't pass the request on or the service
/// turned it down whole. 408 and all server errors are left out: etcd also answers 503 and 504 when a
/// write was proposed and its fate is open ("request timed out", "leader changed").
constexpr std::array refusals{400, 401, 403, 404, 405, 413, 429};

/// Reads fields in the gateway's spelling: absent means zero, int64 come as strings, bytes as base64.
/// `good` turns false at the first field that can't be read.
struct field_reader
{
    bool good = true;

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
        good = false;
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
        good = good && decoded.has_value();
        return decoded.value_or(std::string());
    }

    kv_entry entry(const json &object)
    {
        return {bytes(object, "key"), bytes(object, "value"), number(object, "mod_revision")};
    }

    std::vector<kv_entry> entries(const json &range)
    {
        std::vector<kv_entry> all;
        for (const auto &item : range.value("kvs", json::array())) {
            all.push_back(entry(item));
        }
        return all;
    }

    /// Every answer carries the store's revision, which is never 0.
    std::int64_t revision(const json &answer)
    {
        const auto value = number(answer.value("header", json::object()), "revision");
        good = good && value > 0;
        return value;
    }
};

/// A child object, or an empty one where the field is missing or of another type.
json childOf(const json &parent, const char *name)
{
    const auto found = parent.is_object() ? parent.find(name) : parent.end();
    return found != parent.end() && found->is_object() ? *found : json::object();
}

/// The object a body holds; an empty one where it holds none.
json parseObject(std::string_view text)
{
    auto parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? std::move(parsed) : json::object();
}

/// Runs a reader over an answer; false where the answer has another shape than the gateway's.
template <class reader>
bool readAnswer(reader &&read)
{
    field_reader fields;
    try {
        read(fields);
    } catch (const json::exception &) {
        return false;
    }
    return fields.good;
}

/// What an HTTP result proves about a write. Only a request that never left, or an answer that says it
/// was turned down, proves that nothing was written; a lost answer proves nothing.
kv_status writeStatus(const http_result &result)
{
    if (result.complete && result.status == httpOk) {
        return kv_status::Ok;
    }
    const bool refused = result.complete && std::ranges::find(refusals, result.status) != refusals.end();
    return !result.sent || refused ? kv_status::Unavailable : kv_status::Ambiguous;
}

/// The gateway's error body: code at the top, or inside "error" on a streaming call.
bool saysNotFound(const json &body)
{
    const auto streamed = childOf(body, "error");
    std::int64_t code = 0;
    const bool readable = readAnswer([&](field_reader &fields) {
        code = std::max({fields.number(body, "code"), fields.number(streamed, "code"),
            fields.number(streamed, "grpc_code")});
    });
    return readable && code == grpcNotFound;
}

/// Cuts a stream into lines, one JSON object each.
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

    /// What came after the last line end.
    const std::string &rest() const
    {
        return m_text;
    }

private:
    std::string m_text;
    std::size_t m_searched = 0;
};

/// A txn that does `success` if the key's modRevision is `expected`, and else reads what stands there.
json guardedTxn(const std::string &key, std::int64_t expected, json success)
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
    const bool readable = readAnswer([&](field_reader &fields) {
        write.revision = fields.revision(body);
        if (body.value("succeeded", false)) {
            return;
        }
        write.status = kv_status::Conflict;
        const auto standing = fields.entries(body.at("responses").at(0).at("response_range"));
        if (!standing.empty()) {
            write.current = standing.front();
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
    if (!result.complete || result.status != httpOk) {
        return read;
    }
    const auto body = parseObject(result.body);
    const bool readable = readAnswer([&](field_reader &fields) {
        read.entries = fields.entries(body);
        read.revision = fields.revision(body);
    });
    if (!readable) {
        return {};
    }
    read.status = kv_status::Ok;
    return read;
}

/// The fate of a lease by the first object of the keep-alive stream.
kv_status readKeepAlive(std::int64_t lease, kv_status httpStatus, const json &answer)
{
    if (saysNotFound(answer)) {
        return kv_status::Conflict;
    }
    if (httpStatus != kv_status::Ok) {
        return httpStatus;
    }
    const auto result = childOf(answer, "result");
    std::int64_t id = 0;
    std::int64_t ttl = 0;
    const bool readable = readAnswer([&](field_reader &fields) {
        id = fields.number(result, "ID");
        ttl = fields.number(result, "TTL");
    });
    if (!readable || id != lease) {
        return kv_status::Ambiguous;
    }
    return ttl > 0 ? kv_status::Ok : kv_status::Conflict;
}

/// A keep-alive on its way: the call ends at the first object, whether the stream ends then or not.
struct keep_alive_call
{
    line_buffer lines;
    http_client::call_id id = 0;
    bool answered = false;
};

/// A watch that is open. `finished` is set when it broke or when its handle is gone.
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

/// One message of a watch.
struct watch_message
{
    std::vector<kv_entry> changes;
    bool confirmed = false;
    bool broken = false;
};

watch_message readWatch(std::string_view line)
{
    const auto answer = parseObject(line);
    const auto result = childOf(answer, "result");
    watch_message message;
    const bool readable = readAnswer([&](field_reader &fields) {
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
    std::size_t current = 0;
    /// Expires with the client, so that calls queued on the loop and watch handles notice.
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
        call.url = urls.empty() ? std::string() : urls[current % urls.size()] + std::string(path);
        // Without "Expect:" libcurl holds a large value back for a second to await "100 Continue".
        call.headers = {"Content-Type: application/json", "Expect:"};
        call.body = body.dump();
        call.timeout = timeout;
        call.connectTimeout = std::min(timeout, connectTimeoutMs);
        return call;
    }

    /// Moves on from a URL that failed, once for all calls that were under way on it.
    void leaveUrl(std::size_t index)
    {
        if (index == current) {
            ++current;
        }
    }

    void noteResult(std::size_t index, const http_result &result)
    {
        if (!result.complete || result.status >= httpServerError) {
            leaveUrl(index);
        }
    }

    void noteStatus(kv_status status)
    {
        if (status != kv_status::Ok && status != kv_status::Conflict) {
            ++counters.failed;
        }
    }

    void start(const http_call &call, std::function<void(const http_result &)> done)
    {
        http.start(call, [this, index = current, done = std::move(done)](const http_result &result) {
            noteResult(index, result);
            done(result);
        });
    }

    void range(const json &body, std::function<void(const kv_read &)> done)
    {
        ++counters.reads;
        start(request("/v3/kv/range", body), [this, done = std::move(done)](const http_result &result) {
            const auto read = readRange(result);
            noteStatus(read.status);
            done(read);
        });
    }

    void txn(const std::string &key, const json &body, std::function<void(const kv_write &)> done)
    {
        ++counters.writes;
        auto call = request("/v3/kv/txn", body);
        // libcurl silently sends a request again when a kept connection turns out to be closed. If the
        // first one did take effect, the second would meet its own write and report a conflict, which
        // promises that nothing was written. A fresh connection is never sent on twice.
        call.freshConnection = true;
        start(call, [this, key, done = std::move(done)](const http_result &result) {
            const auto write = readTxn(key, result);
            noteStatus(write.status);
            done(write);
        });
    }

    void keepAlive(std::int64_t lease, std::function<void(kv_status)> done);
    std::shared_ptr<void> watch(
        const json &create, std::function<void(const kv_entry &)> changed, std::function<void()> ended);
    void onWatchLine(const std::shared_ptr<watch_call> &call, std::string_view line);
    void endWatch(const std::shared_ptr<watch_call> &call);

    /// Queues a call on the loop that is dropped if the client is gone by then. A caller's function may
    /// destroy the client, so it doesn't run while a line of a stream is being taken apart.
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
        noteStatus(status);
        done(status);
    };
    const auto onDone = [this, call, lease, finish, index = current](const http_result &result) {
        if (call->answered) {
            return;
        }
        call->answered = true;
        noteResult(index, result);
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
    call->urlIndex = current;
    auto open = request("/v3/watch", {{"create_request", create}});
    open.timeout = millis{0};
    call->id = http.start(
        open,
        [this, call](const http_result &) {
            endWatch(call);
        },
        [this, call](const http_result &, std::string_view bytes) {
            call->lines.feed(bytes, [&](std::string_view line) {
                onWatchLine(call, line);
            });
        });
    // A service that accepts connections and never answers would otherwise look like a quiet watch.
    call->confirmTimer = eventLoop.timer(timeout, millis{0}, [this, weak = std::weak_ptr(call)] {
        if (const auto late = weak.lock(); late && !late->confirmed) {
            endWatch(late);
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
    // Queued behind the changes that came before the end.
    postGuarded([this, call] {
        if (call->finished) {
            return;
        }
        call->finished = true;
        call->confirmTimer.reset();
        http.cancel(call->id);
        ++counters.failed;
        leaveUrl(call->urlIndex);
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
    m_impl->txn(key, guardedTxn(key, expected, put), std::move(done));
}

void kv_client::compareAndRemove(
    const std::string &key, std::int64_t expected, std::function<void(const kv_write &)> done)
{
    const json remove{{"request_delete_range", {{"key", detail::toBase64(key)}}}};
    m_impl->txn(key, guardedTxn(key, expected, remove), std::move(done));
}

void kv_client::grantLease(millis ttl, std::function<void(kv_status, std::int64_t id)> done)
{
    constexpr std::int64_t msPerSecond = 1'000;
    ++m_impl->counters.leaseCalls;
    // The service counts whole seconds; rounding up never ends a lease before its holder expects it.
    const auto seconds = (ttl.count + msPerSecond - 1) / msPerSecond;
    const auto finish = [this, done = std::move(done)](const http_result &result) {
        auto status = writeStatus(result);
        std::int64_t id = 0;
        if (status == kv_status::Ok) {
            const auto body = parseObject(result.body);
            const bool readable = readAnswer([&](field_reader &fields) {
                id = fields.number(body, "ID");
            });
            status = readable && id != 0 ? kv_status::Ok : kv_status::Ambiguous;
        }
        m_impl->noteStatus(status);
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
        // A lease that is already gone is what was asked for.
        const bool gone = result.complete && saysNotFound(parseObject(result.body));
        const auto status = gone ? kv_status::Ok : writeStatus(result);
        m_impl->noteStatus(status);
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
