#include <algorithm>
#include <catch2/catch.hpp>

#include "httpparser_p.h"

using namespace fulmarledge;

namespace {

constexpr std::size_t kMaxBodyBytes = 1000;

/// Parses a request that must fail, and returns the error's status.
int errorStatusOf(const std::string &text)
{
    HttpParser parser(kMaxBodyBytes);
    parser.feed(text);
    REQUIRE(parser.parse() == HttpParser::Result::Error);
    CHECK(parser.closesAfterResponse());
    return parser.errorStatus();
}

} // namespace

// Guards against changing the order or number of query parameters and header fields, which a proxy must preserve.
TEST_CASE("a request is parsed without changes, whether it arrives at once or byte by byte")
{
    const std::string text = "PATCH /a%20b?x=1&y&x=2 HTTP/1.1\r\nHost: h\r\nX-A: one\r\nx-a:  two \r\nCookie: "
                             "c=1\r\nContent-Length: 3\r\n\r\nabc";
    for (const std::size_t chunkBytes : {text.size(), std::size_t{1}}) {
        HttpParser parser(kMaxBodyBytes);
        HttpParser::Result result = HttpParser::Result::Incomplete;
        for (std::size_t i = 0; i < text.size(); i += chunkBytes) {
            REQUIRE(result == HttpParser::Result::Incomplete);
            parser.feed(std::string_view(text).substr(i, chunkBytes));
            result = parser.parse();
        }
        REQUIRE(result == HttpParser::Result::Done);
        CHECK_FALSE(parser.closesAfterResponse());
        const HttpCall call = parser.takeRequest();
        CHECK(call.method == "PATCH");
        CHECK(call.path == "/a%20b");
        CHECK(call.query == "?x=1&y&x=2");
        CHECK(call.body == "abc");
        CHECK(fieldValue(call.fields, "Cookie") == "c=1");
        CHECK(std::count(call.fields.begin(), call.fields.end(), std::pair<std::string, std::string>("x-a", "two"))
              == 1);
    }
}

// Guards against losing a pipelined request or merging it with the one before it.
TEST_CASE("pipelined requests are parsed one at a time")
{
    HttpParser parser(kMaxBodyBytes);
    parser.feed("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nxyGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(parser.parse() == HttpParser::Result::Done);
    CHECK(parser.takeRequest().body == "xy");
    REQUIRE(parser.parse() == HttpParser::Result::Done);
    const HttpCall second = parser.takeRequest();
    CHECK(second.path == "/2");
    CHECK(second.body.empty());
    CHECK(parser.parse() == HttpParser::Result::Incomplete);
}

// Guards against forwarding only a part of a chunked body.
TEST_CASE("the chunks of a body are joined and its connection is to be closed")
{
    HttpParser parser(kMaxBodyBytes);
    parser.feed("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CHECK(parser.parse() == HttpParser::Result::Incomplete);
    parser.feed("2\r\nde\r\n0\r\n\r\n");
    REQUIRE(parser.parse() == HttpParser::Result::Done);
    CHECK(parser.closesAfterResponse());
    CHECK(parser.takeRequest().body == "abcde");
}

// Guards against accepting a request whose length two parsers would read differently, and against unbounded memory use.
TEST_CASE("a malformed, ambiguously framed or too large request is rejected")
{
    CHECK(errorStatusOf("POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n") == 400);
    CHECK(errorStatusOf("POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(errorStatusOf("POST / HTTP/1.1\r\nContent-Length: 2x\r\n\r\n") == 400);
    CHECK(errorStatusOf("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n") == 413);
    CHECK(errorStatusOf("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'b')
                        + "\r\n0\r\n\r\n")
          == 413);
    CHECK(errorStatusOf("GET / HTTP/1.1\r\nX A: 1\r\n\r\n") == 400);
    CHECK(errorStatusOf("GET a b HTTP/1.1\r\n\r\n") == 400);
    CHECK(errorStatusOf("BREW / HTTP/1.1\r\nHost: h\r\n\r\n") >= 400);
    CHECK(errorStatusOf("GET / HTTP/1.1\r\nX-Long: " + std::string(70000, 'a')) == 431);
}
