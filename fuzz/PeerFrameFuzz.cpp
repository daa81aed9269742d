#include "FuzzTarget.h"

#include "peer/Codec.h"
#include "peer/PeerIdentity.h"

#include <cstdlib>

using namespace tamarack;

/// Whatever the decoder accepts must survive another trip over the wire.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    (void)decodeIdentity(bytes);
    const auto message = decodePeerMessage(bytes);
    if (!message)
        return 0;
    const auto again = decodePeerMessage(encodePeerMessage(*message));
    if (!again || *again != *message)
        std::abort();
    return 0;
}

std::vector<std::string> fuzzSeeds()
{
    const RequestId id{1, 2};
    Dispatch dispatch;
    dispatch.request = id;
    dispatch.target = "model";
    dispatch.body = {"POST", "/v1/completions", "application/json", "{}", true};
    GateHeartbeat heartbeat;
    heartbeat.targets = {"model"};
    heartbeat.entries = {{"entry-1", 1, 2, {1, 2, 3, 4}, 5}};
    return {encodePeerMessage(dispatch),
            encodePeerMessage(heartbeat),
            encodePeerMessage(Demand{{{"model", 1, "ws", 2, 3}}}),
            encodePeerMessage(AnswerChunk{id, 7, "bytes of an answer"}),
            encodePeerMessage(AnswerEnd{id, true, 7, 8, ErrorKind::Internal}),
            encodePeerMessage(ConfigPush{9, "{\"presets\":{}}"}),
            encodePeerMessage(FingerprintReports{{{1, 2, true}}}),
            encodeIdentity({"entry-1", "entry", "dc", 1, 2})};
}
