#include "peer/Codec.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

const RequestId request{0x1122334455667788, 42};

std::vector<PeerMessage> allMessages()
{
    const EntryReport report{"entry-1", 7, 9, {1, 2, 3, 4}, 5};
    Dispatch dispatch;
    dispatch.request = request;
    dispatch.credit = 3;
    dispatch.gate = 4;
    dispatch.target = "model";
    dispatch.tier = 2;
    dispatch.workspace = "kitchen";
    dispatch.fingerprint = 99;
    dispatch.remainingMs = 1000;
    dispatch.heldMs = 20;
    dispatch.promptTokens = 17;
    dispatch.alone = true;
    dispatch.keyed = true;
    dispatch.body = {"POST", "/v1/completions", "application/json", std::string("a\0b", 3), true};
    GateHeartbeat heartbeat;
    heartbeat.generation = 8;
    heartbeat.engineUp = true;
    heartbeat.targets = {"model", "other"};
    heartbeat.entries = {report, report};
    return {EntryHeartbeat{report, 1, 2, 3, true},
            heartbeat,
            Demand{{{"model", 1, "kitchen", 4, 400}}},
            Grant{{{1, "model", 0, "kitchen", 1000, 12, 55}}},
            RecallCredits{{4, 5}},
            ReturnCredits{{1, 2, 3}},
            dispatch,
            Accepted{request},
            Refused{request, 3, ErrorKind::Draining},
            AnswerHead{request, 200, "text/event-stream"},
            AnswerChunk{request, 77, "bytes"},
            AnswerEnd{request, true, 82, 0xDEADBEEF, ErrorKind::Internal},
            AnswerAck{request, 82, true},
            Cancel{request},
            StatusQuery{request, 3, 4, 10},
            StatusReply{request, RequestFate::AnswerGone},
            ConfigPush{12, "{}"},
            FingerprintReports{{{5, 6, true}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(everyMessageSurvivesTheWire)
{
    const auto messages = allMessages();
    BOOST_REQUIRE_EQUAL(messages.size(), std::variant_size_v<PeerMessage>);
    for (const PeerMessage &message : messages) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        BOOST_REQUIRE(decoded);
        BOOST_TEST((*decoded == message));
    }
}

BOOST_AUTO_TEST_CASE(truncatedMessagesAreRefused)
{
    const std::string bytes = encodePeerMessage(allMessages()[6]);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto decoded = decodePeerMessage(bytes.substr(0, size));
        BOOST_TEST((!decoded || *decoded != allMessages()[6]));
    }
}

BOOST_AUTO_TEST_CASE(enumeratorsOutOfRangeAreRefused)
{
    const auto decoded =
        decodePeerMessage(encodePeerMessage(Refused{request, 1, static_cast<ErrorKind>(200)}));
    BOOST_TEST(!decoded);
}

BOOST_AUTO_TEST_SUITE_END()
