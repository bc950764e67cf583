#pragma once

#include "api/clientrequest.h"
#include "config/activeconfiguration.h"
#include "core/program.h"

#include <memory>

namespace briarhinge::operators
{

/** The state of one process, as reported to operators. */
struct ProcessState
{
    bool draining = false;
    /** Number of pieces of work, such as requests, that must finish before the process can stop. */
    std::size_t inProgress = 0;
};

/**
 * @param inForce the configuration of the process
 * @param state the state of the process
 * @return the reply to a status request
 */
api::ClientReply statusReply(const config::ActiveConfiguration &inForce, const ProcessState &state);

/** Collects the programs of one process for an operator. */
class ProgramList
{
public:
    ProgramList();
    ~ProgramList();

    /**
     * Adds the programs of a tree.
     *
     * @param tree a root program with its sub-programs
     */
    void add(const core::ProgramTree &tree);

    /** @return the reply to a request for the programs */
    api::ClientReply reply() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
