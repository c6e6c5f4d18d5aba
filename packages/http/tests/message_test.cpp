#include <sardinehinge/http/message.h>

#include <catch2/catch.hpp>

using namespace sardinehinge;

TEST_CASE("Any bytes pass through a path and a query unchanged")
{
    std::string all;
    for (int byte = 0; byte < 256; ++byte)
        all += static_cast<char>(byte);
    const std::string text
        = GENERATE_COPY(values<std::string>({all, "", ".", "..", "...", "%26", "a+b c", "&after=b", "x#y?z=/"}));
    const std::string encoded = http::encodePercent(text);
    INFO(encoded);
    CHECK(encoded.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_~.%")
          == std::string::npos);
    CHECK(encoded != ".");
    CHECK(encoded != "..");
    CHECK(http::decodePercent(encoded) == text);
    CHECK(http::queryValue("/p?a=1&b=" + encoded + "&c=2", "b") == text);
}

TEST_CASE("A percent sign without two digits is read as it is")
{
    const auto [text, decoded] = GENERATE(table<std::string, std::string>(
        {{"%", "%"}, {"%2", "%2"}, {"%zz", "%zz"}, {"%2g", "%2g"}, {"100%", "100%"}, {"%41%", "A%"}, {"a+b", "a+b"}}));
    CHECK(http::decodePercent(text) == decoded);
}
