#pragma once

#include "forwarding/permitserver.h"
#include "forwarding/usageserver.h"
#include "platform/nodesettings.h"
#include "platform/storeclient.h"
#include "platform/storewatch.h"
#include "retirementreport.h"
#include "turns/chainrepair.h"
#include "turns/groupmanager.h"
#include "turns/journal.h"
#include "turns/turnserver.h"
#include "turns/turnstore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhinge::node
{

/** A turn store on the users' platform: stores turns and budgets on the disk of its VM. */
class StoreNode
{
public:
    /**
     * @param context runs all handlers on one thread
     * @param settings the settings of this process
     * @param log receives the events
     */
    StoreNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log);

    /**
     * Replays the journal, starts to listen and joins the group of turn stores.
     *
     * @return the error, or an empty string
     */
    std::string start();

    /** Does nothing, since a turn store has no settings that can change at run time. */
    void reload(const platform::NodeSettings &settings);

    /**
     * Writes pending records to the journal and closes all connections.
     *
     * @param onDone called when that is done
     */
    void stop(const std::function<void()> &onDone);

    /** Closes all connections at once, as if the process had been killed. */
    void abort();

private:
    using Manager = turns::GroupManager<platform::StoreClient, RetirementReport>;

    std::variant<turns::DiskId, turns::DiskError> openDisk() const;
    void watchGroup();
    /** @return number of turn stores that share the limits of runners; 0 if this one is not among them */
    std::size_t permitKeepers() const;
    void loadDeployment();
    void updateDeployment(const keyvalue::KeyValue &item);
    void updateRetention(const std::string &routingText);
    void scheduleSave();
    void watchOperators();
    void watchRunners();

    boost::asio::io_context &m_context;
    const platform::NodeSettings m_settings;
    logging::EventLog &m_log;
    platform::StoreClient m_platformStore;
    platform::StoreWatch m_watch;
    RetirementReport m_retirementReport;
    turns::StorePeers m_peers;
    turns::Journal m_journal;
    std::unique_ptr<turns::TurnStore> m_store;
    forwarding::PermitServer m_permitServer;
    forwarding::UsageServer m_usageServer;
    std::unique_ptr<turns::TurnServer> m_server;
    std::unique_ptr<Manager> m_groupManager;
    std::unique_ptr<turns::ChainRepair> m_chainRepair;
    /** The routing, the runners and the entries by key, for entries that start without the platform's store. */
    std::map<std::string, keyvalue::KeyValue> m_deployment;
    /** Keys known only from the disk, until a listing of the platform's store confirms them. */
    std::set<std::string> m_unconfirmedKeys;
    boost::asio::steady_timer m_saveTimer;
    bool m_isSaveScheduled = false;
};

}
