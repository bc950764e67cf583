#include "platform/platformrunner.h"

#include "platform/listenerresources.h"
#include "platform/registration.h"

#include <cstdlib>
#include <stdexcept>
#include <string_view>

namespace standins::platform
{

using briarhinge::http::OutgoingResponseHead;

/** Holds the longest chain of a test. */
constexpr std::uint64_t maxBodyBytes = std::uint64_t{64} * 1024 * 1024;

namespace
{

constexpr std::chrono::milliseconds eventInterval{2};
constexpr std::uint64_t startTime = 1'785'000'000'000;
/** Start times of two incarnations differ by at least this, in Unix milliseconds. */
constexpr std::uint64_t restartTime = 1000;

/** Reads the duration of a request from its path, for example "work=300" for 300 ms. */
std::chrono::milliseconds workDuration(const std::string &target)
{
    constexpr std::string_view word = "work=";
    const std::size_t at = target.find(word);
    return std::chrono::milliseconds(at == std::string::npos ? 0 : std::atoi(target.c_str() + at + word.size()));
}

}

PlatformRunner::PlatformRunner(boost::asio::io_context &context, const briarhinge::wire::Address &address,
                               std::string id)
    : m_context(context)
    , m_address(address)
    , m_id(std::move(id))
    , m_startTime(startTime)
{
    listen();
}

OutgoingResponseHead PlatformRunner::answerHead(unsigned status, const std::string &request) const
{
    OutgoingResponseHead head{status, {}};
    head.headers.add("X-Request-Id", request);
    head.headers.add("Keep-Alive", "timeout=5");
    if (m_isLeaving && m_isLeaving()) {
        head.headers.add("Server-Leaving", "1");
    }
    return head;
}

OutgoingResponseHead PlatformRunner::signedAnswerHead(unsigned status, const std::string &request) const
{
    OutgoingResponseHead head = answerHead(status, request);
    head.headers.add("X-Server-Stamp", "stamp");
    head.headers.add("X-Server-Load", "1,0,4");
    return head;
}

void PlatformRunner::setLeavingCondition(std::function<bool()> isLeaving)
{
    m_isLeaving = std::move(isLeaving);
}

void PlatformRunner::listen()
{
    m_listener = std::make_unique<briarhinge::http::Listener>(
        m_context,
        [] {
            briarhinge::http::ServerLimits limits;
            limits.maxBodyBytes = maxBodyBytes;
            return limits;
        },
        unlimitedResources(),
        [this](const Connection &connection, briarhinge::http::IncomingRequest request) {
            handle(connection, std::move(request));
        });
    const std::string error = m_listener->listen(m_address);
    if (!error.empty()) {
        throw std::runtime_error(error);
    }
}

void PlatformRunner::setCrashText(std::string text, std::function<void()> onCrash)
{
    m_crashText = std::move(text);
    m_onCrash = std::move(onCrash);
}

void PlatformRunner::setResetCondition(std::function<bool()> mustReset)
{
    m_mustReset = std::move(mustReset);
}

void PlatformRunner::setExecutionHandler(std::function<void(const ReceivedRequest &)> onExecuted)
{
    m_onExecuted = std::move(onExecuted);
}

void PlatformRunner::crash()
{
    if (!m_listener) {
        return;
    }
    m_listener->close();
    m_closedListeners.push_back(std::move(m_listener));
}

void PlatformRunner::restart(std::string id)
{
    m_id = std::move(id);
    m_startTime += restartTime;
    listen();
}

bool PlatformRunner::isRunning() const
{
    return m_listener != nullptr;
}

bool PlatformRunner::isCrashing(const ReceivedRequest &request) const
{
    return !m_crashText.empty()
        && (request.target.find(m_crashText) != std::string::npos
            || request.body.find(m_crashText) != std::string::npos);
}

void PlatformRunner::queueBehaviour(Behaviour behaviour)
{
    m_queuedBehaviours.push_back(behaviour);
}

void PlatformRunner::setDefaultBehaviour(Behaviour behaviour)
{
    m_defaultBehaviour = behaviour;
}

const std::deque<ReceivedRequest> &PlatformRunner::receivedRequests() const
{
    return m_receivedRequests;
}

int PlatformRunner::executedRequests() const
{
    return m_executedRequests;
}

const std::string &PlatformRunner::id() const
{
    return m_id;
}

std::string PlatformRunner::registration(const std::string &service, bool isDraining) const
{
    return runnerRegistration(service, m_address, m_startTime, isDraining);
}

void PlatformRunner::handle(const Connection &connection, briarhinge::http::IncomingRequest request)
{
    const std::string id(request.headers.find("X-Request-Id").value_or(""));
    Behaviour behaviour = m_defaultBehaviour;
    if (!m_queuedBehaviours.empty()) {
        behaviour = m_queuedBehaviours.front();
        m_queuedBehaviours.pop_front();
    }
    const bool isTurn = request.headers.find("X-Token-Usage").has_value();
    m_receivedRequests.push_back({request.method, request.target, request.body, request.headers, false});
    ReceivedRequest &received = m_receivedRequests.back();
    connection->setDisconnectHandler([&received] {
        received.isDisconnected = true;
    });
    if (request.headers.find("X-Expect-Instance") != m_id || behaviour == Behaviour::Misdirect) {
        connection->respond(answerHead(421, id), {});
        return;
    }
    if (behaviour == Behaviour::Reject) {
        OutgoingResponseHead head = answerHead(503, id);
        head.headers.add("X-Not-Executed", "1");
        connection->respond(head, {});
        return;
    }
    ++m_executedRequests;
    if (m_onExecuted) {
        m_onExecuted(received);
    }
    if (isCrashing(received)) {
        crash();
        if (m_onCrash) {
            m_onCrash();
        }
        return;
    }
    if (m_mustReset && m_mustReset()) {
        behaviour = Behaviour::DropAnswer;
    }
    switch (behaviour) {
    case Behaviour::DropAnswer:
        connection->abort();
        return;
    case Behaviour::Hang:
        return;
    case Behaviour::OmitStamp:
        connection->respond(answerHead(200, id), "forged");
        return;
    default:
        break;
    }
    const bool isWhole = behaviour != Behaviour::TruncateStream;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, workDuration(received.target));
    timer->async_wait([this, timer, connection, id, isTurn, isWhole](const boost::system::error_code &) {
        if (isTurn) {
            stream(connection, id, isWhole);
        } else {
            connection->respond(signedAnswerHead(200, id), "answer " + id);
        }
    });
}

void PlatformRunner::stream(const Connection &connection, const std::string &request, bool isComplete)
{
    OutgoingResponseHead head = signedAnswerHead(200, request);
    head.headers.add("Content-Type", "text/event-stream");
    connection->beginResponse(head);
    sendEvent(connection, request, 1, isComplete);
}

void PlatformRunner::sendEvent(const Connection &connection, const std::string &request, int number, bool isComplete)
{
    if (number > eventsPerTurn) {
        connection->endResponse();
        return;
    }
    if (!isComplete && number == eventsPerTurn) {
        connection->abort();
        return;
    }
    connection->sendChunk("id: " + std::to_string(number) + "\ndata: " + request + '.' + std::to_string(number)
                          + "\n\n");
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, eventInterval);
    timer->async_wait([this, timer, connection, request, number, isComplete](const boost::system::error_code &error) {
        if (!error) {
            sendEvent(connection, request, number + 1, isComplete);
        }
    });
}

}
