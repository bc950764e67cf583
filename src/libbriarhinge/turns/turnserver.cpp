#include "turns/turnserver.h"

#include "logging/eventlog.h"

#include <utility>

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
    , m_disk(1)
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
    if (!m_isWriting) {
        writeNext();
    }
}

void TurnServer::writeNext()
{
    if (m_answers.empty() && !m_journal.hasPending()) {
        return;
    }
    m_isWriting = true;
    m_covered = std::exchange(m_answers, {});
    boost::asio::post(m_disk, [this, batch = m_journal.takeBatch()] {
        boost::asio::post(m_context, [this, result = m_journal.write(batch), isSnapshot = batch.isSnapshot] {
            written(result, isSnapshot);
        });
    });
}

void TurnServer::written(const DiskResult &result, bool isSnapshot)
{
    m_isWriting = false;
    const auto *error = std::get_if<DiskError>(&result);
    if (error != nullptr) {
        m_store.writeFailed();
    } else if (isSnapshot) {
        m_store.snapshotWritten();
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
    for (Answer &answer : m_covered) {
        if (isFailing) {
            markFailed(answer.frame);
        }
        if (const auto session = answer.session.lock()) {
            session->send(answer.frame);
        }
    }
    m_covered.clear();
    writeNext();
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
    m_disk.join();
    m_journal.write(m_journal.takeBatch());
    m_server.stop();
}

}
