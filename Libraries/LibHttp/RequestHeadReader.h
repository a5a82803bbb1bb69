#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Http {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Reads a request up to the end of its head. Fails with bad_obs_fold if a field goes on in another
/// line: the parser joins the lines, and does not tell (RFC 9112, section 5.2).
boost::asio::awaitable<boost::system::error_code> readRequestHead(boost::beast::tcp_stream &stream,
                                                                  boost::beast::flat_buffer &buf,
                                                                  RequestParser &parser);

} // namespace Http
