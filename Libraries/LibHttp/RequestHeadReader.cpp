#include <LibHttp/RequestHeadReader.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

bool hasFoldedField(std::string_view bytes)
{
    return bytes.find("\r\n ") != std::string_view::npos
           || bytes.find("\r\n\t") != std::string_view::npos;
}

/// Passes what was read to the parser, which takes whole fields only.
boost::system::error_code parse(beast::flat_buffer &buf, RequestParser &parser)
{
    boost::system::error_code ec;
    const auto n = parser.put(buf.data(), ec);
    const std::string_view taken(static_cast<const char *>(buf.data().data()), n);
    const bool isFolded = hasFoldedField(taken);
    buf.consume(n);
    return isFolded ? make_error_code(http::error::bad_obs_fold) : ec;
}

} // namespace

asio::awaitable<boost::system::error_code>
readRequestHead(beast::tcp_stream &stream, beast::flat_buffer &buf, RequestParser &parser)
{
    for (;;) {
        boost::system::error_code ec = http::error::need_more;
        if (buf.size() > 0)
            ec = parse(buf, parser);
        if (ec != http::error::need_more)
            co_return ec;
        const auto room = std::min(ReadBytes, buf.max_size() - buf.size());
        if (room == 0)
            co_return make_error_code(http::error::buffer_overflow);
        const auto n = co_await stream.async_read_some(
            buf.prepare(room), asio::redirect_error(asio::use_awaitable, ec));
        buf.commit(n);
        if (ec == asio::error::eof)
            co_return make_error_code(parser.got_some() ? http::error::partial_message
                                                        : http::error::end_of_stream);
        if (ec)
            co_return ec;
    }
}

} // namespace Http
