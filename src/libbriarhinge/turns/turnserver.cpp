#include "turns/turnserver.h"

#include "logging/eventlog.h"

#include <boost/asio/post.hpp>

namespace briarhinge::turns
{

namespace
{

/** Short enough that a disk that takes writes again serves at once, long enough not to write all again and again. */
constexpr std::chrono::milliseconds tidyInterval{250};

void markFailed(wire::FrameT &frame)
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

TurnServer::TurnServer(boost::asio::io_context &context, TurnStore &store, Journal &journal, logging::EventLog &log)
    : m_context(context)
    , m_store(store)
    , m_journal(journal)
    , m_log(log)
    , m_server(
          context, log,
          [this](const auto &session, const wire::FrameT &frame) {
              receive(session, frame);
          },
          [](const auto &, const std::string &) {})
    , m_tidyTimer(context)
{
}

std::variant<std::uint16_t, wire::ListenError> TurnServer::listen(const wire::Address &address)
{
    tidyRegularly();
    return m_server.listen(address);
}

void TurnServer::receive(const std::shared_ptr<wire::FrameSession> &session, const wire::FrameT &frame)
{
    const auto now = std::chrono::steady_clock::now();
    wire::FrameT answer;
    answer.request_id = frame.request_id;
    answer.last = true;
    if (const auto *begin = frame.message.AsBeginTurn()) {
        answer.message.Set(m_store.begin(*begin, now));
    } else if (const auto *end = frame.message.AsEndTurn()) {
        answer.message.Set(m_store.end(*end, now));
    } else if (const auto *fetch = frame.message.AsFetchState()) {
        answer.message.Set(m_store.fetch(*fetch));
    } else if (const auto *state = frame.message.AsStoreState()) {
        answer.message.Set(m_store.keep(*state, now));
    } else {
        session->close("a message that turn stores don't know");
        return;
    }
    m_answers.push_back({session, std::move(answer)});
    requestSync();
}

void TurnServer::requestSync()
{
    if (m_isSyncPosted) {
        return;
    }
    m_isSyncPosted = true;
    // Posted behind the frames that have arrived already: one sync covers all of them.
    boost::asio::post(m_context, [this] {
        sync();
    });
}

void TurnServer::sync()
{
    m_isSyncPosted = false;
    const DiskResult result = m_journal.sync();
    const auto *error = std::get_if<DiskError>(&result);
    if (error != nullptr) {
        m_store.syncFailed();
    } else {
        m_store.synced();
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
    for (Answer &answer : m_answers) {
        if (isFailing) {
            markFailed(answer.frame);
        }
        if (const auto session = answer.session.lock()) {
            session->send(answer.frame);
        }
    }
    m_answers.clear();
}

void TurnServer::tidyRegularly()
{
    m_tidyTimer.expires_after(tidyInterval);
    m_tidyTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        m_store.tidy(std::chrono::steady_clock::now());
        requestSync();
        tidyRegularly();
    });
}

void TurnServer::stop()
{
    m_tidyTimer.cancel();
    sync();
    m_server.stop();
}

}
