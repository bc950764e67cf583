#pragma once

#include "base/ids.h"
#include "commandline.h"
#include "exitcodes.h"

namespace briarhinge::ctl
{

/** Prints every process. @param line the command line @return how it ended */
ExitCode status(const CommandLine &line);

/** Lets a process take no new work. @param line the command line @return how it ended */
ExitCode drain(const CommandLine &line);

/** Prints the programs of every entry. @param line the command line @return how it ended */
ExitCode programs(const CommandLine &line);

/** Prints one program. @param line the command line @return how it ended */
ExitCode showProgram(const CommandLine &line);

/** Ends a program. @param line the command line @return how it ended */
ExitCode endProgram(const CommandLine &line);

/** Prints the metrics of an entry. @param line the command line @return how it ended */
ExitCode metrics(const CommandLine &line);

/**
 * Waits until every process has a revision in force, and prints which have and which don't.
 *
 * @param line the command line
 * @param revision the revision
 * @return Ok, or NotInForce when the wait limit passed
 */
ExitCode waitUntilInForce(const CommandLine &line, base::Revision revision);

}
