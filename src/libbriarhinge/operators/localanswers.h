#pragma once

#include "api/clientrequest.h"
#include "config/activeconfiguration.h"
#include "core/program.h"

#include <memory>

namespace briarhinge::operators
{

/** What an operator is told about one process. */
struct ProcessState
{
    bool draining = false;
    std::size_t inProgress = 0;
};

/** @param inForce the configuration of the process @param state the rest @return the answer to a status request */
api::ClientReply statusReply(const config::ActiveConfiguration &inForce, const ProcessState &state);

/** Gathers the programs of one process for an operator. */
class ProgramList
{
public:
    ProgramList();
    ~ProgramList();

    /** Adds the programs of a tree. @param tree a root program with its sub-programs */
    void add(const core::ProgramTree &tree);

    /** @return the answer to a request for the programs */
    api::ClientReply reply() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
