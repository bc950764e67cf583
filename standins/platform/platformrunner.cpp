#include "platform/platformrunner.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace standins::platform
{

using briarhinge::http::OutgoingResponseHead;

namespace
{

constexpr std::chrono::milliseconds eventPause{2};
constexpr std::uint64_t startedAt = 1'785'000'000'000;

OutgoingResponseHead headFor(unsigned status, const std::string &request)
{
    OutgoingResponseHead head{status, {}};
    head.headers.add("X-Request-Id", request);
    head.headers.add("Keep-Alive", "timeout=5");
    return head;
}

OutgoingResponseHead signedHead(unsigned status, const std::string &request)
{
    OutgoingResponseHead head = headFor(status, request);
    head.headers.add("X-Server-Stamp", "stamp");
    head.headers.add("X-Server-Load", "1,0,4");
    return head;
}

}

PlatformRunner::PlatformRunner(boost::asio::io_context &context, const briarhinge::wire::Address &address,
                               std::string id)
    : m_context(context)
    , m_address(address)
    , m_id(std::move(id))
    , m_listener(
          context,
          [] {
              return briarhinge::http::ServerLimits{};
          },
          [this](const Connection &connection, briarhinge::http::IncomingRequest request) {
              handle(connection, std::move(request));
          })
{
    const std::string error = m_listener.listen(address);
    if (!error.empty()) {
        throw std::runtime_error(error);
    }
}

void PlatformRunner::next(Behaviour behaviour)
{
    m_next.push_back(behaviour);
}

void PlatformRunner::always(Behaviour behaviour)
{
    m_always = behaviour;
}

const std::deque<Arrival> &PlatformRunner::arrivals() const
{
    return m_arrivals;
}

int PlatformRunner::runs() const
{
    return m_runs;
}

const std::string &PlatformRunner::id() const
{
    return m_id;
}

std::string PlatformRunner::entry(const std::string &service, bool isDraining) const
{
    return nlohmann::json{{"service", service},
                          {"address", briarhinge::wire::toString(m_address)},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", 4},
                          {"state", isDraining ? "draining" : "ready"},
                          {"cold_remaining_ms", 0},
                          {"sequence", isDraining ? 2 : 1},
                          {"born", startedAt}}
        .dump();
}

void PlatformRunner::handle(const Connection &connection, briarhinge::http::IncomingRequest request)
{
    const std::string id(request.headers.find("X-Request-Id").value_or(""));
    Behaviour behaviour = m_always;
    if (!m_next.empty()) {
        behaviour = m_next.front();
        m_next.pop_front();
    }
    const bool isTurn = request.headers.find("X-Token-Usage").has_value();
    m_arrivals.push_back({request.method, request.target, request.body, request.headers, false});
    Arrival &arrival = m_arrivals.back();
    connection->setDisconnectHandler([&arrival] {
        arrival.isAbandoned = true;
    });
    if (request.headers.find("X-Expect-Instance") != m_id || behaviour == Behaviour::Misdirected) {
        connection->respond(headFor(421, id), {});
        return;
    }
    if (behaviour == Behaviour::Refuse) {
        OutgoingResponseHead head = headFor(503, id);
        head.headers.add("X-Not-Executed", "1");
        connection->respond(head, {});
        return;
    }
    ++m_runs;
    switch (behaviour) {
    case Behaviour::LoseAnswer:
        connection->abort();
        return;
    case Behaviour::Hang:
        return;
    case Behaviour::Forge:
        connection->respond(headFor(200, id), "forged");
        return;
    default:
        break;
    }
    if (isTurn) {
        stream(connection, id, behaviour != Behaviour::BreakOff);
        return;
    }
    connection->respond(signedHead(200, id), "answer " + id);
}

void PlatformRunner::stream(const Connection &connection, const std::string &request, bool isWhole)
{
    OutgoingResponseHead head = signedHead(200, request);
    head.headers.add("Content-Type", "text/event-stream");
    connection->beginResponse(head);
    sendEvent(connection, request, 1, isWhole);
}

void PlatformRunner::sendEvent(const Connection &connection, const std::string &request, int number, bool isWhole)
{
    if (number > eventsOfTurn) {
        connection->endResponse();
        return;
    }
    if (!isWhole && number == eventsOfTurn) {
        connection->abort();
        return;
    }
    connection->sendChunk("id: " + std::to_string(number) + "\ndata: " + request + '.' + std::to_string(number)
                          + "\n\n");
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, eventPause);
    timer->async_wait([this, timer, connection, request, number, isWhole](const boost::system::error_code &error) {
        if (!error) {
            sendEvent(connection, request, number + 1, isWhole);
        }
    });
}

}
