#include "base/Log.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;
using namespace std::string_literals;

namespace {

std::string logged(const std::string &value)
{
    return LogField("key", value).value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogSuite)

BOOST_AUTO_TEST_CASE(ordinaryValuesAreWrittenAsTheyAre)
{
    BOOST_TEST(logged("i-7f3a91c2") == "i-7f3a91c2");
    BOOST_TEST(logged("/lohu930/2f?a&b") == "/lohu930/2f?a&b");
    BOOST_TEST(logged("") == R"("")");
    BOOST_TEST(logged("two words") == R"("two words")");
    BOOST_TEST(logged(R"(a="b\c")") == R"("a=\"b\\c\"")");
    BOOST_TEST(logged("one\r\ntwo") == R"("one  two")");
    BOOST_TEST(logged("caf\u00e9 \u20ac \U0001f600") == "\"caf\u00e9 \u20ac \U0001f600\"");
    BOOST_TEST(logged(std::string(256, 'a')) == std::string(256, 'a'));
}

BOOST_AUTO_TEST_CASE(controlCharactersAreEscaped)
{
    BOOST_TEST(logged("a\0b"s) == R"("a\x00b")");
    BOOST_TEST(logged("a\x7f") == R"("a\x7f")");
    BOOST_TEST(logged("\x1b[31m") == R"("\x1b[31m")");
    BOOST_TEST(logged("a\tb") == R"("a\x09b")");
    // U+009B starts a terminal's escape sequence, too.
    BOOST_TEST(logged("\u009b31m") == R"("\xc2\x9b31m")");
    // What is escaped differs from a value that has these characters.
    BOOST_TEST(logged(R"(a\x00b)") == R"("a\\x00b")");
}

BOOST_AUTO_TEST_CASE(bytesThatAreNotUtf8AreEscaped)
{
    BOOST_TEST(logged("a\xff") == R"("a\xff")");
    // A lone continuation byte, a sequence cut short, an overlong one, a surrogate, and a code
    // point above U+10FFFF.
    BOOST_TEST(logged("\x80") == R"("\x80")");
    BOOST_TEST(logged("\xe2\x82") == R"("\xe2\x82")");
    BOOST_TEST(logged("\xe2\x82z") == R"("\xe2\x82z")");
    BOOST_TEST(logged("\xc0\xaf") == R"("\xc0\xaf")");
    BOOST_TEST(logged("\xe0\x80\xaf") == R"("\xe0\x80\xaf")");
    BOOST_TEST(logged("\xed\xa0\x80") == R"("\xed\xa0\x80")");
    BOOST_TEST(logged("\xf4\x90\x80\x80") == R"("\xf4\x90\x80\x80")");
}

BOOST_AUTO_TEST_CASE(longValuesAreCut)
{
    const std::string start(256, 'a');
    BOOST_TEST(logged(start + "b") == '"' + start + "...(1 more byte)\"");
    BOOST_TEST(logged(std::string(20'000, 'a')) == '"' + start + "...(19744 more bytes)\"");
    // A character is written whole or not at all.
    const std::string odd = std::string(255, 'a') + "\u20ac";
    BOOST_TEST(logged(odd) == '"' + std::string(255, 'a') + "...(3 more bytes)\"");
    BOOST_TEST(logged(std::string(20'000, '\0')).size() < 1100U);
}

BOOST_AUTO_TEST_SUITE_END()
