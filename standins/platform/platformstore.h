#pragma once

#include "http/listener.h"
#include "http/serverconnection.h"

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

/** How the store treats calls while it is in trouble. */
enum class StoreTrouble {
    None,
    /** Answers 503 and does nothing. */
    Busy,
    /** Answers nothing. */
    Silent,
};

/** The published protocol of the users' store, in memory, with its faults on command. One thread. */
class PlatformStore
{
public:
    /** @param context runs it @param address where it listens */
    PlatformStore(boost::asio::io_context &context, const briarhinge::wire::Address &address);

    /** Writes as the operator or a runner does. @param key the key @param value the value */
    void put(const std::string &key, const std::string &value);

    /** Removes a key as the operator does, or as a lease that ends. @param key the key */
    void remove(const std::string &key);

    /** @param key a key @return its value, or an empty text */
    std::string value(const std::string &key) const;

    /** @param trouble how calls are treated from now on; calls that wait are cut */
    void setTrouble(StoreTrouble trouble);

    /** Does the next writes and answers none of them. @param count how many */
    void loseAnswers(int count);

    /** Drops all history: watches from before answer 410. */
    void dropHistory();

    /** @return calls that were answered with a conflict */
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
    std::string eventsAfter(const std::string &prefix, std::uint64_t after, bool &hasAny) const;
    void wakeWatches();

    boost::asio::io_context &m_context;
    briarhinge::http::Listener m_listener;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 0;
    StoreTrouble m_trouble = StoreTrouble::None;
    int m_losses = 0;
    int m_conflicts = 0;
};

}
