#pragma once

#include "entrynode.h"
#include "http/clientconnection.h"
#include "logging/eventlog.h"
#include "platform/platformrunner.h"
#include "platform/platformstore.h"
#include "storenode.h"
#include "temporaryfolder.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace briarhinge::tests
{

/** A request of a caller, and what came of it. */
struct Asked
{
    unsigned status = 0;
    http::Headers headers;
    std::string body;
    bool isOver = false;
    bool isWhole = false;
    std::shared_ptr<http::ClientConnection> connection;
};

/**
 * A small deployment on the users' platform in one process and on one thread: stand-ins of the platform's store and of
 * runners, real entries and turn stores.
 */
class PlatformDeployment
{
public:
    static constexpr int entryCount = 2;

    /** @param turnStores how many turn stores to start */
    explicit PlatformDeployment(int turnStores = 3);

    /** Runs until something holds. @param what it @return whether it did in time */
    bool runUntil(const std::function<bool()> &what);

    /** Runs for a while. @param time how long */
    void runFor(std::chrono::milliseconds time);

    /** Starts a turn store. @param index which one @param isEmpty whether its disk is new */
    void startTurnStore(std::size_t index, bool isEmpty);

    /** Ends a turn store without a word. @param index which one */
    void killTurnStore(std::size_t index);

    /** Starts an entry anew: it remembers nothing. @param index which one */
    void restartEntry(std::size_t index);

    /** Sends a request. @param entry which entry @param request its bytes @return what came of it so far */
    std::shared_ptr<Asked> send(std::size_t entry, const std::string &request);

    /** Sends a request and runs until it is over. @param entry which entry @param request its bytes @return the outcome */
    std::shared_ptr<Asked> ask(std::size_t entry, const std::string &request);

    /** Sends a request on the connection of an earlier one and runs until it is over. @param earlier the earlier one
     * @param request its bytes @return the outcome */
    std::shared_ptr<Asked> askAgain(const std::shared_ptr<Asked> &earlier, const std::string &request);

    /** @param entry which entry @return whether it says that it is ready */
    bool isReady(std::size_t entry);

    /** @param id the request's id @param fields more header fields, each with its line end @param body the body
     * @return the bytes of a turn */
    static std::string turn(const std::string &id, const std::string &fields, const std::string &body);

    /** @param method the method @param path the path @param id the request's id @param fields more header fields
     * @return the bytes of a request without a model */
    static std::string call(const std::string &method, const std::string &path, const std::string &id,
                            const std::string &fields = {});

    /** @param epoch the least epoch @return whether the group has it and is not changing */
    bool isGroupSteady(std::uint64_t epoch) const;

    /** The configuration that is in force from the start. @param version its version @return it */
    static std::string routing(int version);

private:
    std::shared_ptr<Asked> sendTo(const wire::Address &address, const std::string &request);
    static void sendOn(const std::shared_ptr<Asked> &asked, const std::string &request);
    std::shared_ptr<Asked> finished(const std::shared_ptr<Asked> &asked);
    wire::Address addressAt(int offset) const;

    /** Before the members that listen. */
    const std::uint16_t m_firstPort;

public:
    boost::asio::io_context context;
    standins::platform::PlatformStore store;
    standins::platform::PlatformRunner model;
    standins::platform::PlatformRunner toolOne;
    standins::platform::PlatformRunner toolTwo;

private:
    platform::NodeSettings settingsOf(const std::string &name, int index) const;
    void startEntry(std::size_t index);

    struct TurnStoreProcess
    {
        std::unique_ptr<TemporaryFolder> folder;
        std::unique_ptr<node::StoreNode> node;
    };

    logging::EventLog m_log;
    std::vector<TurnStoreProcess> m_turnStores;
    std::vector<std::unique_ptr<node::EntryNode>> m_entries;
};

}
