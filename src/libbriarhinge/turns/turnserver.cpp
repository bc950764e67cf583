#include "turns/turnserver.h"

#include "logging/eventlog.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace briarhinge::turns
{

namespace
{

/** Short enough to serve soon after a disk recovers, long enough not to rewrite the whole state over and over. */
constexpr std::chrono::milliseconds compactionInterval{250};

void markDiskFailed(wire::FrameT &frame)
{
    if (auto *begun = frame.message.AsTurnBegun()) {
        begun->status = wire::StoreStatus::DiskFailed;
    } else if (auto *ended = frame.message.AsTurnEnded()) {
        ended->status = wire::StoreStatus::DiskFailed;
    } else if (auto *page = frame.message.AsStatePage()) {
        page->status = wire::StoreStatus::DiskFailed;
    }
}

}

TurnServer::TurnServer(boost::asio::io_context &context, TurnStore &store, Journal &journal, logging::EventLog &log,
                       std::function<std::vector<keyvalue::KeyValue>()> deployment, RequestHandler onRequest)
    : m_context(context)
    , m_store(store)
    , m_journal(journal)
    , m_log(log)
    , m_deployment(std::move(deployment))
    , m_onRequest(std::move(onRequest))
    , m_compactionTimer(context)
    , m_diskThread(1)
{
    scheduleCompaction();
}

std::variant<std::uint16_t, wire::ListenError> TurnServer::listen(const wire::Address &address)
{
    m_servers.push_back(std::make_unique<wire::FrameServer>(
        m_context, m_log,
        [this](const auto &session, const wire::FrameT &frame) {
            receive(session, frame);
        },
        [](const auto &, const std::string &) {}));
    return m_servers.back()->listen(address);
}

wire::DeploymentStateT TurnServer::deploymentState() const
{
    wire::DeploymentStateT state;
    state.group = m_store.group().epoch.value() > 0 ? toJson(m_store.group()) : std::string();
    for (const keyvalue::KeyValue &item : m_deployment()) {
        auto stored = std::make_unique<wire::StoredItemT>();
        stored->key = item.key;
        stored->value = item.value;
        state.items.push_back(std::move(stored));
    }
    return state;
}

void TurnServer::receive(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    const auto now = std::chrono::steady_clock::now();
    const auto answer = std::make_shared<wire::FrameT>();
    answer->request_id = frame.request_id;
    answer->last = true;
    if (const auto *begin = frame.message.AsBeginTurn()) {
        answer->message.Set(m_store.begin(*begin, now));
    } else if (const auto *end = frame.message.AsEndTurn()) {
        answer->message.Set(m_store.end(*end, now));
    } else if (const auto *fetch = frame.message.AsFetchState()) {
        answer->message.Set(m_store.fetch(*fetch, now));
    } else if (const auto *state = frame.message.AsStoreState()) {
        answer->message.Set(m_store.storeRecords(*state, now));
    } else if (frame.message.AsFetchDeployment() != nullptr) {
        answer->message.Set(deploymentState());
    } else if (auto other = m_onRequest(frame.message)) {
        answer->message = std::move(*other);
        session->send(*answer);
        return;
    } else {
        session->close("a message that turn stores don't know");
        return;
    }
    whenWritten([weakSession = std::weak_ptr(session), answer](bool isDurable) {
        if (!isDurable) {
            markDiskFailed(*answer);
        }
        if (const auto open = weakSession.lock()) {
            open->send(*answer);
        }
    });
}

void TurnServer::whenWritten(std::function<void(bool isDurable)> onWritten)
{
    m_nextWriteCallbacks.push_back(std::move(onWritten));
    requestSync();
}

void TurnServer::requestSync()
{
    if (!m_isWriting) {
        writeNext();
    }
}

void TurnServer::postToDiskThread(std::function<void()> work)
{
    boost::asio::post(m_diskThread, std::move(work));
}

void TurnServer::writeNext()
{
    m_store.appendSnapshotPart(std::chrono::steady_clock::now());
    if (m_nextWriteCallbacks.empty() && !m_journal.hasPending()) {
        return;
    }
    m_isWriting = true;
    m_currentWriteCallbacks = std::exchange(m_nextWriteCallbacks, {});
    boost::asio::post(m_diskThread, [this, batch = m_journal.takeBatch()] {
        boost::asio::post(m_context, [this, result = m_journal.write(batch), endsSnapshot = batch.endsSnapshot] {
            finishWrite(result, endsSnapshot);
        });
    });
}

void TurnServer::finishWrite(const DiskResult &result, bool endsSnapshot)
{
    m_isWriting = false;
    const auto *error = std::get_if<DiskError>(&result);
    if (error != nullptr) {
        m_store.markWriteFailed();
    } else if (endsSnapshot) {
        m_store.markSnapshotWritten();
    }
    const bool isFailing = m_store.isRewriteNeeded();
    if (isFailing != m_isDiskFailing) {
        m_isDiskFailing = isFailing;
        if (isFailing) {
            m_log.write(logging::events::diskFailing, {{"reason", error == nullptr ? "" : error->reason}});
        } else {
            m_log.write(logging::events::diskRecovered, {{"turns", m_store.turnCount()}});
        }
    }
    for (const auto &onWritten : std::exchange(m_currentWriteCallbacks, {})) {
        onWritten(!isFailing);
    }
    writeNext();
}

void TurnServer::scheduleCompaction()
{
    m_compactionTimer.expires_after(compactionInterval);
    m_compactionTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_store.compact(std::chrono::steady_clock::now());
        requestSync();
        scheduleCompaction();
    });
}

void TurnServer::stop()
{
    m_compactionTimer.cancel();
    m_diskThread.join();
    m_journal.write(m_journal.takeBatch());
    for (const auto &server : m_servers) {
        server->stop();
    }
}

}
