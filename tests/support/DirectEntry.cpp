#include "support/DirectEntry.h"

#include "model/LoopbackListener.h"

#include <array>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace tamarack::harness {

namespace asio = boost::asio;
using std::chrono::seconds;
using tamarack::standin::freePort;
using tcp = asio::ip::tcp;

DirectEntry::DirectEntry() = default;

DirectEntry::~DirectEntry()
{
    stop();
}

void DirectEntry::stop()
{
    if (!m_contexts || !m_thread.joinable())
        return;
    m_contexts->stop();
    m_thread.join();
}

void DirectEntry::drain()
{
    asio::post(m_contexts->control(), [process = m_process] { process->drain([] {}); });
}

void DirectEntry::freeze(milliseconds duration)
{
    const auto sleep = [duration] { std::this_thread::sleep_for(duration); };
    asio::post(m_contexts->control(), sleep);
    for (asio::io_context *traffic : m_contexts->traffic())
        asio::post(*traffic, sleep);
}

Settings DirectEntry::makeSettings(const std::string &name, const std::string &dataCentre,
                                   unsigned short storePort)
{
    Settings settings;
    settings.role = Role::Direct;
    settings.name = name;
    settings.dataCentre = dataCentre;
    settings.caller.endpoint = {"127.0.0.1", freePort()};
    settings.admin.endpoint = {"127.0.0.1", freePort()};
    settings.peer = {"127.0.0.1", freePort()};
    settings.peerKey = "0123456789abcdef";
    settings.limits.connections = 100;
    settings.direct.readiness.endpoint = {"127.0.0.1", freePort()};
    settings.direct.store = {"127.0.0.1", storePort};
    settings.direct.revokeBound = milliseconds(5000);
    settings.direct.drainBound = milliseconds(2000);
    settings.direct.stopGrace = milliseconds(5000);
    settings.direct.quotaWindow = milliseconds(8000);
    settings.direct.retries = {0.2, seconds(10), 100};
    return settings;
}

Result<void> DirectEntry::tryStart(const Settings &settings)
{
    m_settings = settings;
    m_contexts = new Contexts(1);
    auto made = DirectProcess::makeProcess(settings, *m_contexts);
    if (!made)
        return tl::unexpected(made.error());
    m_process = made->release();
    m_thread = std::jthread([contexts = m_contexts] { contexts->run(); });
    return {};
}

void DirectEntry::start(const Settings &settings)
{
    const auto started = tryStart(settings);
    const std::string reason = started ? "" : started.error().message;
    BOOST_REQUIRE_MESSAGE(started.has_value(), reason);
}

void DirectEntry::startOnUnusedPorts(const std::string &name, const std::string &dataCentre,
                                     unsigned short storePort,
                                     std::optional<RolloutBounds> rollouts)
{
    constexpr int attempts = 5;
    const auto start = [&] {
        Settings settings = makeSettings(name, dataCentre, storePort);
        settings.direct.rollouts = rollouts;
        return tryStart(settings);
    };
    auto started = start();
    for (int i = 1; i < attempts && !started; ++i)
        started = start();
    const std::string reason = started ? "" : started.error().message;
    BOOST_REQUIRE_MESSAGE(started.has_value(), reason);
}

int DirectEntry::readiness() const
{
    return responseStatus(exchangeBytes(
        readinessPort(), "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
}

std::string exchangeBytes(unsigned short port, const std::string &bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    std::string text;
    std::array<char, 4096> piece{};
    while (!error) {
        const std::size_t size = socket.read_some(asio::buffer(piece), error);
        text.append(piece.data(), size);
    }
    return text;
}

int responseStatus(const std::string &answer)
{
    constexpr std::size_t statusAt = 9;
    constexpr std::size_t shortest = 12;
    return answer.size() > shortest ? std::stoi(answer.substr(statusAt, 3)) : 0;
}

} // namespace tamarack::harness
