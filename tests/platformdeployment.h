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

/** A caller's request in progress, and its answer so far. */
struct CallerExchange
{
    unsigned status = 0;
    http::Headers headers;
    std::string body;
    bool isFinished = false;
    bool isComplete = false;
    std::shared_ptr<http::ClientConnection> connection;
};

/**
 * A small deployment on the users' platform in one process and on one thread: real entries and turn stores, with
 * stand-ins for the platform's store and the runners.
 */
class PlatformDeployment
{
public:
    /** Changes the settings of a process. */
    using SettingsChange = std::function<void(platform::NodeSettings &)>;

    static constexpr int entryCount = 2;

    /**
     * @param turnStores number of turn stores to start
     * @param customize changes the settings of each process before it starts
     */
    explicit PlatformDeployment(int turnStores = 3, SettingsChange customize = {});

    /**
     * Runs the deployment until a condition holds.
     *
     * @param condition the condition
     * @return whether it held before the timeout
     */
    bool runUntil(const std::function<bool()> &condition);

    /** Runs the deployment for the given time. */
    void runFor(std::chrono::milliseconds time);

    /**
     * Starts a turn store.
     *
     * @param index the index of the turn store
     * @param hasNewDisk whether it gets a new, empty disk
     */
    void startTurnStore(std::size_t index, bool hasNewDisk);

    /** Kills the turn store with the given index without a graceful stop. */
    void killTurnStore(std::size_t index);

    /** Kills the entry with the given index and starts it again without any state. */
    void restartEntry(std::size_t index);

    /**
     * Sends a request without waiting for its answer.
     *
     * @param entry the index of the entry
     * @param request the bytes of the request
     * @return the request, which is updated while the deployment runs
     */
    std::shared_ptr<CallerExchange> send(std::size_t entry, const std::string &request);

    /**
     * Sends a request and runs the deployment until it is finished.
     *
     * @param entry the index of the entry
     * @param request the bytes of the request
     * @return the finished request
     */
    std::shared_ptr<CallerExchange> sendAndWait(std::size_t entry, const std::string &request);

    /**
     * Sends a request on the connection of an earlier one and runs the deployment until it is finished.
     *
     * @param earlier the earlier request
     * @param request the bytes of the request
     * @return the finished request
     */
    std::shared_ptr<CallerExchange> sendAndWaitOnConnection(const std::shared_ptr<CallerExchange> &earlier,
                                                            const std::string &request);

    /** @return whether the entry with the given index passes its readiness check */
    bool isReady(std::size_t entry);

    /**
     * @param id the id of the request
     * @param fields additional header fields, each terminated by CRLF
     * @param body the body
     * @param path the path; that of a route on which turns are stored, or "/draft/x", on which they are not
     * @return the bytes of a turn's request
     */
    static std::string turn(const std::string &id, const std::string &fields, const std::string &body,
                            const std::string &path = "/turn/x");

    /**
     * @param method the HTTP method
     * @param path the path
     * @param id the id of the request
     * @param fields additional header fields, each terminated by CRLF
     * @return the bytes of a request that is not a turn
     */
    static std::string call(const std::string &method, const std::string &path, const std::string &id,
                            const std::string &fields = {});

    /** @return whether the group of turn stores has at least the given epoch and no membership change is in progress */
    bool isGroupStable(std::uint64_t epoch) const;

    /** @return the initial routing configuration as JSON, with the given version */
    static std::string routing(int version);

private:
    std::shared_ptr<CallerExchange> sendTo(const wire::Address &address, const std::string &request);
    static void sendOn(const std::shared_ptr<CallerExchange> &exchange, const std::string &request);
    std::shared_ptr<CallerExchange> waitUntilFinished(const std::shared_ptr<CallerExchange> &exchange);
    wire::Address addressAt(int offset) const;

    /** Declared before the members that listen on these ports. */
    const std::uint16_t m_firstPort;
    const SettingsChange m_customize;

public:
    boost::asio::io_context context;
    standins::platform::PlatformStore store;
    standins::platform::PlatformRunner model;
    standins::platform::PlatformRunner toolOne;
    standins::platform::PlatformRunner toolTwo;

private:
    platform::NodeSettings nodeSettings(const std::string &name, int index) const;
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
