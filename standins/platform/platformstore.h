#pragma once

#include "http/listener.h"
#include "http/serverconnection.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace standins::platform
{

/** Faults that the store can simulate. */
enum class StoreFault {
    None,
    /** Answers every call with status 503. */
    Unavailable,
    /** Answers no call. */
    Unresponsive,
    /** Answers no call, and leaves the connections of pending watches open and silent for good. */
    Silent,
    /** Answers every call with status 429, and leaves pending watches silent for good. */
    TooMany,
};

/** In-memory stand-in for the users' store that speaks its published protocol and simulates faults on demand. */
class PlatformStore
{
public:
    /**
     * Starts to listen; throws std::runtime_error if that fails.
     *
     * @param context runs all handlers on one thread
     * @param address the listen address
     */
    PlatformStore(boost::asio::io_context &context, const briarhinge::wire::Address &address);

    /**
     * Writes a key, as an operator or a runner would.
     *
     * @param key the key
     * @param value the value
     */
    void put(const std::string &key, const std::string &value);

    /**
     * Removes a key, as an operator or an expired lease would.
     *
     * @param key the key
     */
    void remove(const std::string &key);

    /** @return the value of a key, or an empty string if it does not exist */
    std::string value(const std::string &key) const;

    /**
     * Starts or ends a simulated fault. Starting one closes the connections of pending watches, unless it leaves them silent.
     *
     * @param fault the fault
     */
    void setFault(StoreFault fault);

    /**
     * Applies the next writes without answering them.
     *
     * @param count number of writes
     */
    void dropAnswers(int count);

    /** Never answers the pending watches, whose connections stay open. */
    void loseWatchAnswers();

    /**
     * Loses the answers to watches while their connections stay open.
     *
     * @param count number of answers from now on
     */
    void loseNextWatchAnswers(int count);

    /** Sets how old the answers to reads are for which that will do ("serializable"). */
    void setStaleness(std::chrono::milliseconds staleness);

    /** Discards the history, so that watches from earlier revisions are answered with status 410. */
    void discardHistory();

    /** @return number of listings, reads of keys and watches that were answered or wait */
    int reads() const;

    /** @return number of writes answered with a version conflict */
    int conflicts() const;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        bool isRemoved = false;
        Item item;
    };

    struct Watch
    {
        std::shared_ptr<briarhinge::http::ServerConnection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    using Connection = std::shared_ptr<briarhinge::http::ServerConnection>;
    using Query = std::map<std::string, std::string>;

    void handle(const Connection &connection, const briarhinge::http::IncomingRequest &request);
    void range(const Connection &connection, const Query &query) const;
    void key(const Connection &connection, const Query &query) const;
    void watch(const Connection &connection, const Query &query);
    void transact(const Connection &connection, const std::string &body);
    std::uint64_t revisionAt(std::chrono::steady_clock::time_point time) const;
    std::string eventsAfter(const std::string &prefix, std::uint64_t after, bool &hasEvents) const;
    void answerWatches();

    boost::asio::io_context &m_context;
    briarhinge::http::Listener m_listener;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::list<Watch> m_watches;
    /** Kept so that their connections stay open. */
    std::list<Watch> m_lostWatches;
    /** When each revision was reached. */
    std::map<std::chrono::steady_clock::time_point, std::uint64_t> m_revisions;
    std::chrono::milliseconds m_staleness{0};
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyStart = 0;
    StoreFault m_fault = StoreFault::None;
    int m_answersToDrop = 0;
    int m_watchAnswersToLose = 0;
    int m_conflicts = 0;
    int m_reads = 0;
};

}
