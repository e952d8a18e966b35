#include "transport/http_wire.h"

#include "transport/header_text.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace briarhead {

namespace {

namespace beast_http = boost::beast::http;
using beast_text = boost::beast::string_view;
using error_code = boost::beast::error_code;

std::string toString(beast_text text)
{
    return {text.data(), text.size()};
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Interface of the request and the response parser, which collects the head and body.
class message_collector
{
public:
    virtual ~message_collector() = default;
    virtual std::size_t parse(std::string_view bytes, error_code &code) = 0;
    virtual bool isHeadDone() const = 0;
    virtual bool done() const = 0;
    virtual bool keepsConnection() const = 0;
    virtual void skipBody() = 0;
    virtual std::optional<std::uint64_t> contentLength() const = 0;

    http_head head;
    std::string body;
    int version = 11; ///< 10 for HTTP/1.0, 11 for HTTP/1.1
};

template <bool isRequest>
class typed_collector final : public message_collector, public beast_http::basic_parser<isRequest>
{
    using base = beast_http::basic_parser<isRequest>;

public:
    explicit typed_collector(const http_reader::limits &bounds)
    {
        base::eager(true);
        base::header_limit(bounds.maxHeadBytes);
        base::body_limit(bounds.maxBodyBytes);
    }
    std::size_t parse(std::string_view bytes, error_code &code) override
    {
        return base::put(boost::asio::const_buffer(bytes.data(), bytes.size()), code);
    }
    bool isHeadDone() const override
    {
        return base::is_header_done();
    }
    bool done() const override
    {
        return base::is_done();
    }
    bool keepsConnection() const override
    {
        return base::keep_alive();
    }
    void skipBody() override
    {
        base::skip(true);
    }
    std::optional<std::uint64_t> contentLength() const override
    {
        const auto value = base::content_length();
        return value ? std::optional<std::uint64_t>(*value) : std::nullopt;
    }

private:
    void on_request_impl(
        beast_http::verb, beast_text method, beast_text target, int httpVersion, error_code &) override
    {
        version = httpVersion;
        head.method = toString(method);
        head.target = toString(target);
    }
    void on_response_impl(int status, beast_text reason, int httpVersion, error_code &code) override
    {
        if (!detail::isResponseStatus(status)) {
            code = beast_http::error::bad_status;
        }
        version = httpVersion;
        head.status = status;
        head.reason = toString(reason);
    }
    void on_field_impl(
        beast_http::field, beast_text beastName, beast_text beastValue, error_code &code) override
    {
        http_field field{toString(beastName), toString(beastValue)};
        if (!detail::isToken(field.name) || detail::hasControlBytes(field.value)) {
            code = beast_http::error::bad_field;
        } else if (!base::is_header_done()) { // trailers are no part of the head (RFC 9110, 6.5.1)
            head.fields.push_back(std::move(field));
        }
    }
    void on_header_impl(error_code &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override
    {
    }
    std::size_t on_body_impl(beast_text bytes, error_code &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast_text, error_code &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, beast_text bytes, error_code &) override
    {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code &) override
    {
    }
};

read_fault faultOf(const error_code &code)
{
    if (code == beast_http::error::header_limit) {
        return read_fault::HeadTooLarge;
    }
    if (code == beast_http::error::body_limit) {
        return read_fault::BodyTooLarge;
    }
    return read_fault::Malformed;
}

}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return toLower(x) == toLower(y);
    });
}

const std::string *findField(const http_head &head, std::string_view name)
{
    for (const http_field &field : head.fields) {
        if (equalsIgnoreCase(field.name, name)) {
            return &field.value;
        }
    }
    return nullptr;
}

struct http_reader::impl
{
    std::unique_ptr<message_collector> parser;
    read_state state = read_state::Head;
    read_fault fault = read_fault::None;

    void updateState()
    {
        if (parser->done()) {
            state = read_state::Done;
        } else if (parser->isHeadDone()) {
            state = read_state::Body;
        }
    }
};

http_reader::http_reader(http_side side, limits bounds)
    : m_impl(std::make_unique<impl>())
{
    if (side == http_side::Request) {
        m_impl->parser = std::make_unique<typed_collector<true>>(bounds);
    } else {
        m_impl->parser = std::make_unique<typed_collector<false>>(bounds);
    }
}

http_reader::~http_reader() = default;
http_reader::http_reader(http_reader &&) noexcept = default;
http_reader &http_reader::operator=(http_reader &&) noexcept = default;

void http_reader::expectNoBody()
{
    m_impl->parser->skipBody();
}

read_state http_reader::feed(std::string_view bytes, std::size_t &used)
{
    used = 0;
    while (m_impl->state != read_state::Done && m_impl->state != read_state::Invalid && used < bytes.size()) {
        error_code code;
        const std::size_t parsed = m_impl->parser->parse(bytes.substr(used), code);
        used += parsed;
        m_impl->updateState();
        if (code == beast_http::error::need_more) {
            break;
        }
        if (code) {
            m_impl->state = read_state::Invalid;
            m_impl->fault = faultOf(code);
        } else if (parsed == 0) {
            break;
        }
    }
    return m_impl->state;
}

read_state http_reader::state() const
{
    return m_impl->state;
}

read_fault http_reader::fault() const
{
    return m_impl->fault;
}

const http_head &http_reader::head() const
{
    return m_impl->parser->head;
}

std::string http_reader::takeBody()
{
    return std::exchange(m_impl->parser->body, {});
}

bool http_reader::keepsConnection() const
{
    return m_impl->parser->keepsConnection();
}

bool http_reader::isHttp10() const
{
    return m_impl->parser->version == 10;
}

std::optional<std::uint64_t> http_reader::bodyLength() const
{
    return m_impl->parser->contentLength();
}

}
