#pragma once

#include "platform/nodesettings.h"
#include "platform/prefixwatch.h"
#include "platform/storeclient.h"
#include "retirementreport.h"
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

/** A turn store on the users' platform: keeps turns and budgets on the disk of its VM. */
class StoreNode
{
public:
    /** @param context runs everything, on one thread @param settings the settings @param log gets the events */
    StoreNode(boost::asio::io_context &context, const platform::NodeSettings &settings, logging::EventLog &log);

    /** Reads the disk and starts to listen. @return why it can't, or an empty text */
    std::string start();

    /** Takes in changed settings; a turn store has none that may change. @param settings the settings */
    void reload(const platform::NodeSettings &settings);

    /** Makes everything durable and closes. @param onDone called when that is done */
    void stop(const std::function<void()> &onDone);

    /** Closes everything at once, as the end of the process would. */
    void abandon();

private:
    using Keeper = turns::GroupManager<platform::StoreClient, RetirementReport>;

    std::variant<turns::DiskId, turns::DiskError> openDisk() const;
    void followGroup();
    void followRegistrations();
    void loadDeployment();
    void deploymentChanged();
    void followOperators();
    void followRunners();

    boost::asio::io_context &m_context;
    const platform::NodeSettings m_settings;
    logging::EventLog &m_log;
    platform::StoreClient m_platformStore;
    RetirementReport m_retirements;
    turns::StorePeers m_peers;
    turns::Journal m_journal;
    std::unique_ptr<turns::TurnStore> m_store;
    std::unique_ptr<turns::TurnServer> m_server;
    std::unique_ptr<Keeper> m_keeper;
    std::unique_ptr<platform::PrefixWatch> m_groupWatch;
    std::unique_ptr<platform::PrefixWatch> m_registrationWatch;
    std::unique_ptr<platform::PrefixWatch> m_operatorWatch;
    std::unique_ptr<platform::PrefixWatch> m_runnerWatch;
    /** The routing and the runners, for entries that start while the platform's store is away. */
    std::map<std::string, keyvalue::KeyValue> m_deployment;
    /** Keys that only the disk told of, until the platform's store has listed its own. */
    std::set<std::string> m_loaded;
    boost::asio::steady_timer m_saveTimer;
    bool m_isSaveDue = false;
};

}
