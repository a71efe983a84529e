#include "runlink/net/http_codec.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

namespace runlink::net
{
namespace
{

namespace http = boost::beast::http;
using boost::beast::string_view;
using error_code = boost::beast::error_code;

/// Bytes besides the body that each byte of a body may bring along.
constexpr std::uint64_t max_framing_ratio = 16;
/// Answers a request to upgrade, which clients here never send.
constexpr core::http_status status_switching_protocols = 101;

std::string text(string_view it)
{
    return {it.data(), it.size()};
}

std::string_view trimmed(std::string_view it)
{
    while (!it.empty() && (it.front() == ' ' || it.front() == '\t'))
        it.remove_prefix(1);
    while (!it.empty() && (it.back() == ' ' || it.back() == '\t'))
        it.remove_suffix(1);
    return it;
}

codec_error to_codec_error(const error_code& ec)
{
    if (ec == http::error::header_limit)
        return codec_error::header_too_large;
    if (ec == http::error::body_limit)
        return codec_error::body_too_large;
    return codec_error::malformed;
}

/// Whether the header contains a folded line (obs-fold). Parsers may interpret such a line differently.
bool has_folded_line(std::string_view bytes)
{
    const auto end = bytes.find("\r\n\r\n");
    const auto head = bytes.substr(0, end);
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

/// Base of the request and response parsers: collects header fields and passes body bytes to a callback.
template <bool IsRequest>
class callback_parser : public http::basic_parser<IsRequest>
{
public:
    http_fields fields;
    std::function<void(std::string_view)> body;
    std::uint64_t body_bytes = 0;

protected:
    void on_field_impl(http::field, string_view name, string_view value, error_code&) override
    {
        fields.add(text(name), text(value));
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view it, error_code&) override
    {
        body_bytes += it.size();
        body({it.data(), it.size()});
        return it.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view it, error_code&) override
    {
        body_bytes += it.size();
        body({it.data(), it.size()});
        return it.size();
    }
    void on_finish_impl(error_code&) override {}
};

/// Parses and removes buffered bytes. `needs_more` tells whether what is left continues with later bytes.
template <class Parser>
codec_error parse_some(Parser& it, std::string& buffered, framing_limit& framing, bool& needs_more)
{
    const auto body_before = it.body_bytes;
    error_code ec;
    const auto used = it.put(boost::asio::buffer(buffered), ec);
    buffered.erase(0, used);
    if (ec && ec != http::error::need_more)
        return to_codec_error(ec);
    framing.add(used, it.body_bytes - body_before);
    needs_more = !it.is_done() && (ec == http::error::need_more || used == 0);
    return framing.is_exceeded(needs_more ? buffered.size() : 0) ? codec_error::header_too_large
                                                                 : codec_error::none;
}

} // namespace

void framing_limit::add(std::size_t consumed, std::uint64_t body)
{
    framing_bytes_ += consumed - body;
    body_bytes_ += body;
}

bool framing_limit::is_exceeded(std::size_t unparsed) const
{
    return framing_bytes_ + unparsed > max_bytes_ + max_framing_ratio * body_bytes_;
}

bool same_name(std::string_view a, std::string_view b)
{
    const auto same = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), same);
}

void http_fields::add(std::string name, std::string value)
{
    // A vector that grows has room for up to twice its elements.
    held_bytes_ += 2 * sizeof(http_field) + name.size() + value.size();
    all_.push_back({std::move(name), std::move(value)});
}

const std::string* http_fields::find(std::string_view name) const
{
    for (const auto& it : all_)
        if (same_name(it.name, name))
            return &it.value;
    return nullptr;
}

std::size_t http_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [&](const auto& it) { return same_name(it.name, name); }));
}

bool http_fields::has_token(std::string_view name, std::string_view token) const
{
    for (const auto& it : all_)
    {
        if (!same_name(it.name, name))
            continue;
        std::string_view rest = it.value;
        while (!rest.empty())
        {
            const auto comma = std::min(rest.find(','), rest.size());
            if (same_name(trimmed(rest.substr(0, comma)), token))
                return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

// Requests

struct http_request_reader::parser : callback_parser<true>
{
    http_request_head head;
    std::function<void(const http_request_head&)> on_head;

    void on_request_impl(http::verb, string_view method, string_view target, int, error_code&) override
    {
        head.method = text(method);
        head.target = text(target);
    }
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_header_impl(error_code& ec) override
    {
        const auto* encoding = fields.find("Transfer-Encoding");
        const auto* length = fields.find("Content-Length");
        const bool is_non_numeric_length =
            length != nullptr && length->find_first_not_of("0123456789") != std::string::npos;
        const bool ambiguous = is_non_numeric_length || fields.count("Content-Length") > 1 ||
                               fields.count("Transfer-Encoding") > 1 || fields.count("Host") > 1 ||
                               (encoding != nullptr && !same_name(*encoding, "chunked")) ||
                               (encoding != nullptr && fields.count("Content-Length") > 0);
        if (ambiguous)
        {
            ec = http::error::bad_content_length;
            return;
        }
        head.fields = std::move(fields);
        head.keep_alive = keep_alive();
        on_head(head);
    }
};

http_request_reader::http_request_reader(handlers to) : handlers_{std::move(to)} {}
http_request_reader::~http_request_reader() = default;

bool http_request_reader::in_message() const
{
    return !complete_ && (parser_ || !rest_.empty());
}

std::size_t http_request_reader::held_bytes() const
{
    return rest_.capacity() + (parser_ ? parser_->fields.held_bytes() : 0);
}

void http_request_reader::drop()
{
    parser_.reset();
    rest_ = {};
}

codec_error http_request_reader::feed(std::string_view bytes)
{
    rest_.append(bytes);
    return run();
}

codec_error http_request_reader::next()
{
    complete_ = false;
    parser_.reset();
    return run();
}

codec_error http_request_reader::run()
{
    while (!complete_ && !rest_.empty())
    {
        if (!parser_)
        {
            parser_ = std::make_unique<parser>();
            framing_ = framing_limit{limits_.max_header_bytes};
            parser_->eager(true);
            parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
            parser_->body_limit(limits_.max_body_bytes);
            parser_->on_head = handlers_.head;
            parser_->body = handlers_.body;
        }
        if (!parser_->is_header_done() && has_folded_line(rest_))
            return codec_error::malformed;
        bool needs_more = false;
        if (const auto ec = parse_some(*parser_, rest_, framing_, needs_more); ec != codec_error::none)
            return ec;
        if (parser_->is_done())
        {
            complete_ = true;
            if (rest_.empty())
                rest_ = {};
            handlers_.end();
            return codec_error::none;
        }
        if (needs_more)
            return codec_error::none;
    }
    return codec_error::none;
}

// Responses

std::optional<std::uint64_t> announced_length(const http_fields& it)
{
    const auto* text = it.find("Content-Length");
    std::uint64_t out = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), out).ec != std::errc{})
        return std::nullopt;
    return out;
}

struct http_response_reader::parser : callback_parser<false>
{
    http_response_head head;
    std::function<void(const http_response_head&)> on_head;

    bool has_invalid_status = false;

    void on_request_impl(http::verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int n, string_view reason, int, error_code& ec) override
    {
        const auto status = core::http_status::from(n);
        has_invalid_status = !status || *status == status_switching_protocols;
        if (has_invalid_status)
        {
            ec = http::error::bad_status;
            return;
        }
        head.status = *status;
        head.reason = text(reason);
    }
    void on_header_impl(error_code&) override
    {
        head.fields = std::move(fields);
        head.keep_alive = keep_alive();
        head.framing = chunked()    ? body_framing::chunked
                       : need_eof() ? body_framing::until_close
                                    : body_framing::length;
        if (!head.status.is_interim())
            on_head(head);
    }
};

http_response_reader::http_response_reader(handlers to) : handlers_{std::move(to)} {}
http_response_reader::~http_response_reader() = default;

bool http_response_reader::in_message() const
{
    return parser_ || !rest_.empty();
}

codec_error http_response_reader::feed(std::string_view bytes)
{
    if (error_ != codec_error::none)
        return error_;
    rest_.append(bytes);
    error_ = run();
    return error_;
}

codec_error http_response_reader::run()
{
    while (!rest_.empty())
    {
        if (!parser_)
        {
            parser_ = std::make_unique<parser>();
            parser_->eager(true);
            parser_->header_limit(max_response_framing_bytes);
            parser_->body_limit(
                std::numeric_limits<std::uint64_t>::max()); // the receiver of the body limits its size
            parser_->on_head = handlers_.head;
            parser_->body = handlers_.body;
        }
        bool needs_more = false;
        if (const auto ec = parse_some(*parser_, rest_, framing_, needs_more); ec != codec_error::none)
            return parser_->has_invalid_status ? codec_error::invalid_status : ec;
        if (parser_->is_done())
        {
            const bool interim = parser_->head.status.is_interim();
            parser_.reset();
            if (interim)
                continue;
            framing_ = framing_limit{max_response_framing_bytes};
            handlers_.end();
            continue;
        }
        if (needs_more)
            return codec_error::none;
    }
    return codec_error::none;
}

void http_response_reader::finish_input()
{
    if (error_ != codec_error::none || !parser_ || !parser_->is_header_done() || !parser_->need_eof())
        return;
    error_code ec;
    parser_->put_eof(ec);
    const bool whole = !ec && parser_->is_done();
    parser_.reset();
    if (whole)
        handlers_.end();
}

// Writers

namespace
{

/// Appends text with spaces in place of the characters that would end its line or the message (RFC 9110,
/// section 5.5).
void append_in_line(std::string& to, std::string_view text)
{
    const auto is_end = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    const auto begin = to.size();
    to.append(text);
    std::replace_if(to.begin() + static_cast<std::ptrdiff_t>(begin), to.end(), is_end, ' ');
}

void append_fields(std::string& to, const http_fields& fields)
{
    for (const auto& it : fields)
    {
        append_in_line(to, it.name);
        to.append(": ");
        append_in_line(to, it.value);
        to.append("\r\n");
    }
}

} // namespace

std::string write_request(const http_request_head& head, std::string_view body)
{
    std::string out;
    out.reserve(512 + body.size());
    append_in_line(out, head.method);
    out.append(" ");
    append_in_line(out, head.target);
    out.append(" HTTP/1.1\r\n");
    append_fields(out, head.fields);
    if (!body.empty() || head.method == "POST" || head.method == "PUT" || head.method == "PATCH")
        out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    out.append("\r\n").append(body);
    return out;
}

std::string write_response_head(core::http_status status, std::string_view reason, const http_fields& fields)
{
    std::string out;
    out.reserve(256);
    out.append("HTTP/1.1 ").append(std::to_string(status.value())).append(" ");
    append_in_line(out, reason);
    out.append("\r\n");
    append_fields(out, fields);
    return out.append("\r\n");
}

std::string write_response(core::http_status status, http_fields fields, std::string_view body)
{
    fields.add("Content-Length", std::to_string(body.size()));
    return write_response_head(status, reason_of(status), fields).append(body);
}

std::string write_chunk(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (auto n = bytes.size(); n > 0; n /= digits.size())
        size.insert(size.begin(), digits[n % digits.size()]);
    if (size.empty())
        return "0\r\n\r\n";
    return size.append("\r\n").append(bytes).append("\r\n");
}

std::string_view reason_of(core::http_status status)
{
    const auto it = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status.value())));
    return {it.data(), it.size()};
}

bool is_hop_by_hop(std::string_view name, const http_fields& fields)
{
    static constexpr std::array<std::string_view, 10> names{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Content-Length"};
    const auto is = [&](std::string_view it) { return same_name(name, it); };
    return std::any_of(names.begin(), names.end(), is) || fields.has_token("Connection", name);
}

} // namespace runlink::net
